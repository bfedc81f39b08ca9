//! Membership from a key-value registry with revisions and watches, as etcd's v3 API has them: a full read, then
//! a watch from the revision after it, a full read again where revisions were compacted away, and the engine
//! hears every change at once, through the same drain rule as the bulletin's lists.
//!
//! | part | what it does | I/O |
//! | --- | --- | --- |
//! | [`view`] | members by revision: doubled, late and compacted changes, what a full read finds | none |
//! | [`session`] | what comes next, backoff, silence | none |
//! | [`wire`] | the JSON gateway's calls: range and watch | sockets |
//! | [`driver`] | the task that keeps the link | sockets |
//! | [`config`] | the operator file | a file |
//!
//! The design note is `docs/design-registry.md`; operators read `docs/registry.md`.

pub mod config;
pub mod driver;
pub mod session;
pub mod view;
pub mod wire;
