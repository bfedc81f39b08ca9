//! The expressions' syntax: text to tree. Precedence from the loosest: `if`/`let`, `||`, `&&`, comparisons (which do
//! not chain), `+` and `-`, `!` and unary `-`, calls. No I/O.

use thiserror::Error;

/// The longest expression, in bytes.
pub const MAX_TEXT: usize = 4_096;
/// How deep expressions may nest.
pub const MAX_DEPTH: usize = 64;

/// What is wrong with a text, and at which byte.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("at byte {at}: {reason}")]
pub struct BadSyntax {
    /// Where.
    pub at: usize,
    /// What.
    pub reason: String,
}

/// Operators with two sides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Op {
    And,
    Or,
    Eq,
    Ne,
    Lt,
    Le,
    Gt,
    Ge,
    Add,
    Sub,
}

/// A tree, each node with the byte at which it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct Tree {
    /// Where its text begins.
    pub at: usize,
    /// What it is.
    pub kind: Kind,
}

/// What a node is.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// `true`, `false`.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// A text in double quotes.
    Str(String),
    /// A name.
    Name(String),
    /// `name(argument, ...)`.
    Call(String, Vec<Tree>),
    /// `! e`.
    Not(Box<Tree>),
    /// `- e`.
    Neg(Box<Tree>),
    /// `a op b`.
    Binary(Op, Box<Tree>, Box<Tree>),
    /// `if c then a else b`.
    If(Box<Tree>, Box<Tree>, Box<Tree>),
    /// `let name = value in body`.
    Let(String, Box<Tree>, Box<Tree>),
}

#[derive(Clone, Debug, PartialEq)]
enum Token {
    Int(i64),
    Str(String),
    Word(String),
    Sign(&'static str),
    End,
}

const SIGNS: [&str; 17] =
    ["&&", "||", "==", "!=", "<=", ">=", "<", ">", "+", "-", "!", "(", ")", ",", "=", "|", "&"];

fn tokens(text: &str) -> Result<Vec<(usize, Token)>, BadSyntax> {
    if text.len() > MAX_TEXT {
        return Err(BadSyntax { at: MAX_TEXT, reason: format!("longer than {MAX_TEXT} bytes") });
    }
    let (mut at, mut all) = (0, Vec::new());
    while at < text.len() {
        let rest = &text[at..];
        let first = rest.chars().next().expect("not at the end");
        let bad = |reason: &str| Err(BadSyntax { at, reason: reason.to_string() });
        let run = |is: fn(char) -> bool| rest.find(|c| !is(c)).unwrap_or(rest.len());
        let (token, n) = match first {
            c if c.is_ascii_whitespace() => {
                at += 1;
                continue;
            }
            c if c.is_ascii_digit() => {
                let n = run(|c| c.is_ascii_alphanumeric());
                match rest[..n].parse() {
                    Ok(number) => (Token::Int(number), n),
                    Err(_) => return bad("no whole number, or one too large"),
                }
            }
            c if c.is_ascii_alphabetic() || c == '_' => {
                let n = run(|c| c.is_ascii_alphanumeric() || c == '_');
                (Token::Word(rest[..n].to_string()), n)
            }
            '"' => {
                let (mut value, mut chars, mut end) = (String::new(), rest.char_indices().skip(1), None);
                while let Some((k, c)) = chars.next() {
                    match c {
                        '"' => {
                            end = Some(k + 1);
                            break;
                        }
                        '\\' => match chars.next() {
                            Some((_, c @ ('"' | '\\'))) => value.push(c),
                            _ => return bad("after a backslash only \\ and \" may come"),
                        },
                        c => value.push(c),
                    }
                }
                match end {
                    Some(n) => (Token::Str(value), n),
                    None => return bad("a text without its end"),
                }
            }
            _ => match SIGNS.iter().find(|sign| rest.starts_with(**sign)) {
                Some(sign) => (Token::Sign(sign), sign.len()),
                None => return bad("no sign of this language"),
            },
        };
        all.push((at, token));
        at += n;
    }
    all.push((text.len(), Token::End));
    Ok(all)
}

struct Parser {
    tokens: Vec<(usize, Token)>,
    next: usize,
    depth: usize,
}

/// Reads an expression.
pub fn parse(text: &str) -> Result<Tree, BadSyntax> {
    let mut parser = Parser { tokens: tokens(text)?, next: 0, depth: 0 };
    let tree = parser.expression()?;
    match parser.peek() {
        Token::End => Ok(tree),
        other => parser.fail(format!("{other:?} where the expression should end")),
    }
}

impl Parser {
    fn peek(&self) -> &Token {
        &self.tokens[self.next].1
    }

    fn at(&self) -> usize {
        self.tokens[self.next].0
    }

