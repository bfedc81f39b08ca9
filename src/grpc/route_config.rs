//! Routes of the operator file of gRPC pass-through, in the file's spelling.

use super::routes::MethodKind;
use serde::Deserialize;

/// Whether a method is idempotent, in the file's spelling.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum IdempotencyConfig {
    /// The method is idempotent.
    Safe,
    /// Calls carry an idempotency key by which backends drop repetitions.
    Keyed,
    /// The method is not idempotent.
    #[default]
    Never,
}

/// A route: which methods it is for, where they go, and how they may be retried.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// `/Service/Method`, `/Service/*` or `*`.
    pub method: String,
    /// The name of its pool.
    pub pool: String,
    /// Unary, or a stream (the default).
    #[serde(default)]
    pub kind: MethodKind,
    /// Whether it is idempotent; `never` by default.
    #[serde(rename = "repeat", default)]
    pub idempotency: IdempotencyConfig,
    /// The header with the idempotency key, where it is `keyed`.
    #[serde(default)]
    pub key: Option<String>,
    /// For how long backends drop repetitions, in milliseconds, where it is `keyed`.
    #[serde(default)]
    pub key_window_ms: f64,
    /// The longest that a call may take, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<f64>,
    /// The latency objective, in milliseconds; for streams until the response begins.
    #[serde(rename = "aim_ms", default = "default_latency_objective_ms")]
    pub latency_objective_ms: f64,
    /// Names of the statuses after which an idempotent method is retried.
    #[serde(default = "default_retry")]
    pub retry: Vec<String>,
    /// `call`, `method` or `header:NAME`.
    #[serde(default = "default_affinity")]
    pub affinity: String,
}

fn default_latency_objective_ms() -> f64 {
    500.0
}

fn default_retry() -> Vec<String> {
    vec!["UNAVAILABLE".into()]
}

fn default_affinity() -> String {
    "call".into()
}
