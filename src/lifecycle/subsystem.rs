//! The shape that all subsystems of a serving process share, and what they share with one another.

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
use std::cell::RefCell;
use std::rc::Rc;

/// The result of a step of a start.
pub type Starting<'a> = LocalBoxFuture<'a, Result<(), ServeError>>;

/// A part of a serving process: it starts in two steps, reads its file again on SIGHUP and stops in stages.
///
/// All methods are called in the order of the list of subsystems, see [`super::subsystems::configured`].
pub trait Subsystem {
    /// Creates what other subsystems, metrics and admin calls use. Called before the admin address opens.
    fn prepare<'a>(&'a mut self, _context: &'a Context) -> Starting<'a> {
        ready(Ok(())).boxed_local()
    }

    /// Opens sockets and spawns tasks. Called once all subsystems are prepared.
    fn start<'a>(&'a mut self, _context: &'a Context) -> Starting<'a> {
        ready(Ok(())).boxed_local()
    }

    /// The source of its metrics, if it has any; called once, when it is prepared.
    fn metrics(&self) -> Option<MetricsSource> {
        None
    }

    /// Its calls at the admin address, if it has any; called once, when it is prepared.
    fn admin_calls(&self) -> Option<AdminCalls> {
        None
    }

    /// Reads its file again. A file that cannot be used is logged and changes nothing.
    fn reload(&mut self, _context: &Context) {}

    /// Carries out a stage of a graceful stop.
    fn stop(&mut self, _stage: StopStage) {}

    /// Connections of clients that [`Context::stop`] does not count and that still have answers to come.
    fn open_connections(&self) -> usize {
        0
    }
}

/// The stages of a graceful stop, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStage {
    /// The signal arrived: peers are told, clients are still accepted.
    Announce,
    /// The HTTP/1.1 and gRPC listeners accept no more.
    CloseListeners,
    /// The other listeners accept no more: HTTP/3 and virtual addresses.
    CloseRemaining,
}

/// A subsystem's calls at the admin address.
pub struct AdminCalls {
    /// Answers the calls that are the subsystem's own.
    pub handler: Box<dyn AdminHandler>,
    /// The longest body of a call, in bytes.
    pub max_body: usize,
}

/// What all subsystems share.
pub struct Context {
    /// The configuration as it was read at the start.
    pub config: Config,
    /// Runs the engine and the tasks.
    pub executor: Rc<Executor>,
    /// Seed of what is random.
    pub seed: u64,
    /// How many connections of each kind there may be.
    pub budget: DescriptorBudget,
    /// The state of the stop, shared with clients' connections.
    pub stop: Rc<GracefulShutdown>,
    /// The routing rules and the fronts that follow them.
    pub rules: RoutingRules,
    /// The fronts that virtual addresses may serve.
    pub fronts: FrontDirectory,
    /// The gRPC front, once it is prepared.
    pub grpc: RefCell<Option<Rc<GrpcFront>>>,
    /// The state of the registry client, once it is prepared.
    pub registry: RefCell<Option<Rc<RefCell<RegistryStatus>>>>,
    /// The calls of all prepared subsystems, until the admin address takes them over.
    pub admin_calls: RefCell<Vec<AdminCalls>>,
}

impl Context {
    /// The context of a process that has not started any subsystem.
    pub fn new(config: Config, executor: Rc<Executor>, seed: u64, budget: DescriptorBudget) -> Self {
        Self {
            config,
            executor,
            seed,
            budget,
            stop: Rc::default(),
            rules: RoutingRules::default(),
            fronts: FrontDirectory::default(),
            grpc: RefCell::default(),
            registry: RefCell::default(),
            admin_calls: RefCell::default(),
        }
    }
}

/// The routing rules in force, and the fronts whose requests they classify.
#[derive(Default)]
pub struct RoutingRules {
    current: RefCell<Option<Rc<Rules>>>,
    fronts: RefCell<Vec<Rc<Platform>>>,
}

impl RoutingRules {
    /// Lets a front follow the rules from now on.
    pub fn attach(&self, front: Rc<Platform>) {
        front.set_classifier(self.classifier());
        self.fronts.borrow_mut().push(front);
    }

    fn classifier(&self) -> Option<Rc<dyn RequestClassifier>> {
        let current = self.current.borrow().clone();
        current.map(|rules| rules as Rc<dyn RequestClassifier>)
    }

    /// Puts other rules in force at all attached fronts.
    pub fn replace(&self, rules: Rules) {
        let rules = Some(Rc::new(rules));
        *self.current.borrow_mut() = rules;
        self.fronts.borrow().iter().for_each(|front| front.set_classifier(self.classifier()));
    }
}

/// The HTTP/1.1 fronts that are on, by kind.
#[derive(Clone, Default)]
pub struct FrontDirectory(Rc<RefCell<Vec<ListedFront>>>);

struct ListedFront {
    kind: FrontKind,
    front: Rc<dyn Front>,
}

impl FrontDirectory {
    /// Adds a front.
    pub fn add(&self, kind: FrontKind, front: Rc<dyn Front>) {
        self.0.borrow_mut().push(ListedFront { kind, front });
    }

    /// The front of a kind, where it is on.
    pub fn find(&self, kind: FrontKind) -> Option<Rc<dyn Front>> {
        let fronts = self.0.borrow();
        fronts.iter().find(|listed| listed.kind == kind).map(|listed| listed.front.clone())
    }
}
