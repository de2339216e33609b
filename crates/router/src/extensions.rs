//! Reads the extensions: the project's own settings, in YAML, which the platform's configuration does not cover.
//!
//! Every setting is off or has a default; `deploy/edge.example.yaml` shows them all. A file is checked when it is read,
//! so that every value read from a file is within its range.

use reelrill_pg_protocol::oid;
use reelrill_pg_session::limits::Limits;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// The highest value of a limit that counts items.
const MAX_COUNT: usize = 1 << 16;
/// The lowest limit on the bytes of values. The largest value must fit within it.
const MIN_VALUE_BYTES: usize = 64 * 1024;
/// The maximum number of services that can be browsed.
const MAX_SERVICES: usize = 64;
/// The lowest value of `ttl_floor_ms`, in milliseconds.
const MIN_TTL_FLOOR_MS: u64 = 100;
/// The valid timeouts of a DNS query, in milliseconds.
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 10..=10_000;
/// The valid query budgets, in queries per second.
const BUDGET_RANGE: RangeInclusive<u32> = 1..=10_000;

/// The error of a settings file that can't be used. Its text names the file and, where they are known, line, column and
/// field.
#[derive(Debug, thiserror::Error)]
pub enum ExtensionsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not valid YAML, or a field is unknown or of the wrong type.
    #[error("{path}: {detail}")]
    Yaml {
        /// The file.
        path: PathBuf,
        /// The field's path and the parser's error.
        detail: String,
    },
    /// A value is out of its range.
    #[error("{path}: {field}: {requirement}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field's path.
        field: &'static str,
        /// The requirement that the value does not meet.
        requirement: &'static str,
    },
}

/// The project's own settings, as read from a file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Extensions {
    /// The settings of extended queries.
    pub extended: ExtendedQuerySettings,
    /// The settings of endpoint discovery.
    pub discovery: DiscoverySettings,
    /// The path of the admin socket, which `reelrill members` connects to; if absent, there is no socket.
    pub members_socket: Option<PathBuf>,
}

/// Selects the sources of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySettings {
    /// Whether the platform's discovery service is a source.
    pub roster: bool,
    /// The time in seconds for which an endpoint that its sources no longer name stays in the list after its last
    /// response.
    pub vouch_s: u64,
    /// The settings for browsing DNS service records; if absent, such records are not used.
    pub dns_sd: Option<DnsSdSettings>,
}

impl Default for DiscoverySettings {
    fn default() -> DiscoverySettings {
        DiscoverySettings {
            roster: true,
            vouch_s: 30,
            dns_sd: None,
        }
    }
}

/// Configures the browsing of DNS service records (DNS-SD). Each service is a source of its own.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DnsSdSettings {
    /// The addresses of the DNS servers.
    pub servers: Vec<SocketAddr>,
    /// The names of the services.
    pub services: Vec<String>,
    /// The domain that contains the services.
    pub domain: String,
    /// The lower bound on a record's time to live, in milliseconds; a shorter one is raised to it.
    #[serde(default = "DnsSdSettings::default_ttl_floor_ms")]
    pub ttl_floor_ms: u64,
    /// The upper bound on a record's time to live, in milliseconds; a longer one is lowered to it.
    #[serde(default = "DnsSdSettings::default_ttl_ceiling_ms")]
    pub ttl_ceiling_ms: u64,
    /// The timeout of a query, in milliseconds.
    #[serde(default = "DnsSdSettings::default_timeout_ms")]
    pub timeout_ms: u64,
    /// The maximum number of queries per second for each service.
    #[serde(default = "DnsSdSettings::default_budget")]
    pub budget: u32,
}

impl DnsSdSettings {
    fn default_ttl_floor_ms() -> u64 {
        1000
    }
    fn default_ttl_ceiling_ms() -> u64 {
        60_000
    }
    fn default_timeout_ms() -> u64 {
        500
    }
    fn default_budget() -> u32 {
        100
    }
}

/// Determines whether clients may use extended queries, and how their requests are then sent to endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExtendedQueryMode {
    /// Clients that send extended queries receive an error.
    #[default]
    Off,
    /// Endpoints receive extended queries, too.
    On,
    /// Endpoints receive only simple queries, with values written as literals.
    Translate,
}

/// The PostgreSQL type of the column `data`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DataType {
    /// `bytea`.
    #[default]
    Bytea,
    /// `text`.
    Text,
}

impl DataType {
    /// Returns the type's object id (OID) in the protocol.
    pub fn oid(self) -> u32 {
        match self {
            DataType::Bytea => oid::BYTEA,
            DataType::Text => oid::TEXT,
        }
    }
}

/// Configures extended queries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ExtendedQuerySettings {
    /// Whether and how extended queries are served.
    pub mode: ExtendedQueryMode,
    /// The type that is reported for the column `data`.
    pub data_type: DataType,
    /// The limits on what client sessions may hold.
    #[serde(with = "LimitsFields")]
    pub limits: Limits,
}

/// The fields of [`Limits`] under their names in the file.
#[derive(Deserialize)]
#[serde(remote = "Limits", deny_unknown_fields, default)]
struct LimitsFields {
    statements: usize,
    all_statements: usize,
    text_bytes: usize,
    portals: usize,
    value_bytes: usize,
    commands: usize,
    segment: usize,
    reads: usize,
    prepared: usize,
}

