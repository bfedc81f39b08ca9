//! Routing rules: which class and object a request of the platform's front is for.

use crate::config_file::BoxError;
use crate::lifecycle::reload::log_reload;
use crate::lifecycle::subsystem::{Context, Starting, Subsystem};
use crate::rules::config::RulesConfig;
use crate::rules::table::Rules;
use futures_util::future::{ready, FutureExt};

/// The routing rules of an operator file.
pub struct RoutingRules {
    config: RulesConfig,
    /// The rules as they were read at the start, until they are put in force.
    initial: Option<Rules>,
}

impl RoutingRules {
    /// Rules and the file that they were read from.
    pub fn new(config: RulesConfig, rules: Rules) -> Self {
        Self { config, initial: Some(rules) }
    }
}

impl Subsystem for RoutingRules {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> Starting<'a> {
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
