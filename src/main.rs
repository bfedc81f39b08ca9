//! The edge proxy's command line.

use argh::FromArgs;
use edge_proxy::admission::config::AdmissionConfig;
use edge_proxy::grpc::config::GrpcConfig;
use edge_proxy::health_check::config::HealthCheckConfig;
use edge_proxy::http3::config::Http3Config;
use edge_proxy::lifecycle::config::Config;
use edge_proxy::lifecycle::front::SignedUrlConfig;
use edge_proxy::lifecycle::serve::{self, Subsystems};
use edge_proxy::purge::config::PurgeConfig;
use edge_proxy::purge::log::{decode, MAGIC};
use edge_proxy::purge::selector::Selector;
use edge_proxy::purge::wire::{call, from_json, Fault, Submit};
use edge_proxy::registry::config::RegistryConfig;
use edge_proxy::rules::config::RulesConfig;
use edge_proxy::rules::table::{Rules, Said};
use edge_proxy::vrrp::config::VrrpConfig;
use edge_proxy::wire::http::HttpRequest;
use edge_proxy::Idempotency;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The edge proxy of the listing-media deployment.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
    Check(Check),
    GrpcRoute(GrpcRoute),
    Vrrp(Vrrp),
    Show(Show),
    Rule(RuleTry),
    Purge(Purge),
}

/// Serve until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; else the file that NODE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// the file of the second front, signed URLs; without it that front is off
    #[argh(option)]
    front: Option<PathBuf>,
    /// the file of a virtual router (VRRP); without it no packet is sent
    #[argh(option)]
    vrrp: Option<PathBuf>,
    /// the file of fleet purges; without it purges come from the bulletin alone
    #[argh(option)]
    purges: Option<PathBuf>,
    /// the file of the door's fair queues; without it every request goes to the engine at once
    #[argh(option)]
    door: Option<PathBuf>,
    /// the file of the registry client; without it the endpoints come from the bulletin
    #[argh(option)]
    registry: Option<PathBuf>,
    /// the file of gRPC pass-through; without it there is no such front
    #[argh(option)]
    grpc: Option<PathBuf>,
    /// the file of the edge for poor links (HTTP/3); without it there is no such front
    #[argh(option)]
    poor: Option<PathBuf>,
    /// the file of duties shared among instances; without it nothing is probed
    #[argh(option)]
    duties: Option<PathBuf>,
    /// the file of rules that say what requests ask for; without it the platform's own spelling does
    #[argh(option)]
    rules: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Check a configuration and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; else the file that NODE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// the file of the second front, signed URLs
    #[argh(option)]
    front: Option<PathBuf>,
    /// the file of a virtual router (VRRP)
    #[argh(option)]
    vrrp: Option<PathBuf>,
    /// the file of fleet purges
    #[argh(option)]
    purges: Option<PathBuf>,
    /// the file of the door's fair queues
    #[argh(option)]
    door: Option<PathBuf>,
    /// the file of the registry client
    #[argh(option)]
    registry: Option<PathBuf>,
    /// the file of gRPC pass-through
    #[argh(option)]
    grpc: Option<PathBuf>,
    /// the file of the edge for poor links
    #[argh(option)]
    poor: Option<PathBuf>,
    /// the file of duties shared among instances
    #[argh(option)]
    duties: Option<PathBuf>,
    /// the file of rules
    #[argh(option)]
    rules: Option<PathBuf>,
}

/// Say what the table of gRPC methods holds for a path.
#[derive(FromArgs)]
#[argh(subcommand, name = "grpc-route")]
struct GrpcRoute {
    /// the file of gRPC pass-through
    #[argh(option)]
    grpc: PathBuf,
    /// the path, `/Service/Method`
    #[argh(positional)]
    path: String,
}

