//! The rules of an operator file: the first whose condition holds says which class a request is of, and what its keys
//! are. No I/O.

use super::evaluator::{run, Failed, Value};
use super::type_check::Program;
use crate::wire::http::HttpRequest;

/// A rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Whether it is for a request; one that fails is not.
    pub when: Program,
    /// The name of the class.
    pub class: Program,
    /// The object.
    pub object: Program,
    /// The part.
    pub part: Program,
    /// The object's group.
    pub group: Program,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of its class.
    pub class: String,
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u32,
    /// The object's group.
    pub group: u32,
}

/// What the rules say of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// What it asks for.
    Target(Target),
    /// A rule is for it, and its keys can't be had of it.
    Malformed,
    /// No rule is for it.
    Nothing,
}

/// The rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules(pub Vec<Rule>);

impl Rules {
    /// What they say of a request; counts the steps.
    pub fn of(&self, request: &HttpRequest, steps: &mut u64) -> Said {
        for rule in &self.0 {
            match run(&rule.when, request, steps) {
                Ok(Value::Bool(true)) => {}
                _ => continue,
            }
            return match Self::target(rule, request, steps) {
                Ok(target) => Said::Target(target),
                Err(Failed) => Said::Malformed,
            };
        }
        Said::Nothing
    }

    fn target(rule: &Rule, request: &HttpRequest, steps: &mut u64) -> Result<Target, Failed> {
        let Value::Str(class) = run(&rule.class, request, steps)? else { return Err(Failed) };
        let Value::Key(object) = run(&rule.object, request, steps)? else { return Err(Failed) };
        let mut number = |program| match run(program, request, steps)? {
            Value::Int(n) => u32::try_from(n).map_err(|_| Failed),
            _ => Err(Failed),
        };
        let (part, group) = (number(&rule.part)?, number(&rule.group)?);
        Ok(Target { class: class.into_owned(), object, part, group })
    }

    /// The greatest cost of any request, in steps.
    pub fn cost(&self) -> u64 {
        let own = |r: &Rule| r.class.cost + r.object.cost + r.part.cost + r.group.cost;
        // Each condition may be asked; one rule says the rest.
        let when: u64 = self.0.iter().map(|r| r.when.cost).sum();
        when + self.0.iter().map(own).max().unwrap_or(0)
    }
}
