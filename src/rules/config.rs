//! The routing rules file, `serve --rules FILE`. Without it, the platform's path form classifies requests.

use super::definitions::Definitions;
use super::error::RulesError;
use super::program::{Program, Type};
use super::table::{Rule, Rules};
use crate::config_file::{read_json, ConfigError};
use serde::Deserialize;
use std::path::{Path, PathBuf};

/// The maximum number of rules in a file.
const MAX_RULES: usize = 256;

/// A rule; each field is the text of an expression.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleConfig {
    /// Whether the rule matches a request; of type bool.
    pub when: String,
    /// The name of the request class; of type str.
    pub class: String,
    /// The object ID; of type key.
    pub object: String,
    /// The part of the object; of type int.
    #[serde(default = "zero")]
    pub part: String,
    /// The group of the object; of type int.
    #[serde(default = "zero")]
    pub group: String,
}

fn zero() -> String {
    "0".into()
}

fn default_max_cost() -> u64 {
    500_000
}

/// The contents of the routing rules file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulesConfig {
    /// The maximum cost of classifying a request, in steps: one per node, and about one per byte read
    /// or written.
    #[serde(default = "default_max_cost", rename = "cost_most")]
    pub max_cost: u64,
    /// Functions that the rules may call, `name(parameter: type, ...) = body`.
    #[serde(default, rename = "define")]
    pub definitions: Vec<String>,
    /// The rules, in order; the first that matches is used.
    pub rules: Vec<RuleConfig>,
    /// The path of this file.
    #[serde(skip)]
    pub path: PathBuf,
}

impl RulesConfig {
    /// Reads the file and compiles its rules.
    pub fn read(path: &Path) -> Result<(Self, Rules), ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        let rules = config.compile().map_err(|error| ConfigError::field(path, "rules", error))?;
        Ok((config, rules))
    }

    /// Checks the definitions and compiles the rules.
    pub fn compile(&self) -> Result<Rules, RulesError> {
        let count = self.rules.len();
        if !(1..=MAX_RULES).contains(&count) {
            return Err(RulesError::Count { count, max: MAX_RULES });
        }
        let definitions = Definitions::parse(&self.definitions).map_err(RulesError::Definitions)?;
        let compiled = self.rules.iter().enumerate();
        let compiled = compiled.map(|(index, rule)| self.compile_rule(index + 1, rule, &definitions));
        let rules = Rules(compiled.collect::<Result<_, _>>()?);
        match rules.max_cost() {
            cost if cost > self.max_cost => Err(RulesError::Cost { cost, max: self.max_cost }),
            _ => Ok(rules),
        }
    }

    /// Compiles a rule; `number` is its position in the file, from 1.
    fn compile_rule(
        &self,
        number: usize,
        rule: &RuleConfig,
        definitions: &Definitions,
    ) -> Result<Rule, RulesError> {
        let compile = |field, text: &str, expected| -> Result<Program, RulesError> {
            let compiled = definitions.compile(text, expected, self.max_cost);
            compiled.map_err(|source| RulesError::Rule { number, field, source })
        };
        Ok(Rule {
            when: compile("when", &rule.when, Type::Bool)?,
            class: compile("class", &rule.class, Type::Str)?,
            object: compile("object", &rule.object, Type::Key)?,
            part: compile("part", &rule.part, Type::Int)?,
            group: compile("group", &rule.group, Type::Int)?,
        })
    }
}
