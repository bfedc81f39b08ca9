//! The connection to the registry breaks for some seconds, and once more while the proxy catches up.

use super::Played;
use crate::proxy::free_address;
use crate::record::now_ms;
use crate::registry::Registry;
use crate::site::Site;
use crate::web::{call, get, request};
use crate::{Run, Verdict};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const PREFIX: &str = "/calicobeam/listing-media/members/";
/// For this long after it was told of a drain a proxy may still send, with what the rules on sockets add.
const DRAIN_MS: f64 = 250.0 + 50.0;
/// How long the registry is out of reach. The page's limit is 10 s.
const OUTAGE_MS: u64 = 9_000;
/// The values that the operator's agent writes in that time: it refreshes the capacity of each endpoint.
const REFRESHES: u64 = 1_100;
/// How long the proxy serves after it has caught up.
const AFTER_MS: f64 = 6_000.0;

/// The revision up to which the proxy says that its list is complete.
async fn told_revision(admin: std::net::SocketAddr) -> Option<i64> {
    let status = get(admin, "/registry", 1_000).await?.text();
    let rest = status.split("\"revision\":").nth(1)?;
    rest.split([',', '}']).next()?.trim().parse().ok()
}

pub async fn play(run: &Run) -> Played {
    let mut site = Site::start(run).await;
    site.servers.iter().for_each(|server| server.set_quiet());
    site.admin = free_address();
    site.config = site.configure(run, "node.json", &crate::proxy::CLASSES, &[false, false, true]);
    let registry = Registry::start(&run.record).await;
    for target in &site.targets {
        registry.put(&format!("{PREFIX}{}", target.id), &target.json("Ready"));
    }
    let file = format!(
        r#"{{"address":"{}","prefix":"{PREFIX}","timeout_ms":2000,"stall_ms":3000,
"backoff":{{"first_ms":100,"factor":2,"most_ms":2000,"jitter":0.2}}}}"#,
        registry.address
    );
    let file = run.place.write("registry.json", &file);
    let proxy = site.proxy(run, &format!("--registry {}", file.display())).await?;

    // Clients ask all the time.
    let ended = Rc::new(Cell::new(false));
    let statuses: Rc<RefCell<Vec<u16>>> = Rc::default();
    let (stop, answered, listen) = (ended.clone(), statuses.clone(), site.listen);
    let clients = spawn_local(async move {
        let mut number = 0u64;
        while !stop.get() {
            number += 1;
            let id = format!("{number:016x}");
            let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "3000"), ("X-Set", "17")];
            let target = format!("/ops/small-object/{:016x}", number % 97 + 1);
            let reply = call(listen, &request("GET", &target, &headers, ""), 3_000).await;
            answered.borrow_mut().push(reply.map_or(0, |reply| reply.status));
            sleep(Duration::from_millis(25)).await;
        }
    });
    sleep(Duration::from_millis(1_500)).await;
    if registry.watches() == 0 {
        return Err("the proxy does not watch the registry".into());
    }

    let began_ms = now_ms();
    if run.trouble {
        run.record.line("the connections to the registry break");
        registry.go_away();
    }
    // The operator's agent refreshes the values, one after another, and cache-1 is drained at the end.
    for number in 0..REFRESHES {
        let target = &site.targets[(number % 3) as usize + 1];
        let value = target
            .json("Ready")
            .replace("\"capacity_hint\":4", &format!("\"capacity_hint\":{}", 4 + number % 2));
        registry.put(&format!("{PREFIX}{}", target.id), &value);
        if number % 5 == 4 {
            sleep(Duration::from_millis(20)).await;
        }
    }
    let drained = &site.targets[0];
    let drain_revision = registry.put(&format!("{PREFIX}{}", drained.id), &drained.json("Terminating"));
    run.record.line(format!("the operator drains cache-1 by writing Terminating: revision {drain_revision}"));
    if run.trouble {
        let left_ms = (began_ms + OUTAGE_MS as f64 - now_ms()).max(0.0);
        sleep(Duration::from_millis(left_ms as u64)).await;
        registry.break_next_watch();
        registry.return_to_service();
        run.record.line(format!("the registry is within reach again, after {:.0} ms", now_ms() - began_ms));
    }
    let until = now_ms() + 8_000.0;
    while told_revision(site.admin).await.is_none_or(|revision| revision < drain_revision) {
        if now_ms() > until {
            return Err("the proxy did not catch up".into());
        }
        sleep(Duration::from_millis(20)).await;
    }
    let told_ms = now_ms();
    run.record.line(format!(
        "GET /registry says that the list is complete up to {:?}",
        told_revision(site.admin).await
    ));
    while now_ms() < told_ms + AFTER_MS {
        sleep(Duration::from_millis(100)).await;
    }
    let status = get(site.admin, "/registry", 1_000).await.map(|reply| reply.text());
    run.record.line(format!("GET /registry: {}", status.unwrap_or_default()));
    ended.set(true);
    let _ = clients.await;
    proxy.copy_log(&run.record, &["registry:"]);
    for server in &site.servers {
        let arrivals = server.arrivals.borrow();
        let late = arrivals.iter().filter(|arrival| arrival.at_ms > told_ms + DRAIN_MS).count();
        run.record.line(format!(
            "{}: {} requests, {late} of them later than {DRAIN_MS} ms after the proxy was told",
            server.name,
            arrivals.len()
        ));
    }
    let served = statuses.borrow().iter().filter(|status| **status == 200).count();
    run.record.line(format!("{served} of {} requests were served", statuses.borrow().len()));
    let named = |field: &str, id: &str| {
        let others = site.servers.iter().flat_map(|server| server.arrivals.borrow().clone());
        others.filter(|arrival| arrival.at_ms > told_ms + DRAIN_MS && arrival.field(field) == id).count()
    };
    let late = site.servers[0].arrivals.borrow().iter().filter(|a| a.at_ms > told_ms + DRAIN_MS).count();
    let as_source = named("next", drained.id);
    if late + as_source == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "cache-1, which drains, got {late} new requests in the {AFTER_MS} ms after the proxy was told"
    )))
}
