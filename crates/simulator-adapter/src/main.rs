//! Speaks the bench's wire on standard input and output: parses and prints, one balancer per endpoint.
#![forbid(unsafe_code)]

use base64::Engine as _;
use reelrill_routing::*;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use std::sync::Arc;

/// What is wrong with a line: the field and why.
type Fault = String;

/// One line's fields, taken in order.
struct Fields<'a> {
    parts: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn text(&mut self, name: &str) -> Result<&'a str, Fault> {
        self.parts
            .next()
            .ok_or_else(|| format!("field {name}: missing"))
    }

    fn maybe(&mut self, name: &str) -> Result<Option<&'a str>, Fault> {
        Ok(Some(self.text(name)?).filter(|t| *t != "-"))
    }

    fn num<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, Fault> {
        let text = self.text(name)?;
        text.parse()
            .map_err(|_| format!("field {name}: '{text}' is not a number of its kind"))
    }

    fn maybe_num<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, Fault> {
        let Some(text) = self.maybe(name)? else {
            return Ok(None);
        };
        text.parse()
            .map(Some)
            .map_err(|_| format!("field {name}: '{text}' is not a number of its kind"))
    }

    fn hex(&mut self, name: &str) -> Result<RequestId, Fault> {
        let text = self.text(name)?;
        let fits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u64::from_str_radix(text, 16).ok().filter(|_| fits);
        id.ok_or_else(|| format!("field {name}: '{text}' is not 16 hex digits"))
    }

    fn flag(&mut self, name: &str) -> Result<bool, Fault> {
        match self.text(name)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(format!("field {name}: '{other}' is neither 0 nor 1")),
        }
    }
}

/// One endpoint of the module, with what is needed to read its events.
struct Instance {
    balancer: Balancer,
    origin: Timestamp,
}

#[derive(Default)]
struct Link {
    instances: HashMap<u64, Instance>,
    names: HashMap<String, EndpointId>,
    sheets: HashMap<u64, Vec<EndpointEntry>>,
    open_sheet: Option<(u64, usize)>,
    batch: Option<(Timestamp, u64)>,
    reply: String,
    actions: Vec<Action>,
}

fn outcome(word: &str) -> Result<AttemptOutcome, Fault> {
    Ok(match word {
        "delivered" => AttemptOutcome::Served,
        "app_error" => AttemptOutcome::Error,
        "shed" => AttemptOutcome::Overloaded,
        "expired" => AttemptOutcome::TimedOut,
        "dial_failed" => AttemptOutcome::ConnectFailed,
        "dropped" => AttemptOutcome::ConnectionReset,
        "revoked" => AttemptOutcome::Cancelled,
        "unused" => AttemptOutcome::Abandoned,
        "empty" => AttemptOutcome::Misrouted,
        other => return Err(format!("field ending: unknown word '{other}'")),
    })
}

impl Link {
    fn name(&mut self, text: &str) -> EndpointId {
        if let Some(id) = self.names.get(text) {
            return id.clone();
        }
        let id: EndpointId = Arc::from(text);
        self.names.insert(text.to_owned(), id.clone());
        id
    }

    fn origin(&self, inst: u64) -> Result<Timestamp, Fault> {
        self.instances
            .get(&inst)
            .map(|i| i.origin)
            .ok_or_else(|| format!("field proxyId: no instance {inst}"))
    }

