//! The serving process: start, signals, stop.

use super::config::Config;
use super::descriptors::{DescriptorBudget, DescriptorDemand, Descriptors};
use super::front::{keep_keys, SignedUrlConfig};
use super::inherit;
use super::maintenance::Store;
use crate::admission::config::AdmissionConfig;
use crate::admission::control::AdmissionControl;
use crate::clock::{duration_from_ms, Clock};
use crate::config_file::BoxError;
use crate::engine::executor::Executor;
use crate::engine::{Engine, EngineBounds};
use crate::grpc::config::GrpcConfig;
use crate::grpc::server::{self as grpc, GrpcFront};
use crate::health_check::config::HealthCheckConfig;
use crate::health_check::driver::{self as duties_driver, HealthChecker};
use crate::http3::call_registry::CallRegistry;
use crate::http3::config::Http3Config;
use crate::http3::front::Http3Front;
use crate::http3::server;
use crate::purge::config::PurgeConfig;
use crate::purge::{driver, wire::MAX_CALL};
use crate::registry::config::RegistryConfig;
use crate::registry::driver::{self as registry_driver, RegistryStatus};
use crate::rules::config::RulesConfig;
use crate::rules::table::Rules;
use crate::state::connections::Bounds;
use crate::vrrp::config::{EnabledSubsystems, FrontKind, VrrpConfig};
use crate::vrrp::driver as vrrp;
use crate::vrrp::host_values::HostValues;
use crate::vrrp::router::VirtualRouter;
use crate::vrrp::track::{TrackedObject, TrackedValues};
use crate::vrrp::virtual_addresses::VirtualFronts;
use crate::wire::admin::AdminFront;
use crate::wire::cache_connection::CacheDriver;
use crate::wire::discovery;
use crate::wire::listener::{accept, Front, Limits, Stop};
use crate::wire::platform::{self, Platform};
use std::cell::RefCell;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};

/// How long new connections are taken after SIGTERM, in milliseconds.
const ACCEPT_ON_MS: f64 = 700.0;
/// The longest that a stop waits for answers to be taken, in milliseconds, beyond the longest deadline.
const STOP_MORE_MS: f64 = 500.0;
/// How long, in milliseconds, idle clients are kept after SIGTERM where a new process serves beside this one. Most go
/// by themselves with their next answer, so few requests cross the end of their connection.
const KEEP_IDLE_MS: f64 = 2_000.0;
/// How long an address may still be a process's that was just killed, in milliseconds: it is gone once the system has
/// taken its memory and sockets back, which its platform may not have waited for.
const IN_USE_MS: f64 = 3_000.0;
/// How often such an address is tried, in milliseconds.
const IN_USE_LOOK_MS: f64 = 10.0;
/// How often a stop looks whether all is done, in milliseconds.
const STOP_LOOK_MS: f64 = 5.0;

