//! The settings file that a process of the system is started with. All errors in it are named at once.

use crate::error::{ErrorKind, RpcError};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use validator::{Validate, ValidationError};

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "IVYGATE_CONFIG";

/// The settings of one process. Times are seconds.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct BootstrapSettings {
    /// The machine's name.
    #[validate(length(min = 1, max = 200))]
    pub hostname: String,
    /// The machine's own address.
    pub ip: Ipv4Addr,
    /// Its zone.
    #[validate(length(min = 1, max = 200))]
    pub az: String,
    /// Its region.
    pub region: String,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where this process serves the outside.
    #[serde(default)]
    pub listen: ListenAddresses,
    /// First and last port for calls between nodes.
    #[validate(custom(function = "has_three_ports"))]
    pub port_range: (u16, u16),
    /// Addresses at which operators call, of some machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether this machine is one of those of which only a few may fail at once.
    #[serde(default)]
    pub voting: bool,
    /// What the process may use.
    #[serde(default)]
    pub limits: ResourceLimits,
    /// Where it may keep files.
    pub datadir: Option<PathBuf>,
    /// How much may fail at once.
    #[serde(default)]
    pub survive: FailureTolerance,
    /// Figures of the rules, as `name=value`.
    #[serde(default)]
    pub bounds: Vec<RuleBound>,
    /// The platform's list of servers.
    #[validate(nested)]
    pub cloud: Option<ServerListSettings>,
}

/// One figure of the rules, as `name=value`.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "String")]
pub struct RuleBound {
    name: String,
    value: f64,
}

impl TryFrom<String> for RuleBound {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (name, value) = text.split_once('=').ok_or_else(|| format!("bound '{text}' lacks '='"))?;
        let value = match value.trim() {
            "true" => 1.0,
            "false" => 0.0,
            figure => figure.parse().map_err(|_| format!("bound '{name}': '{figure}' is no figure"))?,
        };
        Ok(Self { name: name.trim().to_owned(), value })
    }
}

/// Addresses for what a process serves.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct ListenAddresses {
    /// Clients' requests.
    pub http: Option<SocketAddr>,
    /// Whether it is ready.
    pub readyz: Option<SocketAddr>,
    /// Operators' calls.
    pub ctl: Option<SocketAddr>,
    /// Clients that ask where to go.
    pub dir: Option<SocketAddr>,
}

/// What a process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ResourceLimits {
    /// Memory in MB.
    pub mem_mb: u64,
    /// Descriptors.
    pub nofile: u64,
}

impl Default for ResourceLimits {
    fn default() -> Self {
        Self { mem_mb: 256, nofile: 1024 }
    }
}

/// How many failures at once every rule survives.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct FailureTolerance {
    /// Machines.
    pub nodes: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// How the platform's list of servers is read.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct ServerListSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Calls a second that it takes, of all nodes together.
    #[validate(range(min = 0.1, max = 100_000.0))]
    pub rate_per_s: f64,
    /// How far it runs behind, in seconds.
    #[serde(default)]
    #[validate(range(min = 0.0, max = 600.0))]
    pub max_lag_s: f64,
}

/// Ports of the three programs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePorts {
    /// The proxy.
    pub proxy: u16,
    /// The registry.
    pub registry: u16,
    /// The store.
    pub store: u16,
}

fn has_three_ports(range: &(u16, u16)) -> Result<(), ValidationError> {
    if range.0 == 0 || range.1 < range.0.saturating_add(2) {
        return Err(ValidationError::new("fewer than three ports"));
    }
    Ok(())
}

impl BootstrapSettings {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// With the file's name, and each error with its field.
    pub fn load() -> Result<Self, RpcError> {
        let path = std::env::var(SETTINGS_VARIABLE).map_err(|_| {
            RpcError::new(ErrorKind::Configuration, format!("{SETTINGS_VARIABLE} names no settings file"))
        })?;
        let text = std::fs::read_to_string(&path)
            .map_err(|e| RpcError::new(ErrorKind::Configuration, format!("{path}: {e}")))?;
        Self::parse(&text)
            .map_err(|error| RpcError::new(ErrorKind::Configuration, format!("{path}: {}", error.detail)))
    }

    /// Reads settings.
    ///
    /// # Errors
    /// With each error and its field.
    pub fn parse(text: &str) -> Result<Self, RpcError> {
        let invalid = |what: String| RpcError::new(ErrorKind::Configuration, what);
        let settings: Self = serde_json::from_str(text).map_err(|error| invalid(error.to_string()))?;
        settings.validate().map_err(|error| invalid(error.to_string().replace('\n', "; ")))?;
        Ok(settings)
    }

    /// A figure of the rules, or the default where it is not given.
    pub fn bound(&self, name: &str, default: f64) -> f64 {
        self.bounds.iter().find(|bound| bound.name == name).map_or(default, |bound| bound.value)
    }

    /// The ports by which the programs on any machine are called by others of the system.
    pub fn ports(&self) -> ServicePorts {
        let first = self.port_range.0;
        ServicePorts { proxy: first, registry: first + 1, store: first + 2 }
    }

    /// The machines that the seeds name, in order, once each.
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

    /// The region of a zone; the zone's own name where it is not told.
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, String::as_str)
    }
}
