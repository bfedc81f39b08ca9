//! An edge proxy as a process of its own, started by the `run` line of the deploy file, and its files.

use crate::record::{now_ms, Record};
use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::net::TcpSocket;

/// The `run` line of the deploy file, without its `exec`.
fn run_line(root: &Path) -> Option<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "))?;
    Some(line.trim().trim_matches('"').to_string())
}

/// A free port on a loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// The clients' listening socket, where the platform holds it and the proxy inherits it.
pub fn platform_socket(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(address)?;
    socket.listen(backlog)?.into_std()
}

/// The folders of a run.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
}

impl Place {
    /// Writes a file of the run's folder and returns its path. A file that exists is replaced whole.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        let temporary = self.folder.join(format!("{name}.new"));
        fs::write(&temporary, text).expect("the run's folder can be written");
        fs::rename(&temporary, &path).expect("the run's folder can be written");
        path
    }
}

/// A running proxy; it is killed when this is dropped.
pub struct Proxy {
    child: Child,
    log: PathBuf,
}

/// How a proxy is started.
pub struct Start<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub config: &'a Path,
    /// The options after the `run` line.
    pub options: &'a str,
    /// The clients' listening socket, if the platform holds it; it becomes descriptor 3.
    pub inherited: Option<&'a TcpListener>,
    /// The admin address of a new version that is started beside the old one.
    pub new_admin: Option<SocketAddr>,
}

impl Proxy {
    /// Starts a proxy and waits until it answers `GET /alive` with 200.
    pub async fn start(place: &Place, start: Start<'_>) -> Option<Self> {
        let mut proxy = Self::spawn(place, &start)?;
        let until = now_ms() + 15_000.0;
        while now_ms() < until {
            if crate::web::get(start.listen, "/alive", 500).await.is_some_and(|reply| reply.status == 200) {
                return Some(proxy);
            }
            if proxy.has_ended() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        eprintln!("the proxy is not ready:\n{}", fs::read_to_string(&proxy.log).unwrap_or_default());
        None
    }

    /// Starts a proxy's process.
    pub fn spawn(place: &Place, start: &Start<'_>) -> Option<Self> {
        let Start { name, listen, config, options, inherited, new_admin } = *start;
        let redirection = if inherited.is_some() { "3<&0 </dev/null" } else { "" };
        let run = format!("{} {options} {redirection}", run_line(&place.root)?);
        let process = if new_admin.is_some() { "new" } else { "old" };
        let log = place.folder.join(format!("{name}-{process}.log"));
        let output = File::create(&log).ok()?;
        let scratch = place.folder.join(format!("{name}.tmp"));
        fs::create_dir_all(&scratch).ok()?;
        let mut command = Command::new("/bin/sh");
        match inherited {
            Some(listener) => {
                let listener = listener.try_clone().ok()?;
                command.env("NODE_INHERITED_FD", "3").stdin(OwnedFd::from(listener));
            }
            None => drop(command.stdin(Stdio::null())),
        }
        if let Some(admin) = new_admin {
            command.env("NODE_MGMT", admin.to_string());
        }
        let child = command
            .args(["-c", &run])
            .current_dir(&place.root)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_CONFIG", config)
            .env("TMPDIR", &scratch)
            .env("EDGE_PROXY_LOG", "info,edge_proxy=debug")
            .stdout(output.try_clone().ok()?)
            .stderr(output)
            .spawn()
            .ok()?;
        let mut pids =
            fs::OpenOptions::new().create(true).append(true).open(place.folder.join("pids")).ok()?;
        writeln!(pids, "{}", child.id()).ok()?;
        Some(Self { child, log })
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal, such as `HUP`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    /// Whether a line of the log contains all of these texts.
    pub fn logged(&self, texts: &[&str]) -> bool {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().any(|line| texts.iter().all(|text| line.contains(text)))
    }

    /// Copies the warnings and errors of the log, and lines that contain one of these texts, to the record.
    pub fn copy_log(&self, record: &Record, texts: &[&str]) {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        for line in log.lines() {
            let folder = self.log.parent().map(|folder| format!("{}/", folder.display())).unwrap_or_default();
            let plain = strip_escapes(line).replace(&folder, "");
            if plain.contains(" WARN ")
                || plain.contains("ERROR")
                || texts.iter().any(|text| plain.contains(text))
            {
                record.line(format!("proxy's log: {plain}"));
            }
        }
    }
}

fn strip_escapes(line: &str) -> String {
    let mut plain = String::new();
    let mut chars = line.chars();
    while let Some(c) = chars.next() {
        if c == '\u{1b}' {
            for c in chars.by_ref() {
                if c == 'm' {
                    break;
                }
            }
        } else {
            plain.push(c);
        }
    }
    plain
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A target of the endpoint list.
#[derive(Clone)]
pub struct Target {
    pub id: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub model: &'static str,
}

impl Target {
    pub fn json(&self, state: &str) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":0,"state":"{state}","capacity_hint":4,"boot_ms":0}}"#,
            self.id, self.address, self.zone, self.model
        )
    }
}

/// The classes of `examples/config.json`.
pub const CLASSES: [&str; 3] = [
    r#"{"name":"video-part","aimStretch":1.6,"deadlineUs":5000000,"promiseUs":600000,"semantics":"pure","dedupScope":"all","windowUs":5000000,"worth":2.0}"#,
    r#"{"name":"small-object","aimStretch":2.0,"deadlineUs":3000000,"promiseUs":300000,"semantics":"pure","dedupScope":"all","windowUs":3000000,"worth":1.0}"#,
    r#"{"name":"ad-post","aimStretch":0.0,"deadlineUs":3000000,"promiseUs":700000,"semantics":"token","dedupScope":"all","windowUs":2000000,"worth":3.0}"#,
];

/// A node's configuration: the settings of `examples/config.json` with these classes; `writes` says of each
/// whether it runs at the origin.
pub struct NodeConfig<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub bulletin: SocketAddr,
    pub targets: &'a [Target],
    /// The descriptors that the proxy may hold.
    pub sockets: usize,
    pub classes: &'a [&'a str],
    pub writes: &'a [bool],
}

