//! Reads the platform's configuration: the JSON file named by `RELAY_CONFIG`. Other environment variables can override
//! some of its values.
//!
//! The file is read at startup, and again on SIGHUP. On SIGHUP the file's `discovery` takes precedence over
//! `RELAY_DISCOVERY`, which only holds the discovery service's address as of the start of the process.

use crate::discovery::list::{self, ListError};
use crate::extensions::{Extensions, ExtensionsError};
use crate::messages::ListedEndpoint;
use reelrill_routing_config::{RoutingConfig, SettingsReadError};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The lowest limit on open file descriptors. With fewer descriptors there are too few for clients and for endpoints.
const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_PROCESSORS: f64 = 1.0;
const DEFAULT_DESCRIPTORS: u32 = 1024;
/// The lowest memory limit that the file may set, in MiB.
const MIN_MEMORY_MB: u64 = 1;
const DEFAULT_MEMORY_MB: u32 = 192;
/// The range of the memory limit in effect, in MiB; values outside it are raised or lowered to its bounds.
const EFFECTIVE_MEMORY_MB: RangeInclusive<u64> = 16..=1 << 20;
/// The binary logarithm of the bytes in a MiB.
const BYTES_PER_MB_SHIFT: u32 = 20;
/// The router's name in its log where none is configured.
const DEFAULT_NAME: &str = "reelrill";

/// The error of a configuration that can't be used. Its text names the file and, where it is known, the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `RELAY_CONFIG`, which names the file, is not set.
    #[error("RELAY_CONFIG is not set")]
    NoPath,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("{path}: {source}")]
    Json {
        /// The file.
        path: String,
        /// The parser's error, with line and column.
        source: serde_json::Error,
    },
    /// The platform's settings in the file are not valid.
    #[error("{path}: settings: {source}")]
    Settings {
        /// The file.
        path: String,
        /// The field at fault.
        source: SettingsReadError,
    },
    /// A required address is missing or not an IP address with a port.
    #[error("{path}: {key}: expected an IP address with a port")]
    Address {
        /// The file.
        path: String,
        /// The key whose value is expected to be an address.
        key: &'static str,
    },
    /// A limit is not a whole number, or too low.
    #[error("{path}: limits.{key}: expected a whole number of at least {minimum}")]
    Limit {
        /// The file.
        path: String,
        /// The limit's key.
        key: &'static str,
        /// The lowest value of the limit.
        minimum: u64,
    },
    /// The project's own settings are not valid.
    #[error(transparent)]
    Extensions(#[from] ExtensionsError),
    /// The last known endpoint list in the file is not valid.
    #[error("{path}: known: {source}")]
    KnownList {
        /// The file.
        path: String,
        /// The field at fault.
        source: ListError,
    },
}

/// The configuration that the router runs with.
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
    /// The part of a processor that the process may use.
    pub processors: f64,
    /// The limit on memory of the process, in bytes.
    pub memory_limit: usize,
    /// The last known endpoint list, with which the router starts: its version, if there is a list, and its entries.
    pub known_list: (Option<u64>, Vec<ListedEndpoint>),
    /// The platform's settings and the names in them, converted to the balancer's types.
    pub routing: RoutingConfig,
    /// The project's own settings.
    pub extensions: Extensions,
    /// The file that `extensions` was read from.
    extensions_path: Option<PathBuf>,
    /// The platform's settings as written in the file, to detect changes on a reload.
    settings: Value,
}

impl Config {
    /// Reads the configuration at startup. `extensions` was read from `extensions_path`, if there is such a file.
    ///
    /// # Errors
    /// Fails if `RELAY_CONFIG` is not set, or its file can't be read or is not valid.
    pub fn load(
        extensions: Extensions,
        extensions_path: Option<PathBuf>,
    ) -> Result<Config, ConfigError> {
        let path = Config::path_from_environment()?;
        let config = Config::from_json(&path, &Config::read_json(&path)?, extensions, |name| {
            std::env::var(name).ok()
        })?;
        Ok(Config {
            extensions_path,
            ..config
        })
    }

    /// Reads a file without applying overrides from environment variables.
    ///
    /// # Errors
    /// Fails if the file can't be read or is not valid.
    pub fn check(path: &str) -> Result<Config, ConfigError> {
        Config::from_json(
            path,
            &Config::read_json(path)?,
            Extensions::default(),
            |_| None,
        )
    }

    /// Reads the configuration and the project's own settings again. If the file contains no address of the discovery
    /// service, the address is not changed.
    ///
    /// # Errors
    /// Fails if one of the files can't be read or is not valid.
    pub fn reload(&self) -> Result<Config, ConfigError> {
        let path = Config::path_from_environment()?;
        let value = Config::read_json(&path)?;
        let discovery = match value.get("discovery") {
            Some(address) => address.as_str().unwrap_or_default().to_owned(),
            None => self.discovery_address.to_string(),
        };
        let extensions = self
            .extensions_path
            .as_deref()
            .map_or_else(|| Ok(self.extensions.clone()), Extensions::load)?;
        Config::from_json(&path, &value, extensions, |name| match name {
            "RELAY_DISCOVERY" => Some(discovery.clone()),
            _ => std::env::var(name).ok(),
        })
    }

