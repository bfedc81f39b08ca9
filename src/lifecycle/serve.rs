//! The serving process: starts the subsystems, heeds signals and stops gracefully.

use super::config::Config;
use super::descriptors::{DescriptorBudget, DescriptorDemand, Descriptors, InsufficientDescriptors};
use super::engine_setup::engine_within;
use super::error::ServeError;
use super::inherit;
use super::signals::{Request, Signals};
use super::subsystem::{Context, StopStage, Subsystem};
use super::subsystem_configs::SubsystemConfigs;
use super::subsystems::configured;
use crate::clock::{duration_from_ms, Clock};
use crate::engine::executor::Executor;
use crate::wire::cache_connection::CacheDriver;
use std::rc::Rc;

/// How long new connections are accepted after the signal to stop, in milliseconds.
const ACCEPT_AFTER_SIGNAL_MS: f64 = 700.0;
/// The shortest time that a stop allows for requests in flight, in milliseconds.
const MIN_REQUEST_TIME_MS: f64 = 3_000.0;
/// The time beyond the longest deadline that a stop allows for writing the last responses, in milliseconds.
const LAST_RESPONSES_MS: f64 = 500.0;
/// How long, in milliseconds, idle clients are kept where a new process serves beside this one. Most of them leave with
/// their next response, so few requests cross the end of their connection.
const KEEP_IDLE_MS: f64 = 2_000.0;
/// How often a stop checks whether all requests are answered, in milliseconds.
const DRAIN_CHECK_MS: f64 = 5.0;
/// How long a stop waits at least for connections that the system had accepted and this process had not, in
/// milliseconds.
const BACKLOG_MS: f64 = 4.0 * DRAIN_CHECK_MS;

/// Serves until SIGTERM or SIGINT, and ends once all accepted requests are answered.
pub async fn serve(mut config: Config, configs: SubsystemConfigs) -> Result<(), ServeError> {
    let handed_over = inherit::listener().map_err(ServeError::HandedOverSocket)?;
    config.handed_over = handed_over.is_some();
    let clock = Clock::system();
    let demand = configs.descriptor_demand(config.handed_over);
    let budget = share_descriptors(&config, demand)?;
    let (engine, _) = engine_within(&config, &clock, demand.signed_url_clients, budget)?;
    let listen = config.listen_address().map_err(ServeError::field("listen"))?;
    let seed = config.seed().map_err(ServeError::field("seed"))?;
    let mut subsystems = configured(&config, configs, handed_over)?;
    let executor = Executor::new(clock, engine, CacheDriver);
    let mut signals = Signals::install()?;
    let context = Context::new(config, executor, seed, budget);
    start(&mut subsystems, &context).await?;
    tracing::info!("{} serves on {listen}", context.config.name);
    run_until_stop(&mut subsystems, &context, &mut signals).await;
    stop(&mut subsystems, &context).await;
    Ok(())
}

/// Shares the file descriptors of this process. Guards what an operator turned on beside the platform's front against a
/// machine that allows too few; alone, that front makes do with what there is.
fn share_descriptors(config: &Config, demand: DescriptorDemand) -> Result<DescriptorBudget, ServeError> {
    let descriptors = Descriptors::of_process(config.limits.max_descriptors);
    let budget = DescriptorBudget::new(descriptors, demand);
    let Descriptors { max, .. } = descriptors;
    if max < config.limits.max_descriptors {
        tracing::warn!(
            allowed = max,
            configured = config.limits.max_descriptors,
            "the system allows fewer descriptors"
        );
    }
    let needed = demand.subsystems();
    if budget.is_insufficient && needed > 0 {
        return Err(ServeError::field("limits.sockets")(InsufficientDescriptors { max, needed }));
    }
    Ok(budget)
}

/// Prepares all subsystems, collects their metrics and admin calls, and starts them.
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
    Ok(())
}

/// Carries out what signals ask for, until one asks for a stop.
async fn run_until_stop(subsystems: &mut [Box<dyn Subsystem>], context: &Context, signals: &mut Signals) {
    loop {
        match signals.next().await {
            Request::Stop => return,
            Request::ReportCounters => log_counters(&context.executor),
            Request::Reload => subsystems.iter_mut().for_each(|subsystem| subsystem.reload(context)),
        }
    }
}

/// Stops gracefully: peers are told, listeners close, and requests in flight are answered within the longest deadline.
async fn stop(subsystems: &mut [Box<dyn Subsystem>], context: &Context) {
    let executor = &context.executor;
    tracing::info!("{} stops", context.config.name);
    advance_stop(subsystems, StopStage::Announce);
    let request_time = executor.settings().longest_deadline_ms().max(MIN_REQUEST_TIME_MS);
    let until = executor.clock.now() + ACCEPT_AFTER_SIGNAL_MS + request_time + LAST_RESPONSES_MS;
    if context.config.handed_over {
        // Whoever connects from now on is the new process's: the socket stays open there.
        context.stop.close_after_response();
        advance_stop(subsystems, StopStage::CloseListeners);
        tokio::time::sleep(duration_from_ms(KEEP_IDLE_MS)).await;
    } else {
        tokio::time::sleep(duration_from_ms(ACCEPT_AFTER_SIGNAL_MS)).await;
        advance_stop(subsystems, StopStage::CloseListeners);
    }
    advance_stop(subsystems, StopStage::CloseRemaining);
    context.stop.begin();
    drain(subsystems, context, until).await;
    log_counters(executor);
}

fn advance_stop(subsystems: &mut [Box<dyn Subsystem>], stage: StopStage) {
    subsystems.iter_mut().for_each(|subsystem| subsystem.stop(stage));
}

/// Waits until all requests are answered and all connections closed, at most until `until`, Unix milliseconds.
async fn drain(subsystems: &[Box<dyn Subsystem>], context: &Context, until: f64) {
    let executor = &context.executor;
    let connections = || -> usize {
        let virtual_addresses: usize = subsystems.iter().map(|subsystem| subsystem.open_connections()).sum();
        virtual_addresses + context.stop.open_or_lingering()
    };
    tokio::time::sleep(duration_from_ms(BACKLOG_MS)).await;
    while (connections() > 0 || executor.with(|engine| engine.open_requests()) > 0)
        && executor.clock.now() < until
    {
        tokio::time::sleep(duration_from_ms(DRAIN_CHECK_MS)).await;
    }
}

fn log_counters(executor: &Rc<Executor>) {
    let counters = executor.with(|engine| engine.counters.to_string());
    tracing::info!("counters\n{}", counters.trim_end());
}
