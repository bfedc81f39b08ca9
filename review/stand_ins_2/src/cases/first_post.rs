//! A client's first request is an ad-post, and its connection is lost before the answer brings a session.

use super::resumed_copy::http3_file;
use super::Played;
use crate::proxy::free_address;
use crate::site::Site;
use crate::web::{call, request, send};
use crate::{Run, Verdict};
use std::time::Duration;
use tokio::time::sleep;

/// How long the origin takes for a post.
const SERVICE_MS: u64 = 400;
const LOST_AFTER_MS: u64 = 200;
const BACK_AFTER_MS: u64 = 2_500;
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    let tcp = free_address();
    let proxy = site.proxy(run, &format!("--http3 {}", http3_file(run, tcp).display())).await?;
    site.servers.iter().for_each(|server| server.service_ms.set(SERVICE_MS));
    let headers = [
        ("X-Call-Id", "00000000000000c1"),
        ("X-Patience-Ms", "3000"),
        ("X-Set", "17"),
        ("X-Dedupe-Key", KEY),
    ];
    let post = request("PUT", "/ops/ad-post/00000000000000bb", &headers, "an ad");
    run.record.line("a client sends ad-post c1, its first request");
    if run.trouble {
        let stream = send(tcp, &post).await.map_err(|error| error.to_string())?;
        sleep(Duration::from_millis(LOST_AFTER_MS)).await;
        drop(stream);
        run.record.line("its connection is lost");
        sleep(Duration::from_millis(BACK_AFTER_MS - LOST_AFTER_MS)).await;
        run.record.line("it sends ad-post c1 again: the same call id and key");
    }
    let reply = call(tcp, &post, 3_500).await;
    run.record.line(format!("the client gets {:?}", reply.map(|reply| reply.status)));
    sleep(Duration::from_millis(500)).await;
    proxy.copy_log(&run.record, &["request ended"]);
    let runs = site.content.runs.borrow().get(KEY).map_or(0, Vec::len);
    match runs {
        0 => Err("the post never ran".into()),
        1 => Ok(Verdict::Held),
        runs => Ok(Verdict::Broken(format!("the ad-post ran {runs} times"))),
    }
}
