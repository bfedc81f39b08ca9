//! `grpc-route`: looks a path up in the table of gRPC methods.

use super::error::CliError;
use argh::FromArgs;
use edge_proxy::grpc::config::GrpcConfig;
use edge_proxy::Idempotency;
use std::path::PathBuf;

/// Show what the table of gRPC methods holds for a path.
#[derive(FromArgs)]
#[argh(subcommand, name = "grpc-route")]
pub struct GrpcRoute {
    /// the file of gRPC pass-through
    #[argh(option)]
    grpc: PathBuf,
    /// the path, `/Service/Method`
    #[argh(positional)]
    path: String,
}

impl GrpcRoute {
    /// Prints the route of the path.
    pub fn run(self) -> Result<(), CliError> {
        let config = GrpcConfig::read(&self.grpc)?;
        let (routes, pools) = config.compile().map_err(|error| CliError::GrpcRoutes(error.into()))?;
        let route = routes.find(&self.path).ok_or(CliError::NoGrpcRoute(self.path))?;
        let deadline = route.deadline_ms.map_or("the client's".into(), |ms| format!("{ms} ms"));
        let retry: Vec<_> = route.retry.iter().map(|code| code.name()).collect();
        println!(
            "pool {}  kind {:?}  repeat {}  deadline {deadline}  affinity {:?}  retry {}",
            pools[route.pool].name,
            route.kind,
            idempotency_text(route.idempotency),
            route.affinity,
            retry.join(",")
        );
        Ok(())
    }
}

/// The spelling of [`Idempotency`] in the output.
fn idempotency_text(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "Safe",
        Idempotency::WithKey => "Keyed",
        Idempotency::NotIdempotent => "Unsafe",
    }
}
