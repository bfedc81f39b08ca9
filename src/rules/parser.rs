//! A recursive-descent parser for expressions. Precedence, lowest first: `if` and `let`, `||`, `&&`,
//! comparisons (which cannot be chained), `+` and `-`, `!` and unary `-`, calls.

use super::error::{SyntaxError, SyntaxErrorKind};
use super::lexer::{tokenize, PositionedToken, Token};

/// The maximum nesting depth of an expression, and the maximum number of operands in a chain of operators of
/// one precedence.
pub const MAX_DEPTH: usize = 64;
/// Keywords, which are rejected where a value is expected, except at the start of `if` and `let` expressions.
const KEYWORDS: [&str; 5] = ["if", "then", "else", "let", "in"];

/// A binary operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BinaryOperator {
    /// `&&`
    And,
    /// `||`
    Or,
    /// `==`
    Eq,
    /// `!=`
    Ne,
    /// `<`
    Lt,
    /// `<=`
    Le,
    /// `>`
    Gt,
    /// `>=`
    Ge,
    /// `+`
    Add,
    /// `-`
    Sub,
}

/// Binary operators grouped by precedence, lowest first.
const OPERATORS_BY_PRECEDENCE: [&[(&str, BinaryOperator)]; 4] = [
    &[("||", BinaryOperator::Or)],
    &[("&&", BinaryOperator::And)],
    &[
        ("==", BinaryOperator::Eq),
        ("!=", BinaryOperator::Ne),
        ("<=", BinaryOperator::Le),
        (">=", BinaryOperator::Ge),
        ("<", BinaryOperator::Lt),
        (">", BinaryOperator::Gt),
    ],
    &[("+", BinaryOperator::Add), ("-", BinaryOperator::Sub)],
];
/// The index of the comparison operators in [`OPERATORS_BY_PRECEDENCE`].
const COMPARISON_PRECEDENCE: usize = 2;

/// A node of the syntax tree.
#[derive(Clone, Debug, PartialEq)]
pub struct Expression {
    /// The byte offset of the expression in the text.
    pub offset: usize,
    /// The kind of expression, with its operands.
    pub kind: ExpressionKind,
}

/// The kind of an expression, with its operands.
#[derive(Clone, Debug, PartialEq)]
pub enum ExpressionKind {
    /// `true`, `false`.
    Bool(bool),
    /// An integer literal.
    Int(i64),
    /// A string literal.
    Str(String),
    /// A reference to a binding or a property of the request.
    Name(String),
    /// `name(argument, …)`.
    Call(String, Vec<Expression>),
    /// `! e`.
    Not(Box<Expression>),
    /// `- e`.
    Neg(Box<Expression>),
    /// `a op b`.
    Binary(BinaryOperator, Box<Expression>, Box<Expression>),
    /// `if condition then a else b`.
    If(Box<Expression>, Box<Expression>, Box<Expression>),
    /// `let name = value in body`.
    Let(String, Box<Expression>, Box<Expression>),
}

/// Parses `text`, which must be a single expression.
pub fn parse(text: &str) -> Result<Expression, SyntaxError> {
    let mut parser = Parser { tokens: tokenize(text)?, position: 0, depth: 0 };
    let expression = parser.expression()?;
    match parser.peek() {
        Token::End => Ok(expression),
        other => Err(parser.error(SyntaxErrorKind::TrailingToken { found: other.to_string() })),
    }
}

struct Parser {
    tokens: Vec<PositionedToken>,
    /// The index of the next token.
    position: usize,
    depth: usize,
}

impl Parser {
    fn peek(&self) -> &Token {
        &self.tokens[self.position].token
    }

    /// The byte offset of the next token.
    fn offset(&self) -> usize {
        self.tokens[self.position].offset
    }

    /// A syntax error at the next token.
    fn error(&self, kind: SyntaxErrorKind) -> SyntaxError {
        SyntaxError { offset: self.offset(), kind }
    }

    /// Consumes and returns the next token; [`Token::End`] is never consumed.
    fn advance(&mut self) -> Token {
        let token = self.peek().clone();
        if token != Token::End {
            self.position += 1;
        }
        token
    }

    /// Consumes the next token if it is `symbol`, and returns whether it was.
    fn consume_symbol(&mut self, symbol: &str) -> bool {
        let is_next = matches!(self.peek(), Token::Symbol(s) if *s == symbol);
        self.position += usize::from(is_next);
        is_next
    }

    /// Consumes the next token if it is `keyword`, and returns whether it was.
    fn consume_keyword(&mut self, keyword: &str) -> bool {
        let is_next = matches!(self.peek(), Token::Identifier(word) if word == keyword);
        self.position += usize::from(is_next);
        is_next
    }

    fn expect_symbol(&mut self, expected: &'static str) -> Result<(), SyntaxError> {
        match self.consume_symbol(expected) {
            true => Ok(()),
            false => Err(self.error(SyntaxErrorKind::Expected { expected })),
        }
    }

