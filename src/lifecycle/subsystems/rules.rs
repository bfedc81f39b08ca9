//! Routing rules, which assign each request a class and an object, and their reload.

use crate::config_file::BoxError;
use crate::lifecycle::reload::log_reload;
use crate::lifecycle::subsystem::{Context, StartFuture, Subsystem};
use crate::rules::config::RulesConfig;
use crate::rules::table::Rules;
use futures_util::future::{ready, FutureExt};

/// The routing rules subsystem.
pub struct RoutingRules {
    config: RulesConfig,
    /// The rules that were read at startup, until they are activated.
    initial: Option<Rules>,
}

impl RoutingRules {
    /// Creates the subsystem from its configuration and the compiled rules.
    pub fn new(config: RulesConfig, rules: Rules) -> Self {
        Self { config, initial: Some(rules) }
    }
}

impl Subsystem for RoutingRules {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        if let Some(rules) = self.initial.take() {
            context.rules.replace(rules);
        }
        ready(Ok(())).boxed_local()
    }

    fn reload(&mut self, context: &Context) {
        let path = &self.config.path;
        let reloaded = RulesConfig::read(path).map(|(_, rules)| context.rules.replace(rules));
        log_reload("rules", path, reloaded.map_err(BoxError::from));
    }
}
