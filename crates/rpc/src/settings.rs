//! The settings file that a process of the system is started with. All its faults are named at once.

use crate::errors::{Fault, Kind};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use validator::{Validate, ValidationError};

/// The variable that names the settings file.
const VARIABLE: &str = "IVYGATE_CONFIG";

/// The settings of one process. Times are seconds.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Boot {
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
    pub listen: Listen,
    /// First and last port for what the nodes say to each other.
    #[validate(custom(function = "three_ports"))]
    pub port_range: (u16, u16),
    /// Addresses at which operators call, of some machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Whether this machine counts among those of which only a few may be lost.
    #[serde(default)]
    pub voting: bool,
    /// What the process may use.
    #[serde(default)]
    pub limits: Machine,
    /// Where it may keep files.
    pub datadir: Option<PathBuf>,
    /// What may be lost at once.
    #[serde(default)]
    pub survive: Survive,
    /// Figures of the rules, as `name=value`.
    #[serde(default)]
    pub bounds: Vec<Bound>,
    /// The platform's list of servers.
    #[validate(nested)]
    pub cloud: Option<Cloud>,
}

/// One figure of the rules, as `name=value`.
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "String")]
pub struct Bound {
    name: String,
    value: f64,
}

impl TryFrom<String> for Bound {
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
pub struct Listen {
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
pub struct Machine {
    /// Memory in MB.
    pub mem_mb: u64,
    /// Descriptors.
    pub nofile: u64,
}

impl Default for Machine {
    fn default() -> Self {
        Self { mem_mb: 256, nofile: 1024 }
    }
}

/// How many may be lost at once while every rule is kept.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Survive {
    /// Machines.
    pub nodes: u32,
    /// Zones.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

/// The platform's list.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Cloud {
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
pub struct Ports {
    /// The proxy.
    pub proxy: u16,
    /// The registry.
    pub registry: u16,
    /// The store.
    pub store: u16,
}

fn three_ports(range: &(u16, u16)) -> Result<(), ValidationError> {
    if range.0 == 0 || range.1 < range.0.saturating_add(2) {
        return Err(ValidationError::new("fewer than three ports"));
    }
    Ok(())
}

impl Boot {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// With the file's name, and each fault with its field.
    pub fn load() -> Result<Self, Fault> {
        let path = std::env::var(VARIABLE)
            .map_err(|_| Fault::new(Kind::Setting, format!("{VARIABLE} names no settings file")))?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| Fault::new(Kind::Setting, format!("{path}: {e}")))?;
        Self::parse(&text).map_err(|fault| Fault::new(Kind::Setting, format!("{path}: {}", fault.detail)))
    }

    /// Reads settings.
    ///
    /// # Errors
    /// With each fault and its field.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        let fault = |what: String| Fault::new(Kind::Setting, what);
        let boot: Self = serde_json::from_str(text).map_err(|e| fault(e.to_string()))?;
        boot.validate().map_err(|e| fault(e.to_string().replace('\n', "; ")))?;
        Ok(boot)
    }

    /// A figure of the rules.
    pub fn bound(&self, name: &str, untold: f64) -> f64 {
        self.bounds.iter().find(|b| b.name == name).map_or(untold, |b| b.value)
    }

    /// The ports by which the programs on any machine are called by others of the system.
    pub fn ports(&self) -> Ports {
        let first = self.port_range.0;
        Ports { proxy: first, registry: first + 1, store: first + 2 }
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

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"hostname":"edge-1","ip":"10.1.0.33","az":"a","region":"r","portRange":[7740,7755],
        "seeds":["10.1.0.36:8688","10.1.0.36:8689","10.2.0.11:8688"],"datadir":null,"later":1,
        "bounds":["drainS=4","strictRevoke=false"],"cloud":{"address":"10.200.0.51:8682","ratePerS":54.0}}"#;

    #[test]
    fn settings_are_read_and_unknown_fields_passed_over() {
        let boot = Boot::parse(GOOD).expect("it is sound");
        assert_eq!(
            (boot.bound("drainS", 9.0), boot.bound("strictRevoke", 1.0), boot.bound("else", 7.0)),
            (4.0, 0.0, 7.0)
        );
        assert_eq!(boot.ports(), Ports { proxy: 7740, registry: 7741, store: 7742 });
        assert_eq!(boot.seed_machines().len(), 2);
    }

    #[test]
    fn every_fault_is_named_at_once() {
        let bad = GOOD.replace("7755", "7741").replace("\"edge-1\"", "\"\"").replace("54.0", "0");
        let fault = Boot::parse(&bad).expect_err("it is not");
        for field in ["port_range", "hostname", "rate_per_s"] {
            assert!(fault.detail.contains(field), "{field}: {}", fault.detail);
        }
    }
}
