//! A backend whose streams are all in use is drained while a further call waits for it.

use super::Played;
use crate::grpc::{Backend, Client, Store};
use crate::proxy::free_address;
use crate::record::now_ms;
use crate::site::Site;
use crate::{Run, Verdict};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// For this long after it was told of a drain a proxy may still send, with what the rules on sockets add.
const DRAIN_MS: f64 = 250.0 + 50.0;
/// How many calls a backend takes at once on a connection.
const STREAMS: u32 = 8;
/// How long each call takes.
const CALL_MS: &str = "2000";
/// The calls of the case.
const CALLS: usize = 12;

fn file(listen: std::net::SocketAddr, backends: &[Backend], draining: bool) -> String {
    format!(
        r#"{{"listen":"{listen}",
"pools":[{{"name":"ads","backends":[{{"address":"{}","draining":{draining}}},{{"address":"{}"}}]}}],
"routes":[{{"method":"/ads.v1.Ads/*","pool":"ads","kind":"unary","deadline_ms":8000,"aim_ms":3000,"affinity":"header:x-object"}}]}}"#,
        backends[0].address, backends[1].address
    )
}

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    let store = Store::new(0.0);
    let backends = [
        Backend::start("A", STREAMS, &store, &run.record).await,
        Backend::start("B", STREAMS, &store, &run.record).await,
    ];
    let listen = free_address();
    let path = run.place.write("grpc.json", &file(listen, &backends, false));
    let proxy = site.proxy(run, &format!("--grpc {}", path.display())).await?;
    let client = Client::connect(listen).await.ok_or("no connection to the proxy's gRPC address")?;

    let mut at_a = None;
    for number in 0..40 {
        let object = format!("object-{number}");
        let headers = [("x-object", object.as_str()), ("x-name", "look"), ("x-takes", "1")];
        if client.call("/ads.v1.Ads/Report", 5_000, &headers).await.backend == "A" {
            at_a = Some(object);
        }
    }
    let at_a = at_a.ok_or("A gets nothing")?;
    let mut calls = Vec::new();
    for _ in 0..CALLS {
        let (client, object) = (client.clone(), at_a.clone());
        calls.push(spawn_local(async move {
            let headers = [("x-object", object.as_str()), ("x-name", "report"), ("x-takes", CALL_MS)];
            client.call("/ads.v1.Ads/Report", 8_000, &headers).await
        }));
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(300)).await;
    let mut told_ms = f64::INFINITY;
    if run.trouble {
        run.place.write("grpc.json", &file(listen, &backends, true));
        proxy.signal("HUP");
        let until = now_ms() + 2_000.0;
        while !proxy.logged(&["gRPC pool backends updated", "live=1"]) {
            if now_ms() > until {
                return Err("the proxy did not apply the drain".into());
            }
            sleep(Duration::from_millis(5)).await;
        }
        told_ms = now_ms();
        run.record.line("the proxy has applied the drain of A");
    }
    for call in calls {
        let answer = call.await.map_err(|error| error.to_string())?;
        run.record.line(format!("a client got {answer}"));
    }
    proxy.copy_log(&run.record, &["gRPC pool backends updated"]);
    let late: Vec<String> = backends[0]
        .arrivals("report")
        .iter()
        .map(|at| at - told_ms)
        .filter(|after| *after > DRAIN_MS)
        .map(|after| format!("{after:.0}"))
        .collect();
    if late.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "A got new calls {} ms after the proxy had applied its drain",
        late.join(", ")
    )))
}
