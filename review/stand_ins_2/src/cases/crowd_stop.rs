//! A planned restart while a crowd fills the descriptors.

use super::Played;
use crate::proxy::CLASSES;
use crate::record::now_ms;
use crate::site::Site;
use crate::web::{read, request, send};
use crate::{Run, Verdict};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const SOCKETS: usize = 256;
const CROWD: usize = 400;
const BACK_MS: u64 = 20;
const PATIENCE_MS: f64 = 1_500.0;
const GRACE_MS: f64 = 500.0 + 50.0;
/// New connections go on coming for so long after SIGTERM.
const AFTER_SIGTERM_MS: f64 = 300.0;

async fn member(to: SocketAddr, half: bool, ended: Rc<Cell<bool>>) {
    while !ended.get() {
        if let Ok(Ok(mut stream)) = timeout(Duration::from_millis(3_000), TcpStream::connect(to)).await {
            if half {
                let _ = stream.write_all(b"GET /ops/small-object/00000000000000aa HTTP/1.1\r\nHost: o").await;
            }
            let mut rest = Vec::new();
            let _ = timeout(Duration::from_secs(8), stream.read_to_end(&mut rest)).await;
        }
        sleep(Duration::from_millis(BACK_MS)).await;
    }
}

pub async fn play(run: &Run) -> Played {
    let half = std::env::var("CROWD_HALF").is_ok();
    let hang = std::env::var("HANG").is_ok();
    let mut site = Site::start(run).await;
    site.servers.iter().for_each(|server| {
        server.set_quiet();
        server.service_ms.set(if hang { 20_000 } else { 200 });
    });
    site.sockets = SOCKETS;
    site.config = site.configure(run, "node.json", &CLASSES, &[false, false, true]);
    let mut proxy = site.proxy(run, "").await?;
    let ended = Rc::new(Cell::new(false));
    if run.trouble {
        for _ in 0..CROWD {
            spawn_local(member(site.listen, half, ended.clone()));
        }
        sleep(Duration::from_millis(1_500)).await;
    }
    let breaks: Rc<RefCell<Vec<String>>> = Rc::default();
    let begun_ms = now_ms();
    let sigterm_ms = begun_ms + 2_000.0;
    let (mut signalled, mut number, mut clients) = (false, 0u64, Vec::new());
    while now_ms() < sigterm_ms + AFTER_SIGTERM_MS {
        if !signalled && now_ms() >= sigterm_ms {
            signalled = true;
            run.record.line("SIGTERM");
            proxy.signal("TERM");
        }
        number += 1;
        let (record, listen, breaks) = (run.record.clone(), site.listen, breaks.clone());
        clients.push(spawn_local(async move {
            let id = format!("{:016x}", 0x7000 + number);
            let patience = format!("{PATIENCE_MS}");
            let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", patience.as_str()), ("X-Set", "17")];
            let text = request("GET", &format!("/ops/small-object/{:016x}", number % 7 + 1), &headers, "");
            let Ok(Ok(mut stream)) = timeout(Duration::from_millis(800), send(listen, &text)).await else {
                return;
            };
            let sent_ms = now_ms();
            let reply = timeout(Duration::from_millis(6_000), read(&mut stream, usize::MAX)).await;
            let took_ms = now_ms() - sent_ms;
            let what = match &reply {
                Ok(Some(reply)) if took_ms <= PATIENCE_MS + GRACE_MS => {
                    return record.line(format!("request {id} gets {} after {took_ms:.0} ms", reply.status))
                }
                Ok(Some(reply)) => format!("gets {} late", reply.status),
                Ok(None) => "is closed without an answer".into(),
                Err(_) => "gets nothing".to_string(),
            };
            let at = sent_ms - sigterm_ms;
            record.line(format!(
                "BREAK request {id} {what} after {took_ms:.0} ms, written {at:.0} ms after SIGTERM"
            ));
            breaks.borrow_mut().push(what);
        }));
        sleep(Duration::from_millis(20)).await;
    }
    for client in clients {
        let _ = client.await;
    }
    ended.set(true);
    run.record.line(format!("the proxy has ended: {}", proxy.has_ended()));
    proxy.copy_log(&run.record, &["shutdown"]);
    let breaks = breaks.borrow();
    if breaks.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("{} requests had no answer in time", breaks.len())))
}
