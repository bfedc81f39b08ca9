//! Evaluation of compiled expressions against a request. A program is a tree, and each node is evaluated at
//! most once.

use super::parser::BinaryOperator;
use super::program::{Function, Input, Node, Program};
use crate::text::parse_hex16;
use crate::wire::http::HttpRequest;
use sha2::{Digest, Sha256};
use std::borrow::Cow;
use thiserror::Error;

/// The maximum number of digits that `int` parses.
const MAX_DIGITS: usize = 9;

/// The value of an expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Value<'r> {
    /// A truth value.
    Bool(bool),
    /// A 64-bit signed integer.
    Int(i64),
    /// A 64-bit object key.
    Key(u64),
    /// A string, borrowed from the request or program where possible.
    Str(Cow<'r, str>),
}

/// Evaluation failed, for instance because a string to parse is not a number, a header is repeated or an
/// integer overflows.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("evaluation failed for this request")]
pub struct EvaluationError;

type Evaluation<T> = Result<T, EvaluationError>;

/// Evaluates a program against a request. Adds the cost to `steps`: one per node, and about one per byte read
/// or written.
pub fn evaluate<'r>(
    program: &'r Program,
    request: &'r HttpRequest,
    steps: &mut u64,
) -> Evaluation<Value<'r>> {
    Evaluator { request, locals: Vec::new(), steps }.evaluate(&program.root)
}

struct Evaluator<'r, 's> {
    request: &'r HttpRequest,
    /// The values of the enclosing `let`s, outermost first.
    locals: Vec<Value<'r>>,
    steps: &'s mut u64,
}

