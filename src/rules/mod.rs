//! Expressions that say which class a request is of and what its keys are: typed, bounded in cost, compiled once when
//! the operator file is read. What could loop or grow without limit is refused there, not while traffic runs.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`syntax`] | text to tree | none |
//! | [`check`] | types, definitions without recursion, bounds of length and cost; the program that comes of it | none |
//! | [`eval`] | a program on a request | none |
//! | [`table`] | the rules of an operator file: the first that holds says class and keys | none |
//! | [`config`] | the operator file | a file |
//!
//! The design note is `docs/design-rules.md`; operators read `docs/rules.md`.

pub mod check;
pub mod config;
pub mod eval;
pub mod syntax;
pub mod table;
