//! The platform's configuration: the JSON file named by `RELAY_CONFIG`, whose values other environment variables
//! override.
//!
//! It is read at the start, and again on SIGHUP. On SIGHUP the file's `discovery` takes precedence over
//! `RELAY_DISCOVERY`, which only says where the discovery service was when the process started.

use crate::discovery::list::{self, ListError};
use crate::extensions::{Extensions, ExtensionsError};
use crate::messages::ListedEndpoint;
use reelrill_routing_config::{SettingsReadError, Site};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The lowest limit on file descriptors; with fewer, neither clients nor endpoints get enough of them.
const MIN_SOCKETS: u64 = 64;
const DEFAULT_SOCKETS: u32 = 1024;
/// The lowest limit on memory that the file may name, in MiB.
const MIN_MEMORY_MB: u64 = 1;
const DEFAULT_MEMORY_MB: u32 = 192;
/// The limits on memory that are used, in MiB; others are raised or lowered to these.
const EFFECTIVE_MEMORY_MB: RangeInclusive<u64> = 16..=1 << 20;
const BYTES_PER_MB_SHIFT: u32 = 20;
const DEFAULT_NAME: &str = "reelrill";

/// Why the configuration can't be used. The text names the file and, where it is known, the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("RELAY_CONFIG is not set")]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: String,
        /// What is wrong, with line and column.
        source: serde_json::Error,
    },
    /// The platform's settings in it are wrong.
    #[error("{path}: settings: {source}")]
    Settings {
        /// The file.
        path: String,
        /// What is wrong.
        source: SettingsReadError,
    },
    /// A required address is missing or can't be parsed.
    #[error("{path}: {key} is missing or is no address")]
    Address {
        /// The file.
        path: String,
        /// The address's key.
        key: &'static str,
    },
    /// A limit is not a whole number, or too low.
    #[error("{path}: limits.{key} is no whole number of {least} or more")]
    Limit {
        /// The file.
        path: String,
        /// The limit's key.
        key: &'static str,
        /// Its lowest value.
        least: u64,
    },
    /// The project's own settings are wrong.
    #[error(transparent)]
    Extensions(#[from] ExtensionsError),
    /// The endpoint list in it is wrong.
    #[error("{path}: known: {source}")]
    Known {
        /// The file.
        path: String,
        /// What is wrong.
        source: ListError,
    },
}

/// What the router is started with.
#[derive(Debug)]
pub struct Config {
    /// The router's name in its log.
    pub name: String,
    /// The address that clients connect to.
    pub listen_address: SocketAddr,
    /// The address of the discovery service.
    pub discovery_address: SocketAddr,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The limit on open file descriptors of the process.
    pub descriptor_limit: usize,
    /// The limit on memory of the process, in bytes.
    pub memory_limit: usize,
    /// The last known endpoint list, to start with: its version and entries.
    pub known_list: (Option<u64>, Vec<ListedEndpoint>),
    /// The platform's settings, converted.
    pub site: Site,
    /// The project's own settings.
    pub extensions: Extensions,
    /// The file that `extensions` is read from.
    extensions_path: Option<PathBuf>,
    /// The platform's settings as they are in the file, to find changes.
    settings: Value,
}

impl Config {
    /// Reads the configuration at the start. `extensions` was read from `extensions_path`, if there is such a file.
    ///
    /// # Errors
    /// If `RELAY_CONFIG` is not set, or its file can't be used.
    pub fn load(
        extensions: Extensions,
        extensions_path: Option<PathBuf>,
    ) -> Result<Config, ConfigError> {
        let path = Config::path()?;
        let config = Config::read(&path, &Config::file(&path)?, extensions, |name| {
            std::env::var(name).ok()
        })?;
        Ok(Config {
            extensions_path,
            ..config
        })
    }

    /// Reads a file by itself, without regard to the environment.
    ///
    /// # Errors
    /// If the file can't be used.
    pub fn check(path: &str) -> Result<Config, ConfigError> {
        Config::read(path, &Config::file(path)?, Extensions::default(), |_| None)
    }

