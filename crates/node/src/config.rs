//! What a node is told at its start.

use ivygate_gateway::{Bounds, Links, Settings, Setup};
use ivygate_runtime::ServerListUpdate;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// A node's configuration.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Seed for random numbers.
    pub seed: u64,
    /// Most file descriptors that the node may hold.
    pub sockets: usize,
    /// The list of app servers as this node last had it.
    pub known: Option<ServerListUpdate>,
    /// What the decisions rest on.
    pub settings: Settings,
    /// What the settings tell of connections.
    pub links: Links,
    /// What requests may say of themselves.
    pub bounds: Bounds,
}

/// Why a configuration cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// An environment variable is missing.
    Unset(&'static str),
    /// The file cannot be read.
    Unreadable(String, std::io::Error),
    /// The file is not what it should be.
    Malformed(String, String),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Unset(name) => write!(f, "the environment variable {name} is not set"),
            ConfigError::Unreadable(path, error) => write!(f, "cannot read {path}: {error}"),
            ConfigError::Malformed(path, what) => write!(f, "{path}: {what}"),
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
    settings: Setup,
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

/// The fewest descriptors with which a node can serve at all.
const SOCKETS_LEAST: usize = 32;

impl Config {
    /// Reads the file that `RELAY_CONFIG` names.
    pub fn load() -> Result<Self, ConfigError> {
        let path = std::env::var("RELAY_CONFIG").map_err(|_| ConfigError::Unset("RELAY_CONFIG"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        Self::parse(&text).map_err(|what| ConfigError::Malformed(path, what))
    }

    fn parse(text: &str) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: '{}' is not a hexadecimal number", file.seed))?;
        if file.limits.sockets < SOCKETS_LEAST {
            return Err(format!(
                "limits: {} sockets are too few, {SOCKETS_LEAST} needed",
                file.limits.sockets
            ));
        }
        let (links, bounds) = (file.settings.links(), file.settings.bounds());
        Ok(Self {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            sockets: file.limits.sockets,
            known: file.known,
            settings: file.settings.settings().map_err(|e| format!("settings: {e}"))?,
            links,
            bounds,
        })
    }
}