impl<'r> Evaluator<'r, '_> {
    fn evaluate_bool(&mut self, node: &'r Node) -> Evaluation<bool> {
        match self.evaluate(node)? {
            Value::Bool(value) => Ok(value),
            _ => Err(EvaluationError),
        }
    }

    fn evaluate_int(&mut self, node: &'r Node) -> Evaluation<i64> {
        match self.evaluate(node)? {
            Value::Int(value) => Ok(value),
            _ => Err(EvaluationError),
        }
    }

    fn evaluate_str(&mut self, node: &'r Node) -> Evaluation<Cow<'r, str>> {
        match self.evaluate(node)? {
            Value::Str(value) => Ok(value),
            _ => Err(EvaluationError),
        }
    }

    /// Evaluates a node to a string, and counts one step per byte, because the caller reads the whole string.
    fn read_str(&mut self, node: &'r Node) -> Evaluation<Cow<'r, str>> {
        let text = self.evaluate_str(node)?;
        *self.steps += text.len() as u64;
        Ok(text)
    }

    fn evaluate(&mut self, node: &'r Node) -> Evaluation<Value<'r>> {
        *self.steps += 1;
        Ok(match node {
            Node::Bool(value) => Value::Bool(*value),
            Node::Int(value) => Value::Int(*value),
            Node::Str(text) => Value::Str(Cow::Borrowed(text)),
            Node::Input(input) => Value::Str(Cow::Borrowed(self.input(*input))),
            Node::Header(name) => Value::Str(Cow::Borrowed(self.header(name)?)),
            Node::HasHeader(name) => Value::Bool(self.has_header(name)),
            Node::Local(index) => self.local(*index)?,
            Node::Call(function, arguments) => self.call(*function, arguments)?,
            Node::Fallback { first, fallback } => self.value_or_fallback(first, fallback)?,
            Node::Not(operand) => Value::Bool(!self.evaluate_bool(operand)?),
            Node::Neg(operand) => {
                Value::Int(self.evaluate_int(operand)?.checked_neg().ok_or(EvaluationError)?)
            }
            Node::And(left, right) => Value::Bool(self.evaluate_bool(left)? && self.evaluate_bool(right)?),
            Node::Or(left, right) => Value::Bool(self.evaluate_bool(left)? || self.evaluate_bool(right)?),
            Node::Compare(operator, left, right) => Value::Bool(self.compare(*operator, left, right)?),
            Node::Arithmetic(operator, left, right) => Value::Int(self.arithmetic(*operator, left, right)?),
            Node::Concat(left, right) => {
                let (left, right) = (self.evaluate_str(left)?, self.evaluate_str(right)?);
                *self.steps += (left.len() + right.len()) as u64;
                Value::Str(Cow::Owned(left.into_owned() + &right))
            }
            Node::If { condition, then, otherwise } => {
                let branch = if self.evaluate_bool(condition)? { then } else { otherwise };
                self.evaluate(branch)?
            }
            Node::Let { value, body } => {
                let value = self.evaluate(value)?;
                self.locals.push(value);
                let body = self.evaluate(body)?;
                self.locals.pop();
                body
            }
        })
    }

    fn input(&self, input: Input) -> &'r str {
        let (path, query) = self.request.target.split_once('?').unwrap_or((&self.request.target, ""));
        match input {
            Input::Method => &self.request.method,
            Input::Path => path,
            Input::Query => query,
        }
    }

    fn header(&mut self, name: &str) -> Evaluation<&'r str> {
        *self.steps += self.request.headers.len() as u64;
        Ok(self.request.single_value(name).map_err(|_| EvaluationError)?.unwrap_or(""))
    }

    fn has_header(&mut self, name: &str) -> bool {
        *self.steps += self.request.headers.len() as u64;
        self.request.headers.iter().any(|(header, _)| header == name)
    }

    fn local(&mut self, index: usize) -> Evaluation<Value<'r>> {
        let value = self.locals.get(index).cloned().ok_or(EvaluationError)?;
        if let Value::Str(Cow::Owned(text)) = &value {
            *self.steps += text.len() as u64;
        }
        Ok(value)
    }

    fn value_or_fallback(&mut self, first: &'r Node, fallback: &'r Node) -> Evaluation<Value<'r>> {
        let local_count = self.locals.len();
        self.evaluate(first).or_else(|EvaluationError| {
            self.locals.truncate(local_count);
            self.evaluate(fallback)
        })
    }

    fn compare(&mut self, operator: BinaryOperator, left: &'r Node, right: &'r Node) -> Evaluation<bool> {
        let (left, right) = (self.evaluate(left)?, self.evaluate(right)?);
        if let (Value::Str(a), Value::Str(b)) = (&left, &right) {
            *self.steps += a.len().min(b.len()) as u64;
        }
        Ok(match (operator, &left, &right) {
            (BinaryOperator::Eq, a, b) => a == b,
            (BinaryOperator::Ne, a, b) => a != b,
            (BinaryOperator::Lt, Value::Int(a), Value::Int(b)) => a < b,
            (BinaryOperator::Le, Value::Int(a), Value::Int(b)) => a <= b,
            (BinaryOperator::Gt, Value::Int(a), Value::Int(b)) => a > b,
            (BinaryOperator::Ge, Value::Int(a), Value::Int(b)) => a >= b,
            _ => return Err(EvaluationError),
        })
    }

    fn arithmetic(&mut self, operator: BinaryOperator, left: &'r Node, right: &'r Node) -> Evaluation<i64> {
        let (a, b) = (self.evaluate_int(left)?, self.evaluate_int(right)?);
        let result = if operator == BinaryOperator::Add { a.checked_add(b) } else { a.checked_sub(b) };
        result.ok_or(EvaluationError)
    }

    fn call(&mut self, function: Function, arguments: &'r [Node]) -> Evaluation<Value<'r>> {
        if function == Function::Between {
            return self.between(arguments);
        }
        let text = self.read_str(&arguments[0])?;
        Ok(match function {
            Function::Segment => {
                let number = usize::try_from(self.evaluate_int(&arguments[1])?).unwrap_or(0);
                Value::Str(substring(text, |text| segment(text, number)))
            }
            Function::SegmentCount => {
                Value::Int(text.strip_prefix('/').map_or(0, |rest| rest.split('/').count() as i64))
            }
            Function::StartsWith => Value::Bool(text.starts_with(&*self.read_str(&arguments[1])?)),
            Function::EndsWith => Value::Bool(text.ends_with(&*self.read_str(&arguments[1])?)),
            Function::Contains => Value::Bool(text.contains(&*self.read_str(&arguments[1])?)),
            Function::StripPrefix => {
                let prefix = self.read_str(&arguments[1])?;
                if !text.starts_with(&*prefix) {
                    return Err(EvaluationError);
                }
                Value::Str(substring(text, |text| &text[prefix.len()..]))
            }
            Function::Default => {
                let default = self.read_str(&arguments[1])?;
                Value::Str(if text.is_empty() { default } else { text })
            }
            Function::Length => Value::Int(text.len() as i64),
            Function::ParseInt => Value::Int(parse_int(&text)?),
            Function::ParseHex => Value::Key(parse_hex16(&text).ok_or(EvaluationError)?),
            Function::Hash => Value::Key(hash(&text)),
            Function::Lowercase => Value::Str(Cow::Owned(text.to_ascii_lowercase())),
            Function::Between => return Err(EvaluationError),
        })
    }

    /// `between(value, low, high)`. All arguments are evaluated, even if one of them fails.
    fn between(&mut self, arguments: &'r [Node]) -> Evaluation<Value<'r>> {
        let (low, value, high) = (
            self.evaluate_int(&arguments[1]),
            self.evaluate_int(&arguments[0]),
            self.evaluate_int(&arguments[2]),
        );
        Ok(Value::Bool((low?..=high?).contains(&value?)))
    }
}

/// A substring, borrowed if `text` is borrowed.
fn substring<'r>(text: Cow<'r, str>, part: impl Fn(&str) -> &str) -> Cow<'r, str> {
    match text {
        Cow::Borrowed(text) => Cow::Borrowed(part(text)),
        Cow::Owned(text) => Cow::Owned(part(&text).to_string()),
    }
}

/// The path segment with this number, from 1; empty if the path has no such segment.
fn segment(path: &str, number: usize) -> &str {
    let Some(rest) = path.strip_prefix('/').filter(|_| number > 0) else { return "" };
    rest.split('/').nth(number - 1).unwrap_or("")
}

/// Parses 1 to [`MAX_DIGITS`] decimal digits, without a sign.
fn parse_int(text: &str) -> Evaluation<i64> {
    let well_formed =
        (1..=MAX_DIGITS).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_digit());
    well_formed.then(|| text.parse().ok()).flatten().ok_or(EvaluationError)
}

/// The first 8 bytes of the SHA-256 digest of `text`, in big-endian order.
fn hash(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a SHA-256 digest has 32 bytes"))
}

#[cfg(test)]
mod tests;
