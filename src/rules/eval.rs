//! A program on a request. No I/O. It can only end: a program is a tree without loops, and each node is looked at once.

use super::check::{Function, Input, Node, Program};
use super::syntax::Op;
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
            Function::Hex => Value::Key(is(crate::wire::lines::hex16(&text))?),
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
mod tests {
    use super::super::check::{Definitions, Type, LENGTH_MOST};
    use super::*;
    use proptest::prelude::*;

    fn request(target: &str, headers: &[(&str, &str)]) -> HttpRequest {
        let headers = headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
        HttpRequest { method: "GET".into(), target: target.into(), headers, ..HttpRequest::default() }
    }

    fn value(text: &str, of: Type) -> Result<String, Failed> {
        let definitions = Definitions::read(&[
            "slice(s: str) = int(strip(s, \"slice-\"))".to_string(),
            "twice(n: int, m: int) = let n = n + n in n + m".to_string(),
        ])
        .unwrap();
        let program = definitions.compile(text, of, u64::MAX).unwrap();
        let request = request(
            "/ops/clip/7f3a9c21e0b4d655/slice-3?a=1",
            &[("x-set", "17"), ("x-two", "1"), ("x-two", "2")],
        );
        let mut steps = 0;
        let value = run(&program, &request, &mut steps);
        assert!(steps <= program.cost, "{text}: {steps} steps of {}", program.cost);
        value.map(|v| format!("{v:?}"))
    }

    #[test]
    fn expressions_say_what_they_should() {
        for (text, want) in [
            (r#"seg(path, 2) == "clip" && segs(path) == 4 && query == "a=1" && method == "GET""#, true),
            (r#"slice(seg(path, 4)) == 3 && int(header("x-set")) == 17 && !has("x-none")"#, true),
            (r#"header("x-none") == "" && default(header("x-none"), "d") == "d""#, true),
            (r#"let n = 5 in twice(n, 1) + n == 16"#, true),
            (r#"try(int(seg(path, 2)), 0 - 1) == -1 && try(int(header("x-two")), 9) == 9"#, true),
            (r#"hex(seg(path, 3)) == hex(lower("7F3A9C21E0B4D655"))"#, true),
            (r#"between(slice(seg(path, 4)), 0, 2) || seg(path, 9) + seg(path, 0) != """#, false),
            (r#"if contains(path, "clip") then ends(path, "-3") else false"#, true),
        ] {
            assert_eq!(value(text, Type::Bool), Ok(format!("Bool({want})")), "{text}");
        }
        for failing in [
            r#"int("x") == 1"#,
            r#"int(header("x-two")) == 1"#,
            r#"strip(path, "/no") == "" "#,
            "9223372036854775807 + 1 == 0",
        ] {
            assert_eq!(value(failing, Type::Bool), Err(Failed), "{failing}");
        }
        assert_eq!(value(r#"hash("")"#, Type::Key), Ok(format!("Key({})", 0xe3b0_c442_98fc_1c14u64)));
    }

    /// What could loop, grow or go wrong by its type is refused when it is read.
    #[test]
    fn what_could_loop_grow_or_mismatch_is_refused_when_it_is_read() {
        let plain = Definitions::default();
        for bad in [
            "1",
            "path",
            "method && true",
            "1 < true",
            "path < query",
            "path - path",
            "!1",
            "-path",
            "seg(path)",
            "seg(path, path) == path",
            "header(path) == path",
            "header(\"X-Set\") == path",
            "none",
            "none()",
            "if 1 then true else false",
            "if true then 1 else path",
            "try(1, path) == 1",
            "let x = 1 in y",
            "x",
        ] {
            assert!(plain.compile(bad, Type::Bool, u64::MAX).is_err(), "{bad}");
        }
        // A text that doubles with each line is refused long before it is long.
        let doubling = (0..40).map(|k| format!("let a{} = a{k} + a{k} in ", k + 1)).collect::<String>();
        let text = format!("let a0 = path in {doubling} a40 == path");
        let why = plain.compile(&text, Type::Bool, u64::MAX).unwrap_err().to_string();
        assert!(why.contains("length") && why.contains(&LENGTH_MOST.to_string()), "{why}");
        // So are definitions that call themselves, through whatever others, and calls that multiply.
        let read =
            |lines: &[&str]| Definitions::read(&lines.iter().map(|l| l.to_string()).collect::<Vec<_>>());
        let why = read(&["f(n: int) = g(n)", "g(n: int) = f(n) + 1"]).unwrap_err().to_string();
        assert!(why.contains("calls itself"), "{why}");
        assert!(read(&["f(n: int) = f(n)"]).is_err());
        let many: Vec<String> = (0..30)
            .map(|k| {
                if k == 0 {
                    "f0(n: int) = n + 1".into()
                } else {
                    format!("f{k}(n: int) = f{0}(n) + f{0}(n)", k - 1)
                }
            })
            .collect();
        let why = Definitions::read(&many).unwrap_err().to_string();
        assert!(why.contains("nodes"), "{why}");
        for bad in [
            "f",
            "f(x) = 1",
            "f(x: text) = 1",
            "f(x: int, x: int) = 1",
            "seg(x: int) = 1",
            "f(x: int) = y",
            "1f() = 1",
        ] {
            assert!(read(&[bad]).is_err(), "{bad}");
        }
        assert!(read(&["f() = 1", "f() = 2"]).is_err());
        let costly = plain.compile(r#"contains(path, "a") && contains(path, "b")"#, Type::Bool, 20_000);
        assert!(costly.unwrap_err().to_string().contains("cost"));
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            failure_persistence: None,
            rng_seed: proptest::test_runner::RngSeed::Fixed(7),
            ..ProptestConfig::default()
        })]

        /// Whatever a request brings, a program ends within the cost that was known before.
        #[test]
        fn no_request_costs_more_than_was_known(target in "/[a-z0-9/?-]{0,300}", set in "[0-9a-z]{0,40}") {
            let definitions = Definitions::read(&["last(p: str) = seg(p, segs(p))".to_string()]).unwrap();
            let text = r#"let x = lower(path) + header("x-set") in
                if contains(x, "clip") then hash(x + last(path)) else try(hex(seg(path, 2)), hash(query + x))"#;
            let program = definitions.compile(text, Type::Key, u64::MAX).unwrap();
            let request = request(&target, &[("x-set", &set)]);
            let mut steps = 0;
            prop_assert!(run(&program, &request, &mut steps).is_ok());
            prop_assert!(steps <= program.cost, "{} of {}", steps, program.cost);
        }
    }
}
