//! Expressions that say which class a request is of and what its keys are: typed, bounded in cost, compiled once when
//! the operator file is read. What could loop or grow without limit is refused there, not while traffic runs.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`parser`] | text to tree | none |
//! | [`type_check`] | types, definitions without recursion, bounds of length and cost; the program that comes of it | none |
//! | [`evaluator`] | a program on a request | none |
//! | [`table`] | the rules of an operator file: the first that holds says class and keys | none |
//! | [`config`] | the operator file | a file |
//!
//! The design note is `docs/design-rules.md`; operators read `docs/rules.md`.

pub mod config;
pub mod evaluator;
pub mod parser;
pub mod table;
pub mod type_check;
