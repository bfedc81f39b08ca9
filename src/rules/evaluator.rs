//! Evaluation of programs on requests. No I/O. A program is a tree without loops, and each node is evaluated at most
//! once.

use super::parser::BinaryOperator;
use super::program::{Function, Input, Node, Program};
use crate::text::parse_hex16;
use crate::wire::http::HttpRequest;
use sha2::{Digest, Sha256};
use std::borrow::Cow;
use thiserror::Error;

/// The most digits of a number in a text.
const MAX_DIGITS: usize = 9;

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value<'r> {
    /// True or false.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// The key of an object.
    Key(u64),
    /// A text.
    Str(Cow<'r, str>),
}

/// The request has no such value: for instance a text that is no number, or a header that is repeated.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the request has no such value")]
pub struct EvaluationError;

/// The result of an evaluation.
type Evaluation<T> = Result<T, EvaluationError>;

/// Evaluates a program on a request. Adds its cost to `steps`: about one for each byte that is read or written, and one
/// for each node.
pub fn evaluate<'r>(
    program: &'r Program,
    request: &'r HttpRequest,
    steps: &mut u64,
) -> Evaluation<Value<'r>> {
    Evaluator { request, locals: Vec::new(), steps }.value(&program.root)
}

struct Evaluator<'r, 's> {
    request: &'r HttpRequest,
    /// The values of the enclosing `let`s, outermost first.
    locals: Vec<Value<'r>>,
    steps: &'s mut u64,
}

impl<'r> Evaluator<'r, '_> {
    fn bool(&mut self, node: &'r Node) -> Evaluation<bool> {
        match self.value(node)? {
            Value::Bool(value) => Ok(value),
            _ => Err(EvaluationError),
        }
    }

    fn int(&mut self, node: &'r Node) -> Evaluation<i64> {
        match self.value(node)? {
            Value::Int(value) => Ok(value),
            _ => Err(EvaluationError),
        }
    }

    fn str(&mut self, node: &'r Node) -> Evaluation<Cow<'r, str>> {
        match self.value(node)? {
            Value::Str(value) => Ok(value),
            _ => Err(EvaluationError),
        }
    }

    /// A text that is read completely.
    fn read_str(&mut self, node: &'r Node) -> Evaluation<Cow<'r, str>> {
        let text = self.str(node)?;
        *self.steps += text.len() as u64;
        Ok(text)
    }

    fn value(&mut self, node: &'r Node) -> Evaluation<Value<'r>> {
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
            Node::Fallback { first, fallback } => self.first_or(first, fallback)?,
            Node::Not(operand) => Value::Bool(!self.bool(operand)?),
            Node::Neg(operand) => Value::Int(self.int(operand)?.checked_neg().ok_or(EvaluationError)?),
            Node::And(left, right) => Value::Bool(self.bool(left)? && self.bool(right)?),
            Node::Or(left, right) => Value::Bool(self.bool(left)? || self.bool(right)?),
            Node::Compare(operator, left, right) => Value::Bool(self.compare(*operator, left, right)?),
            Node::Arithmetic(operator, left, right) => Value::Int(self.arithmetic(*operator, left, right)?),
            Node::Concat(left, right) => {
                let (left, right) = (self.str(left)?, self.str(right)?);
                *self.steps += (left.len() + right.len()) as u64;
                Value::Str(Cow::Owned(left.into_owned() + &right))
            }
            Node::If { condition, then, otherwise } => {
                let branch = if self.bool(condition)? { then } else { otherwise };
                self.value(branch)?
            }
            Node::Let { value, body } => {
                let value = self.value(value)?;
                self.locals.push(value);
                let body = self.value(body)?;
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

    fn first_or(&mut self, first: &'r Node, fallback: &'r Node) -> Evaluation<Value<'r>> {
        let depth = self.locals.len();
        self.value(first).or_else(|EvaluationError| {
            self.locals.truncate(depth);
            self.value(fallback)
        })
    }

    fn compare(&mut self, operator: BinaryOperator, left: &'r Node, right: &'r Node) -> Evaluation<bool> {
        let (left, right) = (self.value(left)?, self.value(right)?);
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
        let (a, b) = (self.int(left)?, self.int(right)?);
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
                let number = usize::try_from(self.int(&arguments[1])?).unwrap_or(0);
                Value::Str(slice(text, |text| segment(text, number)))
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
                Value::Str(slice(text, |text| &text[prefix.len()..]))
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

    /// `between(value, low, high)`. All arguments are evaluated before the first failure is returned.
    fn between(&mut self, arguments: &'r [Node]) -> Evaluation<Value<'r>> {
        let (low, value, high) = (self.int(&arguments[1]), self.int(&arguments[0]), self.int(&arguments[2]));
        Ok(Value::Bool((low?..=high?).contains(&value?)))
    }
}

/// A part of a text, borrowed where the text is.
fn slice<'r>(text: Cow<'r, str>, part: impl Fn(&str) -> &str) -> Cow<'r, str> {
    match text {
        Cow::Borrowed(text) => Cow::Borrowed(part(text)),
        Cow::Owned(text) => Cow::Owned(part(&text).to_string()),
    }
}

/// The segment of a path with a number, from 1; empty where there is none.
fn segment(path: &str, number: usize) -> &str {
    let Some(rest) = path.strip_prefix('/').filter(|_| number > 0) else { return "" };
    rest.split('/').nth(number - 1).unwrap_or("")
}

/// The number that a text of 1 to [`MAX_DIGITS`] decimal digits denotes.
fn parse_int(text: &str) -> Evaluation<i64> {
    let well_formed =
        (1..=MAX_DIGITS).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_digit());
    well_formed.then(|| text.parse().ok()).flatten().ok_or(EvaluationError)
}

/// The first 8 bytes of a text's SHA-256.
fn hash(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

#[cfg(test)]
mod tests;
