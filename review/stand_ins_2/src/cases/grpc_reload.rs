//! A method vanishes from the operator's file while a call of it is open.

use super::Played;
use crate::grpc::{Backend, Client, Store};
use crate::proxy::free_address;
use crate::site::Site;
use crate::{Run, Verdict};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long the call takes.
const CALL_MS: &str = "2000";
/// When the new file is read.
const RELOAD_AFTER_MS: u64 = 800;

fn file(listen: SocketAddr, backends: &[Backend], with_export: bool) -> String {
    let export = r#",
{"method":"/ads.v1.Ads/Export","pool":"ads","kind":"unary","deadline_ms":5000,"aim_ms":2500}"#;
    format!(
        r#"{{"listen":"{listen}",
"pools":[{{"name":"ads","backends":[{{"address":"{}"}},{{"address":"{}"}}]}}],
"routes":[
{{"method":"/ads.v1.Ads/Get","pool":"ads","kind":"unary","repeat":"safe","deadline_ms":1500,"aim_ms":200}}{}]}}"#,
        backends[0].address,
        backends[1].address,
        if with_export { export } else { "" }
    )
}

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    let store = Store::new(0.0);
    let backends = [
        Backend::start("A", 100, &store, &run.record).await,
        Backend::start("B", 100, &store, &run.record).await,
    ];
    let listen = free_address();
    let path = run.place.write("grpc.json", &file(listen, &backends, true));
    let proxy = site.proxy(run, &format!("--grpc {}", path.display())).await?;
    let client = Client::connect(listen).await.ok_or("no connection to the proxy's gRPC address")?;
    let first = client.call("/ads.v1.Ads/Get", 1_500, &[("x-name", "get-1"), ("x-takes", "5")]).await;
    run.record.line(format!("a client's Get got {first}"));
    let mut calls = Vec::new();
    for number in 0..4 {
        let client = client.clone();
        calls.push(spawn_local(async move {
            let name = format!("export-{number}");
            let headers = [("x-name", name.as_str()), ("x-takes", CALL_MS)];
            (name.clone(), client.call("/ads.v1.Ads/Export", 5_000, &headers).await)
        }));
    }
    sleep(Duration::from_millis(RELOAD_AFTER_MS)).await;
    if run.trouble {
        run.place.write("grpc.json", &file(listen, &backends, false));
        run.record.line("the operator removes the method Export from the file and sends SIGHUP");
        proxy.signal("HUP");
    }
    let mut lost = Vec::new();
    for call in calls {
        let (name, answer) = call.await.map_err(|error| error.to_string())?;
        run.record.line(format!("the client of {name} got {answer}"));
        if answer.status.is_none() {
            lost.push(name);
        }
    }
    let last = client.call("/ads.v1.Ads/Get", 1_500, &[("x-name", "get-2"), ("x-takes", "5")]).await;
    run.record.line(format!("a client's Get got {last}"));
    proxy.copy_log(&run.record, &["panicked", "reload"]);
    if lost.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!("{} got no status, though their backend answered", lost.join(", "))))
}
