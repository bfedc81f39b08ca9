//! The leader of fleet purges restarts while one cache has not applied a purge yet.

use super::Played;
use crate::proxy::{Proxy, CLASSES};
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
/// How long the leader holds a purge at least: longer than a fill can take, 3.6 s.
const HOLD_MS: u64 = 4_000;
/// How long after the purge the proxy gets SIGTERM. It ends 0.7 s later.
const RESTART_MS: f64 = 3_500.0;
/// How long after the purge the clients ask again, at the earliest.
const ASK_MS: f64 = 4_500.0;
/// Within this time of a purge all caches have dropped older copies by themselves. Answers after it don't count.
const DROPPED_MS: f64 = 6_000.0;

/// Waits until so long after the purge.
async fn wait_until(purged_ms: f64, after_ms: f64) {
    let left_ms = (purged_ms + after_ms - now_ms()).max(0.0);
    sleep(Duration::from_millis(left_ms.ceil() as u64)).await;
}

/// Asks for each object once, until `until_ms`; returns the numbers of answers from copies of version 1 and of version 2.
/// Those of version 1 are recorded in the last round.
async fn read_all(run: &Run, listen: SocketAddr, round: u64, until_ms: f64) -> (usize, usize) {
    let (mut old, mut new, mut others) = (0, 0, 0);
    for object in 1..=OBJECTS {
        let id = format!("{:016x}", round * 0x1000 + object);
        let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "3000"), ("X-Set", GROUP)];
        let text = request("GET", &format!("/ops/small-object/{object:016x}"), &headers, "");
        let reply = call(listen, &text, 3_000).await;
        if now_ms() > until_ms {
            break;
        }
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
        sleep(Duration::from_millis(5)).await;
    }
    run.record.line(format!("{old} objects of version 1, {new} of version 2, {others} other answers"));
    (old, new)
}

/// Starts the purge addresses of the caches and the parent, on one port that is free at all of them.
async fn purge_addresses(run: &Run, site: &Site) -> Option<(u16, Vec<PurgeAddress>)> {
    for _ in 0..20 {
        let port = TcpListener::bind((IPS[0], 0)).await.ok()?.local_addr().ok()?.port();
        let mut addresses = Vec::new();
        for (server, ip) in site.servers.iter().zip(IPS).take(3) {
            addresses.extend(PurgeAddress::start((ip, port).into(), server, &run.record).await);
        }
        if addresses.len() == 3 {
            return Some((port, addresses));
        }
    }
    None
}

async fn purge_status(run: &Run, admin: SocketAddr) -> String {
    let status = get(admin, "/purges", 1_000).await.map(|reply| reply.text()).unwrap_or_default();
    run.record.line(format!("GET /purges: {status}"));
    status
}

pub async fn play(run: &Run) -> Played {
    let mut site = Site::start_at(run, IPS).await;
    site.servers.iter().for_each(|server| server.set_quiet());
    let (purge_port, purge_addresses) = purge_addresses(run, &site).await.ok_or("no purge port is free")?;
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
        r#"{{"role":"leader","name":"edge-1","state":"purges.log","roster_port":{purge_port},"hold_ms":{HOLD_MS}}}"#
    );
    let purges_file = run.place.write("purges.json", &purges_file);
    let options = format!("--registry {} --purges {}", registry_file.display(), purges_file.display());
    let mut proxy = site.proxy(run, &options).await?;
    sleep(Duration::from_millis(1_000)).await;

    for round in 1..LAST_ROUND {
        read_all(run, site.listen, round, f64::INFINITY).await;
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
    wait_until(purged_ms, RESTART_MS).await;
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
        proxy =
            Proxy::start(&run.place, site.start_of(&options, None)).await.ok_or("the proxy did not start")?;
        run.record.line("the proxy serves again");
    }
    wait_until(purged_ms, ASK_MS).await;
    purge_status(run, site.admin).await;
    let after_ms = now_ms() - purged_ms;
    let (old, new) = read_all(run, site.listen, LAST_ROUND, purged_ms + DROPPED_MS).await;
    purge_addresses[1].set_silent(false);
    run.record.line(format!(
        "the purge address of cache-2 answers again, {:.0} ms after the purge",
        now_ms() - purged_ms
    ));
    wait_until(purged_ms, DROPPED_MS).await;
    site.servers.iter().for_each(|server| server.drop_group(GROUP, purged_ms));
    run.record.line("all caches have dropped what is older");
    sleep(Duration::from_millis(2_000)).await;
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
