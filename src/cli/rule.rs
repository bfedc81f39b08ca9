//! The `rule` command: applies routing rules to a request.

use super::error::CliError;
use argh::FromArgs;
use edge_proxy::rules::config::RulesConfig;
use edge_proxy::wire::classification::Classification;
use edge_proxy::wire::http::HttpRequest;
use std::path::PathBuf;

/// Show how routing rules classify a request.
#[derive(FromArgs)]
#[argh(subcommand, name = "rule")]
pub struct Rule {
    /// the configuration file of routing rules
    #[argh(option)]
    rules: PathBuf,
    /// the request method; defaults to GET
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// a request header, `name: value`; may be repeated
    #[argh(option)]
    header: Vec<String>,
    /// the request target
    #[argh(positional)]
    target: String,
}

impl Rule {
    /// Prints the request's class, object, part and group, or why it was not classified.
    pub fn run(self) -> Result<(), CliError> {
        let (_, rules) = RulesConfig::read(&self.rules)?;
        let headers = self.header.iter().map(|line| parse_header(line)).collect::<Result<_, _>>()?;
        let request =
            HttpRequest { method: self.method, target: self.target, headers, ..HttpRequest::default() };
        let mut steps = 0;
        match rules.classify(&request, &mut steps) {
            Classification::Target(target) => println!(
                "class {}  object {:016x}  part {}  group {}  steps {steps}",
                target.class, target.object, target.part, target.group
            ),
            Classification::Malformed => println!("malformed: 400  steps {steps}"),
            Classification::NoMatch => println!("no rule: 404  steps {steps}"),
        }
        Ok(())
    }
}

/// Splits a header into its name, in lower case, and its value.
fn parse_header(line: &str) -> Result<(String, String), CliError> {
    let (name, value) = line.split_once(':').ok_or_else(|| CliError::Header(line.to_string()))?;
    Ok((name.trim().to_ascii_lowercase(), value.trim().to_string()))
}
