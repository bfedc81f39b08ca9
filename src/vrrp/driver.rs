//! The task that runs a virtual router: UDP socket, timers and sampling of tracked objects.

use super::machine::State;
use super::message::Advertisement;
use super::router::VirtualRouter;
use crate::clock::duration_from_ms;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Time between two samples of the tracked objects, in milliseconds.
const SAMPLE_INTERVAL_MS: f64 = 100.0;
/// Size of the receive buffer, in bytes. Longer datagrams are truncated and then rejected.
const MAX_DATAGRAM_BYTES: usize = 512;

/// Runs a virtual router until `stop` is notified. The caller then closes the router's listeners.
pub async fn run(router: Rc<VirtualRouter>, socket: UdpSocket, stop: Rc<Notify>) {
    let clock = router.executor.clock.clone();
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
    let mut state = State::Initialize;
    let mut sample_due_ms = clock.now();
    let initial_advertisement = router.machine.borrow_mut().start(clock.now());
    let mut outgoing: Vec<Advertisement> = initial_advertisement.into_iter().collect();
    loop {
        for advertisement in outgoing.drain(..) {
            send_to_peers(&router, &socket, &advertisement).await;
        }
        let now = clock.now();
        if router.state() != state {
            let previous = std::mem::replace(&mut state, router.state());
            router.state_changed(now, previous, state);
            if state == State::Initialize {
                return;
            }
        }
        router.addresses.apply_state(now, state);
        let timer_due_ms = router.machine.borrow().due_ms().min(router.addresses.due_ms());
        let due_ms = timer_due_ms.min(sample_due_ms);
        tokio::select! {
            () = stop.notified() => outgoing.extend(router.machine.borrow_mut().stop()),
            () = router.sample_requested.notified() => sample_due_ms = now,
            () = tokio::time::sleep(duration_from_ms(due_ms - now)) => {
                let now = clock.now();
                outgoing.extend(router.machine.borrow_mut().tick(now));
                if now >= sample_due_ms {
                    sample_due_ms = now + SAMPLE_INTERVAL_MS;
                    outgoing.extend(router.sample_tracked_objects());
                }
            }
            // Receive errors are ignored: they report that an earlier datagram was not delivered (ICMP port
            // unreachable).
            received = socket.recv_from(&mut buffer) => if let Ok((length, from)) = received {
                outgoing.extend(router.receive(from, &buffer[..length]));
            },
        }
    }
}

async fn send_to_peers(router: &VirtualRouter, socket: &UdpSocket, advertisement: &Advertisement) {
    let peers = router.config.borrow().router_settings().peers;
    for peer in peers {
        // A send error needs no handling: a failed peer is detected by its missing advertisements.
        let sent = socket.send_to(&router.encode(advertisement), peer).await.is_ok();
        router.count(|metrics| metrics.sent += u64::from(sent));
        router.executor.with(|engine| engine.counters.vrrp_sent += u64::from(sent));
    }
}