impl Default for LimitsFields {
    fn default() -> LimitsFields {
        let limits = Limits::default();
        LimitsFields {
            statements: limits.statements,
            all_statements: limits.all_statements,
            text_bytes: limits.text_bytes,
            portals: limits.portals,
            value_bytes: limits.value_bytes,
            commands: limits.commands,
            segment: limits.segment,
            reads: limits.reads,
            prepared: limits.prepared,
        }
    }
}

impl From<LimitsFields> for Limits {
    fn from(fields: LimitsFields) -> Limits {
        Limits {
            statements: fields.statements,
            all_statements: fields.all_statements,
            text_bytes: fields.text_bytes,
            portals: fields.portals,
            value_bytes: fields.value_bytes,
            commands: fields.commands,
            segment: fields.segment,
            reads: fields.reads,
            prepared: fields.prepared,
        }
    }
}

impl Extensions {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Fails if the file can't be read, is not valid YAML, has an unknown field, or a value is out of its range.
    pub fn load(path: &Path) -> Result<Extensions, ExtensionsError> {
        let text = std::fs::read_to_string(path).map_err(|source| ExtensionsError::Read {
            path: path.to_owned(),
            source,
        })?;
        let extensions = Extensions::parse(&text).map_err(|detail| ExtensionsError::Yaml {
            path: path.to_owned(),
            detail,
        })?;
        extensions
            .check()
            .map_err(|FieldError { field, requirement }| ExtensionsError::Field {
                path: path.to_owned(),
                field,
                requirement,
            })?;
        Ok(extensions)
    }

    /// Parses YAML without checking ranges. The error holds the field's path and the parser's message.
    fn parse(text: &str) -> Result<Extensions, String> {
        let mut field = String::new();
        let parsed = serde_saphyr::with_deserializer_from_str(text, |yaml| {
            serde_path_to_error::deserialize(yaml).map_err(|e| {
                field = e.path().to_string();
                e.into_inner()
            })
        });
        parsed.map_err(|e| {
            // The message's first line holds the error with its line and column; the rest quotes the file.
            let message = e.to_string();
            format!("{field}: {}", message.lines().next().unwrap_or_default())
        })
    }

    fn check(&self) -> Result<(), FieldError> {
        check_limits(&self.extended.limits)?;
        let dns_sd = self.discovery.dns_sd.as_ref();
        require(
            self.discovery.roster || dns_sd.is_some(),
            "discovery",
            "needs a source: roster or dns_sd",
        )?;
        require(
            self.members_socket.is_none() || dns_sd.is_some(),
            "members_socket",
            "needs discovery.dns_sd: without it there are no merged sources to show",
        )?;
        dns_sd.map_or(Ok(()), check_dns_sd)
    }
}

/// The path of a field whose value is out of its range, and the requirement that it does not meet.
struct FieldError {
    field: &'static str,
    requirement: &'static str,
}

fn require(
    is_satisfied: bool,
    field: &'static str,
    requirement: &'static str,
) -> Result<(), FieldError> {
    if is_satisfied {
        Ok(())
    } else {
        Err(FieldError { field, requirement })
    }
}

fn check_limits(limits: &Limits) -> Result<(), FieldError> {
    let counts = [
        ("extended.limits.statements", limits.statements),
        ("extended.limits.portals", limits.portals),
        ("extended.limits.commands", limits.commands),
        ("extended.limits.segment", limits.segment),
        ("extended.limits.reads", limits.reads),
        ("extended.limits.prepared", limits.prepared),
    ];
    for (field, value) in counts {
        require(value > 0, field, "must be at least 1")?;
        require(value <= MAX_COUNT, field, "must be at most 65536")?;
    }
    require(
        limits.value_bytes >= MIN_VALUE_BYTES,
        "extended.limits.value_bytes",
        "must be at least 65536, the size of the largest value in bytes",
    )
}

fn check_dns_sd(dns_sd: &DnsSdSettings) -> Result<(), FieldError> {
    require(
        !dns_sd.servers.is_empty(),
        "discovery.dns_sd.servers",
        "must name at least one DNS server",
    )?;
    require(
        !dns_sd.services.is_empty(),
        "discovery.dns_sd.services",
        "must name at least one service",
    )?;
    require(
        dns_sd.services.len() <= MAX_SERVICES,
        "discovery.dns_sd.services",
        "must name at most 64 services",
    )?;
    require(
        dns_sd.ttl_floor_ms >= MIN_TTL_FLOOR_MS,
        "discovery.dns_sd.ttl_floor_ms",
        "must be at least 100",
    )?;
    require(
        dns_sd.ttl_ceiling_ms >= dns_sd.ttl_floor_ms,
        "discovery.dns_sd.ttl_ceiling_ms",
        "must be at least ttl_floor_ms",
    )?;
    require(
        TIMEOUT_RANGE_MS.contains(&dns_sd.timeout_ms),
        "discovery.dns_sd.timeout_ms",
        "must be between 10 and 10000",
    )?;
    require(
        BUDGET_RANGE.contains(&dns_sd.budget),
        "discovery.dns_sd.budget",
        "must be between 1 and 10000",
    )
}

#[cfg(test)]
mod tests;
