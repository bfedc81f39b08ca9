//! Errors in routing rules, each with its location: rule and field, definition, or byte offset.

use super::lexer::MAX_EXPRESSION_BYTES;
use super::parser::{BinaryOperator, MAX_DEPTH};
use super::program::Type;
use thiserror::Error;

/// A syntax error in an expression.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("at byte {offset}: {kind}")]
pub struct SyntaxError {
    /// The byte offset of the error in the expression.
    pub offset: usize,
    /// The kind of error.
    pub kind: SyntaxErrorKind,
}

/// Kinds of syntax errors.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SyntaxErrorKind {
    /// The expression is longer than `MAX_EXPRESSION_BYTES`.
    #[error("the expression is longer than {MAX_EXPRESSION_BYTES} bytes")]
    TooLong,
    /// The expression nests deeper than [`MAX_DEPTH`].
    #[error("the expression is nested deeper than {MAX_DEPTH} levels")]
    TooDeep,
    /// A chain of operators of one precedence has more than [`MAX_DEPTH`] operands.
    #[error("more than {MAX_DEPTH} operands in a chain of operators of one precedence")]
    TooManyOperands,
    /// An integer literal is malformed or exceeds the range of a signed 64-bit integer.
    #[error("integer literal is malformed or exceeds the range of a signed 64-bit integer")]
    InvalidNumber,
    /// A backslash in a string literal is not followed by a backslash or quote.
    #[error("invalid escape: a backslash can be followed only by \\ or \"")]
    InvalidEscape,
    /// A string literal has no closing quote.
    #[error("unterminated string literal")]
    UnterminatedString,
    /// No token starts with this character.
    #[error("unexpected character")]
    UnexpectedCharacter,
    /// The expression is followed by another token.
    #[error("unexpected {found} after the end of the expression")]
    TrailingToken {
        /// The token after the expression.
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
    #[error("expected a value, found {found}")]
    ExpectedValue {
        /// The token found instead.
        found: String,
    },
    /// A keyword was found where a value is expected.
    #[error("expected a value, found keyword {0:?}")]
    UnexpectedKeyword(String),
    /// Comparison operators are chained, such as `a < b < c`.
    #[error("comparison operators cannot be chained")]
    ChainedComparison,
}

/// Type errors and unresolved names in an expression.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TypeError {
    /// An expression does not have the required type.
    #[error("expected type {expected}, found {found}")]
    Mismatch {
        /// The actual type.
        found: Type,
        /// The required type.
        expected: Type,
    },
    /// The name is neither a binding in scope nor a property of the request.
    #[error("unknown name {0:?}")]
    UnknownName(String),
    /// No function, built-in or user-defined, has this name.
    #[error("unknown function {0:?}")]
    UnknownFunction(String),
    /// A call has the wrong number of arguments.
    #[error("function {function:?} takes {expected} argument(s), found {found}")]
    ArgumentCount {
        /// The name of the function.
        function: String,
        /// The number of its parameters.
        expected: usize,
        /// The number of arguments.
        found: usize,
    },
    /// The argument of `header` or `has` is not a string literal.
    #[error("the argument of {0:?} must be a header name in quotes")]
    HeaderNotLiteral(String),
    /// The text is too long or is not a header name of lower-case letters, digits and hyphens.
    #[error("{0:?} is too long or is not a header name of lower-case letters, digits and hyphens")]
    InvalidHeaderName(String),
    /// The operator does not accept operands of this type.
    #[error("operator {operator:?} is not defined for type {operand}")]
    Operator {
        /// The operator.
        operator: BinaryOperator,
        /// The type of its operands.
        operand: Type,
    },
}

/// Errors in a definition.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DefinitionError {
    /// The text does not have the form `name(parameter: type, …) = body`.
    #[error("a definition must have the form `name(parameter: type, ...) = body`")]
    Malformed,
    /// The name is not an identifier, or is the name of a built-in function.
    #[error(
        "the name must be ASCII letters, digits and underscores, must not start with a digit, and must not \
         be that of a built-in function"
    )]
    InvalidName,
    /// A parameter does not have the form `name: type`.
    #[error("a parameter must have the form `name: type`")]
    MalformedParameter,
    /// A parameter has an unknown type.
    #[error("unknown parameter type; expected bool, int, key or str")]
    UnknownType,
    /// A parameter name is not an identifier, or is repeated.
    #[error("a parameter name is not an identifier or is repeated")]
    InvalidParameterName,
    /// An earlier definition has the same name.
    #[error("defined more than once")]
    Duplicate,
    /// The definition calls itself, directly or through others.
    #[error("the definition calls itself: {chain}")]
    Recursive {
        /// The chain of calls, ending with the recursive one.
        chain: String,
    },
    /// The body cannot be compiled.
    #[error(transparent)]
    Body(Box<CompileError>),
}

/// A property of a program that has a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quantity {
    /// The nesting depth of nodes.
    Depth,
    /// The number of nodes.
    NodeCount,
    /// The length of a string, in bytes.
    StrLength,
    /// The cost of evaluation, in steps.
    Cost,
}

impl std::fmt::Display for Quantity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Depth => "nesting depth",
            Self::NodeCount => "number of nodes",
            Self::StrLength => "string length in bytes",
            Self::Cost => "cost in steps",
        })
    }
}

/// A compilation error in an expression or definition.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CompileError {
    /// A syntax error.
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    /// A type error or an unresolved name.
    #[error("at byte {offset}: {source}")]
    Type {
        /// The byte offset of the subexpression at fault.
        offset: usize,
        /// The type error.
        source: TypeError,
    },
    /// An error in a definition.
    #[error("definition {name:?}: {source}")]
    Definition {
        /// The name of the definition.
        name: String,
        /// The error in the definition.
        source: DefinitionError,
    },
    /// The program exceeds a limit, or could exceed it for some request.
    #[error("{quantity} can reach {value}, which exceeds the limit of {limit}")]
    Limit {
        /// The limited property.
        quantity: Quantity,
        /// The maximum that the program can reach.
        value: u64,
        /// The allowed maximum.
        limit: u64,
    },
}

/// An error in a routing rules file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RulesError {
    /// The file has no rules or too many.
    #[error("the file has {count} rules; expected 1 to {max}")]
    Count {
        /// The number of rules.
        count: usize,
        /// The maximum number of rules.
        max: usize,
    },
    /// A definition is invalid.
    #[error(transparent)]
    Definitions(CompileError),
    /// An expression in a rule is invalid.
    #[error("rule {number}, `{field}`: {source}")]
    Rule {
        /// The position of the rule in the file, from 1.
        number: usize,
        /// The field that contains the expression.
        field: &'static str,
        /// The error in the expression.
        source: CompileError,
    },
    /// Classifying a request could cost more than the operator allows.
    #[error("classifying a request can cost {cost} steps, which exceeds `cost_most` ({max})")]
    Cost {
        /// The maximum cost of classifying a request, in steps.
        cost: u64,
        /// The allowed cost (`cost_most`), in steps.
        max: u64,
    },
}