/// Why a process could not start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A value of the configuration.
    #[error("field `{0}`: {1}")]
    Field(&'static str, BoxError),
    /// An address can't be listened on, or a signal not be awaited.
    #[error("{0}: {1}")]
    System(String, std::io::Error),
    /// The purge log can't be used.
    #[error("{0}")]
    Purges(#[from] crate::purge::log::LogError),
}

impl ServeError {
    /// An error of the field `field`.
    fn field(field: &'static str, source: impl Into<BoxError>) -> Self {
        Self::Field(field, source.into())
    }
}

/// What a process serves besides the platform's front, each off where it is none.
#[derive(Default)]
pub struct Subsystems {
    /// The second front, signed URLs.
    pub front: Option<SignedUrlConfig>,
    /// A virtual router.
    pub router: Option<VrrpConfig>,
    /// Fleet purges.
    pub purges: Option<PurgeConfig>,
    /// Fair queues at the door.
    pub door: Option<AdmissionConfig>,
    /// Endpoints from a registry.
    pub registry: Option<RegistryConfig>,
    /// gRPC pass-through.
    pub grpc: Option<GrpcConfig>,
    /// The edge for poor links.
    pub poor: Option<Http3Config>,
    /// Shared duties.
    pub duties: Option<HealthCheckConfig>,
    /// Rules that say what requests ask for.
    pub rules: Option<(RulesConfig, Rules)>,
}

/// Starts the engine of a configuration, with what was known at the start, for a process that may hold all descriptors
/// that the configuration names. A second front may bring `extra` connections of clients.
pub fn engine(
    config: &Config,
    clock: &Clock,
    extra: usize,
) -> Result<(Engine, Rc<crate::settings::PlatformSettings>), ServeError> {
    let demand =
        DescriptorDemand { signed: extra, handed_over: config.handed_over, ..DescriptorDemand::default() };
    let shares = DescriptorBudget::of(Descriptors::planned(config.limits.sockets), demand);
    engine_with(config, clock, extra, shares)
}

fn engine_with(
    config: &Config,
    clock: &Clock,
    extra: usize,
    shares: DescriptorBudget,
) -> Result<(Engine, Rc<crate::settings::PlatformSettings>), ServeError> {
    let env = Rc::new(config.settings.clone());
    let seed = config.seed().map_err(|reason| ServeError::field("seed", reason))?;
    let sockets = config.limits.sockets;
    let connections = Bounds {
        total: shares.endpoints,
        endpoint: (sockets / 64).clamp(2, 16),
        spread: 4,
        streams: env.streams_per_connection(),
    };
    let bounds = EngineBounds { requests: sockets * 2 / 5 + extra, connections };
    let mut engine = Engine::new(clock.clone(), env.clone(), seed, bounds);
    for event in config.known.events().map_err(|reason| ServeError::field("known", reason))? {
        engine.news(event);
    }
    engine.skip_to(config.known.no);
    Ok((engine, env))
}

/// What takes descriptors besides the platform's front, with what is on.
fn demand(config: &Config, extras: &Subsystems) -> DescriptorDemand {
    let at = |kind| {
        let virtual_listeners = extras.router.iter().flat_map(|router| &router.listeners);
        1 + virtual_listeners.filter(|serve| serve.front == kind).count()
    };
    let signed = extras.front.as_ref().map_or(0, |f| f.connections() * at(FrontKind::Signed));
    let grpc =
        extras.grpc.as_ref().map_or(0, |g| g.limits.clients * at(FrontKind::Grpc) + g.limits.connections);
    let poor = extras.poor.as_ref().map_or(0, |p| p.tcp_at().map_or(0, |_| p.limits.tcp_connections));
    let purges = extras.purges.as_ref().map_or(0, |_| driver::MAX_CALLS);
    let probes = extras.duties.as_ref().map_or(0, |_| duties_driver::MAX_PROBES);
    DescriptorDemand { signed, others: grpc + poor + purges + probes, handed_over: config.handed_over }
}

/// Shares this process's descriptors.
fn shares(config: &Config, demand: DescriptorDemand) -> Result<DescriptorBudget, ServeError> {
    let descriptors = Descriptors::of_process(config.limits.sockets);
    let shares = DescriptorBudget::of(descriptors, demand);
    if descriptors.most < config.limits.sockets {
        tracing::warn!(
            descriptors.most,
            configured = config.limits.sockets,
            "the machine allows fewer descriptors"
        );
    }
    // Alone, the platform's front makes do with what there is; what an operator turned on beside it must fit.
    if shares.short && demand.signed + demand.others > 0 {
        let needed = demand.signed + demand.others;
        let reason =
            format!("{} are too few: what is on needs {needed} beside clients and members", descriptors.most);
        return Err(ServeError::field("limits.sockets", reason));
    }
    Ok(shares)
}

/// Serves until SIGTERM or SIGINT, and ends once all that was taken is answered.
pub async fn serve(mut config: Config, extras: Subsystems) -> Result<(), ServeError> {
    let handed = inherit::listener();
    let handed = handed.map_err(|e| ServeError::System("the socket that was handed over".into(), e))?;
    config.handed_over = handed.is_some();
    let clock = Clock::system();
    let demand = demand(&config, &extras);
    let shares = shares(&config, demand)?;
    let Subsystems { front, router, purges, door, registry, grpc, poor, duties, rules } = extras;
    let (engine, _) = engine_with(&config, &clock, demand.signed, shares)?;
    let listen = config.listen().map_err(|reason| ServeError::field("listen", reason))?;
    let bulletin = config.bulletin().map_err(|reason| ServeError::field("bulletin", reason))?;
    let (bulletin, moves) = watch::channel(bulletin);
    let seed = config.seed().map_err(|reason| ServeError::field("seed", reason))?;
    let host = Executor::new(clock, engine, CacheDriver);
    if let Some(door) = door.clone() {
        host.set_admission(AdmissionControl::new(door, "door"));
    }
    let await_signal = |kind| signal(kind).map_err(|e| ServeError::System("signals".into(), e));
    let mut terminate = await_signal(SignalKind::terminate())?;
    let mut interrupt = await_signal(SignalKind::interrupt())?;
    let mut hangup = await_signal(SignalKind::hangup())?;
    let mut report = await_signal(SignalKind::user_defined1())?;
    let handed = handed.map(TcpListener::from_std).transpose();
    let handed = handed.map_err(|e| ServeError::System("the socket that was handed over".into(), e))?;
    let listener = match handed {
        Some(listener) => listener,
        None => bind(listen).await?,
    };
    // Each listener of the platform's front, at its own address and at virtual ones, has its part of the clients' share.
    let virtual_listeners = router.iter().flat_map(|router| &router.listeners);
    let listeners = 1 + virtual_listeners.filter(|serve| serve.front == FrontKind::Platform).count();
    let connections = (shares.clients / listeners).max(1);
    let own = Rc::new(Platform::new(platform::limits(connections)));
    let (rules_config, rules) = rules.map(|(config, rules)| (config, Rc::new(rules))).unzip();
    own.set_rules(rules.clone());
    // The fronts whose requests the rules are for.
    let mut ruled = vec![own.clone()];
    let platform: Rc<dyn Front> = own;
    let fronts = Fronts::default();
    fronts.borrow_mut().push((FrontKind::Platform, platform.clone()));
    let (stop, closing) = (Rc::new(Stop::default()), Rc::new(Notify::new()));
    host.spawn("accepting", accept(host.clone(), platform, listener, stop.clone(), closing.clone()));
    let mgmt = config.mgmt().map_err(|reason| ServeError::field("mgmt", reason))?;
    let link = registry.as_ref().map(|_| Rc::new(RefCell::new(RegistryStatus::default())));
    if let (Some(registry), Some(link)) = (registry, link.clone()) {
        host.with(|engine| engine.take_roster_from_registry());
        tracing::info!(at = registry.address, "members come from the registry");
        host.spawn("the registry", registry_driver::keep(host.clone(), registry, link, seed));
    }
    let grpc = match grpc {
        None => None,
        Some(config) => {
            let front = GrpcFront::new(host.clone(), config.clone(), seed);
            let front = front.map_err(|reason| ServeError::field("routes", reason))?;
            let figures = front.clone();
            host.add_figures(Box::new(move || figures.figures()));
            Some((front, config))
        }
    };
    let router = match router {
        None => None,
        Some(set) => {
            let grpc_pools =
                grpc.iter().flat_map(|(_, g)| g.pools.iter().map(|pool| pool.name.clone())).collect();
            let enabled = EnabledSubsystems {
                signed_urls: front.is_some(),
                grpc_pools,
                admission: door.is_some(),
                registry: link.is_some(),
            };
            set.check_dependencies(&enabled).map_err(|reason| ServeError::field("vrrp", reason))?;
            let grpc = grpc.as_ref().map(|(front, _)| front.clone());
            let served = ServedFronts { host: host.clone(), fronts: fronts.clone(), grpc: grpc.clone() };
            let own = HostValues::new(host.clone());
            let values = SubsystemValues { host: host.clone(), own, registry: link.clone(), grpc };
            let router = VirtualRouter::new(host.clone(), set.clone(), Box::new(served), Box::new(values));
            let router = router.map_err(|reason| ServeError::field("key_file", reason))?;
            let figures = router.clone();
            host.add_figures(Box::new(move || figures.metrics()));
            Some((router, set))
        }
    };
    let duties = match duties {
        None => None,
        Some(config) => {
            let listen = config.at();
            let socket = bind_udp(listen).await?;
            let duties = HealthChecker::new(host.clone(), config, socket);
            let duties = duties.map_err(|reason| ServeError::field("key_file", reason))?;
            let (figures, task) = (duties.clone(), duties.clone());
            host.add_figures(Box::new(move || figures.metrics()));
            always(&host, "shared duties", move || duties_driver::run(task.clone()));
            tracing::info!(%listen, "duties are shared");
            Some(duties)
        }
    };
    if purges.is_some() && mgmt.is_none() {
        return Err(ServeError::field(
            "mgmt",
            "fleet purges are called at the second address, and there is none",
        ));
    }
    // Before anything is served: the purges that the log holds bind.
    let desk = purges.map(|purges| driver::open(&host, purges, seed)).transpose()?;
    if let Some(mgmt) = mgmt {
        let store = Store::of(&config.name);
        // Before anything is served: what is out of use stays so across an upgrade.
        store.take_over(&host);
        let keep = store.clone();
        let mut manage = AdminFront::new(Box::new(move |host| {
            // What the other process was told meanwhile is kept.
            keep.take_over(host);
            keep.write(host)
        }))
        .with_callers(shares.callers);
        if let Some(desk) = desk.clone() {
            manage =
                manage.with_calls(Box::new(move |host, call| driver::answer(host, &desk, call)), MAX_CALL);
        }
        if let Some(link) = link.clone() {
            manage = manage.with_calls(Box::new(move |_, call| registry_driver::answer(&link, call)), 0);
        }
        if let Some((front, _)) = &grpc {
            let front = front.clone();
            manage = manage.with_calls(Box::new(move |_, call| front.answer(call)), 0);
        }
        if let Some(duties) = &duties {
            let duties = duties.clone();
            manage = manage.with_calls(Box::new(move |_, call| duties.answer(call)), 0);
        }
        if let Some((router, _)) = &router {
            let router = router.clone();
            manage = manage.with_calls(Box::new(move |_, call| router.answer(call)), 0);
        }
        let front: Rc<dyn Front> = Rc::new(manage);
        let listener = bind(mgmt).await?;
        // It is open until the very end, so no stop counts its callers.
        let (open, never) = Default::default();
        host.spawn("calls", accept(host.clone(), front, listener, open, never));
        always(&host, "following maintenance", {
            let host = host.clone();
            move || store.clone().follow(host.clone())
        });
        tracing::info!(%mgmt, "calls are taken");
    }
    if let Some(desk) = desk {
        always(&host, "fleet purges", {
            let host = host.clone();
            move || driver::run(host.clone(), desk.clone())
        });
    }
    let reload = Rc::new(Notify::new());
    let second = Rc::new(Notify::new());
    if let Some(front) = front {
        let listen = front.listen().map_err(|reason| ServeError::field("listen", reason))?;
        let signed = front.front(host.clock.now().to_bits() ^ seed);
        let signed = Rc::new(signed.map_err(|reason| ServeError::field("keys", reason))?);
        let listener = bind(listen).await?;
        fronts.borrow_mut().push((FrontKind::Signed, signed.clone()));
        host.spawn("accepting", accept(host.clone(), signed.clone(), listener, stop.clone(), second.clone()));
        always(&host, "keeping keys", {
            let (host, reload) = (host.clone(), reload.clone());
            move || keep_keys(host.clone(), front.clone(), signed.clone(), reload.clone())
        });
        tracing::info!(%listen, "signed links are served");
    }
    let poor = match poor {
        None => None,
        Some(config) => {
            let inner = Rc::new(Platform::new(platform::limits(config.limits.tcp_connections)));
            inner.set_rules(rules.clone());
            ruled.push(inner.clone());
            Some((poor_links(&host, &config, inner, &stop).await?, config))
        }
    };
    let third = Rc::new(Notify::new());
    if let Some((front, config)) = &grpc {
        let listen = config.at();
        let listener = bind(listen).await?;
        host.spawn("accepting", grpc::accept(front.clone(), listener, stop.clone(), third.clone()));
        always(&host, "gRPC's housekeeping", {
            let front = front.clone();
            move || grpc::keep(front.clone())
        });
        always(&host, "gRPC's door", {
            let front = front.clone();
            move || grpc::keep_admission(front.clone())
        });
        host.spawn("the stop of calls", grpc::cut_at_stop(front.clone(), stop.clone()));
        tracing::info!(%listen, "gRPC calls are passed through");
    }
    always(&host, "keeping time", {
        let host = host.clone();
        move || host.clone().keep_time()
    });
    always(&host, "the bulletin", {
        let host = host.clone();
        move || discovery::run(host.clone(), moves.clone())
    });
    let router_stop = Rc::new(Notify::new());
    if let Some((router, set)) = &router {
        let listen = set.router_settings().listen;
        let socket = bind_udp(listen).await?;
        host.spawn("the virtual router", vrrp::run(router.clone(), socket, router_stop.clone()));
    }
    tracing::info!("{} serves on {listen}", config.name);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = report.recv() => print_counters(&host),
            _ = hangup.recv() => {
                reload.notify_one();
                reload_config(&host, &config, &bulletin);
                if let Some(door) = &door {
                    reload_admission(&host, door);
                }
                if let Some(config) = &rules_config {
                    match RulesConfig::read(&config.path) {
                        Ok((_, fresh)) => {
                            let fresh = Rc::new(fresh);
                            ruled.iter().for_each(|front| front.set_rules(Some(fresh.clone())));
                            tracing::info!(file = %config.path.display(), "rules read again");
                        }
                        Err(reason) => tracing::warn!(%reason, "the old rules stay"),
                    }
                }
                if let Some(Err(reason)) = duties.as_ref().map(|duties| duties.rekey()) {
                    tracing::warn!(%reason, "the duties' old keys stay");
                }
                if let Some((edge, config)) = &poor {
                    match edge.reload(config) {
                        Ok(()) => tracing::info!(file = %config.file.display(), "certificates and session keys read again"),
                        Err(reason) => tracing::warn!(%reason, "the old certificates and session keys stay"),
                    }
                }
                if let Some((router, config)) = &router {
                    let reloaded = config.reload().map_err(|e| e.to_string());
                    match reloaded.and_then(|fresh| router.reconfigure(fresh).map_err(|e| e.to_string())) {
                        Ok(()) => tracing::info!(file = %config.path.display(), "the virtual router's file read again"),
                        Err(reason) => tracing::warn!(%reason, "the virtual router's old file stays"),
                    }
                }
                if let Some((front, config)) = &grpc {
                    match config.again().map_err(|e| e.to_string()).and_then(|fresh| front.reconfigure(fresh)) {
                        Ok(()) => tracing::info!(file = %config.path.display(), "gRPC's file read again"),
                        Err(reason) => tracing::warn!(%reason, "gRPC's old file stays"),
                    }
                }
            }
        }
    }
    tracing::info!("{} stops", config.name);
    router_stop.notify_one();
    let until =
        host.clock.now() + ACCEPT_ON_MS + host.env().longest_deadline_ms().max(3_000.0) + STOP_MORE_MS;
    if config.handed_over {
        // Whoever connects from now on is the new process's: the socket stays open there.
        stop.turn_away();
        closing.notify_one();
        second.notify_one();
        third.notify_one();
        tokio::time::sleep(duration_from_ms(KEEP_IDLE_MS)).await;
    } else {
        tokio::time::sleep(duration_from_ms(ACCEPT_ON_MS)).await;
        closing.notify_one();
        second.notify_one();
        third.notify_one();
    }
    if let Some((router, _)) = &router {
        router.close_all();
    }
    if let Some((edge, _)) = &poor {
        edge.closing.iter().for_each(|closing| closing.notify_one());
    }
    stop.begin();
    let busy = || router.as_ref().map_or(0, |(router, _)| router.open_connections()) + stop.holds();
    // A moment for connections that the machine had accepted and this process not yet.
    tokio::time::sleep(duration_from_ms(4.0 * STOP_LOOK_MS)).await;
    while (busy() > 0 || host.with(|engine| engine.owed()) > 0) && host.clock.now() < until {
        tokio::time::sleep(duration_from_ms(STOP_LOOK_MS)).await;
    }
    print_counters(&host);
    Ok(())
}

