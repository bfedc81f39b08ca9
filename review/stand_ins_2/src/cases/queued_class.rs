//! Two new configurations in a row while a request waits in the queue of admission control: its class vanishes,
//! and another one appears.

use super::Played;
use crate::proxy::CLASSES;
use crate::site::Site;
use crate::web::{call, request};
use crate::{Run, Verdict};
use std::collections::HashMap;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const THUMBNAIL: &str = r#"{"name":"thumbnail","aimStretch":2.0,"deadlineUs":5000000,"promiseUs":1500000,"semantics":"pure","dedupScope":"all","windowUs":5000000,"worth":1.0}"#;
const AD_EDIT: &str = r#"{"name":"ad-edit","aimStretch":0.0,"deadlineUs":3000000,"promiseUs":700000,"semantics":"side_effect","dedupScope":"all","windowUs":2000000,"worth":3.0}"#;

/// How long a request takes at a cache and at the origin.
const SERVICE_MS: u64 = 1_000;
/// The time between the two configurations.
const RELOAD_GAP_MS: u64 = 500;

pub async fn play(run: &Run) -> Played {
    let mut site = Site::start(run).await;
    let [video, small, post] = CLASSES;
    site.config =
        site.configure(run, "node.json", &[video, small, post, THUMBNAIL], &[false, false, true, false]);
    let admission = r#"{"limit":{"first":2,"least":1,"most":2,"adaptive":false}}"#;
    let admission = run.place.write("admission.json", admission);
    let proxy = site.proxy(run, &format!("--admission {}", admission.display())).await?;
    // Warm up: the queue learns how long requests take.
    let mut sent: HashMap<String, &'static str> = HashMap::new();
    for number in 0..20u64 {
        let id = format!("{:016x}", 0x1000 + number);
        sent.insert(id.clone(), "small-object");
        let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "3000"), ("X-Set", "17")];
        let target = format!("/ops/small-object/{:016x}", 0x77 + number);
        call(site.listen, &request("GET", &target, &headers, ""), 3_000).await;
    }
    site.servers.iter().for_each(|server| server.service_ms.set(SERVICE_MS));
    let mut answers = Vec::new();
    for (number, class) in [(0u64, "video-part"), (1, "thumbnail"), (2, "thumbnail")] {
        let id = format!("{:016x}", 0x2000 + number);
        sent.insert(id.clone(), class);
        let target = format!("/ops/{class}/{:016x}", 0x99 + number);
        run.record.line(format!("a client sends request {id}: class {class}"));
        let listen = site.listen;
        answers.push(spawn_local(async move {
            let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "5000"), ("X-Set", "17")];
            let reply = call(listen, &request("GET", &target, &headers, ""), 6_000).await;
            (id, reply.map(|reply| (reply.status, reply.text())))
        }));
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_millis(50)).await;
    if run.trouble {
        run.record.line("the platform takes the class thumbnail out of the configuration and sends SIGHUP");
        site.configure(run, "node.json", &[video, small, post], &[false, false, true]);
        proxy.signal("HUP");
        sleep(Duration::from_millis(RELOAD_GAP_MS)).await;
        run.record.line("the platform adds the class ad-edit to the configuration and sends SIGHUP");
        site.configure(run, "node.json", &[video, small, post, AD_EDIT], &[false, false, true, true]);
        proxy.signal("HUP");
    }
    for answer in answers {
        let (id, reply) = answer.await.map_err(|error| error.to_string())?;
        run.record.line(format!("the client of request {id} gets {reply:?}"));
    }
    sleep(Duration::from_millis(300)).await;
    proxy.copy_log(&run.record, &["configuration reloaded"]);
    let mut wrong = Vec::new();
    for server in &site.servers {
        for arrival in server.arrivals.borrow().iter() {
            let class = arrival.field("c");
            if sent.get(&arrival.id) != Some(&class) {
                wrong.push(format!("{} got request {} as class {class}", server.name, arrival.id));
            }
        }
    }
    if wrong.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("no client sent that: {}", wrong.join("; "))))
}
