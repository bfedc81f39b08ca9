//! The server process: starts the subsystems, and handles signals until one requests a shutdown.

use super::config::Config;
use super::descriptors::{DescriptorBudget, DescriptorDemand, Descriptors, InsufficientDescriptors};
use super::engine_setup::engine_with_budget;
use super::error::ServeError;
use super::inherit;
use super::shutdown::shut_down;
use super::signals::{SignalAction, Signals};
use super::subsystem::{Context, Subsystem};
use super::subsystem_configs::SubsystemConfigs;
use super::subsystems::create_subsystems;
use super::write_log::WriteLog;
use crate::clock::Clock;
use crate::engine::executor::{Executor, MetricsSource};
use crate::wire::cache_connection::CacheDriver;
use std::rc::Rc;

/// Serves until SIGTERM or SIGINT, then returns once all accepted requests have been answered or the drain
/// deadline has passed. `log_metrics` are those of the log.
pub async fn serve(
    mut config: Config,
    configs: SubsystemConfigs,
    log_metrics: MetricsSource,
) -> Result<(), ServeError> {
    let inherited_listener = inherit::listener().map_err(ServeError::InheritedSocket)?;
    config.handed_over = inherited_listener.is_some();
    let clock = Clock::system();
    let demand = configs.descriptor_demand(config.handed_over);
    let budget = divide_descriptors(&config, demand)?;
    let (engine, _) = engine_with_budget(&config, &clock, demand.signed_url_clients, budget)?;
    let listen = config.listen_address().map_err(ServeError::field("listen"))?;
    let seed = config.seed().map_err(ServeError::field("seed"))?;
    let mut subsystems = create_subsystems(&config, configs, inherited_listener)?;
    let executor = Executor::new(clock, engine, CacheDriver);
    executor.request_memory.set_max_bytes(config.limits.request_memory_bytes());
    if config.handed_over {
        let write_log = WriteLog::new(executor.clock.clone(), &config.name);
        executor.with(|engine| engine.set_shared_writes(Box::new(write_log)));
    }
    executor.add_metrics(log_metrics);
    let mut signals = Signals::install()?;
    let context = Context::new(config, executor, seed, budget);
    start(&mut subsystems, &context).await?;
    tracing::info!("{} serves on {listen}", context.config.name);
    run_until_stop(&mut subsystems, &context, &mut signals).await;
    shut_down(&mut subsystems, &context).await;
    log_counters(&context.executor);
    Ok(())
}

/// Divides the file descriptors of this process. Fails if the limit is too low for the subsystems that an
/// operator enabled; the platform's front alone runs with any limit.
fn divide_descriptors(config: &Config, demand: DescriptorDemand) -> Result<DescriptorBudget, ServeError> {
    let descriptors = Descriptors::of_process(config.limits.max_descriptors);
    let budget = DescriptorBudget::new(descriptors, demand);
    let Descriptors { max, .. } = descriptors;
    if max < config.limits.max_descriptors {
        tracing::warn!(
            allowed = max,
            configured = config.limits.max_descriptors,
            "the system allows fewer file descriptors than configured"
        );
    }
    let needed = demand.subsystems();
    if budget.is_insufficient && needed > 0 {
        return Err(ServeError::field("limits.sockets")(InsufficientDescriptors { max, needed }));
    }
    Ok(budget)
}

/// Prepares all subsystems, registers their metrics and admin calls, and starts them.
async fn start(subsystems: &mut [Box<dyn Subsystem>], context: &Context) -> Result<(), ServeError> {
    for subsystem in &mut *subsystems {
        subsystem.prepare(context).await?;
        if let Some(metrics) = subsystem.metrics() {
            context.executor.add_metrics(metrics);
        }
        context.admin_calls.borrow_mut().extend(subsystem.admin_calls());
    }
    for subsystem in subsystems {
        subsystem.start(context).await?;
    }
    context.ready.set(true);
    Ok(())
}

/// Handles signals until one requests a stop.
async fn run_until_stop(subsystems: &mut [Box<dyn Subsystem>], context: &Context, signals: &mut Signals) {
    loop {
        match signals.next().await {
            SignalAction::Stop => return,
            SignalAction::LogCounters => log_counters(&context.executor),
            SignalAction::Reload => subsystems.iter_mut().for_each(|subsystem| subsystem.reload(context)),
        }
    }
}

fn log_counters(executor: &Rc<Executor>) {
    let counters = executor.with(|engine| engine.counters.to_string());
    tracing::info!("counters\n{}", counters.trim_end());
}
