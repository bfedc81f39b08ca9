//! The edge proxy's command line.

use argh::FromArgs;
use calicobeam::lifecycle::config::{read_json, Config, ConfigError};
use calicobeam::lifecycle::front::FrontConfig;
use calicobeam::lifecycle::serve;
use calicobeam::wire::vrrp;
use std::path::PathBuf;
use std::process::ExitCode;

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
}

fn read(path: Option<PathBuf>) -> Result<Config, String> {
    let path = path.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let path = path.ok_or("no configuration: give --config FILE or set NODE_CONFIG")?;
    Config::read(&path).map_err(|e| e.to_string())
}

fn read_front(path: Option<PathBuf>, config: &Config) -> Result<Option<FrontConfig>, String> {
    let read = |path: PathBuf| FrontConfig::read(&path, config.limits.sockets).map_err(|e| e.to_string());
    path.map(read).transpose()
}

fn read_vrrp(path: Option<PathBuf>) -> Result<Option<vrrp::Settings>, String> {
    let Some(path) = path else { return Ok(None) };
    let set: vrrp::Settings = read_json(&path).map_err(|e| e.to_string())?;
    set.check().map_err(|(field, why)| ConfigError::Field { path, field, why }.to_string())?;
    Ok(Some(set))
}

fn run() -> Result<(), String> {
    match argh::from_env::<Arguments>().command {
        Command::Version(_) => println!("calicobeam {}", env!("CARGO_PKG_VERSION")),
        Command::Check(check) => {
            let config = read(check.config)?;
            read_front(check.front, &config)?;
            read_vrrp(check.vrrp)?;
            println!("calicobeam: the configuration of {:?} is in order", config.name);
        }
        Command::Serve(arguments) => {
            let config = read(arguments.config)?;
            let front = read_front(arguments.front, &config)?;
            let router = read_vrrp(arguments.vrrp)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
            let tasks = tokio::task::LocalSet::new();
            let served = tasks.block_on(&runtime, serve::serve(config, front, router));
            return served.map_err(|e| e.to_string());
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("calicobeam: {message}");
            ExitCode::FAILURE
        }
    }
}
