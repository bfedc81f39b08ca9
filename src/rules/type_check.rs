//! Types, definitions and bounds: from a tree to a program that can only end, within a cost that is known before any
//! request comes. No I/O.
//!
//! There are no loops; definitions are put in place of their calls, and one that calls itself, through whatever
//! others, is refused. Each text has a longest length that follows from the bounds of a request, and each node a
//! greatest cost in steps, about one for a byte that is looked at. What exceeds [`MAX_LENGTH`], [`MAX_NODES`] or the
//! cost that is allowed is refused.

use super::parser::{parse, BadSyntax, Kind, Op, Tree};
use std::collections::BTreeMap;
use thiserror::Error;

/// The longest text that may come about, in bytes.
pub const MAX_LENGTH: u64 = 65_536;
/// The most nodes of a program, its definitions put in place.
pub const MAX_NODES: usize = 4_096;
/// How deep they may nest: a program's run needs as much of the stack.
pub const MAX_NEST: usize = 160;
/// The longest text that a request brings, in bytes: its whole head.
const MAX_INPUT: u64 = crate::wire::http_codec::MAX_HEAD as u64;
/// The longest name of a header.
const MAX_HEADER: usize = 64;

/// A value's type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// True or false.
    Bool,
    /// A whole number.
    Int,
    /// An object's key, 64 bits.
    Key,
    /// A text.
    Str,
}

/// What is wrong with an expression.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadExpression {
    /// It can't be read.
    #[error("{0}")]
    Syntax(#[from] BadSyntax),
    /// It has no type, or another one than is wanted.
    #[error("at byte {at}: {reason}")]
    Type {
        /// Where.
        at: usize,
        /// What.
        reason: String,
    },
    /// A definition is none, or can't be used.
    #[error("definition {name:?}: {reason}")]
    Definition {
        /// Its name.
        name: String,
        /// What.
        reason: String,
    },
    /// It could grow or cost beyond what is allowed.
    #[error("{what} may come to {came}, above {most}")]
    Bound {
        /// What.
        what: &'static str,
        /// How much.
        came: u64,
        /// How much may be.
        most: u64,
    },
}

/// What a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The method.
    Method,
    /// The target up to its `?`.
    Path,
    /// What follows the `?`; empty without one.
    Query,
}

/// Functions of values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Function {
    Seg,
    Segs,
    Starts,
    Ends,
    Contains,
    Strip,
    Len,
    Int,
    Hex,
    Hash,
    Lower,
    Between,
    Default,
}

/// A node of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// A value.
    Bool(bool),
    /// A value.
    Int(i64),
    /// A value.
    Str(String),
    /// Of the request.
    Input(Input),
    /// A header's value; empty where it is absent, a failure where it comes twice.
    Header(String),
    /// Whether a header is there.
    Has(String),
    /// A name's value, by its place from the outermost.
    Local(usize),
    /// A function's value.
    Call(Function, Vec<Node>),
    /// The first, or where that fails the second.
    Try(Box<Node>, Box<Node>),
    /// Not.
    Not(Box<Node>),
    /// The negative.
    Neg(Box<Node>),
    /// Both, or either; the second only where it counts.
    Logic(bool, Box<Node>, Box<Node>),
    /// A comparison.
    Compare(Op, Box<Node>, Box<Node>),
    /// A sum or difference.
    Sum(Op, Box<Node>, Box<Node>),
    /// Two texts, one behind the other.
    Concat(Box<Node>, Box<Node>),
    /// One or the other.
    If(Box<Node>, Box<Node>, Box<Node>),
    /// A name for a value.
    Let(Box<Node>, Box<Node>),
}

/// A program with what is known of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Its root.
    pub root: Node,
    /// Its value's type.
    pub of: Type,
    /// The greatest cost, in steps.
    pub cost: u64,
    /// The longest text that it gives, in bytes.
    pub length: u64,
}

/// A definition: `name(parameter: type, ...) = body`.
#[derive(Clone, Debug, PartialEq)]
struct Definition {
    parameters: Vec<(String, Type)>,
    body: Tree,
}

/// The definitions of a file.
#[derive(Clone, Debug, Default)]
pub struct Definitions(BTreeMap<String, Definition>);

fn of_word(word: &str) -> Option<Type> {
    [("bool", Type::Bool), ("int", Type::Int), ("key", Type::Key), ("str", Type::Str)]
        .into_iter()
        .find(|(name, _)| *name == word)
        .map(|(_, of)| of)
}

fn is_name(text: &str) -> bool {
    let plain = |c: u8| c.is_ascii_alphanumeric() || c == b'_';
    !text.is_empty() && text.bytes().all(plain) && !text.as_bytes()[0].is_ascii_digit()
}

