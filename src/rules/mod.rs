//! Routing rules: expressions over a request that give its class and keys. They are typed, compiled once when the
//! operator file is read, and bounded in cost: loops and unbounded growth are rejected then, not while serving.
//!
//! | module | concern | I/O |
//! | --- | --- | --- |
//! | [`parser`], `lexer` | text to syntax tree | none |
//! | [`definitions`] | functions of the operator file | none |
//! | [`type_check`] | types, names, expansion of definitions, bounds of length and cost | none |
//! | [`program`] | compiled expressions, types and built-in functions | none |
//! | [`evaluator`] | a program on a request | none |
//! | [`table`] | the rules: the first that applies gives class and keys | none |
//! | [`config`] | the operator file | a file |
//! | [`error`] | errors with their places | none |
//!
//! The design note is `docs/design-rules.md`, the operators' page `docs/rules.md`.

pub mod config;
pub mod definitions;
pub mod error;
pub mod evaluator;
mod lexer;
pub mod parser;
pub mod program;
pub mod table;
pub mod type_check;
