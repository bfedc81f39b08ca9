//! The lexer: splits the text of an expression into tokens.

use super::error::{SyntaxError, SyntaxErrorKind};
use std::fmt;

/// The maximum length of an expression, in bytes.
pub const MAX_EXPRESSION_BYTES: usize = 4_096;

/// Operators and punctuation. A symbol comes before its own prefixes, because the first match is used.
const SYMBOLS: [&str; 17] =
    ["&&", "||", "==", "!=", "<=", ">=", "<", ">", "+", "-", "!", "(", ")", ",", "=", "|", "&"];

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Token {
    /// An integer literal.
    Int(i64),
    /// The value of a string literal, unquoted and unescaped.
    Str(String),
    /// An identifier or keyword.
    Identifier(String),
    /// An operator or punctuation mark.
    Symbol(&'static str),
    /// The end of the expression.
    End,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Int(number) => write!(f, "`{number}`"),
            Self::Str(text) => write!(f, "{text:?}"),
            Self::Identifier(word) => write!(f, "`{word}`"),
            Self::Symbol(symbol) => write!(f, "`{symbol}`"),
            Self::End => f.write_str("the end of the expression"),
        }
    }
}

/// A token and its position.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PositionedToken {
    /// The byte offset of its first character.
    pub(super) offset: usize,
    pub(super) token: Token,
}

/// Splits `text` into tokens and appends [`Token::End`].
pub(super) fn tokenize(text: &str) -> Result<Vec<PositionedToken>, SyntaxError> {
    if text.len() > MAX_EXPRESSION_BYTES {
        return Err(SyntaxError { offset: MAX_EXPRESSION_BYTES, kind: SyntaxErrorKind::TooLong });
    }
    let mut tokens = Vec::new();
    let mut offset = 0;
    while let Some(first) = text[offset..].chars().next() {
        if first.is_ascii_whitespace() {
            offset += first.len_utf8();
            continue;
        }
        let (token, length) =
            read_token(&text[offset..], first).map_err(|kind| SyntaxError { offset, kind })?;
        tokens.push(PositionedToken { offset, token });
        offset += length;
    }
    tokens.push(PositionedToken { offset, token: Token::End });
    Ok(tokens)
}

/// Reads the first token of `text`, which starts with `first`; returns it and its length in bytes.
fn read_token(text: &str, first: char) -> Result<(Token, usize), SyntaxErrorKind> {
    let longest_prefix =
        |matches: fn(char) -> bool| &text[..text.find(|c| !matches(c)).unwrap_or(text.len())];
    if first.is_ascii_digit() {
        let digits = longest_prefix(|c| c.is_ascii_alphanumeric());
        let number = digits.parse().map_err(|_| SyntaxErrorKind::InvalidNumber)?;
        return Ok((Token::Int(number), digits.len()));
    }
    if first.is_ascii_alphabetic() || first == '_' {
        let word = longest_prefix(|c| c.is_ascii_alphanumeric() || c == '_');
        return Ok((Token::Identifier(word.to_string()), word.len()));
    }
    if first == '"' {
        return read_string_literal(text);
    }
    let symbol = SYMBOLS.iter().find(|symbol| text.starts_with(**symbol));
    let symbol = symbol.ok_or(SyntaxErrorKind::UnexpectedCharacter)?;
    Ok((Token::Symbol(symbol), symbol.len()))
}

/// Reads the string literal at the start of `text`; returns it and its length in bytes, quotes included.
fn read_string_literal(text: &str) -> Result<(Token, usize), SyntaxErrorKind> {
    let mut value = String::new();
    let mut chars = text.char_indices().skip(1);
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => return Ok((Token::Str(value), index + 1)),
            '\\' => match chars.next() {
                Some((_, escaped @ ('"' | '\\'))) => value.push(escaped),
                _ => return Err(SyntaxErrorKind::InvalidEscape),
            },
            c => value.push(c),
        }
    }
    Err(SyntaxErrorKind::UnterminatedString)
}
