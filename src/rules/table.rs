//! The compiled rules of a rules file. The first rule whose condition holds determines the class and keys of
//! a request.

use super::evaluator::{evaluate, EvaluationError, Value};
use super::program::Program;
use crate::wire::classification::{Classification, RequestClassifier, Target};
use crate::wire::http::HttpRequest;

/// A compiled rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The condition; the rule does not match a request for which its evaluation fails.
    pub when: Program,
    /// The name of the request class.
    pub class: Program,
    /// The object ID.
    pub object: Program,
    /// The part of the object.
    pub part: Program,
    /// The group of the object.
    pub group: Program,
}

impl Rule {
    fn matches(&self, request: &HttpRequest, steps: &mut u64) -> bool {
        matches!(evaluate(&self.when, request, steps), Ok(Value::Bool(true)))
    }

    fn target(&self, request: &HttpRequest, steps: &mut u64) -> Result<Target, EvaluationError> {
        let Value::Str(class) = evaluate(&self.class, request, steps)? else { return Err(EvaluationError) };
        let Value::Key(object) = evaluate(&self.object, request, steps)? else { return Err(EvaluationError) };
        let part = evaluate_u32(&self.part, request, steps)?;
        let group = evaluate_u32(&self.group, request, steps)?;
        Ok(Target { class: class.into_owned(), object, part, group })
    }

    /// The maximum cost of [`Self::target`], in steps.
    fn max_target_cost(&self) -> u64 {
        self.class.max_cost + self.object.max_cost + self.part.max_cost + self.group.max_cost
    }
}

fn evaluate_u32(program: &Program, request: &HttpRequest, steps: &mut u64) -> Result<u32, EvaluationError> {
    match evaluate(program, request, steps)? {
        Value::Int(number) => u32::try_from(number).map_err(|_| EvaluationError),
        _ => Err(EvaluationError),
    }
}

/// Compiled rules, in the order of the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules(pub Vec<Rule>);

impl Rules {
    /// Classifies a request by the first rule that matches, and adds the cost to `steps`.
    pub fn classify(&self, request: &HttpRequest, steps: &mut u64) -> Classification {
        let Some(rule) = self.0.iter().find(|rule| rule.matches(request, steps)) else {
            return Classification::NoMatch;
        };
        match rule.target(request, steps) {
            Ok(target) => Classification::Target(target),
            Err(EvaluationError) => Classification::Malformed,
        }
    }

    /// The maximum cost of classifying a request, in steps: all conditions and the most expensive target.
    pub fn max_cost(&self) -> u64 {
        let conditions: u64 = self.0.iter().map(|rule| rule.when.max_cost).sum();
        conditions + self.0.iter().map(Rule::max_target_cost).max().unwrap_or(0)
    }
}

impl RequestClassifier for Rules {
    fn classify(&self, request: &HttpRequest) -> Classification {
        Self::classify(self, request, &mut 0)
    }
}
