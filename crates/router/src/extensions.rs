//! The project's own settings, in YAML: what the platform's configuration does not know. All of it is off or has
//! a default; `deploy/edge.example.yaml` shows it whole.

use reelrill_pg_protocol::oid;
use reelrill_pg_session::account::Limits;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a file of settings can't be used: always the file, and where it can be told, line, column and field.
#[derive(Debug, thiserror::Error)]
pub enum EdgeError {
    #[error("{path}: {source}")]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{path}: {what}")]
    Yaml { path: PathBuf, what: String },
    #[error("{path}: {field}: {what}")]
    Field {
        path: PathBuf,
        field: &'static str,
        what: &'static str,
    },
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Extensions {
    pub extended: Extended,
    pub discovery: Discovery,
    /// Where `reelrill endpoints` asks; none: nowhere.
    pub members_socket: Option<PathBuf>,
}

/// The sources of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// The platform's list.
    pub roster: bool,
    /// How long an endpoint's own answer vouches for it, in seconds.
    pub vouch_s: u64,
    /// Service records; none: they are not used.
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

/// Service records. Each service is a source of its own.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DnsSd {
    pub servers: Vec<SocketAddr>,
    pub services: Vec<String>,
    pub domain: String,
    #[serde(default = "DnsSd::ttl_floor_ms")]
    pub ttl_floor_ms: u64,
    #[serde(default = "DnsSd::ttl_ceiling_ms")]
    pub ttl_ceiling_ms: u64,
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

/// Whether clients may use extended queries, and how endpoints are asked then.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// They get an error.
    #[default]
    Off,
    /// Instances are asked in extended queries, too.
    On,
    /// Instances only take simple queries: values are written as literals.
    Translate,
}

/// The type of the column `data`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DataType {
    #[default]
    Bytea,
    Text,
}

impl DataType {
    pub fn oid(self) -> u32 {
        match self {
            DataType::Bytea => oid::BYTEA,
            DataType::Text => oid::TEXT,
        }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Extended {
    pub mode: Mode,
    pub data_type: DataType,
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
        let l = Limits::default();
        LimitsFields {
            statements: l.statements,
            all_statements: l.all_statements,
            text_bytes: l.text_bytes,
            portals: l.portals,
            value_bytes: l.value_bytes,
            commands: l.commands,
            segment: l.segment,
            reads: l.reads,
            prepared: l.prepared,
        }
    }
}

impl From<LimitsFields> for Limits {
    fn from(f: LimitsFields) -> Limits {
        Limits {
            statements: f.statements,
            all_statements: f.all_statements,
            text_bytes: f.text_bytes,
            portals: f.portals,
            value_bytes: f.value_bytes,
            commands: f.commands,
            segment: f.segment,
            reads: f.reads,
            prepared: f.prepared,
        }
    }
}

impl Extensions {
    /// Reads a file; names that it does not know are errors.
    pub fn load(path: &Path) -> Result<Extensions, EdgeError> {
        let path = || path.to_owned();
        let text = std::fs::read_to_string(path()).map_err(|source| EdgeError::Read {
            path: path(),
            source,
        })?;
        let mut field = String::new();
        let read = serde_saphyr::with_deserializer_from_str(&text, |yaml| {
            serde_path_to_error::deserialize(yaml).map_err(|e| {
                field = e.path().to_string();
                e.into_inner()
            })
        });
        let edge: Extensions = read.map_err(|e| {
            // The message's first line says what and where; the rest quotes the file.
            let whole = e.to_string();
            let what = format!("{field}: {}", whole.lines().next().unwrap_or_default());
            EdgeError::Yaml { path: path(), what }
        })?;
        let l = &edge.extended.limits;
        let wrong = |field, what| {
            Err(EdgeError::Field {
                path: path(),
                field,
                what,
            })
        };
        for (field, value) in [
            ("extended.limits.statements", l.statements),
            ("extended.limits.portals", l.portals),
            ("extended.limits.commands", l.commands),
            ("extended.limits.segment", l.segment),
            ("extended.limits.reads", l.reads),
            ("extended.limits.prepared", l.prepared),
        ] {
            if value == 0 {
                return wrong(field, "must be at least 1");
            }
            if value > 1 << 16 {
                return wrong(field, "must be at most 65536");
            }
        }
        if l.value_bytes < 64 * 1024 {
            return wrong(
                "extended.limits.value_bytes",
                "must hold one value, 65536 bytes",
            );
        }
        let d = &edge.discovery;
        if !d.roster && d.dns_sd.is_none() {
            return wrong("discovery", "needs a source: roster or dns_sd");
        }
        if edge.members_socket.is_some() && d.dns_sd.is_none() {
            return wrong(
                "members_socket",
                "needs discovery.dns_sd: the roster alone has nothing more to tell",
            );
        }
        if let Some(dns) = &d.dns_sd {
            let checks = [
                (
                    "discovery.dns_sd.servers",
                    !dns.servers.is_empty(),
                    "must name a server",
                ),
                (
                    "discovery.dns_sd.services",
                    !dns.services.is_empty(),
                    "must name a service",
                ),
                (
                    "discovery.dns_sd.services",
                    dns.services.len() <= 64,
                    "must be at most 64",
                ),
                (
                    "discovery.dns_sd.ttl_floor_ms",
                    dns.ttl_floor_ms >= 100,
                    "must be at least 100",
                ),
                (
                    "discovery.dns_sd.ttl_ceiling_ms",
                    dns.ttl_ceiling_ms >= dns.ttl_floor_ms,
                    "is below the floor",
                ),
                (
                    "discovery.dns_sd.timeout_ms",
                    (10..=10_000).contains(&dns.timeout_ms),
                    "must be 10 to 10000",
                ),
                (
                    "discovery.dns_sd.budget",
                    (1..=10_000).contains(&dns.budget),
                    "must be 1 to 10000",
                ),
            ];
            if let Some((field, _, what)) = checks.into_iter().find(|c| !c.1) {
                return wrong(field, what);
            }
        }
        Ok(edge)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn load(text: &str) -> Result<Extensions, String> {
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), text).unwrap();
        Extensions::load(file.path()).map_err(|e| {
            let said = e.to_string();
            let path = file.path().display().to_string();
            assert!(said.starts_with(&path), "{said}");
            said[path.len() + 2..].to_owned()
        })
    }