/// The edge for poor links, as a running process holds it.
struct Http3Edge {
    endpoint: quinn::Endpoint,
    front: Rc<Http3Front>,
    /// Ends the taking of new connections, of QUIC and of TCP.
    closing: [Rc<Notify>; 2],
}

impl Http3Edge {
    /// Takes certificates and session keys as their files stand by now.
    fn reload(&self, config: &Http3Config) -> Result<(), String> {
        let server = server::server_config(config)?;
        if config.session_keys.is_some() {
            self.front.rekey(config.sessions()?);
        }
        self.endpoint.set_server_config(Some(server));
        Ok(())
    }
}

/// Opens the edge for poor links: QUIC, and TCP where the file says so, on one shelf.
async fn poor_links(
    host: &Rc<Executor>,
    config: &Http3Config,
    inner: Rc<dyn Front>,
    stop: &Rc<Stop>,
) -> Result<Http3Edge, ServeError> {
    let l = &config.limits;
    let field = |name| move |reason| ServeError::field(name, reason);
    let keeper = CallRegistry::new(host.clone(), config.shelf());
    let sessions = config.sessions().map_err(field("session_keys"))?;
    let limits =
        Limits { idle_ms: l.idle_ms, body_bytes: l.body_bytes, ..platform::limits(l.tcp_connections) };
    let front = Rc::new(Http3Front::new(inner, limits, sessions, keeper.clone()));
    let listen = config.at();
    let server = server::server_config(config).map_err(field("certificate"))?;
    let open = || std::future::ready(quinn::Endpoint::server(server.clone(), listen));
    let endpoint = while_in_use(listen, open).await?;
    let driver = server::Driver::new(host.clone(), front.clone(), keeper.clone(), l.clone());
    let figures = driver.clone();
    host.add_figures(Box::new(move || figures.metrics()));
    let closing = [Rc::new(Notify::new()), Rc::new(Notify::new())];
    host.spawn("accepting", server::accept(driver, endpoint.clone(), stop.clone(), closing[0].clone()));
    always(host, "the shelf", move || keeper.clone().keep());
    if let Some(tcp) = config.tcp_at() {
        let listener = bind(tcp).await?;
        host.spawn(
            "accepting",
            accept(host.clone(), front.clone(), listener, stop.clone(), closing[1].clone()),
        );
    }
    tracing::info!(%listen, "HTTP/3 is served");
    Ok(Http3Edge { endpoint, front, closing })
}

