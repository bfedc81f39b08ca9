//! The [`Subsystem`] trait, and the context that all subsystems of the server process share.

use super::config::Config;
use super::descriptors::DescriptorBudget;
use super::error::ServeError;
use crate::engine::executor::{Executor, MetricsSource};
use crate::grpc::front::GrpcFront;
use crate::registry::service::RegistryStatus;
use crate::rules::table::Rules;
use crate::vrrp::config::FrontKind;
use crate::wire::admin::AdminHandler;
use crate::wire::classification::RequestClassifier;
use crate::wire::front::Front;
use crate::wire::platform::Platform;
use crate::wire::shutdown::GracefulShutdown;
use futures_util::future::{ready, FutureExt, LocalBoxFuture};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The future of a startup step.
pub type StartFuture<'a> = LocalBoxFuture<'a, Result<(), ServeError>>;

/// A subsystem of the server process. It starts in two steps, reloads its file on SIGHUP and stops in stages.
///
/// Subsystems are called in the order of [`super::subsystems::create_subsystems`].
pub trait Subsystem {
    /// Creates the state that other subsystems, metrics and admin calls use. Called before the admin listener
    /// opens.
    fn prepare<'a>(&'a mut self, _context: &'a Context) -> StartFuture<'a> {
        ready(Ok(())).boxed_local()
    }

    /// Opens sockets and spawns tasks. Called after all subsystems are prepared.
    fn start<'a>(&'a mut self, _context: &'a Context) -> StartFuture<'a> {
        ready(Ok(())).boxed_local()
    }

    /// The source of its metrics, if any. Called once, after [`Self::prepare`].
    fn metrics(&self) -> Option<MetricsSource> {
        None
    }

    /// The handler of its admin calls, if any. Called once, after [`Self::prepare`].
    fn admin_calls(&self) -> Option<AdminCalls> {
        None
    }

    /// Reloads its file. An invalid file is logged and leaves the configuration unchanged.
    fn reload(&mut self, _context: &Context) {}

    /// Performs a stage of a graceful shutdown.
    fn stop(&mut self, _stage: StopStage) {}

    /// Client connections that [`Context::stop`] does not count and that are still waiting for a response.
    fn open_connections(&self) -> usize {
        0
    }
}

/// The stages of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStage {
    /// The stop signal arrived: peers are notified, connections are still accepted.
    Announce,
    /// The listeners of the platform's front, of signed URLs and of gRPC close.
    CloseListeners,
    /// The listeners of the HTTP/3 subsystem, over QUIC and TCP, and of virtual addresses close.
    CloseRemaining,
    /// The process may soon be killed: every open request is answered, and incomplete ones are rejected.
    EndRequests,
}

/// The admin calls of a subsystem.
pub struct AdminCalls {
    /// Handles the subsystem's calls.
    pub handler: Box<dyn AdminHandler>,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
}

/// The state that all subsystems share.
pub struct Context {
    /// The configuration that was read at startup.
    pub config: Config,
    /// Runs the engine and all tasks.
    pub executor: Rc<Executor>,
    /// The random seed.
    pub seed: u64,
    /// The maximum number of connections of each kind.
    pub budget: DescriptorBudget,
    /// The shutdown state, shared with client connections.
    pub stop: Rc<GracefulShutdown>,
    /// The routing rules and the fronts that use them.
    pub rules: ActiveRules,
    /// The fronts that are available to virtual addresses.
    pub fronts: FrontDirectory,
    /// The gRPC front, once prepared.
    pub grpc: RefCell<Option<Rc<GrpcFront>>>,
    /// The status of the registry client, once prepared.
    pub registry: RefCell<Option<Rc<RefCell<RegistryStatus>>>>,
    /// The admin calls of all prepared subsystems, until the admin front takes them.
    pub admin_calls: RefCell<Vec<AdminCalls>>,
    /// Whether all subsystems have started, so that this process can replace another one.
    pub ready: Rc<Cell<bool>>,
}

impl Context {
    /// Creates the context before any subsystem is prepared.
    pub fn new(config: Config, executor: Rc<Executor>, seed: u64, budget: DescriptorBudget) -> Self {
        Self {
            config,
            executor,
            seed,
            budget,
            stop: Rc::default(),
            rules: ActiveRules::default(),
            fronts: FrontDirectory::default(),
            grpc: RefCell::default(),
            registry: RefCell::default(),
            admin_calls: RefCell::default(),
            ready: Rc::default(),
        }
    }
}

/// The active routing rules, and the fronts whose requests they classify.
#[derive(Default)]
pub struct ActiveRules {
    current: RefCell<Option<Rc<Rules>>>,
    fronts: RefCell<Vec<Rc<Platform>>>,
}

impl ActiveRules {
    /// Registers a front, which uses the current rules and later replacements.
    pub fn attach(&self, front: Rc<Platform>) {
        front.set_classifier(self.classifier());
        self.fronts.borrow_mut().push(front);
    }

    fn classifier(&self) -> Option<Rc<dyn RequestClassifier>> {
        let current = self.current.borrow().clone();
        current.map(|rules| rules as Rc<dyn RequestClassifier>)
    }

    /// Replaces the rules of all attached fronts.
    pub fn replace(&self, rules: Rules) {
        let rules = Some(Rc::new(rules));
        *self.current.borrow_mut() = rules;
        self.fronts.borrow().iter().for_each(|front| front.set_classifier(self.classifier()));
    }
}

/// The enabled HTTP/1.1 fronts, by kind.
#[derive(Clone, Default)]
pub struct FrontDirectory(Rc<RefCell<Vec<FrontEntry>>>);

struct FrontEntry {
    kind: FrontKind,
    front: Rc<dyn Front>,
}

impl FrontDirectory {
    /// Adds a front.
    pub fn add(&self, kind: FrontKind, front: Rc<dyn Front>) {
        self.0.borrow_mut().push(FrontEntry { kind, front });
    }

    /// Returns the front of a kind, if it is enabled.
    pub fn find(&self, kind: FrontKind) -> Option<Rc<dyn Front>> {
        let fronts = self.0.borrow();
        fronts.iter().find(|entry| entry.kind == kind).map(|entry| entry.front.clone())
    }
}
