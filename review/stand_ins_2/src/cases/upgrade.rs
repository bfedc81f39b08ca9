//! A new version is started beside the old one, on an installation with HTTP/3.

use super::resumed_copy::http3_file;
use super::Played;
use crate::proxy::{free_address, platform_socket, Proxy, Start};
use crate::record::now_ms;
use crate::site::Site;
use crate::web::{get, read, request, send};
use crate::{Run, Verdict};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long a request takes at a cache.
const SERVICE_MS: u64 = 250;
/// The time from one request to the next.
const REQUEST_GAP_MS: u64 = 40;
/// How often the platform asks the new process whether it can serve; at its yes the old one gets SIGTERM.
const POLL_MS: u64 = 500;
/// The time in which the new process has to say yes.
const YES_MS: f64 = 6_000.0;
/// How long the case goes on after SIGTERM.
const AFTER_MS: f64 = 6_000.0;
/// Clients that ask once and then keep their connection for good.
const RESTING: u64 = 3;

/// The subsystem that is on: HTTP/3, unless the environment names another one for a trial beside the case.
fn options(run: &Run) -> String {
    match std::env::var("UPGRADE_WITH").unwrap_or_default().as_str() {
        "health-checks" => {
            let (listen, two, three) = (free_address(), free_address(), free_address());
            let file = format!(
                r#"{{"id":1,"listen":"{listen}","peers":[{{"id":2,"address":"{two}"}},{{"id":3,"address":"{three}"}}],
"servers":{{"models":["box"]}},"probe":"connect"}}"#
            );
            format!("--health-checks {}", run.place.write("health-checks.json", &file).display())
        }
        _ => format!("--http3 {}", http3_file(run, free_address()).display()),
    }
}

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    site.servers.iter().for_each(|server| {
        server.set_quiet();
        server.service_ms.set(SERVICE_MS);
    });
    let options = options(run);
    let held = platform_socket(site.listen, 1_024).map_err(|error| error.to_string())?;
    let mut old = site.proxy_on(run, &options, Some(&held)).await?;

    let (ended, lost): (Rc<Cell<bool>>, Rc<RefCell<Vec<String>>>) = Default::default();
    let served = Rc::new(Cell::new(0u32));
    let (stop, lost_here, served_here, listen) = (ended.clone(), lost.clone(), served.clone(), site.listen);
    let record = run.record.clone();
    let clients = spawn_local(async move {
        let mut open = Vec::new();
        let mut number = 0u64;
        while !stop.get() {
            number += 1;
            let (lost, served, record) = (lost_here.clone(), served_here.clone(), record.clone());
            open.push(spawn_local(async move {
                let id = format!("{:016x}", 0x9000 + number);
                let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "3000"), ("X-Set", "17")];
                let text =
                    request("GET", &format!("/ops/small-object/{:016x}", number % 50 + 1), &headers, "");
                let Ok(mut stream) = send(listen, &text).await else { return };
                let sent_ms = now_ms();
                let reply = timeout(Duration::from_millis(3_550), read(&mut stream, usize::MAX)).await;
                let how = match reply {
                    Ok(Some(reply)) if reply.whole => {
                        return served.set(served.get() + u32::from(reply.status == 200))
                    }
                    Ok(Some(_)) => "got a part of an answer",
                    Ok(None) => "lost its connection without an answer",
                    Err(_) => "got no answer in its time",
                };
                record.line(format!("request {id} {how}, {:.0} ms after it was written", now_ms() - sent_ms));
                lost.borrow_mut().push(id);
            }));
            sleep(Duration::from_millis(REQUEST_GAP_MS)).await;
        }
        for request in open {
            let _ = request.await;
        }
    });
    sleep(Duration::from_millis(1_000)).await;

    // For trials beside the case: none, or clients that close when the proxy has ended their connection.
    let trial = std::env::var("UPGRADE_RESTING").unwrap_or_default();
    let mut resting = Vec::new();
    for number in 0..if trial == "none" { 0 } else { RESTING } {
        let id = format!("{:016x}", 0x100 + number);
        let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "3000"), ("X-Set", "17")];
        let text = request("GET", "/ops/small-object/00000000000000aa", &headers, "");
        let mut stream = send(site.listen, &text).await.map_err(|error| error.to_string())?;
        let status = read(&mut stream, usize::MAX).await.map_or(0, |reply| reply.status);
        run.record.line(format!("a client asks once, gets {status} and keeps its connection"));
        if trial == "closing" {
            spawn_local(async move { drop(read(&mut stream, usize::MAX).await) });
        } else {
            resting.push(stream);
        }
    }

    let mut new_ended = false;
    // Kept to the end: the new process has to serve as long as clients send.
    let mut new_process = None;
    if run.trouble {
        run.record.line("the platform starts the new process");
        let started_ms = now_ms();
        let admin = free_address();
        let start = Start { new_admin: Some(admin), ..site.start_of(&options, Some(&held)) };
        let mut new = Proxy::spawn(&run.place, &start).ok_or("the new process could not be started")?;
        let mut said_yes = false;
        while !said_yes && now_ms() < started_ms + YES_MS {
            sleep(Duration::from_millis(POLL_MS)).await;
            said_yes = get(admin, "/healthcheck", 1_000).await.is_some_and(|reply| reply.status == 200);
        }
        let said = if said_yes { "says yes" } else { "has not said yes" };
        run.record.line(format!("the new process {said}, {:.0} ms after its start", now_ms() - started_ms));
        if said_yes {
            run.record.line("the platform sends SIGTERM to the old process");
            old.signal("TERM");
        }
        let (until, mut old_ended) = (now_ms() + AFTER_MS, false);
        while now_ms() < until {
            if !new_ended && new.has_ended() {
                new_ended = true;
                run.record
                    .line(format!("the new process ends, {:.0} ms after its start", now_ms() - started_ms));
            }
            if !old_ended && old.has_ended() {
                old_ended = true;
                run.record
                    .line(format!("the old process ends, {:.0} ms after its start", now_ms() - started_ms));
            }
            sleep(Duration::from_millis(10)).await;
        }
        new.copy_log(&run.record, &["listener started", "in use", "cannot"]);
        new_process = Some(new);
    } else {
        sleep(Duration::from_millis(AFTER_MS as u64)).await;
    }
    drop(resting);
    ended.set(true);
    let _ = clients.await;
    drop(new_process);
    let lost = lost.borrow();
    run.record.line(format!("{} requests were served, {} lost", served.get(), lost.len()));
    // Requests that end at the door cost worth, but break no rule by themselves; the end of the new process does.
    if !new_ended {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "the new process ended by itself; {} requests that were taken got no answer",
        lost.len()
    )))
}