impl Definitions {
    /// Reads definitions, each used in those after and before it, but never in itself.
    pub fn read(texts: &[String]) -> Result<Self, BadExpression> {
        let mut all = Self::default();
        for text in texts {
            let head = text.split('(').next().unwrap_or_default().trim().to_string();
            let bad =
                |reason: &str| BadExpression::Definition { name: head.clone(), reason: reason.to_string() };
            let (front, body) = text.split_once('=').ok_or_else(|| bad("`name(x: type) = body`"))?;
            let front = front.trim().strip_suffix(')').and_then(|f| f.split_once('('));
            let (name, list) = front.ok_or_else(|| bad("`name(x: type) = body`"))?;
            let name = name.trim();
            if !is_name(name) || function(name).is_some() || SPECIAL.contains(&name) {
                return Err(bad("no name, or one that is taken"));
            }
            let mut parameters: Vec<(String, Type)> = Vec::new();
            for one in list.split(',').map(str::trim).filter(|one| !one.is_empty()) {
                let (word, of) = one.split_once(':').ok_or_else(|| bad("a parameter is `x: type`"))?;
                let of = of_word(of.trim()).ok_or_else(|| bad("a type is bool, int, key or str"))?;
                if !is_name(word.trim()) || parameters.iter().any(|(p, _)| p == word.trim()) {
                    return Err(bad("a parameter's name is none, or comes twice"));
                }
                parameters.push((word.trim().to_string(), of));
            }
            let body = parse(body).map_err(|e| bad(&e.to_string()))?;
            if all.0.insert(name.to_string(), Definition { parameters, body }).is_some() {
                return Err(bad("it comes twice"));
            }
        }
        for (name, definition) in &all.0 {
            // Each is checked by itself, so that one that nobody calls is no hiding place.
            let mut checker = Checker { all: &all, calling: vec![name.clone()], nodes: 0, nest: 0 };
            let mut scope: Vec<Bound> =
                definition.parameters.iter().map(|(p, of)| Bound::new(p, *of, MAX_INPUT)).collect();
            checker.node(&definition.body, &mut scope).map_err(|e| match e {
                own @ BadExpression::Definition { .. } => own,
                other => BadExpression::Definition { name: name.clone(), reason: other.to_string() },
            })?;
        }
        Ok(all)
    }

    /// Reads an expression that must give a type, and cost at most so many steps.
    pub fn compile(&self, text: &str, want: Type, cost_most: u64) -> Result<Program, BadExpression> {
        let tree = parse(text)?;
        let mut checker = Checker { all: self, calling: Vec::new(), nodes: 0, nest: 0 };
        let made = checker.node(&tree, &mut Vec::new())?;
        if made.of != want {
            let reason = format!("it gives {:?} where {want:?} is wanted", made.of);
            return Err(BadExpression::Type { at: tree.at, reason });
        }
        if made.cost > cost_most {
            return Err(BadExpression::Bound { what: "its cost in steps", came: made.cost, most: cost_most });
        }
        Ok(Program { root: made.node, of: made.of, cost: made.cost, length: made.length })
    }
}

/// Names that look like functions and are forms of their own.
const SPECIAL: [&str; 3] = ["header", "has", "try"];

/// A function with the types of its arguments and of its value.
fn function(name: &str) -> Option<(Function, &'static [Type], Type)> {
    use Type::{Bool, Int, Key, Str};
    Some(match name {
        "seg" => (Function::Seg, &[Str, Int], Str),
        "segs" => (Function::Segs, &[Str], Int),
        "starts" => (Function::Starts, &[Str, Str], Bool),
        "ends" => (Function::Ends, &[Str, Str], Bool),
        "contains" => (Function::Contains, &[Str, Str], Bool),
        "strip" => (Function::Strip, &[Str, Str], Str),
        "len" => (Function::Len, &[Str], Int),
        "int" => (Function::Int, &[Str], Int),
        "hex" => (Function::Hex, &[Str], Key),
        "hash" => (Function::Hash, &[Str], Key),
        "lower" => (Function::Lower, &[Str], Str),
        "between" => (Function::Between, &[Int, Int, Int], Bool),
        "default" => (Function::Default, &[Str, Str], Str),
        _ => return None,
    })
}

/// A name in scope.
#[derive(Clone, Debug)]
struct Bound {
    name: String,
    of: Type,
    length: u64,
}

impl Bound {
    fn new(name: &str, of: Type, length: u64) -> Self {
        Self { name: name.to_string(), of, length: if of == Type::Str { length } else { 0 } }
    }
}

struct Made {
    node: Node,
    of: Type,
    cost: u64,
    length: u64,
}