    #[test]
    fn what_is_left_out_has_its_default() {
        let edge = load("extended: {mode: translate, limits: {reads: 4}}").unwrap();
        assert_eq!(
            (edge.extended.mode, edge.extended.limits.reads),
            (Mode::Translate, 4)
        );
        assert_eq!(
            edge.extended.limits,
            Limits {
                reads: 4,
                ..Limits::default()
            }
        );
        assert_eq!(load("extended:\n  mode: off\n"), Ok(Extensions::default()));
        assert_eq!(load("{}"), Ok(Extensions::default()));
    }

    /// Guards the person who edits the file: an error names the line and the field.
    #[rstest]
    #[case("extended:\n  mode: on\n  modes: off\n", &["extended.modes", "line 3"])]
    #[case("extended:\n  mode: maybe\n", &["extended.mode", "maybe", "line 2"])]
    #[case("extended:\n  limits:\n    reads: -1\n", &["extended.limits.reads", "line 3"])]
    #[case("extended:\n  limits:\n    reads: 0\n", &["extended.limits.reads", "at least 1"])]
    #[case("extended: [\n", &["line"])]
    #[case("discovery: {dns_sd: {servers: [], services: [x], domain: x}}", &["discovery.dns_sd.servers"])]
    #[case("discovery:\n  dns_sd:\n    servers: [x]\n", &["discovery.dns_sd.servers[0]", "line 3"])]
    #[case("discovery: {roster: false}", &["needs a source"])]
    #[case("members_socket: /x", &["members_socket", "needs discovery.dns_sd"])]
    fn what_is_wrong_is_named(#[case] text: &str, #[case] wanted: &[&str]) {
        let said = load(text).unwrap_err();
        assert!(wanted.iter().all(|w| said.contains(w)), "{said}");
    }

    #[test]
    fn the_example_shows_every_setting_with_its_default() {
        let path = Path::new(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../deploy/edge.example.yaml"
        ));
        assert_eq!(Extensions::load(path).unwrap(), Extensions::default());
        let text = std::fs::read_to_string(path).unwrap();
        for name in format!("{:?}", Extensions::default())
            .split([' ', '{'])
            .filter_map(|w| w.strip_suffix(':'))
        {
            assert!(text.contains(&format!("{name}:")), "{name}");
        }
    }
}
