//! A pop cache is replaced: the key of the registry gets the endpoint that takes its place.

use super::Played;
use crate::platform::Cache;
use crate::proxy::Target;
use crate::record::now_ms;
use crate::registry::Registry;
use crate::site::Site;
use crate::web::{call, get, request};
use crate::{Run, Verdict};
use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const PREFIX: &str = "/calicobeam/listing-media/members/";
const GONE_MS: f64 = 250.0 + 50.0;
const AFTER_MS: f64 = 5_000.0;

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    site.servers.iter().for_each(|server| server.set_quiet());
    let replacement = Cache::start("cache-3", Ipv4Addr::LOCALHOST, &site.content, &run.record).await;
    replacement.set_quiet();
    let registry = Registry::start(&run.record).await;
    let keys = ["town-1", "town-2", "hub-parent", "hub-origin"];
    for (key, target) in keys.iter().zip(&site.targets) {
        registry.put(&format!("{PREFIX}{key}"), &target.json("Ready"));
    }
    let file = format!(
        r#"{{"address":"{}","prefix":"{PREFIX}","timeout_ms":2000,"stall_ms":3000,
"backoff":{{"first_ms":100,"factor":2,"most_ms":2000,"jitter":0.2}}}}"#,
        registry.address
    );
    let file = run.place.write("registry.json", &file);
    let proxy = site.proxy(run, &format!("--registry {}", file.display())).await?;
    let (ended, listen) = (Rc::new(Cell::new(false)), site.listen);
    let stop = ended.clone();
    let clients = spawn_local(async move {
        let mut number = 0u64;
        while !stop.get() {
            number += 1;
            let id = format!("{number:016x}");
            let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "3000"), ("X-Set", "17")];
            let target = format!("/ops/small-object/{:016x}", number % 97 + 1);
            call(listen, &request("GET", &target, &headers, ""), 3_000).await;
            sleep(Duration::from_millis(25)).await;
        }
    });
    sleep(Duration::from_millis(1_000)).await;
    let target = Target { id: "s-000000c3", address: replacement.address, zone: "town", model: "box" };
    let key = format!("{PREFIX}{}", keys[0]);
    let revision = if run.trouble {
        run.record.line("cache-1 is replaced by cache-3: its key gets the new endpoint");
        registry.put(&key, &target.json("Ready"))
    } else {
        run.record.line("cache-1 is drained under its key; cache-3 comes under a key of its own");
        registry.put(&key, &site.targets[0].json("Terminating"));
        registry.put(&format!("{PREFIX}town-3"), &target.json("Ready"))
    };
    let until = now_ms() + 5_000.0;
    loop {
        let status = get(site.admin, "/registry", 1_000).await.map(|reply| reply.text()).unwrap_or_default();
        if status.contains(&format!("\"revision\":{revision},")) {
            break;
        }
        if now_ms() > until {
            return Err("the proxy did not get the change".into());
        }
        sleep(Duration::from_millis(10)).await;
    }
    let told_ms = now_ms();
    run.record.line("GET /registry has the revision of that change");
    sleep(Duration::from_millis(AFTER_MS as u64)).await;
    ended.set(true);
    let _ = clients.await;
    let status = get(site.admin, "/registry", 1_000).await.map(|reply| reply.text()).unwrap_or_default();
    run.record.line(format!("GET /registry: {status}"));
    proxy.copy_log(&run.record, &["registry:"]);
    for server in site.servers.iter().chain([&replacement]) {
        let late =
            server.arrivals.borrow().iter().filter(|arrival| arrival.at_ms > told_ms + GONE_MS).count();
        run.record.line(format!(
            "{}: {late} requests later than {GONE_MS} ms after the proxy was told",
            server.name
        ));
    }
    let late = site.servers[0].arrivals.borrow().iter().filter(|a| a.at_ms > told_ms + GONE_MS).count();
    if late == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("cache-1, which is gone from the registry, got {late} new requests")))
}