/// The fronts that are on, for virtual addresses.
type Fronts = Rc<RefCell<Vec<(FrontKind, Rc<dyn Front>)>>>;

/// Serves the listeners of virtual addresses by the fronts that are on.
struct ServedFronts {
    host: Rc<Executor>,
    fronts: Fronts,
    grpc: Option<Rc<GrpcFront>>,
}

impl VirtualFronts for ServedFronts {
    fn serve(&self, kind: FrontKind, listener: TcpListener, stop: Rc<Stop>, closing: Rc<Notify>) {
        if let (FrontKind::Grpc, Some(front)) = (kind, &self.grpc) {
            return self.host.spawn("accepting", grpc::accept(front.clone(), listener, stop, closing));
        }
        let front = self.fronts.borrow().iter().find(|(k, _)| *k == kind).map(|(_, front)| front.clone());
        if let Some(front) = front {
            self.host.spawn("accepting", accept(self.host.clone(), front, listener, stop, closing));
        }
    }
}

/// The values that a virtual router tracks, from all subsystems.
struct SubsystemValues {
    host: Rc<Executor>,
    own: HostValues,
    registry: Option<Rc<RefCell<RegistryStatus>>>,
    grpc: Option<Rc<GrpcFront>>,
}

impl TrackedValues for SubsystemValues {
    fn value(&self, object: &TrackedObject) -> Option<f64> {
        match object {
            TrackedObject::Registry => {
                let answered = self.registry.as_ref()?.borrow().answered_ms;
                Some(self.host.clock.now() - answered).filter(|_| answered > 0.0)
            }
            TrackedObject::GrpcPool(pool) => self.grpc.as_ref()?.usable(pool),
            other => self.own.value(other),
        }
    }
}