    fn fail<T>(&self, reason: String) -> Result<T, BadSyntax> {
        Err(BadSyntax { at: self.at(), reason })
    }

    fn take(&mut self) -> Token {
        let token = self.peek().clone();
        if token != Token::End {
            self.next += 1;
        }
        token
    }

    fn sign(&mut self, sign: &str) -> bool {
        let is = matches!(self.peek(), Token::Sign(s) if *s == sign);
        self.next += usize::from(is);
        is
    }

    fn word(&mut self, word: &str) -> bool {
        let is = matches!(self.peek(), Token::Word(w) if w == word);
        self.next += usize::from(is);
        is
    }

    fn must(&mut self, what: &str, found: bool) -> Result<(), BadSyntax> {
        if found {
            return Ok(());
        }
        self.fail(format!("{what:?} should come here"))
    }

    fn expression(&mut self) -> Result<Tree, BadSyntax> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return self.fail(format!("nested deeper than {MAX_DEPTH}"));
        }
        let at = self.at();
        let tree = if self.word("if") {
            let condition = self.expression()?;
            let found = self.word("then");
            self.must("then", found)?;
            let yes = self.expression()?;
            let found = self.word("else");
            self.must("else", found)?;
            let no = self.expression()?;
            Tree { at, kind: Kind::If(condition.into(), yes.into(), no.into()) }
        } else if self.word("let") {
            let Token::Word(name) = self.take() else { return self.fail("a name should come here".into()) };
            let found = self.sign("=");
            self.must("=", found)?;
            let value = self.expression()?;
            let found = self.word("in");
            self.must("in", found)?;
            let body = self.expression()?;
            Tree { at, kind: Kind::Let(name, value.into(), body.into()) }
        } else {
            self.binary(0)?
        };
        self.depth -= 1;
        Ok(tree)
    }

    fn binary(&mut self, level: usize) -> Result<Tree, BadSyntax> {
        const LEVELS: [&[(&str, Op)]; 4] = [
            &[("||", Op::Or)],
            &[("&&", Op::And)],
            &[("==", Op::Eq), ("!=", Op::Ne), ("<=", Op::Le), (">=", Op::Ge), ("<", Op::Lt), (">", Op::Gt)],
            &[("+", Op::Add), ("-", Op::Sub)],
        ];
        let Some(operators) = LEVELS.get(level) else { return self.unary() };
        let (at, mut left) = (self.at(), self.binary(level + 1)?);
        let mut sides = 1;
        while let Some((_, op)) = operators.iter().find(|(sign, _)| self.sign(sign)) {
            if level == 2 && sides == 2 {
                return self.fail("comparisons do not chain".into());
            }
            let right = self.binary(level + 1)?;
            left = Tree { at, kind: Kind::Binary(*op, left.into(), right.into()) };
            sides += 1;
            // Long chains nest as well, to the left.
            if sides > MAX_DEPTH {
                return self.fail(format!("more than {MAX_DEPTH} operators in a row"));
            }
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Tree, BadSyntax> {
        let at = self.at();
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return self.fail(format!("nested deeper than {MAX_DEPTH}"));
        }
        let tree = if self.sign("!") {
            Tree { at, kind: Kind::Not(self.unary()?.into()) }
        } else if self.sign("-") {
            Tree { at, kind: Kind::Neg(self.unary()?.into()) }
        } else {
            self.primary()?
        };
        self.depth -= 1;
        Ok(tree)
    }

    fn primary(&mut self) -> Result<Tree, BadSyntax> {
        let at = self.at();
        let kind = match self.take() {
            Token::Int(number) => Kind::Int(number),
            Token::Str(text) => Kind::Str(text),
            Token::Word(word) if word == "true" || word == "false" => Kind::Bool(word == "true"),
            Token::Word(word) if ["if", "then", "else", "let", "in"].contains(&word.as_str()) => {
                self.next -= 1;
                return self.fail(format!("{word:?} can't stand here"));
            }
            Token::Word(name) if self.sign("(") => {
                let mut arguments = Vec::new();
                if !self.sign(")") {
                    loop {
                        arguments.push(self.expression()?);
                        if self.sign(")") {
                            break;
                        }
                        let found = self.sign(",");
                        self.must(",", found)?;
                    }
                }
                Kind::Call(name, arguments)
            }
            Token::Word(name) => Kind::Name(name),
            Token::Sign("(") => {
                let tree = self.expression()?;
                let found = self.sign(")");
                self.must(")", found)?;
                return Ok(tree);
            }
            other => {
                self.next = self.next.saturating_sub(usize::from(other != Token::End));
                return self.fail(format!("{other:?} where a value should be"));
            }
        };
        Ok(Tree { at, kind })
    }
}

#[cfg(test)]
mod tests;