struct Checker<'a> {
    all: &'a Definitions,
    /// Definitions that are being put in place.
    calling: Vec<String>,
    nodes: usize,
    nest: usize,
}

impl Checker<'_> {
    fn node(&mut self, tree: &Tree, scope: &mut Vec<Bound>) -> Result<Made, BadExpression> {
        self.nest += 1;
        if self.nest > MAX_NEST {
            let (came, most) = (self.nest as u64, MAX_NEST as u64);
            return Err(BadExpression::Bound { what: "its depth", came, most });
        }
        let made = self.one(tree, scope);
        self.nest -= 1;
        made
    }

    fn one(&mut self, tree: &Tree, scope: &mut Vec<Bound>) -> Result<Made, BadExpression> {
        self.nodes += 1;
        if self.nodes > MAX_NODES {
            let (came, most) = (self.nodes as u64, MAX_NODES as u64);
            return Err(BadExpression::Bound { what: "its nodes", came, most });
        }
        let at = tree.at;
        let fail = |reason: String| Err(BadExpression::Type { at, reason });
        let plain = |node, of| Made { node, of, cost: 1, length: 0 };
        let made = match &tree.kind {
            Kind::Bool(value) => plain(Node::Bool(*value), Type::Bool),
            Kind::Int(value) => plain(Node::Int(*value), Type::Int),
            Kind::Str(text) => {
                Made { length: text.len() as u64, ..plain(Node::Str(text.clone()), Type::Str) }
            }
            Kind::Name(name) => {
                if let Some(place) = scope.iter().rposition(|b| b.name == *name) {
                    let Bound { of, length, .. } = scope[place];
                    Made { length, cost: 1 + length, ..plain(Node::Local(place), of) }
                } else {
                    let input = match name.as_str() {
                        "method" => Input::Method,
                        "path" => Input::Path,
                        "query" => Input::Query,
                        _ => return fail(format!("nothing is named {name:?}")),
                    };
                    Made { length: MAX_INPUT, ..plain(Node::Input(input), Type::Str) }
                }
            }
            Kind::Call(name, arguments) => self.call(at, name, arguments, scope)?,
            Kind::Not(inner) => {
                let made = self.want(inner, Type::Bool, scope)?;
                Made { cost: made.cost + 1, ..plain(Node::Not(made.node.into()), Type::Bool) }
            }
            Kind::Neg(inner) => {
                let made = self.want(inner, Type::Int, scope)?;
                Made { cost: made.cost + 1, ..plain(Node::Neg(made.node.into()), Type::Int) }
            }
            Kind::Binary(op, left, right) => self.binary(at, *op, left, right, scope)?,
            Kind::If(condition, yes, no) => {
                let condition = self.want(condition, Type::Bool, scope)?;
                let yes = self.node(yes, scope)?;
                let no = self.want(no, yes.of, scope)?;
                Made {
                    node: Node::If(condition.node.into(), yes.node.into(), no.node.into()),
                    of: yes.of,
                    cost: 1 + condition.cost + yes.cost.max(no.cost),
                    length: yes.length.max(no.length),
                }
            }
            Kind::Let(name, value, body) => {
                let value = self.node(value, scope)?;
                scope.push(Bound::new(name, value.of, value.length));
                let body = self.node(body, scope);
                scope.pop();
                let body = body?;
                let node = Node::Let(value.node.into(), body.node.into());
                Made { node, of: body.of, cost: 1 + value.cost + body.cost, length: body.length }
            }
        };
        if made.length > MAX_LENGTH {
            let (came, most) = (made.length, MAX_LENGTH);
            return Err(BadExpression::Bound { what: "a text's length in bytes", came, most });
        }
        Ok(made)
    }

    fn want(&mut self, tree: &Tree, of: Type, scope: &mut Vec<Bound>) -> Result<Made, BadExpression> {
        let made = self.node(tree, scope)?;
        if made.of != of {
            let reason = format!("{:?} where {of:?} is wanted", made.of);
            return Err(BadExpression::Type { at: tree.at, reason });
        }
        Ok(made)
    }

    fn call(
        &mut self,
        at: usize,
        name: &str,
        arguments: &[Tree],
        scope: &mut Vec<Bound>,
    ) -> Result<Made, BadExpression> {
        let fail = |reason: String| Err(BadExpression::Type { at, reason });
        let count = |n: usize| {
            let reason = format!("{name:?} takes {n}, not {}", arguments.len());
            (arguments.len() == n).then_some(()).ok_or(BadExpression::Type { at, reason })
        };
        if name == "header" || name == "has" {
            count(1)?;
            let Kind::Str(header) = &arguments[0].kind else {
                return fail(format!("{name:?} takes a header's name in quotes"));
            };
            let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
            if header.is_empty() || header.len() > MAX_HEADER || !header.bytes().all(plain) {
                return fail(format!("{header:?} is no header's name in lower case"));
            }
            // Every header's name may be looked at.
            let cost = 1 + crate::wire::http_codec::MAX_HEADERS as u64 * MAX_HEADER as u64;
            return Ok(match name {
                "has" => Made { node: Node::Has(header.clone()), of: Type::Bool, cost, length: 0 },
                _ => Made { node: Node::Header(header.clone()), of: Type::Str, cost, length: MAX_INPUT },
            });
        }
        if name == "try" {
            count(2)?;
            let first = self.node(&arguments[0], scope)?;
            let second = self.want(&arguments[1], first.of, scope)?;
            return Ok(Made {
                node: Node::Try(first.node.into(), second.node.into()),
                of: first.of,
                cost: 1 + first.cost + second.cost,
                length: first.length.max(second.length),
            });
        }
        if let Some((function, types, of)) = function(name) {
            count(types.len())?;
            let mut made = Vec::new();
            for (argument, of) in arguments.iter().zip(types) {
                made.push(self.want(argument, *of, scope)?);
            }
            // Every byte of every text may be looked at, and those of the value written.
            let bytes: u64 = made.iter().map(|m| m.length).sum();
            let length = match (of, function) {
                (Type::Str, Function::Default) => made.iter().map(|m| m.length).max().unwrap_or(0),
                (Type::Str, _) => made[0].length,
                _ => 0,
            };
            let cost = 1 + bytes + length + made.iter().map(|m| m.cost).sum::<u64>();
            let node = Node::Call(function, made.into_iter().map(|m| m.node).collect());
            return Ok(Made { node, of, cost, length });
        }
        let Some(definition) = self.all.0.get(name) else {
            return fail(format!("nothing is called {name:?}"));
        };
        if self.calling.iter().any(|caller| caller == name) {
            let way = self.calling.join(" calls ");
            return Err(BadExpression::Definition {
                name: name.into(),
                reason: format!("it calls itself: {way} calls {name}"),
            });
        }
        count(definition.parameters.len())?;
        // Its body sees its parameters and the request alone: they come last, and nothing else by name.
        let base = scope.len();
        let (mut values, mut own, mut cost) = (Vec::new(), Vec::new(), 1);
        for (argument, (parameter, of)) in arguments.iter().zip(&definition.parameters) {
            let made = self.want(argument, *of, scope)?;
            cost += made.cost + 1;
            own.push(Bound::new(parameter, *of, made.length));
            values.push(made.node);
            // The next argument stands within this one's `let`: its places move on by one.
            scope.push(Bound::new("", *of, made.length));
        }
        let hidden: Vec<Bound> = std::mem::take(scope);
        scope.extend(hidden[..base].iter().map(|b| Bound { name: String::new(), ..b.clone() }));
        scope.extend(own);
        self.calling.push(name.to_string());
        let body = self.node(&definition.body, scope);
        self.calling.pop();
        scope.clear();
        scope.extend(hidden.into_iter().take(base));
        let body = body?;
        let node =
            values.into_iter().rev().fold(body.node, |body, value| Node::Let(value.into(), body.into()));
        Ok(Made { node, of: body.of, cost: cost + body.cost, length: body.length })
    }

    fn binary(
        &mut self,
        at: usize,
        op: Op,
        left: &Tree,
        right: &Tree,
        scope: &mut Vec<Bound>,
    ) -> Result<Made, BadExpression> {
        let left = self.node(left, scope)?;
        let right = self.want(right, left.of, scope)?;
        let (of, texts) = (left.of, left.length + right.length);
        let cost = 1 + left.cost + right.cost;
        let (a, b) = (left.node.into(), right.node.into());
        let made = |node, of, cost, length| Ok(Made { node, of, cost, length });
        match (op, of) {
            (Op::And | Op::Or, Type::Bool) => made(Node::Logic(op == Op::And, a, b), Type::Bool, cost, 0),
            (Op::Eq | Op::Ne, _) => made(Node::Compare(op, a, b), Type::Bool, cost + texts, 0),
            (Op::Lt | Op::Le | Op::Gt | Op::Ge, Type::Int) => {
                made(Node::Compare(op, a, b), Type::Bool, cost, 0)
            }
            (Op::Add | Op::Sub, Type::Int) => made(Node::Sum(op, a, b), Type::Int, cost, 0),
            (Op::Add, Type::Str) => made(Node::Concat(a, b), Type::Str, cost + texts, texts),
            _ => Err(BadExpression::Type { at, reason: format!("{op:?} is not for {of:?}") }),
        }
    }
}
