//! Compiled expressions: trees with resolved names, checked types and limits on cost and length.

use super::parser::BinaryOperator;
use std::fmt;
use std::str::FromStr;

/// The type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// `bool`: true or false.
    Bool,
    /// `int`: a 64-bit signed integer.
    Int,
    /// `key`: a 64-bit object key.
    Key,
    /// `str`: a string.
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

/// The text is not the name of a type.
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

/// A property of the request that expressions refer to by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// `method`: the request method.
    Method,
    /// `path`: the request target up to the first `?`.
    Path,
    /// `query`: the request target after the first `?`; empty if it has none.
    Query,
}

impl Input {
    pub(super) fn by_name(name: &str) -> Option<Self> {
        Some(match name {
            "method" => Self::Method,
            "path" => Self::Path,
            "query" => Self::Query,
            _ => return None,
        })
    }
}

/// The built-in functions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Function {
    /// `seg(path, n)`: the n-th segment of a path, from 1; empty if the path has no such segment.
    Segment,
    /// `segs(path)`: the number of segments of a path.
    SegmentCount,
    /// `starts(text, prefix)`: whether a string starts with another.
    StartsWith,
    /// `ends(text, suffix)`: whether a string ends with another.
    EndsWith,
    /// `contains(text, substring)`: whether a string contains another.
    Contains,
    /// `strip(text, prefix)`: a string without a prefix; fails if the string does not start with it.
    StripPrefix,
    /// `len(text)`: the length of a string, in bytes.
    Length,
    /// `int(text)`: parses 1 to 9 decimal digits; fails for any other string.
    ParseInt,
    /// `hex(text)`: parses a key of 16 hexadecimal digits; fails for any other string.
    ParseHex,
    /// `hash(text)`: the first 8 bytes of the SHA-256 digest of a string, as a key.
    Hash,
    /// `lower(text)`: a string with its ASCII letters in lower case.
    Lowercase,
    /// `between(value, low, high)`: whether an integer is within an inclusive range.
    Between,
    /// `default(text, fallback)`: `text`, or `fallback` if `text` is empty.
    Default,
}

/// The parameter and result types of a built-in function.
pub(super) struct Signature {
    pub(super) function: Function,
    pub(super) parameters: &'static [Type],
    pub(super) result: Type,
}

impl Signature {
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

/// A node of a compiled expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    /// A bool constant.
    Bool(bool),
    /// An integer constant.
    Int(i64),
    /// A string constant.
    Str(String),
    /// A property of the request.
    Input(Input),
    /// The value of a header; empty if it is absent. Evaluation fails if it is repeated.
    Header(String),
    /// Whether a header is present.
    HasHeader(String),
    /// A value bound by a `let`, by its index among the enclosing bindings, outermost first.
    Local(usize),
    /// A call of a built-in function.
    Call(Function, Vec<Node>),
    /// `try(first, fallback)`: the first value, or the fallback if evaluating the first fails.
    Fallback {
        /// The expression that is evaluated first.
        first: Box<Node>,
        /// The expression that is evaluated if the first one fails.
        fallback: Box<Node>,
    },
    /// Logical negation.
    Not(Box<Node>),
    /// Arithmetic negation; fails on overflow.
    Neg(Box<Node>),
    /// Conjunction; the second operand is evaluated only if the first is true.
    And(Box<Node>, Box<Node>),
    /// Disjunction; the second operand is evaluated only if the first is false.
    Or(Box<Node>, Box<Node>),
    /// A comparison.
    Compare(BinaryOperator, Box<Node>, Box<Node>),
    /// Addition or subtraction; fails on overflow.
    Arithmetic(BinaryOperator, Box<Node>, Box<Node>),
    /// String concatenation.
    Concat(Box<Node>, Box<Node>),
    /// A conditional; only the chosen branch is evaluated.
    If {
        /// The condition, of type `bool`.
        condition: Box<Node>,
        /// The value if the condition is true.
        then: Box<Node>,
        /// The value if the condition is false.
        otherwise: Box<Node>,
    },
    /// Binds a value while the body is evaluated.
    Let {
        /// The bound value.
        value: Box<Node>,
        /// The expression that can refer to it.
        body: Box<Node>,
    },
}

/// A compiled expression.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// The root of the tree.
    pub root: Node,
    /// The type of the result.
    pub value_type: Type,
    /// The maximum cost of evaluation, in steps: one per node, and about one per byte read or written.
    pub max_cost: u64,
    /// The maximum length of the result in bytes, if it is a string; otherwise 0.
    pub max_length: u64,
}
