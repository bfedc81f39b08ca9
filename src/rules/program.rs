//! Compiled expressions: trees with resolved names, known types and bounds. No I/O.

use super::parser::BinaryOperator;
use std::fmt;
use std::str::FromStr;

/// The type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// True or false.
    Bool,
    /// A whole number, 64 bits with sign.
    Int,
    /// The key of an object, 64 bits.
    Key,
    /// A text.
    Str,
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bool => "bool",
            Self::Int => "int",
            Self::Key => "key",
            Self::Str => "str",
        })
    }
}

/// A text that names no type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownType;

impl FromStr for Type {
    type Err = UnknownType;

    fn from_str(text: &str) -> Result<Self, UnknownType> {
        Ok(match text {
            "bool" => Self::Bool,
            "int" => Self::Int,
            "key" => Self::Key,
            "str" => Self::Str,
            _ => return Err(UnknownType),
        })
    }
}

/// A property of a request that has a name in expressions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The method.
    Method,
    /// The target up to its `?`.
    Path,
    /// The target after its `?`; empty without one.
    Query,
}

impl Input {
    /// The property with a name.
    pub(super) fn by_name(name: &str) -> Option<Self> {
        Some(match name {
            "method" => Self::Method,
            "path" => Self::Path,
            "query" => Self::Query,
            _ => return None,
        })
    }
}

/// The built-in functions of values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    /// The n-th segment of a path, from 1; empty where there is none.
    Segment,
    /// The number of segments of a path.
    SegmentCount,
    /// Whether a text begins with another.
    StartsWith,
    /// Whether a text ends with another.
    EndsWith,
    /// Whether a text contains another.
    Contains,
    /// A text without a prefix; fails where it has another.
    StripPrefix,
    /// The length of a text, in bytes.
    Length,
    /// The number that 1 to 9 decimal digits denote; fails for other texts.
    ParseInt,
    /// The key that 16 hex digits denote; fails for other texts.
    ParseHex,
    /// The first 8 bytes of a text's SHA-256, as a key.
    Hash,
    /// A text in ASCII lower case.
    Lowercase,
    /// Whether a number is within two others, both included.
    Between,
    /// A text, or another where it is empty.
    Default,
}

/// The parameters and result of a function.
pub(super) struct Signature {
    pub(super) function: Function,
    pub(super) parameters: &'static [Type],
    pub(super) result: Type,
}

impl Signature {
    /// The function with a name.
    pub(super) fn by_name(name: &str) -> Option<Self> {
        use Type::{Bool, Int, Key, Str};
        let (function, parameters, result): (_, &'static [Type], _) = match name {
            "seg" => (Function::Segment, &[Str, Int], Str),
            "segs" => (Function::SegmentCount, &[Str], Int),
            "starts" => (Function::StartsWith, &[Str, Str], Bool),
            "ends" => (Function::EndsWith, &[Str, Str], Bool),
            "contains" => (Function::Contains, &[Str, Str], Bool),
            "strip" => (Function::StripPrefix, &[Str, Str], Str),
            "len" => (Function::Length, &[Str], Int),
            "int" => (Function::ParseInt, &[Str], Int),
            "hex" => (Function::ParseHex, &[Str], Key),
            "hash" => (Function::Hash, &[Str], Key),
            "lower" => (Function::Lowercase, &[Str], Str),
            "between" => (Function::Between, &[Int, Int, Int], Bool),
            "default" => (Function::Default, &[Str, Str], Str),
            _ => return None,
        };
        Some(Self { function, parameters, result })
    }
}

/// A node of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// A constant.
    Bool(bool),
    /// A constant.
    Int(i64),
    /// A constant.
    Str(String),
    /// A property of the request.
    Input(Input),
    /// The value of a header; empty where it is absent, a failure where it is repeated.
    Header(String),
    /// Whether a header is present.
    HasHeader(String),
    /// The value of a `let`, by the number of those that enclose it.
    Local(usize),
    /// A call of a function.
    Call(Function, Vec<Node>),
    /// The first value, or where that fails the fallback.
    Fallback {
        /// The first value.
        first: Box<Node>,
        /// The fallback.
        fallback: Box<Node>,
    },
    /// Negation of a bool.
    Not(Box<Node>),
    /// Negation of a number.
    Neg(Box<Node>),
    /// Conjunction; the second operand is evaluated only where the first is true.
    And(Box<Node>, Box<Node>),
    /// Disjunction; the second operand is evaluated only where the first is false.
    Or(Box<Node>, Box<Node>),
    /// A comparison.
    Compare(BinaryOperator, Box<Node>, Box<Node>),
    /// A sum or difference.
    Arithmetic(BinaryOperator, Box<Node>, Box<Node>),
    /// Concatenation of texts.
    Concat(Box<Node>, Box<Node>),
    /// One of two values.
    If {
        /// The condition.
        condition: Box<Node>,
        /// The value where it is true.
        then: Box<Node>,
        /// The value where it is false.
        otherwise: Box<Node>,
    },
    /// Binds a value to a name for a body.
    Let {
        /// The value.
        value: Box<Node>,
        /// The body.
        body: Box<Node>,
    },
}

/// A compiled expression.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// Its root.
    pub root: Node,
    /// The type of its value.
    pub value_type: Type,
    /// The greatest cost, in steps: about one for each byte that is read or written, and one for each node.
    pub max_cost: u64,
    /// The greatest length of its value where that is a text, in bytes.
    pub max_length: u64,
}