    fn feed(&mut self, inst: u64, event: Event) -> Result<(), Fault> {
        let (now, _) = self.batch.ok_or("out of place: no MARK before it")?;
        let Some(i) = self.instances.get_mut(&inst) else {
            return Err(format!("field proxyId: no instance {inst}"));
        };
        i.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            print(&mut self.reply, inst, action);
        }
        Ok(())
    }

    /// Takes one line; true when a reply is due.
    fn line(&mut self, line: &str) -> Result<bool, Fault> {
        let mut f = Fields {
            parts: line.split('\t'),
        };
        let word = f.text("message")?;
        if let Some((sheet, left)) = self.open_sheet {
            if word != "ROW" {
                return Err(format!(
                    "out of place: {left} more ROW lines were announced"
                ));
            }
            let entry = self.row(&mut f)?;
            self.sheets.entry(sheet).or_default().push(entry);
            self.open_sheet = (left > 1).then_some((sheet, left - 1));
            return Ok(false);
        }
        if word == "MARK" {
            if self.batch.is_some() {
                return Err("out of place: the batch before has not ended".into());
            }
            self.batch = Some((f.num("clock")?, f.num("sequence")?));
            return Ok(false);
        }
        if self.batch.is_none() {
            return Err("out of place: no MARK before it".into());
        }
        match word {
            "END" => return Ok(true),
            "CATALOG" => {
                let (sheet, n) = (f.num("sheet")?, f.num("membersList")?);
                self.sheets.insert(sheet, Vec::new());
                self.open_sheet = (n > 0).then_some((sheet, n));
            }
            "UP" => {
                let (inst, seed) = (f.num("proxyId")?, f.num("rngSeed")?);
                let text = f.text("bootInfo")?;
                let rest: Vec<&str> = f.parts.by_ref().collect();
                let text = if rest.is_empty() {
                    text.to_owned()
                } else {
                    format!("{text}\t{}", rest.join("\t"))
                };
                let wrong = |e: &dyn std::fmt::Display| format!("field bootInfo: {e}");
                let value = serde_json::from_str(&text).map_err(|e| wrong(&e))?;
                let site = reelrill_routing_config::read(&value).map_err(|e| wrong(&e))?;
                let balancer = Balancer::new(seed, site.settings).map_err(|e| wrong(&e))?;
                self.instances.insert(
                    inst,
                    Instance {
                        balancer,
                        origin: site.origin,
                    },
                );
            }
            "DESTROY" => {
                self.instances.remove(&f.num("proxyId")?);
            }
            "VIEW" => {
                let inst = f.num("proxyId")?;
                let kind = match f.text("kind")? {
                    "diff" => ListKind::Changes,
                    "snapshot" => ListKind::Full,
                    "disk" => ListKind::Cached,
                    "error" => ListKind::Failed,
                    other => return Err(format!("field kind: unknown word '{other}'")),
                };
                f.maybe_num::<u64>("epoch")?;
                let sheet: Option<u64> = f.maybe_num("sheet")?;
                let entries = if kind == ListKind::Failed {
                    Vec::new()
                } else {
                    let known = sheet.and_then(|s| self.sheets.get(&s));
                    known.cloned().ok_or("field sheet: no such CATALOG")?
                };
                self.feed(inst, Event::List { kind, entries })?;
            }
            "ORDER" => {
                let inst = f.num("proxyId")?;
                let id = f.hex("call")?;
                let session = f.maybe("clientKey")?.map(Arc::from);
                let since: Option<f64> = f.maybe_num("sinceWriteMs")?;
                let replica_set = f.num::<f64>("cluster")? as u32;
                let work = f.maybe_num("work")?;
                let tenant = f.maybe_num("project")?;
                let class = f.num("band")?;
                let flags: u64 = f.num("flags")?;
                let req = Request {
                    id,
                    class,
                    replica_set,
                    session,
                    since_write: since.filter(|ms| *ms > 0.0).map(|ms| (ms * 1e6) as Nanos),
                    tenant,
                    work: work.filter(|w| flags & 1 != 0 && *w > 0),
                    is_retry: flags & 2 != 0,
                    time_left: f.num("ttl")?,
                };
                self.feed(inst, Event::Request(req))?;
            }
            "SAMPLED" => {
                let inst = f.num("proxyId")?;
                let endpoint = f.text("member")?;
                let endpoint = self.name(endpoint);
                let outcome = outcome(f.text("ending")?)?;
                f.num::<u64>("took")?;
                let report = report(f.maybe("feedback")?, self.origin(inst)?)?;
                self.feed(
                    inst,
                    Event::ProbeEnded {
                        endpoint,
                        outcome,
                        report,
                    },
                )?;
            }
            "FLOWING" => {
                let inst = f.num("proxyId")?;
                let request = f.hex("call")?;
                f.num::<u64>("took")?;
                let attempt = f.num("n")?;
                let endpoint = f.text("member")?;
                let endpoint = self.name(endpoint);
                self.feed(
                    inst,
                    Event::ResponseStarted {
                        request,
                        attempt,
                        endpoint,
                    },
                )?;
            }
            "CLIENT_LEFT" => {
                let inst = f.num("proxyId")?;
                let request = f.hex("call")?;
                self.feed(inst, Event::ClientLeft { request })?;
            }
            "DEADLINE_HIT" => {
                let inst = f.num("proxyId")?;
                let token = f.num("ref")?;
                self.feed(inst, Event::Timer { token })?;
            }
            "HEARD" => {
                // Proxies of this family share nothing; the line is checked and passed over.
                f.num::<u64>("proxyId")?;
                f.num::<u64>("from")?;
                if let Some(text) = f.maybe("payload")? {
                    let read = base64::engine::general_purpose::STANDARD.decode(text);
                    read.map_err(|e| format!("field payload: {e}"))?;
                }
            }
            "OUTCOME" => {
                let inst = f.num("proxyId")?;
                let request = f.hex("call")?;
                let endpoint = f.text("member")?;
                let endpoint = self.name(endpoint);
                let outcome = outcome(f.text("ending")?)?;
                let stand: Option<u64> = f.maybe_num("stand")?;
                let latency = f.num("took")?;
                let attempt = f.num("n")?;
                let closed = f.flag("doneFlag")?;
                let origin = self.origin(inst)?;
                let report = report(f.maybe("feedback")?, origin)?;
                let note = stand.unwrap_or(0);
                let replication = ReplicationStatus {
                    role: match note % 4 {
                        1 => Some(Role::Primary),
                        2 => Some(Role::Replica),
                        _ => None,
                    },
                    applied_position: (note >= 4)
                        .then(|| origin.saturating_add((note / 4).saturating_mul(1_000_000))),
                };
                let o = AttemptEnded {
                    request,
                    endpoint,
                    attempt,
                    outcome,
                    replication,
                    report,
                    latency,
                    closed,
                };
                self.feed(inst, Event::AttemptEnded(o))?;
            }
            other => return Err(format!("field message: unknown word '{other}'")),
        }
        Ok(false)
    }

    fn row(&mut self, f: &mut Fields<'_>) -> Result<EndpointEntry, Fault> {
        let endpoint = f.text("member")?;
        let endpoint = self.name(endpoint);
        let started = f.maybe_num("startTime")?.unwrap_or(0);
        let primary = f.maybe_num::<f64>("leads")?.unwrap_or(0.0) == 1.0;
        let state = match f.text("condition")? {
            "SERVING" => EndpointState::Serving,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Removed,
            other => return Err(format!("field condition: unknown word '{other}'")),
        };
        let weight = f.maybe_num("capacityHint")?.unwrap_or(1.0);
        let replica_set = f.num("db")?;
        f.maybe_num::<u32>("model")?;
        let zone = f.maybe_num("failureDomain")?.unwrap_or(0);
        Ok(EndpointEntry {
            endpoint,
            started,
            primary,
            state,
            weight,
            replica_set,
            zone,
        })
    }
}

