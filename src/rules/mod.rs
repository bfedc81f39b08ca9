//! Routing rules: expressions over a request that determine its class and keys. They are statically typed and
//! compiled once, when the rules file is read. The language has no loops or recursion, and compilation
//! rejects an expression that could exceed a limit on cost or string length, so the cost of evaluation is
//! bounded.
//!
//! | module | purpose | I/O |
//! | --- | --- | --- |
//! | [`parser`], `lexer` | parsing into a syntax tree | none |
//! | [`definitions`] | user-defined functions | none |
//! | [`type_check`] | type checking, name resolution, inlining of definitions, limits | none |
//! | [`program`] | compiled expressions, types, built-in functions | none |
//! | [`evaluator`] | evaluation of programs | none |
//! | [`table`] | classification by the first matching rule | none |
//! | [`config`] | the rules file | reads the file |
//! | [`error`] | errors and their locations | none |
//!
//! Design: `docs/design-rules.md`. Operator documentation: `docs/rules.md`.

pub mod config;
pub mod definitions;
pub mod error;
pub mod evaluator;
mod lexer;
pub mod parser;
pub mod program;
pub mod table;
pub mod type_check;
