//! The project's own settings, in YAML: what the platform's configuration does not cover.
//!
//! Every setting is off or has a default; `deploy/edge.example.yaml` shows them all. A file is checked as it is read,
//! so that values of these types that come from a file are within their ranges.

use reelrill_pg_protocol::oid;
use reelrill_pg_session::limits::Limits;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// The highest value of a limit that is a count.
const MAX_COUNT: usize = 1 << 16;
/// The lowest limit on the bytes of values: it has to hold the largest value.
const MIN_VALUE_BYTES: usize = 64 * 1024;
/// The most services that can be browsed.
const MAX_SERVICES: usize = 64;
/// The lowest floor for the time to live of DNS records, in milliseconds.
const MIN_TTL_FLOOR_MS: u64 = 100;
/// The timeouts of a DNS query that can be set, in milliseconds.
const TIMEOUT_RANGE_MS: RangeInclusive<u64> = 10..=10_000;
/// The query budgets that can be set, in queries a second.
const BUDGET_RANGE: RangeInclusive<u32> = 1..=10_000;

/// Why a settings file can't be used. The text names the file and, where they are known, line, column and field.
#[derive(Debug, thiserror::Error)]
pub enum ExtensionsError {
    /// It can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// It is not valid YAML, or a field is unknown or of the wrong type.
    #[error("{path}: {what}")]
    Yaml {
        /// The file.
        path: PathBuf,
        /// The field, and what is wrong with it.
        what: String,
    },
    /// A value is out of its range.
    #[error("{path}: {field}: {what}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field's path.
        field: &'static str,
        /// What is wrong with its value.
        what: &'static str,
    },
}

/// The project's own settings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Extensions {
    /// Extended queries.
    pub extended: Extended,
    /// The sources of endpoints.
    pub discovery: Discovery,
    /// The path of the admin socket, which `reelrill members` connects to; without one there is no socket.
    pub members_socket: Option<PathBuf>,
}

/// The sources of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Whether the platform's discovery service is a source.
    pub roster: bool,
    /// How long a response of an endpoint keeps it in the list although its sources no longer name it, in seconds.
    pub vouch_s: u64,
    /// Browsing of DNS service records; without it they are not used.
    pub dns_sd: Option<DnsSd>,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery {
            roster: true,
            vouch_s: 30,
            dns_sd: None,
        }
    }
}

/// Browsing of DNS service records (DNS-SD). Each service is a source of its own.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DnsSd {
    /// The addresses of the DNS servers.
    pub servers: Vec<SocketAddr>,
    /// The names of the services.
    pub services: Vec<String>,
    /// The domain that the services are in.
    pub domain: String,
    /// The shortest time to live that is used for a record, in milliseconds.
    #[serde(default = "DnsSd::ttl_floor_ms")]
    pub ttl_floor_ms: u64,
    /// The longest time to live that is used for a record, in milliseconds.
    #[serde(default = "DnsSd::ttl_ceiling_ms")]
    pub ttl_ceiling_ms: u64,
    /// The timeout of a query, in milliseconds.
    #[serde(default = "DnsSd::timeout_ms")]
    pub timeout_ms: u64,
    /// Queries a second, for each service.
    #[serde(default = "DnsSd::budget")]
    pub budget: u32,
}

impl DnsSd {
    fn ttl_floor_ms() -> u64 {
        1000
    }
    fn ttl_ceiling_ms() -> u64 {
        60_000
    }
    fn timeout_ms() -> u64 {
        500
    }
    fn budget() -> u32 {
        100
    }
}

/// Whether clients may use extended queries, and how requests are then sent to endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExtendedQueryMode {
    /// Clients get an error.
    #[default]
    Off,
    /// Endpoints get extended queries, too.
    On,
    /// Endpoints only get simple queries, with values written as literals.
    Translate,
}

/// The type of the column `data`.
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
    /// The type's object id in the protocol.
    pub fn oid(self) -> u32 {
        match self {
            DataType::Bytea => oid::BYTEA,
            DataType::Text => oid::TEXT,
        }
    }
}

/// Extended queries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Extended {
    /// Whether and how they are served.
    pub mode: ExtendedQueryMode,
    /// The type that is reported for the column `data`.
    pub data_type: DataType,
    /// What sessions may hold.
    #[serde(with = "LimitsFields")]
    pub limits: Limits,
}

/// The fields of [`Limits`], as the file names them.
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
    /// If the file can't be read, is not valid YAML, has an unknown field, or a value is out of its range.
    pub fn load(path: &Path) -> Result<Extensions, ExtensionsError> {
        let text = std::fs::read_to_string(path).map_err(|source| ExtensionsError::Read {
            path: path.to_owned(),
            source,
        })?;
        let extensions = Extensions::parse(&text).map_err(|what| ExtensionsError::Yaml {
            path: path.to_owned(),
            what,
        })?;
        extensions
            .check()
            .map_err(|FieldError { field, what }| ExtensionsError::Field {
                path: path.to_owned(),
                field,
                what,
            })?;
        Ok(extensions)
    }

    /// The error is the field's path and what is wrong with it.
    fn parse(text: &str) -> Result<Extensions, String> {
        let mut field = String::new();
        let parsed = serde_saphyr::with_deserializer_from_str(text, |yaml| {
            serde_path_to_error::deserialize(yaml).map_err(|e| {
                field = e.path().to_string();
                e.into_inner()
            })
        });
        parsed.map_err(|e| {
            // The message's first line says what and where; the rest quotes the file.
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
            "needs discovery.dns_sd: the roster alone has nothing more to tell",
        )?;
        dns_sd.map_or(Ok(()), check_dns_sd)
    }
}

/// A field whose value is out of its range.
struct FieldError {
    field: &'static str,
    what: &'static str,
}

fn require(is_satisfied: bool, field: &'static str, what: &'static str) -> Result<(), FieldError> {
    if is_satisfied {
        Ok(())
    } else {
        Err(FieldError { field, what })
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
        "must hold one value, 65536 bytes",
    )
}

fn check_dns_sd(dns_sd: &DnsSd) -> Result<(), FieldError> {
    require(
        !dns_sd.servers.is_empty(),
        "discovery.dns_sd.servers",
        "must name a server",
    )?;
    require(
        !dns_sd.services.is_empty(),
        "discovery.dns_sd.services",
        "must name a service",
    )?;
    require(
        dns_sd.services.len() <= MAX_SERVICES,
        "discovery.dns_sd.services",
        "must be at most 64",
    )?;
    require(
        dns_sd.ttl_floor_ms >= MIN_TTL_FLOOR_MS,
        "discovery.dns_sd.ttl_floor_ms",
        "must be at least 100",
    )?;
    require(
        dns_sd.ttl_ceiling_ms >= dns_sd.ttl_floor_ms,
        "discovery.dns_sd.ttl_ceiling_ms",
        "is below the floor",
    )?;
    require(
        TIMEOUT_RANGE_MS.contains(&dns_sd.timeout_ms),
        "discovery.dns_sd.timeout_ms",
        "must be 10 to 10000",
    )?;
    require(
        BUDGET_RANGE.contains(&dns_sd.budget),
        "discovery.dns_sd.budget",
        "must be 1 to 10000",
    )
}

#[cfg(test)]
mod tests;