/// See how a proxy's virtual router stands, have it stand aside, or take it back into service.
#[derive(FromArgs)]
#[argh(subcommand, name = "vrrp")]
struct Vrrp {
    /// what to do: `status`, `aside` or `back`
    #[argh(positional)]
    what: String,
    /// the proxy's second address
    #[argh(option)]
    at: SocketAddr,
}

/// Say what rules make of a request.
#[derive(FromArgs)]
#[argh(subcommand, name = "rule")]
struct RuleTry {
    /// the file of rules
    #[argh(option)]
    rules: PathBuf,
    /// the method; GET where it is not given
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// a header, `name: value`; may be given more than once
    #[argh(option)]
    header: Vec<String>,
    /// the target
    #[argh(positional)]
    target: String,
}

/// Show a subsystem's state, as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// which one: `registry`, `grpc`, `vrrp`, `duties` or `purges`
    #[argh(positional)]
    what: String,
    /// the proxy's second address
    #[argh(option)]
    at: SocketAddr,
}

/// Issue fleet purges and see how far they got.
#[derive(FromArgs)]
#[argh(subcommand, name = "purge")]
struct Purge {
    #[argh(subcommand)]
    command: PurgeCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum PurgeCommand {
    Submit(PurgeSubmit),
    Status(PurgeStatus),
    List(PurgeList),
    Log(PurgeLog),
}

/// Issue a purge at the leader: object:HEX16, group:N, tag:KEY, pattern:/GLOB or everything.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
struct PurgeSubmit {
    /// the leader's second address, as host:port
    #[argh(option)]
    at: SocketAddr,
    /// what the purge removes
    #[argh(positional)]
    selector: String,
}

/// Show a proxy's purges: its number, the fleet's done mark, each target's acknowledgement.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct PurgeStatus {
    /// the proxy's second address, as host:port
    #[argh(option)]
    at: SocketAddr,
}

/// List the purges that a proxy holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct PurgeList {
    /// the proxy's second address, as host:port
    #[argh(option)]
    at: SocketAddr,
    /// the first number to list
    #[argh(option, default = "1")]
    from: u64,
    /// how many at most
    #[argh(option, default = "100")]
    most: u64,
}

/// Read a purge log file and check every record, changing nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct PurgeLog {
    /// the log file
    #[argh(positional)]
    file: PathBuf,
}
fn read(path: Option<PathBuf>) -> Result<Config, String> {
    let path = path.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let path = path.ok_or("no configuration: give --config FILE or set NODE_CONFIG")?;
    Config::read(&path).map_err(|e| e.to_string())
}

fn read_front(path: Option<PathBuf>, config: &Config) -> Result<Option<SignedUrlConfig>, String> {
    let read = |path: PathBuf| SignedUrlConfig::read(&path, config.limits.sockets).map_err(|e| e.to_string());
    path.map(read).transpose()
}

fn read_vrrp(path: Option<PathBuf>) -> Result<Option<VrrpConfig>, String> {
    path.map(|path| VrrpConfig::read(&path).map_err(|e| e.to_string())).transpose()
}

fn read_registry(path: Option<PathBuf>) -> Result<Option<RegistryConfig>, String> {
    path.map(|path| RegistryConfig::read(&path).map_err(|e| e.to_string())).transpose()
}

fn read_grpc(path: Option<PathBuf>) -> Result<Option<GrpcConfig>, String> {
    path.map(|path| GrpcConfig::read(&path).map_err(|e| e.to_string())).transpose()
}

fn read_poor(path: Option<PathBuf>) -> Result<Option<Http3Config>, String> {
    path.map(|path| Http3Config::read(&path).map_err(|e| e.to_string())).transpose()
}

fn read_duties(path: Option<PathBuf>) -> Result<Option<HealthCheckConfig>, String> {
    path.map(|path| HealthCheckConfig::read(&path).map_err(|e| e.to_string())).transpose()
}

