//! Settings file with which a process of the system is started. All validation errors are reported together.

use crate::error::{ErrorKind, RpcError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use validator::{Validate, ValidationError};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "IVYGATE_CONFIG";

/// Settings of one process. Times are in seconds.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct BootstrapSettings {
    /// Host name of the machine.
    #[validate(length(min = 1, max = 200))]
    pub hostname: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    #[validate(length(min = 1, max = 200))]
    pub az: String,
    /// Region of the machine.
    pub region: String,
    /// Region by zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses that serve clients and operators.
    #[serde(default)]
    pub listen: ListenAddresses,
    /// First and last port for calls between nodes. At least three ports are required, one for each program.
    #[validate(custom(function = "has_three_ports"))]
    pub port_range: (u16, u16),
    /// Operator endpoints of some machines, used to join the cluster.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// `true` if the system is started for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// `true` if this machine belongs to the group of which only a few may fail at once.
    #[serde(default)]
    pub voting: bool,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// Directory for persistent files.
    pub datadir: Option<PathBuf>,
    /// Number of simultaneous failures to tolerate.
    #[serde(default)]
    pub survive: FailureTolerance,
    /// Bounds of the operating rules, as `name=value`.
    #[serde(default)]
    pub bounds: Vec<RuleBound>,
    /// Access to the platform's server list.
    #[validate(nested)]
    pub cloud: Option<ServerListSettings>,
}

/// Bound of an operating rule, as `name=value`.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "String")]
pub struct RuleBound {
    name: String,
    value: f64,
}

impl TryFrom<String> for RuleBound {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (name, value) =
            text.split_once('=').ok_or_else(|| format!("bound '{text}' is not of the form name=value"))?;
        let value = match value.trim() {
            "true" => 1.0,
            "false" => 0.0,
            number => number
                .parse()
                .map_err(|_| format!("bound '{name}': '{number}' is not a number, true or false"))?,
        };
        Ok(Self { name: name.trim().to_owned(), value })
    }
}

/// Addresses on which a process listens for calls from outside the system.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct ListenAddresses {
    /// Address for client requests.
    pub http: Option<SocketAddr>,
    /// Address of the readiness endpoint.
    pub readyz: Option<SocketAddr>,
    /// Address for operator calls.
    pub ctl: Option<SocketAddr>,
    /// Address of the proxy directory for clients.
    pub dir: Option<SocketAddr>,
}

/// Resource limits of a process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ResourceLimits {
    /// Memory in megabytes.
    pub mem_mb: u64,
    /// Number of file descriptors.
    pub nofile: u64,
}

impl ResourceLimits {
    /// Returns a share of the memory, in bytes.
    pub fn memory_share(&self, ratio: f64) -> usize {
        /// Bytes in a megabyte of the settings.
        const MEGABYTE: f64 = 1e6;
        (self.mem_mb as f64 * MEGABYTE * ratio) as usize
    }
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { mem_mb: 256, nofile: 1024 }
    }
}

/// Number of simultaneous failures under which every operating rule still holds.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FailureTolerance {
    /// Failed machines.
    pub nodes: u32,
    /// Failed zones.
    pub zones: u32,
    /// Failed regions.
    pub regions: u32,
}

/// Settings for reading the platform's server list.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct ServerListSettings {
    /// Address of the list service.
    pub address: SocketAddr,
    /// Rate of calls per second that it accepts from all nodes together.
    #[validate(range(min = 0.1, max = 100_000.0))]
    pub rate_per_s: f64,
    /// Maximum delay with which the list reflects changes, in seconds.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 600.0))]
    pub max_lag_s: f64,
}

/// Ports of the three programs on a machine for calls between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePorts {
    /// Port of the proxy.
    pub proxy: u16,
    /// Port of the registry.
    pub registry: u16,
    /// Port of the configuration store.
    pub store: u16,
}

fn has_three_ports(range: &(u16, u16)) -> Result<(), ValidationError> {
    if range.0 == 0 || range.1 < range.0.saturating_add(2) {
        return Err(ValidationError::new("fewer than three ports"));
    }
    Ok(())
}

impl BootstrapSettings {
    /// Loads the settings from the file given by the environment.
    ///
    /// # Errors
    /// Returns `Configuration` with the path of the file, and every validation error with its field.
    pub fn load() -> Result<Self, RpcError> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| {
            RpcError::new(
                ErrorKind::Configuration,
                format!("{SETTINGS_VARIABLE} must contain the path of the settings file"),
            )
        })?;
        let text = std::fs::read_to_string(&path)
            .map_err(|error| RpcError::new(ErrorKind::Configuration, format!("{path}: {error}")))?;
        Self::parse(&text)
            .map_err(|error| RpcError::new(ErrorKind::Configuration, format!("{path}: {}", error.detail)))
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    /// Returns `Configuration` with every validation error and its field.
    pub fn parse(text: &str) -> Result<Self, RpcError> {
        let invalid = |detail: String| RpcError::new(ErrorKind::Configuration, detail);
        let settings: Self = serde_json::from_str(text).map_err(|error| invalid(error.to_string()))?;
        settings.validate().map_err(|error| invalid(error.to_string().replace('\n', "; ")))?;
        Ok(settings)
    }

    /// Returns a bound of an operating rule, or `default` if it is not set.
    pub fn bound(&self, name: &str, default: f64) -> f64 {
        self.bounds.iter().find(|bound| bound.name == name).map_or(default, |bound| bound.value)
    }

    /// Returns the ports of the programs for calls between nodes, which are the same on every machine.
    pub fn ports(&self) -> ServicePorts {
        let first = self.port_range.0;
        ServicePorts { proxy: first, registry: first + 1, store: first + 2 }
    }

    /// Returns the machines of the seed addresses in order, without duplicates.
    pub fn seed_machines(&self) -> Vec<Ipv4Addr> {
        let mut machines: Vec<Ipv4Addr> = Vec::new();
        for seed in &self.seeds {
            if let SocketAddr::V4(seed) = seed {
                if !machines.contains(seed.ip()) {
                    machines.push(*seed.ip());
                }
            }
        }
        machines
    }

    /// Returns the region of a zone, or the name of the zone itself if its region is not configured.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }
}
