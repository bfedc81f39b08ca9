//! Fleet purges: the purge log, the admin calls that submit and replicate purges, and the leader's task.

use crate::lifecycle::error::ServeError;
use crate::lifecycle::shared_folder;
use crate::lifecycle::subsystem::{AdminCalls, Context, StartFuture, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::lock_file::{FileLock, LockError, LockFile};
use crate::purge::config::{PurgeConfig, Role};
use crate::purge::service::PurgeService;
use crate::purge::wire::MAX_BODY_BYTES;
use futures_util::future::{ready, FutureExt};
use std::rc::Rc;
use std::time::Duration;

/// The subsystem of fleet purges.
pub struct Purges {
    config: PurgeConfig,
    service: Option<Rc<PurgeService>>,
    /// Held for as long as a leader runs; see [`lock_numbering`].
    numbering_lock: Option<FileLock>,
}

impl Purges {
    /// Creates the subsystem from its configuration.
    pub fn new(config: PurgeConfig) -> Self {
        Self { config, service: None, numbering_lock: None }
    }

    /// Reads the purge log. Its purges must be in effect before the first request is served.
    fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        if context.config.admin_address().map_err(ServeError::field("mgmt"))?.is_none() {
            let reason = "fleet purges need an admin address, and none is configured";
            return Err(ServeError::field("mgmt")(reason));
        }
        if self.config.role == Role::Leader {
            self.numbering_lock = lock_numbering(&self.config, context)?;
        }
        self.service = Some(PurgeService::open(&context.executor, self.config.clone(), context.seed)?);
        Ok(())
    }
}

/// Excludes another process of this leader that numbers purges on its own, as two processes of an upgrade
/// would if one of them has no log. A leader without a log is the only process; those with a log share it.
/// Without a shared folder that can be written, other processes are not noticed.
fn lock_numbering(config: &PurgeConfig, context: &Context) -> Result<Option<FileLock>, ServeError> {
    let listen = context.config.listen_address().map_err(ServeError::field("listen"))?;
    let file = format!("purges-{}.lock", listen.to_string().replace(':', "-"));
    let Some(path) = shared_folder::file_of_proxy(&context.config.name, &file) else { return Ok(None) };
    let taken = LockFile::open(path).and_then(|mut lock_file| match config.log_path {
        Some(_) => lock_file.try_acquire_shared(),
        None => lock_file.acquire(Duration::ZERO),
    });
    match taken {
        Ok(lock) => Ok(Some(lock)),
        Err(error @ LockError::Held { .. }) => Err(ServeError::field("state")(format!(
            "the leader {:?} runs in another process, and one of the two has no `state`, so that both would \
             number purges on their own: set `state` for both, or stop the other process first ({error})",
            config.name
        ))),
        Err(error @ LockError::Io { .. }) => {
            tracing::warn!(%error, "purges: another process of this leader would not be noticed");
            Ok(None)
        }
    }
}

impl Subsystem for Purges {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        ready(self.open(context)).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        if let Some(service) = self.service.clone() {
            supervise(&context.executor, "fleet purges", move || service.clone().run());
        }
        ready(Ok(())).boxed_local()
    }

    fn admin_calls(&self) -> Option<AdminCalls> {
        let service = self.service.clone()?;
        let handler = Box::new(move |call: &_| service.answer(call));
        Some(AdminCalls { handler, max_body: MAX_BODY_BYTES })
    }
}