fn read_rules(path: Option<PathBuf>) -> Result<Option<(RulesConfig, Rules)>, String> {
    path.map(|path| RulesConfig::read(&path).map_err(|e| e.to_string())).transpose()
}

fn read_admission(path: Option<PathBuf>) -> Result<Option<AdmissionConfig>, String> {
    path.map(|path| AdmissionConfig::read(&path).map_err(|e| e.to_string())).transpose()
}

fn read_purges(path: Option<PathBuf>) -> Result<Option<PurgeConfig>, String> {
    path.map(|path| PurgeConfig::read(&path).map_err(|e| e.to_string())).transpose()
}

/// The spelling of [`Idempotency`] in the answers of `grpc-route`.
fn repeat_text(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "Safe",
        Idempotency::WithKey => "Keyed",
        Idempotency::NotIdempotent => "Unsafe",
    }
}

/// How long a call of the command line waits.
const CALL_WITHIN: Duration = Duration::from_secs(5);

/// One call to a proxy's second address; the body of a 2xx answer, or the fault it names.
fn ask(at: SocketAddr, method: &str, target: &str, body: &[u8]) -> Result<String, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let answer = runtime.block_on(call(at, method, target, body, CALL_WITHIN)).map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&answer.body).to_string();
    if (200..300).contains(&answer.status) {
        return Ok(text);
    }
    let reason = from_json::<Fault>(&answer.body).map_or(text, |fault| fault.error);
    Err(format!("{at} answered {}: {reason}", answer.status))
}

fn purge(command: PurgeCommand) -> Result<(), String> {
    match command {
        PurgeCommand::Submit(submit) => {
            // Checked here first, so that a bad selector changes nothing anywhere and says why at once.
            let sel: Selector = submit.selector.parse().map_err(|e| format!("{e}"))?;
            let body = edge_proxy::purge::wire::to_json(&Submit { sel });
            println!("{}", ask(submit.at, "POST", "/purges", &body)?);
        }
        PurgeCommand::Status(status) => println!("{}", ask(status.at, "GET", "/purges", b"")?),
        PurgeCommand::List(list) => {
            let target = format!("/purges/log?from={}&most={}", list.from, list.most);
            println!("{}", ask(list.at, "GET", &target, b"")?);
        }
        PurgeCommand::Log(log) => {
            let bytes = std::fs::read(&log.file).map_err(|e| format!("{}: {e}", log.file.display()))?;
            let Some(records) = bytes.strip_prefix(MAGIC.as_slice()) else {
                return Err(format!("{}: not a purge log", log.file.display()));
            };
            let (records, fault) = decode(records);
            for record in &records {
                println!("{}", simd_json::to_string(record).map_err(|e| e.to_string())?);
            }
            if let Some((at, reason)) = fault {
                let at = at + MAGIC.len();
                return Err(format!(
                    "{}: {} records whole; at byte {at}: {reason}",
                    log.file.display(),
                    records.len()
                ));
            }
            eprintln!("{}: {} records, all whole", log.file.display(), records.len());
        }
    }
    Ok(())
}

/// Structured logs on standard error: `CALICOBEAM_LOG` filters them (`info` where unset), and
/// `CALICOBEAM_LOG_FORMAT=json` writes one JSON object a line.
fn logging() {
    use tracing_subscriber::EnvFilter;
    let filter = EnvFilter::try_from_env("CALICOBEAM_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let json = std::env::var("CALICOBEAM_LOG_FORMAT").is_ok_and(|format| format == "json");
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false);
    if json {
        logs.json().init();
    } else {
        logs.with_target(false).init();
    }
}

