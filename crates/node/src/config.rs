//! Configuration of a node.

use ivygate_gateway::{ConnectionSettings, RequestLimits, Settings, WireSettings};
use ivygate_runtime::ServerListUpdate;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// Configuration of a node.
pub struct Config {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed for random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors that the node may use.
    pub max_descriptors: usize,
    /// Last known list of app servers.
    pub known: Option<ServerListUpdate>,
    /// Settings of the gateway.
    pub settings: Settings,
    /// Settings of connections to app servers.
    pub connection_settings: ConnectionSettings,
    /// Limits on the values in request headers.
    pub request_limits: RequestLimits,
}

/// Error for a configuration that cannot be loaded.
#[derive(Debug)]
pub enum ConfigError {
    /// An environment variable is missing.
    Unset(&'static str),
    /// A file, by its path, cannot be read.
    Unreadable(String, std::io::Error),
    /// A file, by its path, is invalid, with the reason.
    Malformed(String, String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unset(name) => write!(f, "the environment variable {name} is not set"),
            ConfigError::Unreadable(path, error) => write!(f, "cannot read {path}: {error}"),
            ConfigError::Malformed(path, reason) => write!(f, "{path}: {reason}"),
        }
    }
}

impl std::error::Error for ConfigError {}

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<ServerListUpdate>,
    settings: WireSettings,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: 1024 }
    }
}

/// Minimum number of descriptors with which a node can serve requests.
const MIN_DESCRIPTORS: usize = 32;

impl Config {
    /// Loads the file that `RELAY_CONFIG` names.
    ///
    /// # Errors
    /// If the variable is not set, or the file cannot be read or is invalid.
    pub fn load() -> Result<Self, ConfigError> {
        let path = std::env::var("RELAY_CONFIG").map_err(|_| ConfigError::Unset("RELAY_CONFIG"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        Self::parse(&text).map_err(|reason| ConfigError::Malformed(path, reason))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: '{}' is not a hexadecimal number", file.seed))?;
        if file.limits.sockets < MIN_DESCRIPTORS {
            return Err(format!(
                "limits: sockets is {}, but must be at least {MIN_DESCRIPTORS}",
                file.limits.sockets
            ));
        }
        let (connection_settings, request_limits) =
            (file.settings.connection_settings(), file.settings.request_limits());
        Ok(Self {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            max_descriptors: file.limits.sockets,
            known: file.known,
            settings: file.settings.into_settings().map_err(|e| format!("settings: {e}"))?,
            connection_settings,
            request_limits,
        })
    }
}