    /// Returns the keys whose values differ in `new` and only take effect after a restart.
    pub fn keys_needing_restart(&self, new: &Config) -> Vec<&'static str> {
        let settings = [
            ("name", self.name != new.name),
            ("listen", self.listen_address != new.listen_address),
            (
                "limits.sockets",
                self.descriptor_limit != new.descriptor_limit,
            ),
            ("limits.cores", self.processors != new.processors),
            ("limits.memory_mb", self.memory_limit != new.memory_limit),
            ("settings", self.settings != new.settings),
        ];
        settings
            .into_iter()
            .filter(|(_, is_changed)| *is_changed)
            .map(|(key, _)| key)
            .collect()
    }

    fn path_from_environment() -> Result<String, ConfigError> {
        std::env::var("RELAY_CONFIG").map_err(|_| ConfigError::NoPath)
    }

    fn read_json(path: &str) -> Result<Value, ConfigError> {
        let path = path.to_owned();
        let text = std::fs::read_to_string(&path).map_err(|source| ConfigError::Read {
            path: path.clone(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| ConfigError::Json { path, source })
    }

    fn from_json(
        path: &str,
        value: &Value,
        extensions: Extensions,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Config, ConfigError> {
        let file = ConfigFile {
            path,
            value,
            variable,
        };
        let settings = value.get("settings").cloned().unwrap_or_default();
        let routing =
            reelrill_routing_config::read(&settings).map_err(|source| ConfigError::Settings {
                path: path.to_owned(),
                source,
            })?;
        let known_list = file.known_list(&routing.zones)?;
        let descriptors = file.limit("sockets", MIN_DESCRIPTORS, DEFAULT_DESCRIPTORS)?;
        let memory_mb = file.limit("memory_mb", MIN_MEMORY_MB, DEFAULT_MEMORY_MB)?;
        let memory_mb = memory_mb.clamp(*EFFECTIVE_MEMORY_MB.start(), *EFFECTIVE_MEMORY_MB.end());
        Ok(Config {
            name: file
                .text("RELAY_NAME", "name")
                .unwrap_or_else(|| DEFAULT_NAME.to_owned()),
            listen_address: file.address("RELAY_LISTEN", "listen")?,
            discovery_address: file.address("RELAY_DISCOVERY", "discovery")?,
            seed: file.seed(),
            descriptor_limit: usize::try_from(descriptors).unwrap_or(DEFAULT_DESCRIPTORS as usize),
            memory_limit: usize::try_from(memory_mb).unwrap_or(DEFAULT_MEMORY_MB as usize)
                << BYTES_PER_MB_SHIFT,
            processors: file.processors(),
            known_list,
            routing,
            extensions,
            extensions_path: None,
            settings,
        })
    }
}

/// The file's values, and a lookup of the environment variables that override some of them.
struct ConfigFile<'a, E> {
    path: &'a str,
    value: &'a Value,
    variable: E,
}

impl<E: Fn(&str) -> Option<String>> ConfigFile<'_, E> {
    fn text(&self, variable_name: &str, key: &str) -> Option<String> {
        (self.variable)(variable_name).or_else(|| {
            let text = self.value.get(key).and_then(Value::as_str);
            text.map(str::to_owned)
        })
    }

    fn address(&self, variable_name: &str, key: &'static str) -> Result<SocketAddr, ConfigError> {
        self.text(variable_name, key)
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| ConfigError::Address {
                path: self.path.to_owned(),
                key,
            })
    }

    /// Returns the seed, or 0 if there is none or it is not a hexadecimal number.
    fn seed(&self) -> u64 {
        let text = self.value.get("seed").and_then(Value::as_str);
        text.and_then(|text| u64::from_str_radix(text, 16).ok())
            .unwrap_or_default()
    }

    /// Returns a limit, or its default if it is absent. An invalid limit is an error, because the default might be
    /// above the intended limit.
    fn limit(&self, key: &'static str, minimum: u64, default: u32) -> Result<u64, ConfigError> {
        let Some(limit) = self.value.get("limits").and_then(|l| l.get(key)) else {
            return Ok(default.into());
        };
        limit
            .as_u64()
            .filter(|limit| *limit >= minimum)
            .ok_or_else(|| ConfigError::Limit {
                path: self.path.to_owned(),
                key,
                minimum,
            })
    }

    /// Returns the limit on processors; without a valid one, the process may use a whole processor.
    fn processors(&self) -> f64 {
        let cores = self.value.get("limits").and_then(|l| l.get("cores"));
        cores
            .and_then(Value::as_f64)
            .filter(|cores| *cores > 0.0)
            .unwrap_or(DEFAULT_PROCESSORS)
    }

    /// Returns the last known endpoint list's version and entries; no version and no entries if there is no list.
    fn known_list(
        &self,
        zones: &[String],
    ) -> Result<(Option<u64>, Vec<ListedEndpoint>), ConfigError> {
        let Some(known) = self.value.get("known").filter(|known| !known.is_null()) else {
            return Ok((None, Vec::new()));
        };
        let list = list::read_list(known, zones).map_err(|source| ConfigError::KnownList {
            path: self.path.to_owned(),
            source,
        })?;
        Ok((Some(list.version), list.entries))
    }
}