fn run() -> Result<(), String> {
    match argh::from_env::<Arguments>().command {
        Command::Version(_) => println!("edge-proxy {}", env!("CARGO_PKG_VERSION")),
        Command::Check(check) => {
            let config = read(check.config)?;
            read_front(check.front, &config)?;
            read_vrrp(check.vrrp)?;
            read_purges(check.purges)?;
            read_admission(check.door)?;
            read_registry(check.registry)?;
            read_grpc(check.grpc)?;
            read_poor(check.poor)?;
            read_duties(check.duties)?;
            if let Some((_, rules)) = read_rules(check.rules)? {
                println!("edge-proxy: {} rules, at most {} steps a request", rules.0.len(), rules.cost());
            }
            println!("edge-proxy: the configuration of {:?} is in order", config.name);
        }
        Command::Serve(arguments) => {
            let config = read(arguments.config)?;
            let front = read_front(arguments.front, &config)?;
            let router = read_vrrp(arguments.vrrp)?;
            let purges = read_purges(arguments.purges)?;
            let door = read_admission(arguments.door)?;
            let registry = read_registry(arguments.registry)?;
            let grpc = read_grpc(arguments.grpc)?;
            let poor = read_poor(arguments.poor)?;
            let duties = read_duties(arguments.duties)?;
            let rules = read_rules(arguments.rules)?;
            logging();
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
            let tasks = tokio::task::LocalSet::new();
            let served = tasks.block_on(
                &runtime,
                serve::serve(
                    config,
                    Subsystems { front, router, purges, door, registry, grpc, poor, duties, rules },
                ),
            );
            return served.map_err(|e| e.to_string());
        }
        Command::GrpcRoute(asked) => {
            let config = GrpcConfig::read(&asked.grpc).map_err(|e| e.to_string())?;
            let (routes, pools) = config.compile()?;
            let route = routes.find(&asked.path).ok_or(format!("{:?}: no line of the table", asked.path))?;
            let deadline = route.deadline_ms.map_or("the client's".into(), |ms| format!("{ms} ms"));
            println!(
                "pool {}  kind {:?}  repeat {}  deadline {deadline}  affinity {:?}  retry {}",
                pools[route.pool].name,
                route.kind,
                repeat_text(route.idempotency),
                route.affinity,
                route.retry.iter().map(|code| code.name()).collect::<Vec<_>>().join(",")
            );
        }
        Command::Rule(asked) => {
            let (_, rules) = RulesConfig::read(&asked.rules).map_err(|e| e.to_string())?;
            let header = |line: &String| {
                let (name, value) = line.split_once(':').ok_or(format!("{line:?} is no `name: value`"))?;
                Ok((name.trim().to_ascii_lowercase(), value.trim().to_string()))
            };
            let headers = asked.header.iter().map(header).collect::<Result<_, String>>()?;
            let (method, target) = (asked.method, asked.target);
            let mut steps = 0;
            let said =
                rules.of(&HttpRequest { method, target, headers, ..HttpRequest::default() }, &mut steps);
            match said {
                Said::Target(t) => println!(
                    "class {}  object {:016x}  part {}  group {}  steps {steps}",
                    t.class, t.object, t.part, t.group
                ),
                Said::Malformed => println!("malformed: 400  steps {steps}"),
                Said::Nothing => println!("no rule: 404  steps {steps}"),
            }
        }
        Command::Show(show) => {
            if !["registry", "grpc", "vrrp", "duties", "purges"].contains(&show.what.as_str()) {
                return Err(format!("{:?} is none of registry, grpc, vrrp, duties, purges", show.what));
            }
            println!("{}", ask(show.at, "GET", &format!("/{}", show.what), b"")?);
        }
        Command::Vrrp(command) => {
            let (method, path) = match command.what.as_str() {
                "status" => ("GET", "/vrrp"),
                "aside" => ("POST", "/vrrp/aside"),
                "back" => ("POST", "/vrrp/back"),
                other => return Err(format!("{other:?} is neither `status`, `aside` nor `back`")),
            };
            println!("{}", ask(command.at, method, path, b"")?);
        }
        Command::Purge(command) => purge(command.command)?,
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("edge-proxy: {message}");
            ExitCode::FAILURE
        }
    }
}
