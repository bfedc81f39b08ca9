//! The `grpc-route` command: looks up the route of a gRPC method.

use super::error::CliError;
use argh::FromArgs;
use edge_proxy::grpc::config::GrpcConfig;
use edge_proxy::Idempotency;
use std::path::PathBuf;

/// Show the route of a gRPC method.
#[derive(FromArgs)]
#[argh(subcommand, name = "grpc-route")]
pub struct GrpcRoute {
    /// the configuration file of gRPC pass-through
    #[argh(option)]
    grpc: PathBuf,
    /// the path of the method, `/Service/Method`
    #[argh(positional)]
    path: String,
}

impl GrpcRoute {
    /// Prints the route of the method.
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

/// The name of an [`Idempotency`] in the output.
fn idempotency_text(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "Safe",
        Idempotency::WithKey => "Keyed",
        Idempotency::NotIdempotent => "Unsafe",
    }
}
