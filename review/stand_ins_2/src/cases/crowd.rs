//! A crowd opens connections, sends half a request on each and comes back as soon as it is turned away.

use super::Played;
use crate::proxy::{platform_socket, CLASSES};
use crate::record::now_ms;
use crate::site::Site;
use crate::web::{read, request, send};
use crate::{Run, Verdict};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The crowd: this many processes with so many connections each.
const CROWDS: usize = 2;
const CROWD: usize = 800;
/// The crowd ends by itself after this time.
const CROWD_SECONDS: u64 = 30;
/// How soon a member of the crowd that was turned away comes back.
const BACK_MS: u64 = 50;
/// The length of the platform's listen queue.
const BACKLOG: u32 = 4_096;
/// The descriptors of the proxy.
const SOCKETS: usize = 128;
/// How long a client waits, half of its class's time to give up.
const PATIENCE_MS: f64 = 1_500.0;
/// Until then an answer only earns nothing; later it is lost.
const GRACE_MS: f64 = 500.0 + 50.0;
/// How long a client stays to see whether an answer comes at all.
const STAY_MS: u64 = 8_000;
const CLIENTS: u64 = 60;

async fn member(to: SocketAddr) {
    let half = b"GET /ops/small-object/00000000000000aa HTTP/1.1\r\nHost: origin.svc\r\nX-Call";
    loop {
        if let Ok(mut stream) = TcpStream::connect(to).await {
            let _ = stream.write_all(half).await;
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest).await;
        }
        sleep(Duration::from_millis(BACK_MS)).await;
    }
}

/// The crowd, as a process of its own: `review-2 crowd-members ADDRESS`.
pub async fn members(to: SocketAddr) {
    for _ in 0..CROWD {
        spawn_local(member(to));
    }
    sleep(Duration::from_secs(CROWD_SECONDS)).await;
}

/// A process of the crowd, killed when this is dropped.
struct Members(Child);

impl Members {
    fn start(to: SocketAddr) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.args(["crowd-members", &to.to_string()]).stdout(Stdio::null());
        command.spawn().map(Self).map_err(|error| error.to_string())
    }
}

impl Drop for Members {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A request that was taken: its number, the time to its answer in milliseconds, and the answer's status.
type Taken = (u64, f64, Option<u16>);

pub async fn play(run: &Run) -> Played {
    let mut site = Site::start(run).await;
    site.servers.iter().for_each(|server| server.set_quiet());
    site.sockets = SOCKETS;
    site.config = site.configure(run, "node.json", &CLASSES, &[false, false, true]);
    let held = platform_socket(site.listen, BACKLOG).map_err(|error| error.to_string())?;
    let proxy = site.proxy_on(run, "", Some(&held)).await?;
    let mut crowd = Vec::new();
    if run.trouble {
        let count = CROWDS * CROWD;
        run.record.line(format!("a crowd opens {count} connections and sends half a request on each"));
        for _ in 0..CROWDS {
            crowd.push(Members::start(site.listen)?);
        }
        sleep(Duration::from_millis(3_000)).await;
    }
    let taken: Rc<RefCell<Vec<Taken>>> = Rc::default();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, listen, taken) = (run.record.clone(), site.listen, taken.clone());
        clients.push(spawn_local(async move {
            let id = format!("{:016x}", 0x5000 + number);
            let patience = format!("{PATIENCE_MS}");
            let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", patience.as_str()), ("X-Set", "17")];
            let text = request("GET", &format!("/ops/small-object/{:016x}", number % 7 + 1), &headers, "");
            let Ok(Ok(mut stream)) = timeout(Duration::from_millis(500), send(listen, &text)).await else {
                return record.line(format!("the connection of request {id} is not accepted"));
            };
            let sent_ms = now_ms();
            let reply = timeout(Duration::from_millis(STAY_MS), read(&mut stream, usize::MAX)).await;
            let took_ms = now_ms() - sent_ms;
            let what = match &reply {
                Ok(Some(reply)) => format!("gets {}", reply.status),
                Ok(None) => "is shut without an answer".into(),
                Err(_) => "gets nothing".into(),
            };
            record.line(format!("request {id} {what} after {took_ms:.0} ms"));
            if let Ok(None) = reply {
                return;
            }
            taken.borrow_mut().push((number, took_ms, reply.ok().flatten().map(|reply| reply.status)));
        }));
        sleep(Duration::from_millis(100)).await;
    }
    for client in clients {
        let _ = client.await;
    }
    drop(crowd);
    proxy.copy_log(&run.record, &[]);
    let taken = taken.borrow();
    let late = taken.iter().filter(|(_, took_ms, _)| *took_ms > PATIENCE_MS + GRACE_MS).count();
    let served = taken.iter().filter(|(_, _, status)| *status == Some(200)).count();
    run.record
        .line(format!("{} requests were taken, {served} served, {late} had no answer in time", taken.len()));
    if late == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{late} of {} requests, written whole to open connections, had no answer {GRACE_MS} ms after their time",
        taken.len()
    )))
}
