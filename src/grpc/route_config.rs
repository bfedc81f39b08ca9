//! Configuration of routes.

use super::routes::MethodKind;
use serde::Deserialize;

/// The idempotency of a method.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum IdempotencyConfig {
    /// The method is idempotent.
    Safe,
    /// Calls carry an idempotency key, by which backends discard duplicates.
    Keyed,
    /// The method is not idempotent.
    #[default]
    Never,
}

/// A route: the methods that it matches, their pool, and their deadline and retry settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// The pattern: `/Service/Method`, `/Service/*` or `*`.
    pub method: String,
    /// The name of the pool.
    pub pool: String,
    /// Unary or streaming; streaming by default.
    #[serde(default)]
    pub kind: MethodKind,
    /// The idempotency; `never` by default.
    #[serde(rename = "repeat", default)]
    pub idempotency: IdempotencyConfig,
    /// The header with the idempotency key; required for `keyed`.
    #[serde(default)]
    pub key: Option<String>,
    /// How long backends discard duplicates of a key, in milliseconds; required for `keyed`.
    #[serde(default)]
    pub key_window_ms: f64,
    /// Maximum duration of a call, in milliseconds; required for unary methods.
    #[serde(default)]
    pub deadline_ms: Option<f64>,
    /// The latency objective, in milliseconds. For streams it applies to the start of the response.
    #[serde(rename = "aim_ms", default = "default_latency_objective_ms")]
    pub latency_objective_ms: f64,
    /// Names of the status codes after which an idempotent method is retried.
    #[serde(default = "default_retry")]
    pub retry: Vec<String>,
    /// The affinity: `call`, `method` or `header:NAME`.
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
