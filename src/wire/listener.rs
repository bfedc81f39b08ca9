//! The TCP listener of a front: accepts connections, and serves each in its own task.

use super::client_connection::ClientConnection;
use super::closable_listener::{Accepted, ClosableListener};
use super::connection_slots::ConnectionSlots;
use super::front::Front;
use super::shutdown::GracefulShutdown;
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use std::rc::Rc;
use tokio::time::sleep;

/// The delay after a failed accept, in milliseconds; the usual cause is a lack of file descriptors.
const ACCEPT_RETRY_MS: f64 = 20.0;
/// Accepts connections until the listener has closed. At the front's connection limit, the last accepted
/// connection waits for a slot, and later ones stay in the backlog.
pub async fn accept(
    executor: Rc<Executor>,
    front: Rc<dyn Front>,
    mut listener: ClosableListener,
    shutdown: Rc<GracefulShutdown>,
) {
    let slots = ConnectionSlots::new(front.limits().connections);
    while let Some(accepted) = listener.accept(&executor.clock).await {
        let Ok(Accepted { stream, peer }) = accepted else {
            executor.with(|engine| engine.counters.accept_failures += 1);
            sleep(duration_from_ms(ACCEPT_RETRY_MS)).await;
            continue;
        };
        executor.with(|engine| engine.counters.client_connections += 1);
        let guard = shutdown.track_connection();
        let slot = slots.acquire(&executor).await;
        let (front, shutdown) = (front.clone(), shutdown.clone());
        let connection = ClientConnection::new(executor.clone(), front, shutdown, slot, stream, peer.ip());
        executor.spawn("client connection", connection.serve(guard));
    }
}
