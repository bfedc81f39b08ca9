//! The leader of fleet purges restarts while one cache has not applied a purge yet.

use super::Played;
use crate::proxy::CLASSES;
use crate::purges::PurgeAddress;
use crate::record::now_ms;
use crate::registry::Registry;
use crate::site::Site;
use crate::web::{call, get, request};
use crate::{Run, Verdict};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

const PREFIX: &str = "/calicobeam/listing-media/members/";
/// The servers' addresses: the purge addresses of all have one port.
const IPS: [Ipv4Addr; 4] = [
    Ipv4Addr::new(127, 0, 2, 1),
    Ipv4Addr::new(127, 0, 2, 2),
    Ipv4Addr::new(127, 0, 2, 3),
    Ipv4Addr::new(127, 0, 2, 4),
];
const GROUP: &str = "17";
const OBJECTS: u64 = 60;
/// The clients ask for all objects in three rounds before the purge, and once more after it.
const LAST_ROUND: u64 = 4;
/// How long after the purge the proxy restarts; `hold_ms` is 6,000.
const RESTART_MS: u64 = 7_000;

/// Asks for each object once; returns the numbers of answers from copies of version 1 and of version 2. Those of
/// version 1 are recorded in the last round.
async fn read_all(run: &Run, listen: SocketAddr, round: u64) -> (usize, usize) {
    let (mut old, mut new, mut others) = (0, 0, 0);
    for object in 1..=OBJECTS {
        let id = format!("{:016x}", round * 0x1000 + object);
        let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "3000"), ("X-Set", GROUP)];
        let text = request("GET", &format!("/ops/small-object/{object:016x}"), &headers, "");
        let reply = call(listen, &text, 3_000).await;
        match reply.filter(|reply| reply.status == 200).map(|reply| reply.text()) {
            Some(text) if text.contains("version 1") => {
                old += 1;
                if round == LAST_ROUND {
                    run.record.line(format!("request {id} gets {text:?}"));
                }
            }
            Some(text) if text.contains("version 2") => new += 1,
            _ => others += 1,
        }
        sleep(Duration::from_millis(10)).await;
    }
    run.record.line(format!("{old} objects of version 1, {new} of version 2, {others} other answers"));
    (old, new)
}

async fn purge_status(run: &Run, admin: SocketAddr) -> String {
    let status = get(admin, "/purges", 1_000).await.map(|reply| reply.text()).unwrap_or_default();
    run.record.line(format!("GET /purges: {status}"));
    status
}

pub async fn play(run: &Run) -> Played {
    let mut site = Site::start_at(run, IPS).await;
    site.servers.iter().for_each(|server| server.set_quiet());
    let purge_port = TcpListener::bind((IPS[0], 0)).await.and_then(|listener| listener.local_addr());
    let purge_port = purge_port.map_err(|error| error.to_string())?.port();
    let mut purge_addresses = Vec::new();
    for (server, ip) in site.servers.iter().zip(IPS).take(3) {
        let address = PurgeAddress::start((ip, purge_port).into(), server, &run.record).await;
        purge_addresses.push(address.ok_or("the purge port is not free")?);
    }
    let registry = Registry::start(&run.record).await;
    for target in &site.targets {
        registry.put(&format!("{PREFIX}{}", target.id), &target.json("Ready"));
    }
    // cache-2 was switched on after the node's configuration was written: the registry alone lists it.
    let listed = site.targets.clone();
    site.targets.retain(|target| target.id != "s-000000c2");
    site.config = site.configure(run, "node.json", &CLASSES, &[false, false, true]);
    site.targets = listed;
    let registry_file = format!(
        r#"{{"address":"{}","prefix":"{PREFIX}","timeout_ms":2000,"stall_ms":3000,
"backoff":{{"first_ms":100,"factor":2,"most_ms":2000,"jitter":0.2}}}}"#,
        registry.address
    );
    let registry_file = run.place.write("registry.json", &registry_file);
    let purges_file = format!(
        r#"{{"role":"leader","name":"edge-1","state":"purges.log","roster_port":{purge_port},"hold_ms":6000}}"#
    );
    let purges_file = run.place.write("purges.json", &purges_file);
    let options = format!("--registry {} --purges {}", registry_file.display(), purges_file.display());
    let mut proxy = site.proxy(run, &options).await?;
    sleep(Duration::from_millis(1_000)).await;

    for round in 1..LAST_ROUND {
        read_all(run, site.listen, round).await;
    }
    let kept = site.servers[1].copies_of_version(1);
    run.record.line(format!("cache-2 keeps {kept} copies"));
    if kept == 0 {
        return Err("cache-2 got no requests".into());
    }

    run.record.line("the purge address of cache-2 does not answer for some time");
    purge_addresses[1].set_silent(true);
    for object in 1..=OBJECTS {
        site.content.versions.borrow_mut().insert(format!("{object:016x}"), 2);
    }
    let body = format!(r#"{{"sel":"group:{GROUP}"}}"#);
    let submit = request("POST", "/purges", &[("Connection", "close")], &body);
    let purged_ms = now_ms();
    let submitted = call(site.admin, &submit, 2_000).await.ok_or("the purge is not answered")?;
    run.record.line(format!(
        "the purge of group {GROUP} is answered {} {}",
        submitted.status,
        submitted.text()
    ));
    if submitted.status != 200 {
        return Err("the purge was not issued".into());
    }
    sleep(Duration::from_millis(RESTART_MS)).await;
    purge_status(run, site.admin).await;
    if run.trouble {
        run.record.line("a planned restart: SIGTERM");
        proxy.signal("TERM");
        let until = now_ms() + 5_000.0;
        while !proxy.has_ended() {
            if now_ms() > until {
                return Err("the proxy did not end".into());
            }
            sleep(Duration::from_millis(20)).await;
        }
        proxy.copy_log(&run.record, &["purge"]);
        proxy = site.proxy(run, &options).await?;
    }
    sleep(Duration::from_millis(2_000)).await;
    purge_status(run, site.admin).await;
    let after_ms = now_ms() - purged_ms;
    let (old, new) = read_all(run, site.listen, LAST_ROUND).await;
    run.record.line("the purge address of cache-2 answers again");
    purge_addresses[1].set_silent(false);
    sleep(Duration::from_millis(4_500)).await;
    purge_status(run, site.admin).await;
    proxy.copy_log(&run.record, &["purge", "registry:"]);
    if old > 0 {
        return Ok(Verdict::Broken(format!(
            "from {after_ms:.0} ms after the purge on, {old} of {OBJECTS} requests were answered from copies older than it"
        )));
    }
    if new == 0 {
        return Err("nothing was served".into());
    }
    Ok(Verdict::Held)
}
