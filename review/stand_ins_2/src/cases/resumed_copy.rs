//! A client's connection is lost within a response; the object is purged; the client resumes.

use super::Played;
use crate::proxy::free_address;
use crate::record::now_ms;
use crate::site::Site;
use crate::web::{call, read, request, send};
use crate::{Run, Verdict};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// From this time after it was told of a purge on, a proxy may not answer from an older copy.
const PURGE_MS: u64 = 500 + 50;
/// How much later than that the client comes back.
const LATER_MS: u64 = 1_000;
const OBJECT: u64 = 0x7f3a_9c21_e0b4_d655;

/// The operator file of the front for unreliable links, with the project's test certificate.
pub fn http3_file(run: &Run, tcp: SocketAddr) -> std::path::PathBuf {
    let keys = run.place.root.join("tests/fixtures/keys");
    let text = format!(
        r#"{{"listen":"{}","tcp":"{tcp}","certificate":"{}","key":"{}","session_keys":"{}"}}"#,
        free_address(),
        keys.join("edge-cert.pem").display(),
        keys.join("edge-key.pem").display(),
        keys.join("sessions.key").display()
    );
    run.place.write("http3.json", &text)
}

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    site.content.bytes.set(200_000);
    let tcp = free_address();
    let proxy = site.proxy(run, &format!("--http3 {}", http3_file(run, tcp).display())).await?;
    let target = format!("/ops/video-part/{OBJECT:016x}/slice-3");
    let base = [("X-Patience-Ms", "5000"), ("X-Set", "17"), ("X-Heap-Kb", "412.5")];

    // The first request brings the session.
    let headers = [&base[..], &[("X-Call-Id", "00000000000000a1")]].concat();
    let first = request("GET", "/ops/video-part/00000000000000aa/slice-0", &headers, "");
    let first = call(tcp, &first, 5_000).await.ok_or("no response to the first request")?;
    let session = first.header("x-session").ok_or("no session")?.to_string();

    let headers = [&base[..], &[("X-Call-Id", "00000000000000a2"), ("X-Session", session.as_str())]].concat();
    let mut stream =
        send(tcp, &request("GET", &target, &headers, "")).await.map_err(|error| error.to_string())?;
    let most = if run.trouble { 50_000 } else { usize::MAX };
    let reply = read(&mut stream, most).await.ok_or("no response")?;
    run.record.line(format!(
        "the client of call a2 gets {} with {} bytes: {:?}",
        reply.status,
        reply.body.len(),
        first_line(&reply.body)
    ));
    if run.trouble {
        run.record.line("its connection is lost");
    }
    drop(stream);

    sleep(Duration::from_millis(200)).await;
    site.content.versions.borrow_mut().insert(format!("{OBJECT:016x}"), 2);
    let purged_ms = site.bulletin.purge(OBJECT);
    run.record.line("the seller replaces the clip; the bulletin tells its purge: version 1 is void");
    sleep(Duration::from_millis(PURGE_MS + LATER_MS)).await;
    for server in &site.servers {
        server.drop_copies(&format!("{OBJECT:016x}"));
    }

    // The client comes back: with the same call id, as the operator's page says, where its connection was lost.
    let id = if run.trouble { "00000000000000a2" } else { "00000000000000a3" };
    let headers = [&base[..], &[("X-Call-Id", id), ("X-Session", session.as_str())]].concat();
    let after_ms = now_ms() - purged_ms;
    let again = call(tcp, &request("GET", &target, &headers, ""), 5_000).await.ok_or("no response")?;
    let line = first_line(&again.body);
    run.record.line(format!(
        "{after_ms:.0} ms after the purge the client asks with call id {id} and gets {} with {} bytes: {line:?}",
        again.status,
        again.body.len()
    ));
    proxy.copy_log(&run.record, &[]);
    if again.status == 200 && line.contains("version 1") {
        return Ok(Verdict::Broken(format!(
            "{after_ms:.0} ms after the purge a client was served the copy from before it"
        )));
    }
    Ok(Verdict::Held)
}

fn first_line(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    text.lines().next().unwrap_or_default().chars().take(80).collect()
}