/// Reads the configuration again, takes its settings and moves the bulletin's link where it says another address.
/// Guards a running proxy against a file that can't be used: all stays as it was.
pub fn reload_config(host: &Rc<Executor>, config: &Config, bulletin: &watch::Sender<SocketAddr>) {
    let read = config.again().map_err(|e| e.to_string());
    match read.and_then(|fresh| Ok((fresh.bulletin().map_err(|e| e.to_string())?, fresh.settings))) {
        Ok((address, settings)) => {
            host.with(|engine| {
                engine.counters.reloads += 1;
                engine.reconfigure(settings);
            });
            let moved = bulletin.send_if_modified(|old| std::mem::replace(old, address) != address);
            tracing::info!(bulletin = %address, moved, "configuration read again");
        }
        Err(reason) => {
            host.with(|engine| engine.counters.reload_faults += 1);
            tracing::warn!(%reason, "the old configuration stays");
        }
    }
}

/// Reads the door's file again: other weights hold from the next round; a file that can't be used changes nothing.
pub fn reload_admission(host: &Rc<Executor>, door: &AdmissionConfig) {
    match door.again() {
        Ok(fresh) => {
            host.with_admission(|gate| gate.reconfigure(fresh));
            tracing::info!(file = %door.path.display(), "the door's file read again");
        }
        Err(reason) => tracing::warn!(%reason, "the door's old file stays"),
    }
}