    fn expect_keyword(&mut self, expected: &'static str) -> Result<(), SyntaxError> {
        match self.consume_keyword(expected) {
            true => Ok(()),
            false => Err(self.error(SyntaxErrorKind::Expected { expected })),
        }
    }

    /// Enters one more level of nesting. The limit bounds the stack use of the parser.
    fn enter_nesting(&mut self) -> Result<(), SyntaxError> {
        self.depth += 1;
        match self.depth > MAX_DEPTH {
            true => Err(self.error(SyntaxErrorKind::TooDeep)),
            false => Ok(()),
        }
    }

    fn expression(&mut self) -> Result<Expression, SyntaxError> {
        self.enter_nesting()?;
        let offset = self.offset();
        let expression = if self.consume_keyword("if") {
            Expression { offset, kind: self.conditional()? }
        } else if self.consume_keyword("let") {
            Expression { offset, kind: self.binding()? }
        } else {
            self.binary(0)?
        };
        self.depth -= 1;
        Ok(expression)
    }

    /// Parses the rest of a conditional after `if`.
    fn conditional(&mut self) -> Result<ExpressionKind, SyntaxError> {
        let condition = self.expression()?;
        self.expect_keyword("then")?;
        let then = self.expression()?;
        self.expect_keyword("else")?;
        let otherwise = self.expression()?;
        Ok(ExpressionKind::If(condition.into(), then.into(), otherwise.into()))
    }

    /// Parses the rest of a binding after `let`.
    fn binding(&mut self) -> Result<ExpressionKind, SyntaxError> {
        let Token::Identifier(name) = self.advance() else {
            return Err(self.error(SyntaxErrorKind::ExpectedName));
        };
        self.expect_symbol("=")?;
        let value = self.expression()?;
        self.expect_keyword("in")?;
        let body = self.expression()?;
        Ok(ExpressionKind::Let(name, value.into(), body.into()))
    }

    /// Parses binary operators of this precedence or higher. A chain makes a left-deep tree, so its length is
    /// limited like the nesting depth.
    fn binary(&mut self, precedence: usize) -> Result<Expression, SyntaxError> {
        let Some(operators) = OPERATORS_BY_PRECEDENCE.get(precedence) else { return self.unary() };
        let offset = self.offset();
        let mut left = self.binary(precedence + 1)?;
        let mut operands = 1;
        while let Some((_, operator)) = operators.iter().find(|(symbol, _)| self.consume_symbol(symbol)) {
            if precedence == COMPARISON_PRECEDENCE && operands == 2 {
                return Err(self.error(SyntaxErrorKind::ChainedComparison));
            }
            let right = self.binary(precedence + 1)?;
            left = Expression { offset, kind: ExpressionKind::Binary(*operator, left.into(), right.into()) };
            operands += 1;
            if operands > MAX_DEPTH {
                return Err(self.error(SyntaxErrorKind::TooManyOperands));
            }
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Expression, SyntaxError> {
        let offset = self.offset();
        self.enter_nesting()?;
        let expression = if self.consume_symbol("!") {
            Expression { offset, kind: ExpressionKind::Not(self.unary()?.into()) }
        } else if self.consume_symbol("-") {
            Expression { offset, kind: ExpressionKind::Neg(self.unary()?.into()) }
        } else {
            self.primary()?
        };
        self.depth -= 1;
        Ok(expression)
    }

    fn primary(&mut self) -> Result<Expression, SyntaxError> {
        let offset = self.offset();
        let kind = match self.advance() {
            Token::Int(number) => ExpressionKind::Int(number),
            Token::Str(text) => ExpressionKind::Str(text),
            Token::Identifier(word) if word == "true" || word == "false" => {
                ExpressionKind::Bool(word == "true")
            }
            Token::Identifier(word) if KEYWORDS.contains(&word.as_str()) => {
                self.position -= 1;
                return Err(self.error(SyntaxErrorKind::UnexpectedKeyword(word)));
            }
            Token::Identifier(name) if self.consume_symbol("(") => {
                ExpressionKind::Call(name, self.arguments()?)
            }
            Token::Identifier(name) => ExpressionKind::Name(name),
            Token::Symbol("(") => {
                let expression = self.expression()?;
                self.expect_symbol(")")?;
                return Ok(expression);
            }
            other => {
                self.position = self.position.saturating_sub(usize::from(other != Token::End));
                return Err(self.error(SyntaxErrorKind::ExpectedValue { found: other.to_string() }));
            }
        };
        Ok(Expression { offset, kind })
    }

    /// Parses the arguments of a call after `(`, including the closing `)`.
    fn arguments(&mut self) -> Result<Vec<Expression>, SyntaxError> {
        let mut arguments = Vec::new();
        if self.consume_symbol(")") {
            return Ok(arguments);
        }
        loop {
            arguments.push(self.expression()?);
            if self.consume_symbol(")") {
                return Ok(arguments);
            }
            self.expect_symbol(",")?;
        }
    }
}

#[cfg(test)]
mod tests;
