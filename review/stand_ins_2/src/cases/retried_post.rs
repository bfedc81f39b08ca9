//! A client's connection is lost under an ad-post, whose answer comes late; the client comes back.

use super::resumed_copy::http3_file;
use super::Played;
use crate::platform::WRITE_WINDOW_MS;
use crate::proxy::free_address;
use crate::record::now_ms;
use crate::site::Site;
use crate::web::{call, request, send};
use crate::{Run, Verdict};
use std::time::Duration;
use tokio::time::sleep;

/// The origin runs a post at once, and its answer comes this much later, after the post's time.
const LATE_MS: u64 = 3_500;
/// When the connection is lost, and when the client is back, after it sent the post.
const LOST_AFTER_MS: u64 = 300;
const BACK_AFTER_MS: u64 = 2_500;
const POST: &str = "/ops/ad-post/00000000000000bb";
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    let tcp = free_address();
    let proxy = site.proxy(run, &format!("--http3 {}", http3_file(run, tcp).display())).await?;
    let headers = [("X-Call-Id", "00000000000000b1"), ("X-Patience-Ms", "3000"), ("X-Set", "17")];
    let first = call(tcp, &request("GET", "/ops/small-object/00000000000000aa", &headers, ""), 3_000).await;
    let session = first.and_then(|reply| reply.header("x-session").map(String::from)).ok_or("no session")?;
    let post = |id: &str| {
        let headers = [
            ("X-Call-Id", id),
            ("X-Patience-Ms", "3000"),
            ("X-Set", "17"),
            ("X-Dedupe-Key", KEY),
            ("X-Session", session.as_str()),
        ];
        request("PUT", POST, &headers, "an ad")
    };
    site.servers.iter().for_each(|server| server.service_ms.set(LATE_MS));
    let sent_ms = now_ms();
    run.record.line("a client sends ad-post b2");
    let mut retry = "00000000000000b2";
    if run.trouble {
        let stream = send(tcp, &post("00000000000000b2")).await.map_err(|error| error.to_string())?;
        sleep(Duration::from_millis(LOST_AFTER_MS)).await;
        drop(stream);
        run.record.line("its connection is lost");
        sleep(Duration::from_millis(BACK_AFTER_MS - LOST_AFTER_MS)).await;
    } else {
        let reply = call(tcp, &post("00000000000000b2"), 3_000).await;
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        let wait_ms = reply.and_then(|reply| reply.header("x-come-back-ms")?.parse().ok()).unwrap_or(100);
        run.record.line(format!("the client gets {status} after {:.0} ms", now_ms() - sent_ms));
        if status == 503 {
            // Refused: the client tries again, within the window of its key.
            retry = "00000000000000b3";
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }
    site.servers.iter().for_each(|server| server.service_ms.set(5));
    run.record.line(format!(
        "{:.0} ms after it sent the post the client sends it again: call id {retry}, the same key and session",
        now_ms() - sent_ms
    ));
    let reply = call(tcp, &post(retry), 3_500).await;
    run.record.line(format!("the client gets {:?}", reply.map(|reply| reply.status)));
    sleep(Duration::from_millis(1_000)).await;
    proxy.copy_log(&run.record, &["request ended"]);
    let runs = site.content.runs.borrow().get(KEY).cloned().unwrap_or_default();
    if runs.is_empty() {
        return Err("the post never ran".into());
    }
    if runs.len() == 1 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "the ad-post ran {} times, the second time {:.0} ms after the first (its key's window is {WRITE_WINDOW_MS} ms)",
        runs.len(),
        runs[1] - runs[0]
    )))
}
