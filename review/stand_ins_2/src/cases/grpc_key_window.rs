//! A keyed call whose backend dies is repeated at the other one, whose streams are all in use.

use super::Played;
use crate::grpc::{Backend, Client, Store};
use crate::proxy::free_address;
use crate::record::now_ms;
use crate::site::Site;
use crate::{Run, Verdict};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// For this long after a key's first run the store behind the backends drops a repeat.
const WINDOW_MS: f64 = 2_000.0;
/// What the rules on sockets add to each time limit.
const SLACK_MS: f64 = 50.0;
/// How many calls a backend takes at once on a connection.
const STREAMS: u32 = 8;
/// How long the calls take that use the second backend's streams.
const REPORT_MS: &str = "2700";
/// How long the posted call takes, and when its backend dies.
const POST_MS: &str = "1500";
const DIES_AFTER_MS: u64 = 1_000;

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    let store = Store::new(WINDOW_MS);
    let backends = [
        Backend::start("A", STREAMS, &store, &run.record).await,
        Backend::start("B", STREAMS, &store, &run.record).await,
    ];
    let listen = free_address();
    let file = format!(
        r#"{{"listen":"{listen}",
"pools":[{{"name":"ads","backends":[{{"address":"{}"}},{{"address":"{}"}}]}}],
"routes":[
{{"method":"/ads.v1.Ads/Post","pool":"ads","kind":"unary","repeat":"keyed","key":"x-dedupe-key","key_window_ms":{WINDOW_MS},"deadline_ms":5000,"aim_ms":2000,"affinity":"header:x-object"}},
{{"method":"/ads.v1.Ads/Report","pool":"ads","kind":"unary","deadline_ms":5000,"aim_ms":2000,"affinity":"header:x-object"}}]}}"#,
        backends[0].address, backends[1].address
    );
    let file = run.place.write("grpc.json", &file);
    let proxy = site.proxy(run, &format!("--grpc {}", file.display())).await?;
    let client = Client::connect(listen).await.ok_or("no connection to the proxy's gRPC address")?;

    // Where do objects go?
    let mut objects: [Vec<String>; 2] = Default::default();
    for number in 0..40 {
        let object = format!("object-{number}");
        let headers = [("x-object", object.as_str()), ("x-name", "look"), ("x-takes", "1")];
        let answer = client.call("/ads.v1.Ads/Report", 5_000, &headers).await;
        objects[usize::from(answer.backend == "B")].push(object);
    }
    let (Some(at_a), Some(at_b)) = (objects[0].first().cloned(), objects[1].first().cloned()) else {
        return Err("one backend gets everything".into());
    };

    // All streams of B are in use.
    let mut reports = 0;
    while backends[1].arrivals("report").len() < STREAMS as usize && reports < 4 * STREAMS {
        reports += 1;
        let (client, object) = (client.clone(), at_b.clone());
        spawn_local(async move {
            let headers = [("x-object", object.as_str()), ("x-name", "report"), ("x-takes", REPORT_MS)];
            client.call("/ads.v1.Ads/Report", 5_000, &headers).await;
        });
        sleep(Duration::from_millis(10)).await;
    }
    if backends[1].arrivals("report").len() < STREAMS as usize {
        return Err("the streams of B are not all in use".into());
    }

    // The post.
    let sent_ms = now_ms();
    run.record.line("the client posts with key k-1, once");
    let poster = spawn_local(async move {
        let headers =
            [("x-object", at_a.as_str()), ("x-name", "post"), ("x-takes", POST_MS), ("x-dedupe-key", "k-1")];
        client.call("/ads.v1.Ads/Post", 5_000, &headers).await
    });
    if run.trouble {
        sleep(Duration::from_millis(DIES_AFTER_MS)).await;
        if backends[0].arrivals("post").is_empty() {
            return Err("A did not get the post".into());
        }
        backends[0].die();
    }
    let answer = poster.await.map_err(|error| error.to_string())?;
    run.record.line(format!("the client gets {answer}, {:.0} ms after it posted", answer.at_ms - sent_ms));
    sleep(Duration::from_millis(1_500)).await;

    proxy.copy_log(&run.record, &[]);
    let mut arrivals: Vec<f64> = backends.iter().flat_map(|backend| backend.arrivals("post")).collect();
    arrivals.sort_by(f64::total_cmp);
    let runs = store.runs.borrow().get("k-1").map_or(0, Vec::len);
    let first = *arrivals.first().ok_or("no backend got the post")?;
    let late: Vec<String> = arrivals
        .iter()
        .map(|at| at - first)
        .filter(|after| *after > WINDOW_MS + SLACK_MS)
        .map(|after| format!("{after:.0}"))
        .collect();
    run.record.line(format!("the post reached backends {} times and ran {runs} times", arrivals.len()));
    if late.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "the post went out again {} ms after its first arrival (its key's window is {WINDOW_MS} ms) and ran {runs} times",
        late.join(", ")
    )))
}
