//! A program on a request. No I/O. It can only end: a program is a tree without loops, and each node is looked at once.

use super::parser::Op;
use super::type_check::{Function, Input, Node, Program};
use crate::wire::http::HttpRequest;
use sha2::{Digest, Sha256};
use std::borrow::Cow;

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value<'r> {
    /// True or false.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// An object's key.
    Key(u64),
    /// A text.
    Str(Cow<'r, str>),
}

/// A value could not be had: a text that is no number, a header that came twice. The request is at fault, never the
/// program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failed;

/// Runs a program on a request; counts its steps, about one for a byte that is looked at.
pub fn run<'r>(program: &'r Program, request: &'r HttpRequest, steps: &mut u64) -> Result<Value<'r>, Failed> {
    Run { request, locals: Vec::new(), steps }.node(&program.root)
}

struct Run<'r, 's> {
    request: &'r HttpRequest,
    locals: Vec<Value<'r>>,
    steps: &'s mut u64,
}

fn is<'r, T>(value: Option<T>) -> Result<T, Failed>
where
    T: 'r,
{
    value.ok_or(Failed)
}

impl<'r> Run<'r, '_> {
    fn bool(&mut self, node: &'r Node) -> Result<bool, Failed> {
        match self.node(node)? {
            Value::Bool(value) => Ok(value),
            _ => Err(Failed),
        }
    }

    fn int(&mut self, node: &'r Node) -> Result<i64, Failed> {
        match self.node(node)? {
            Value::Int(value) => Ok(value),
            _ => Err(Failed),
        }
    }

    fn str(&mut self, node: &'r Node) -> Result<Cow<'r, str>, Failed> {
        match self.node(node)? {
            Value::Str(value) => Ok(value),
            _ => Err(Failed),
        }
    }

    fn node(&mut self, node: &'r Node) -> Result<Value<'r>, Failed> {
        *self.steps += 1;
        Ok(match node {
            Node::Bool(value) => Value::Bool(*value),
            Node::Int(value) => Value::Int(*value),
            Node::Str(text) => Value::Str(Cow::Borrowed(text)),
            Node::Input(input) => {
                let (path, query) = self.request.target.split_once('?').unwrap_or((&self.request.target, ""));
                Value::Str(Cow::Borrowed(match input {
                    Input::Method => &self.request.method,
                    Input::Path => path,
                    Input::Query => query,
                }))
            }
            Node::Header(name) => {
                *self.steps += self.request.headers.len() as u64;
                Value::Str(Cow::Borrowed(self.request.single(name).map_err(|_| Failed)?.unwrap_or("")))
            }
            Node::Has(name) => {
                *self.steps += self.request.headers.len() as u64;
                Value::Bool(self.request.headers.iter().any(|(n, _)| n == name))
            }
            Node::Local(place) => {
                let value = is(self.locals.get(*place).cloned())?;
                if let Value::Str(Cow::Owned(text)) = &value {
                    *self.steps += text.len() as u64;
                }
                value
            }
            Node::Call(function, arguments) => self.call(*function, arguments)?,
            Node::Try(first, second) => {
                let depth = self.locals.len();
                match self.node(first) {
                    Ok(value) => value,
                    Err(Failed) => {
                        self.locals.truncate(depth);
                        self.node(second)?
                    }
                }
            }
            Node::Not(inner) => Value::Bool(!self.bool(inner)?),
            Node::Neg(inner) => Value::Int(is(self.int(inner)?.checked_neg())?),
            Node::Logic(and, left, right) => {
                let left = self.bool(left)?;
                Value::Bool(if left == *and { self.bool(right)? } else { left })
            }
            Node::Compare(op, left, right) => {
                let (left, right) = (self.node(left)?, self.node(right)?);
                if let (Value::Str(a), Value::Str(b)) = (&left, &right) {
                    *self.steps += a.len().min(b.len()) as u64;
                }
                Value::Bool(match (op, &left, &right) {
                    (Op::Eq, a, b) => a == b,
                    (Op::Ne, a, b) => a != b,
                    (Op::Lt, Value::Int(a), Value::Int(b)) => a < b,
                    (Op::Le, Value::Int(a), Value::Int(b)) => a <= b,
                    (Op::Gt, Value::Int(a), Value::Int(b)) => a > b,
                    (Op::Ge, Value::Int(a), Value::Int(b)) => a >= b,
                    _ => return Err(Failed),
                })
            }
            Node::Sum(op, left, right) => {
                let (a, b) = (self.int(left)?, self.int(right)?);
                Value::Int(is(if *op == Op::Add { a.checked_add(b) } else { a.checked_sub(b) })?)
            }
            Node::Concat(left, right) => {
                let (a, b) = (self.str(left)?, self.str(right)?);
                *self.steps += (a.len() + b.len()) as u64;
                Value::Str(Cow::Owned(a.into_owned() + &b))
            }
            Node::If(condition, yes, no) => {
                let branch = if self.bool(condition)? { yes } else { no };
                self.node(branch)?
            }
            Node::Let(value, body) => {
                let value = self.node(value)?;
                self.locals.push(value);
                let body = self.node(body)?;
                self.locals.pop();
                body
            }
        })
    }

    fn call(&mut self, function: Function, arguments: &'r [Node]) -> Result<Value<'r>, Failed> {
        if function == Function::Between {
            let [low, value, high] = [1, 0, 2].map(|k| self.int(&arguments[k]));
            let (value, low, high) = (value?, low?, high?);
            return Ok(Value::Bool((low..=high).contains(&value)));
        }
        let text = self.str(&arguments[0])?;
        *self.steps += text.len() as u64;
        let mut other = || {
            let other = self.str(&arguments[1])?;
            *self.steps += other.len() as u64;
            Ok::<_, Failed>(other)
        };
        Ok(match function {
            Function::Seg => {
                let n = usize::try_from(self.int(&arguments[1])?).unwrap_or(0);
                Value::Str(match text {
                    Cow::Borrowed(text) => Cow::Borrowed(segment(text, n)),
                    Cow::Owned(text) => Cow::Owned(segment(&text, n).to_string()),
                })
            }
            Function::Segs => {
                Value::Int(text.strip_prefix('/').map_or(0, |rest| rest.split('/').count() as i64))
            }
            Function::Starts => Value::Bool(text.starts_with(&*other()?)),
            Function::Ends => Value::Bool(text.ends_with(&*other()?)),
            Function::Contains => Value::Bool(text.contains(&*other()?)),
            Function::Strip => {
                let prefix = other()?;
                Value::Str(match text {
                    Cow::Borrowed(text) => Cow::Borrowed(is(text.strip_prefix(&*prefix))?),
                    Cow::Owned(text) => Cow::Owned(is(text.strip_prefix(&*prefix))?.to_string()),
                })
            }
            Function::Default => {
                let second = other()?;
                Value::Str(if text.is_empty() { second } else { text })
            }
            Function::Len => Value::Int(text.len() as i64),
            Function::Int => {
                let plain = (1..=9).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
                Value::Int(is(plain.then(|| text.parse().ok()).flatten())?)
            }
            Function::Hex => Value::Key(is(crate::text::parse_hex16(&text))?),
            Function::Hash => {
                let digest = Sha256::digest(text.as_bytes());
                Value::Key(u64::from_be_bytes(digest[..8].try_into().expect("32 bytes")))
            }
            Function::Lower => Value::Str(Cow::Owned(text.to_ascii_lowercase())),
            Function::Between => return Err(Failed),
        })
    }
}

/// The n-th step of a path, from 1; empty where there is none.
fn segment(path: &str, n: usize) -> &str {
    let Some(rest) = path.strip_prefix('/').filter(|_| n > 0) else { return "" };
    rest.split('/').nth(n - 1).unwrap_or("")
}

#[cfg(test)]
mod tests;