/// Reads a report's name:value pairs. Positions are rounded down by the report's last digit.
fn report(text: Option<&str>, origin: Timestamp) -> Result<ReplicationStatus, Fault> {
    let mut s = ReplicationStatus::default();
    for pair in text.unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair
            .split_once(':')
            .ok_or(format!("field feedback: '{pair}' is not a pair"))?;
        let Ok(value) = value.parse::<f64>() else {
            return Err(format!("field feedback: '{value}' is not a number"));
        };
        match name {
            "x0" => {
                s.applied_position =
                    Some(origin.saturating_add((value * 1e9 - 1e6).max(0.0) as u64))
            }
            "x1" => {
                s.role = Some(if value == 1.0 {
                    Role::Primary
                } else {
                    Role::Replica
                })
            }
            _ => {}
        }
    }
    Ok(s)
}

fn print(reply: &mut String, inst: u64, action: Action) {
    let written = match action {
        Action::Send {
            request,
            endpoint,
            limit,
            by: _,
        } => match limit {
            Some(limit) => writeln!(reply, "RELAY\t{inst}\t{request:016x}\t{endpoint}\t{limit}"),
            None => writeln!(reply, "RELAY\t{inst}\t{request:016x}\t{endpoint}\t-"),
        },
        Action::Reject {
            request,
            retry_after,
            ..
        } => match retry_after {
            Some(after) => writeln!(reply, "NOT_NOW\t{inst}\t{request:016x}\t{after}"),
            None => writeln!(reply, "NOT_NOW\t{inst}\t{request:016x}\t-"),
        },
        Action::Fail { request, .. } => writeln!(reply, "RESPOND_ERROR\t{inst}\t{request:016x}"),
        Action::Cancel { request, attempt } => {
            writeln!(reply, "DROP_ATTEMPT\t{inst}\t{request:016x}\t{attempt}")
        }
        Action::SetTimer { after, token } => writeln!(reply, "SET_TIMER\t{inst}\t{after}\t{token}"),
        Action::Probe { endpoint } => writeln!(reply, "PROBE\t{inst}\t{endpoint}"),
        Action::Subscribe => writeln!(reply, "WATCH\t{inst}\t1"),
        Action::FetchList => writeln!(reply, "REFRESH\t{inst}"),
    };
    debug_assert!(written.is_ok());
}

fn run() -> Result<(), String> {
    let mut link = Link::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut text = Vec::new();
    for n in 1u64.. {
        text.clear();
        let got = input
            .read_until(b'\n', &mut text)
            .map_err(|e| format!("standard input: {e}"))?;
        if got == 0 {
            return match link.batch {
                Some(_) => Err(format!("line {n}: the input ends inside a batch")),
                None => Ok(()),
            };
        }
        let line = std::str::from_utf8(&text).map_err(|_| format!("line {n}: not UTF-8"))?;
        let line = line.trim_end_matches(['\n', '\r']);
        if line.is_empty() {
            continue;
        }
        if link
            .line(line)
            .map_err(|e| format!("line {n}: {}: {e}", line.split('\t').next().unwrap_or("")))?
        {
            let (_, sequence) = link.batch.take().unwrap_or_default();
            let _ = writeln!(link.reply, "READY\t{sequence}");
            let sent = output
                .write_all(link.reply.as_bytes())
                .and_then(|()| output.flush());
            sent.map_err(|e| format!("standard output: {e}"))?;
            link.reply.clear();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("reelrill-simulator-adapter: {text}");
            ExitCode::FAILURE
        }
    }
}
