//! Errors of rules, each with its place: the byte of an expression, the definition, the rule and its field.

use super::lexer::MAX_TEXT;
use super::parser::{BinaryOperator, MAX_DEPTH};
use super::program::Type;
use thiserror::Error;

/// An expression that can't be parsed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("at byte {at}: {kind}")]
pub struct SyntaxError {
    /// The byte at which it is wrong.
    pub at: usize,
    /// What is wrong.
    pub kind: SyntaxErrorKind,
}

/// What is wrong with the syntax of an expression.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SyntaxErrorKind {
    /// The text is too long.
    #[error("longer than {MAX_TEXT} bytes")]
    TooLong,
    /// The expression nests deeper than [`MAX_DEPTH`].
    #[error("nested deeper than {MAX_DEPTH}")]
    TooDeep,
    /// There are more than [`MAX_DEPTH`] operators of one precedence in a row.
    #[error("more than {MAX_DEPTH} operators in a row")]
    TooManyOperators,
    /// The number is malformed or too large.
    #[error("no whole number, or one too large")]
    InvalidNumber,
    /// A backslash in a string literal is followed by something other than a backslash or quote.
    #[error("after a backslash only \\ and \" are allowed")]
    InvalidEscape,
    /// A string literal has no closing quote.
    #[error("a string without its closing quote")]
    UnterminatedString,
    /// The character begins no token.
    #[error("an unknown character")]
    UnknownCharacter,
    /// Something follows the expression.
    #[error("{found} after the end of the expression")]
    TrailingToken {
        /// The token that follows.
        found: String,
    },
    /// A keyword or symbol is missing.
    #[error("expected {expected:?}")]
    Expected {
        /// The keyword or symbol.
        expected: &'static str,
    },
    /// A name is missing.
    #[error("expected a name")]
    ExpectedName,
    /// A value is missing.
    #[error("{found} in place of a value")]
    ExpectedValue {
        /// The token in its place.
        found: String,
    },
    /// A keyword is in the place of a value.
    #[error("keyword {0:?} in place of a value")]
    UnexpectedKeyword(String),
    /// Comparisons follow one another.
    #[error("comparisons do not chain")]
    ChainedComparison,
}

/// What is wrong with the types or names of an expression.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TypeError {
    /// The value has another type than its place needs.
    #[error("{found} in place of {expected}")]
    Mismatch {
        /// The type of the value.
        found: Type,
        /// The type that is needed.
        expected: Type,
    },
    /// No value has this name.
    #[error("nothing is named {0:?}")]
    UnknownName(String),
    /// No function has this name.
    #[error("nothing is called {0:?}")]
    UnknownFunction(String),
    /// A call has the wrong number of arguments.
    #[error("{function:?} has {expected} arguments, not {found}")]
    ArgumentCount {
        /// The function.
        function: String,
        /// The number of its parameters.
        expected: usize,
        /// The number of arguments.
        found: usize,
    },
    /// The argument of `header` or `has` is no string literal.
    #[error("{0:?} needs the name of a header in quotes")]
    HeaderNotLiteral(String),
    /// The text is no name of a header in lower case.
    #[error("{0:?} is no header's name in lower case")]
    InvalidHeaderName(String),
    /// The operator is not defined for the type.
    #[error("{operator:?} is not defined for {operand}")]
    Operator {
        /// The operator.
        operator: BinaryOperator,
        /// The type of its operands.
        operand: Type,
    },
}

/// What is wrong with a definition.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DefinitionError {
    /// The text has another form.
    #[error("`name(x: type) = body`")]
    Malformed,
    /// The name is malformed or that of a built-in function.
    #[error("no name, or one that is taken")]
    InvalidName,
    /// A parameter has another form.
    #[error("a parameter is `x: type`")]
    MalformedParameter,
    /// The type of a parameter is unknown.
    #[error("a type is bool, int, key or str")]
    UnknownType,
    /// The name of a parameter is malformed or repeated.
    #[error("a parameter's name is malformed, or repeated")]
    InvalidParameterName,
    /// An earlier definition has the same name.
    #[error("it is defined twice")]
    Duplicate,
    /// The definition calls itself.
    #[error("it calls itself: {chain}")]
    Recursive {
        /// The calls that lead to it.
        chain: String,
    },
    /// The body can't be compiled.
    #[error(transparent)]
    Body(Box<CompileError>),
}

/// A property of a program that is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// The depth of nested nodes.
    Depth,
    /// The number of nodes.
    Nodes,
    /// The length of a text, in bytes.
    TextLength,
    /// The cost, in steps.
    Cost,
}

impl std::fmt::Display for Quantity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Depth => "its depth",
            Self::Nodes => "its nodes",
            Self::TextLength => "a text's length in bytes",
            Self::Cost => "its cost in steps",
        })
    }
}

/// An expression that can't be compiled.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CompileError {
    /// It can't be parsed.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    /// A type or name is wrong.
    #[error("at byte {at}: {source}")]
    Type {
        /// The byte at which the wrong part begins.
        at: usize,
        /// What is wrong.
        source: TypeError,
    },
    /// A definition is wrong.
    #[error("definition {name:?}: {source}")]
    Definition {
        /// The name of the definition.
        name: String,
        /// What is wrong.
        source: DefinitionError,
    },
    /// The program could exceed a limit.
    #[error("{quantity} may be {value}, above {limit}")]
    Limit {
        /// What exceeds it.
        quantity: Quantity,
        /// Its greatest value.
        value: u64,
        /// The limit.
        limit: u64,
    },
}

/// Rules that can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RulesError {
    /// There are too few or too many rules.
    #[error("{count} are not within 1 to {max}")]
    Count {
        /// The number of rules.
        count: usize,
        /// The most rules.
        max: usize,
    },
    /// A definition can't be used.
    #[error(transparent)]
    Definitions(CompileError),
    /// An expression of a rule can't be used.
    #[error("rule {number}, `{field}`: {source}")]
    Rule {
        /// The number of the rule, from 1.
        number: usize,
        /// The field with the expression.
        field: &'static str,
        /// What is wrong.
        source: CompileError,
    },
    /// A request could cost more than is allowed.
    #[error("a request may cost {cost} steps, above `cost_most` {max}")]
    Cost {
        /// The greatest cost of a request, in steps.
        cost: u64,
        /// The greatest cost that is allowed, in steps.
        max: u64,
    },
}