async fn bind(at: SocketAddr) -> Result<TcpListener, ServeError> {
    while_in_use(at, || TcpListener::bind(at)).await
}

async fn bind_udp(at: SocketAddr) -> Result<UdpSocket, ServeError> {
    while_in_use(at, || UdpSocket::bind(at)).await
}

/// Opens a socket at an address, and tries again for [`IN_USE_MS`] while another process has it.
async fn while_in_use<S, T, F>(at: SocketAddr, open: S) -> Result<T, ServeError>
where
    S: Fn() -> F,
    F: Future<Output = std::io::Result<T>>,
{
    let mut tries = (IN_USE_MS / IN_USE_LOOK_MS) as u32;
    loop {
        match open().await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && tries > 0 => {
                if tries == (IN_USE_MS / IN_USE_LOOK_MS) as u32 {
                    tracing::warn!(%at, "the address is in use; most likely by a process that is ending");
                }
                tries -= 1;
                tokio::time::sleep(duration_from_ms(IN_USE_LOOK_MS)).await;
            }
            opened => return opened.map_err(|e| ServeError::System(format!("listen on {at}"), e)),
        }
    }
}

fn print_counters(host: &Rc<Executor>) {
    let counters = host.with(|engine| engine.counters.to_string());
    tracing::info!("counters\n{}", counters.trim_end());
}

/// Runs a task that must never end: guards against a panic in it stopping what all others need.
fn always<F, T>(host: &Rc<Executor>, what: &'static str, make: F)
where
    F: Fn() -> T + 'static,
    T: Future<Output = ()> + 'static,
{
    let own = host.clone();
    host.spawn(what, async move {
        loop {
            let task = tokio::task::spawn_local(make());
            if task.await.is_err() {
                own.with(|engine| engine.counters.panics += 1);
                tracing::error!(what, "a task ended in a panic and starts again");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    });
}