impl NodeConfig<'_> {
    pub fn json(&self) -> String {
        let Self { name, listen, admin, bulletin, sockets, .. } = self;
        let targets: Vec<String> = self.targets.iter().map(|target| target.json("Ready")).collect();
        let writes: Vec<String> = self.writes.iter().map(bool::to_string).collect();
        let (targets, classes, writes) = (targets.join(","), self.classes.join(","), writes.join(","));
        format!(
            r#"{{"name":"{name}","listen":"{listen}","mgmt":"{admin}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"bulletin":"{bulletin}",
"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"no":1,"items":[{{"no":1,"roster":{{"rev":1,"all":true,"targets":[{targets}]}}}}]}},
"settings":{{"classes":[{classes}],
"familyInfo":{{"uncached":[{writes}],"mayPassBy":true,"midKind":1,"rootKind":2,"joins":true,"flowKbPerS":3800.0,
"parentFloor":0.063,"upperColdUs":20000000,"parentBreaksAt":2.0,"purgeDoneUs":6000000,"purgeSlackUs":500000,
"seatsByZone":[0,1]}},
"localities":["hub","town"],"locality":"town","skus":["box","parent","origin"],"siblings":1,
"policyLimits":{{"cancelling":true,"connectTimeoutUs":400000,"keepaliveUs":30000000,"maxRetryAfterUs":500000,
"retryAfter":true,"sendCap":8,"streamsPerConn":32}},
"rules":{{"drainGraceUs":250000,"fallMultiple":2.5,"rampTimeUs":16000000,"startCapacity":0.16,"tipAfterUs":3000000}},
"weightKind":"silent"}}}}"#
        )
    }
}
