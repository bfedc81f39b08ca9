//! The configuration file of the gRPC front, `serve --grpc FILE`. Without it the front is disabled.

use super::limits::GrpcLimits;
use super::pool::PoolSpec;
use super::pool_config::{PoolConfig, PoolError, PoolFault};
use super::route_compiler::{compile, RouteError};
use super::route_config::RouteConfig;
use super::routes::Routes;
use crate::admission::config::AdmissionConfig;
use crate::config_file::{parse_address, read_json, ConfigError, FieldError};
use http::HeaderName;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrpcConfig {
    /// The listen address, `ADDRESS:PORT`.
    pub listen: String,
    /// Limits of connections, calls and buffers.
    #[serde(default)]
    pub limits: GrpcLimits,
    /// Admission control of unary calls, in the format of the admission file.
    #[serde(rename = "door", default)]
    pub admission: Option<AdmissionConfig>,
    /// The header that holds a call's tenant, a number from 0 to 255. If unset, the tenant is the index of
    /// the route within its pool.
    #[serde(default)]
    pub tenant_header: Option<String>,
    /// The backend pools.
    pub pools: Vec<PoolConfig>,
    /// The routes from methods to pools.
    pub routes: Vec<RouteConfig>,
    /// The path of the file, for reloads.
    #[serde(skip)]
    pub path: PathBuf,
}

impl GrpcConfig {
    /// Reads and validates the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.path = path.to_path_buf();
        let field = |error: FieldError| error.in_file(path);
        config.check().map_err(field)?;
        Ok(config)
    }

    /// Reads and validates the same file again. The listen address must not change.
    pub fn reload(&self) -> Result<Self, ConfigError> {
        let reloaded = Self::read(&self.path)?;
        if reloaded.listen != self.listen {
            let reason = format!("{:?}: changing the listen address requires a restart", reloaded.listen);
            return Err(FieldError::new("listen", reason).in_file(&self.path));
        }
        Ok(reloaded)
    }

    fn check(&self) -> Result<(), FieldError> {
        parse_address(&self.listen).map_err(|error| FieldError::new("listen", error))?;
        self.limits.check().map_err(|error| FieldError::new("limits", error))?;
        if let Some(admission) = &self.admission {
            let describe = |FieldError { field, source }| format!("`{field}`: {source}");
            admission.check().map_err(|error| FieldError::new("door", describe(error)))?;
        }
        let header = self.tenant_header.as_ref();
        if header.is_some_and(|name| HeaderName::from_bytes(name.as_bytes()).is_err()) {
            return Err(FieldError::new("tenant_header", "not a valid header name"));
        }
        if self.pools.is_empty() {
            return Err(FieldError::new("pools", "at least one pool is required"));
        }
        for (index, pool) in self.pools.iter().enumerate() {
            let is_repeated = self.pools[..index].iter().any(|other| other.name == pool.name);
            let result = if is_repeated { Err(PoolFault::Name) } else { pool.check() };
            let pool_error = |fault| PoolError { pool: pool.name.clone(), fault };
            result.map_err(|fault| FieldError::new("pools", pool_error(fault)))?;
        }
        self.compile().map(drop).map_err(|error| FieldError::new("routes", error))
    }

    /// The parsed listen address.
    pub fn listen_address(&self) -> SocketAddr {
        parse_address(&self.listen).expect("`listen` is validated by `read`")
    }

    /// Compiles the routing table and the pools' policy settings.
    pub fn compile(&self) -> Result<(Routes, Vec<PoolSpec>), RouteError> {
        compile(&self.pools, &self.routes)
    }
}
