//! The configuration: `RELAY_CONFIG`, overridden by the other variables. Read again on SIGHUP, the file's
//! `discovery` counts before the variable, which tells where discovery was when the process started.

use crate::discovery::list::{self, ListError};
use crate::extensions::{Extensions, ExtensionsError};
use crate::messages::ListedEndpoint;
use reelrill_routing_config::{SettingsReadError, Site};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// With fewer descriptors there is room for neither side.
const FEWEST_SOCKETS: u64 = 64;

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("RELAY_CONFIG is not set")]
    NoPath,
    #[error("{path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[error("{path}: {source}")]
    Json {
        path: String,
        source: serde_json::Error,
    },
    #[error("{path}: settings: {source}")]
    Settings {
        path: String,
        source: SettingsReadError,
    },
    #[error("{path}: {key} is missing or is no address")]
    Address { path: String, key: &'static str },
    #[error("{path}: limits.{key} is no whole number of {least} or more")]
    Limit {
        path: String,
        key: &'static str,
        least: u64,
    },
    #[error(transparent)]
    Extensions(#[from] ExtensionsError),
    #[error("{path}: known: {source}")]
    Known { path: String, source: ListError },
}

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that the process may hold.
    pub memory: usize,
    /// The list as this router last had it: its version and entries.
    pub known: (Option<u64>, Vec<ListedEndpoint>),
    pub site: Site,
    /// The project's own settings.
    pub edge: Extensions,
    /// The file that they are read from.
    edge_path: Option<PathBuf>,
    /// The settings as they stand in the file.
    settings: Value,
}

impl Config {
    /// `edge` was read from `edge_path`, if there is such a file.
    pub fn load(edge: Extensions, edge_path: Option<PathBuf>) -> Result<Config, ConfigError> {
        let path = Config::path()?;
        let config = Config::read(&path, &Config::file(&path)?, edge, |name| {
            std::env::var(name).ok()
        })?;
        Ok(Config {
            edge_path,
            ..config
        })
    }

    /// A file by itself, whatever the environment says.
    pub fn check(path: &str) -> Result<Config, ConfigError> {
        Config::read(path, &Config::file(path)?, Extensions::default(), |_| None)
    }

    /// The file as it is now, on top of this configuration.
    pub fn reload(&self) -> Result<Config, ConfigError> {
        let path = Config::path()?;
        let value = Config::file(&path)?;
        let discovery = match value.get("discovery") {
            Some(named) => named.as_str().unwrap_or_default().to_owned(),
            None => self.discovery.to_string(),
        };
        let edge = self
            .edge_path
            .as_deref()
            .map_or_else(|| Ok(self.edge.clone()), Extensions::load)?;
        Config::read(&path, &value, edge, |name| match name {
            "RELAY_DISCOVERY" => Some(discovery.clone()),
            _ => std::env::var(name).ok(),
        })
    }

    /// What differs in `new` and is read at the start only.
    pub fn needs_restart(&self, new: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("limits.sockets", self.sockets != new.sockets),
            ("limits.memory_mb", self.memory != new.memory),
            ("settings", self.settings != new.settings),
        ];
        differs.into_iter().filter(|d| d.1).map(|d| d.0).collect()
    }

    fn path() -> Result<String, ConfigError> {
        std::env::var("RELAY_CONFIG").map_err(|_| ConfigError::NoPath)
    }

    fn file(path: &str) -> Result<Value, ConfigError> {
        let path = path.to_owned();
        let text = std::fs::read_to_string(&path).map_err(|source| ConfigError::Read {
            path: path.clone(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| ConfigError::Json { path, source })
    }

    fn read(
        path: &str,
        value: &Value,
        edge: Extensions,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let path = path.to_owned();
        let text = |variable: &str, key: &str| {
            env(variable).or_else(|| value.get(key).and_then(Value::as_str).map(str::to_owned))
        };
        let address = |variable: &'static str, key: &'static str| {
            let wrong = || ConfigError::Address {
                path: path.clone(),
                key,
            };
            text(variable, key)
                .and_then(|t| t.parse().ok())
                .ok_or_else(wrong)
        };
        let settings = value.get("settings").cloned().unwrap_or_default();
        let site =
            reelrill_routing_config::read(&settings).map_err(|source| ConfigError::Settings {
                path: path.clone(),
                source,
            })?;
        let known = match value.get("known").filter(|k| !k.is_null()) {
            Some(known) => {
                let wrong = |source| ConfigError::Known {
                    path: path.clone(),
                    source,
                };
                let list = list::read_list(known, &site.zones).map_err(wrong)?;
                (Some(list.version), list.entries)
            }
            None => (None, Vec::new()),
        };
        let seed = value.get("seed").and_then(Value::as_str);
        // One that is absent has a default; one that makes no sense would be exceeded without a word.
        let limit = |key: &'static str, least: u64, default: u64| {
            let Some(given) = value.get("limits").and_then(|l| l.get(key)) else {
                return Ok(default);
            };
            let wrong = || ConfigError::Limit {
                path: path.clone(),
                key,
                least,
            };
            given.as_u64().filter(|n| *n >= least).ok_or_else(wrong)
        };
        let sockets = limit("sockets", FEWEST_SOCKETS, 1024)?;
        let memory_mb = limit("memory_mb", 1, 192)?;
        Ok(Config {
            memory: usize::try_from(memory_mb.clamp(16, 1 << 20)).unwrap_or(192) << 20,
            name: text("RELAY_NAME", "name").unwrap_or_else(|| "reelrill".to_owned()),
            listen: address("RELAY_LISTEN", "listen")?,
            discovery: address("RELAY_DISCOVERY", "discovery")?,
            seed: seed
                .and_then(|s| u64::from_str_radix(s, 16).ok())
                .unwrap_or_default(),
            sockets: usize::try_from(sockets).unwrap_or(1024),
            known,
            edge,
            edge_path: None,
            site,
            settings,
        })
    }
}