    /// Reads the configuration again, and the project's own settings. Where the file names no discovery service, the
    /// present one stays.
    ///
    /// # Errors
    /// If one of the files can't be used.
    pub fn reload(&self) -> Result<Config, ConfigError> {
        let path = Config::path()?;
        let value = Config::file(&path)?;
        let discovery = match value.get("discovery") {
            Some(named) => named.as_str().unwrap_or_default().to_owned(),
            None => self.discovery_address.to_string(),
        };
        let extensions = self
            .extensions_path
            .as_deref()
            .map_or_else(|| Ok(self.extensions.clone()), Extensions::load)?;
        Config::read(&path, &value, extensions, |name| match name {
            "RELAY_DISCOVERY" => Some(discovery.clone()),
            _ => std::env::var(name).ok(),
        })
    }

    /// The keys whose values differ in `new` and only take effect at a start.
    pub fn keys_needing_restart(&self, new: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen_address != new.listen_address),
            (
                "limits.sockets",
                self.descriptor_limit != new.descriptor_limit,
            ),
            ("limits.memory_mb", self.memory_limit != new.memory_limit),
            ("settings", self.settings != new.settings),
        ];
        differs
            .into_iter()
            .filter(|(_, is_changed)| *is_changed)
            .map(|(key, _)| key)
            .collect()
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
        extensions: Extensions,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let file = ConfigFile { path, value, env };
        let settings = value.get("settings").cloned().unwrap_or_default();
        let site =
            reelrill_routing_config::read(&settings).map_err(|source| ConfigError::Settings {
                path: path.to_owned(),
                source,
            })?;
        let known_list = file.known_list(&site.zones)?;
        let sockets = file.limit("sockets", MIN_SOCKETS, DEFAULT_SOCKETS)?;
        let memory_mb = file.limit("memory_mb", MIN_MEMORY_MB, DEFAULT_MEMORY_MB)?;
        let memory_mb = memory_mb.clamp(*EFFECTIVE_MEMORY_MB.start(), *EFFECTIVE_MEMORY_MB.end());
        Ok(Config {
            name: file
                .text("RELAY_NAME", "name")
                .unwrap_or_else(|| DEFAULT_NAME.to_owned()),
            listen_address: file.address("RELAY_LISTEN", "listen")?,
            discovery_address: file.address("RELAY_DISCOVERY", "discovery")?,
            seed: file.seed(),
            descriptor_limit: usize::try_from(sockets).unwrap_or(DEFAULT_SOCKETS as usize),
            memory_limit: usize::try_from(memory_mb).unwrap_or(DEFAULT_MEMORY_MB as usize)
                << BYTES_PER_MB_SHIFT,
            known_list,
            site,
            extensions,
            extensions_path: None,
            settings,
        })
    }
}

/// The file's values, and the environment that overrides some of them.
struct ConfigFile<'a, E> {
    path: &'a str,
    value: &'a Value,
    env: E,
}

impl<E: Fn(&str) -> Option<String>> ConfigFile<'_, E> {
    fn text(&self, variable: &str, key: &str) -> Option<String> {
        (self.env)(variable).or_else(|| {
            let text = self.value.get(key).and_then(Value::as_str);
            text.map(str::to_owned)
        })
    }

    fn address(&self, variable: &str, key: &'static str) -> Result<SocketAddr, ConfigError> {
        self.text(variable, key)
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| ConfigError::Address {
                path: self.path.to_owned(),
                key,
            })
    }

    /// 0 if there is none, or it is not a hexadecimal number.
    fn seed(&self) -> u64 {
        let text = self.value.get("seed").and_then(Value::as_str);
        text.and_then(|text| u64::from_str_radix(text, 16).ok())
            .unwrap_or_default()
    }

    /// An absent limit has its default. A wrong one is an error: the default might be above what was meant.
    fn limit(&self, key: &'static str, least: u64, default: u32) -> Result<u64, ConfigError> {
        let Some(limit) = self.value.get("limits").and_then(|l| l.get(key)) else {
            return Ok(default.into());
        };
        limit
            .as_u64()
            .filter(|limit| *limit >= least)
            .ok_or_else(|| ConfigError::Limit {
                path: self.path.to_owned(),
                key,
                least,
            })
    }

    /// The last known endpoint list's version and entries; none if there is no list.
    fn known_list(
        &self,
        zones: &[String],
    ) -> Result<(Option<u64>, Vec<ListedEndpoint>), ConfigError> {
        let Some(known) = self.value.get("known").filter(|known| !known.is_null()) else {
            return Ok((None, Vec::new()));
        };
        let list = list::read_list(known, zones).map_err(|source| ConfigError::Known {
            path: self.path.to_owned(),
            source,
        })?;
        Ok((Some(list.version), list.entries))
    }
}
