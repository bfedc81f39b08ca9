//! A bad client sends the id of an open request with another object, while requests wait in the queue of
//! admission control.

use super::Played;
use crate::site::Site;
use crate::web::{read, request, send_from};
use crate::{Run, Verdict};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// How long a request takes at a cache.
const SERVICE_MS: u64 = 1_000;
/// The network of the operators' own clients, which are always admitted.
const EXEMPT: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// Other clients, behind one address.
const CROWD: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);

/// The status and the text of a response; `None` if there was none.
type Got = Option<(u16, String)>;

fn ask(run: &Run, site: &Site, who: &str, from: Ipv4Addr, id: u64, object: u64) -> JoinHandle<Got> {
    run.record.line(format!("{who} asks for object {object:016x} with id {id:016x}"));
    let id = format!("{id:016x}");
    let headers = [("X-Call-Id", id.as_str()), ("X-Patience-Ms", "5000"), ("X-Set", "17")];
    let text = request("GET", &format!("/ops/video-part/{object:016x}/slice-1"), &headers, "");
    let (record, who, listen) = (run.record.clone(), who.to_string(), site.listen);
    spawn_local(async move {
        let exchange = async {
            let mut stream = send_from(from, listen, &text).await.ok()?;
            read(&mut stream, usize::MAX).await
        };
        let reply = timeout(Duration::from_millis(5_500), exchange).await.ok().flatten();
        let got = reply.map(|reply| (reply.status, reply.text()));
        record.line(format!("{who} gets {got:?}"));
        got
    })
}

pub async fn play(run: &Run) -> Played {
    let site = Site::start(run).await;
    let admission = format!(
        r#"{{"limit":{{"first":4,"least":1,"most":4,"adaptive":false}},"reserve_share":0.25,"exempt":["{EXEMPT}/32"]}}"#
    );
    let admission = run.place.write("admission.json", &admission);
    let proxy = site.proxy(run, &format!("--admission {}", admission.display())).await?;
    for number in 0..20 {
        let _ = ask(run, &site, "the crowd", CROWD, 0x1000 + number, 0x77 + number).await;
    }
    site.servers.iter().for_each(|server| server.service_ms.set(SERVICE_MS));
    // A busy evening: some requests are in flight, others wait.
    let mut crowd = Vec::new();
    for number in 0..6 {
        crowd.push(ask(run, &site, "the crowd", CROWD, 0x2000 + number, 0x99 + number));
        sleep(Duration::from_millis(20)).await;
    }
    let (own_object, other_object) = (0x7f3a_9c21_e0b4_d655u64, 0x1111_2222_3333_4444u64);
    let operator = ask(run, &site, "the operators' client", EXEMPT, 0xabcd, own_object);
    sleep(Duration::from_millis(200)).await;
    let id = if run.trouble { 0xabcd } else { 0xabce };
    let bad = ask(run, &site, "the bad client", CROWD, id, other_object);
    let operator = operator.await.map_err(|error| error.to_string())?;
    let bad = bad.await.map_err(|error| error.to_string())?;
    for request in crowd {
        let _ = request.await;
    }
    proxy.copy_log(&run.record, &["000000000000abcd"]);
    let contains = |got: &Got, object: u64| {
        got.as_ref().is_some_and(|(status, text)| *status == 200 && text.contains(&format!("{object:016x}")))
    };
    if contains(&bad, own_object) {
        return Ok(Verdict::Broken("a bad client was served the object of the operators' client".into()));
    }
    if run.trouble && bad.as_ref().is_some_and(|(status, _)| *status == 200) {
        return Ok(Verdict::Broken("a bad client was answered 'served'".into()));
    }
    if !contains(&operator, own_object) {
        return Ok(Verdict::Broken(format!("the operators' client got {operator:?}")));
    }
    Ok(Verdict::Held)
}
