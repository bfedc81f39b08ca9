//! The operator file of rules, `serve --rules FILE`. Without it the platform's own spelling of targets counts.

use super::table::{Rule, Rules};
use super::type_check::{BadExpression, Definitions, Type};
use crate::config_file::{read_json, ConfigError, FieldError};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// A rule, its parts as expressions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleConfig {
    /// Whether it is for a request: a bool.
    pub when: String,
    /// The name of the class: a str.
    pub class: String,
    /// The object: a key.
    pub object: String,
    /// The part: an int.
    #[serde(default = "nought")]
    pub part: String,
    /// The object's group: an int.
    #[serde(default = "nought")]
    pub group: String,
}

fn nought() -> String {
    "0".into()
}

fn cost() -> u64 {
    500_000
}

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesConfig {
    /// The greatest cost that any request may come to, in steps (about one for a byte that is looked at).
    #[serde(default = "cost")]
    pub cost_most: u64,
    /// `name(parameter: type, ...) = body`.
    #[serde(default)]
    pub define: Vec<String>,
    /// The rules, the first that holds counts.
    pub rules: Vec<RuleConfig>,
    /// The file.
    #[serde(skip)]
    pub path: PathBuf,
}

impl RulesConfig {
    /// Reads the file and compiles its rules.
    pub fn read(path: &Path) -> Result<(Self, Rules), ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        let field = |reason: String| FieldError::new("rules", reason).in_file(path);
        let rules = config.compile().map_err(field)?;
        Ok((config, rules))
    }

    /// The rules compiled.
    pub fn compile(&self) -> Result<Rules, String> {
        if self.rules.is_empty() || self.rules.len() > 256 {
            return Err(format!("{} are not within 1 to 256", self.rules.len()));
        }
        let definitions = Definitions::read(&self.define).map_err(|e| e.to_string())?;
        let mut rules = Rules::default();
        for (k, line) in self.rules.iter().enumerate() {
            let part = |name: &str, text: &str, of| {
                let reason = |e: BadExpression| format!("rule {}, `{name}`: {e}", k + 1);
                definitions.compile(text, of, self.cost_most).map_err(reason)
            };
            rules.0.push(Rule {
                when: part("when", &line.when, Type::Bool)?,
                class: part("class", &line.class, Type::Str)?,
                object: part("object", &line.object, Type::Key)?,
                part: part("part", &line.part, Type::Int)?,
                group: part("group", &line.group, Type::Int)?,
            });
        }
        match rules.cost() {
            cost if cost > self.cost_most => {
                Err(format!("a request may cost {cost} steps, above `cost_most` {}", self.cost_most))
            }
            _ => Ok(rules),
        }
    }
}
