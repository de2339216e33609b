//! A group of instances: who leads it, what was written, which keys it remembers, and an execution log of all that ran.

use crate::shared_state::SharedState;
use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a member was asked, by kind of message.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct MessageCounts {
    /// Statements prepared.
    pub parses: usize,
    /// Portals made.
    pub binds: usize,
    /// Portals run.
    pub executes: usize,
    /// Statements closed.
    pub closes: usize,
    /// Simple queries.
    pub queries: usize,
}

/// All that ran.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// By member.
    pub endpoints: HashMap<String, MessageCounts>,
    /// Each time that a booking took effect, by key: the member that took it.
    pub executed_writes: HashMap<String, Vec<String>>,
    /// Repeats that the group dropped.
    pub suppressed_duplicates: usize,
}

impl ExecutionLog {
    /// The keys that took effect more than once.
    pub fn keys_executed_more_than_once(&self) -> Vec<&str> {
        self.executed_writes
            .iter()
            .filter(|(_, by)| by.len() > 1)
            .map(|(k, _)| &**k)
            .collect()
    }

    /// All members' counts together.
    pub fn total(&self) -> MessageCounts {
        let mut total = MessageCounts::default();
        for c in self.endpoints.values() {
            total.parses += c.parses;
            total.binds += c.binds;
            total.executes += c.executes;
            total.closes += c.closes;
            total.queries += c.queries;
        }
        total
    }
}

/// What a member does with a read for which it is too far behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StaleReadPolicy {
    /// It answers from what it has.
    Serve,
    /// It rejects the read at once.
    #[default]
    Reject,
    /// It waits for so long to catch up, and rejects the read then.
    Wait(Duration),
}

/// How recent the data has to be that answers a class's reads, beyond the position that the read itself names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It holds the last write to the row.
    LastWrite,
    /// It is no older than this.
    MaxAge(Duration),
}

#[derive(Debug)]
struct World {
    stale_reads: StaleReadPolicy,
    /// By class.
    freshness: HashMap<String, Freshness>,
    primary: String,
    lag: Duration,
    window: Duration,
    rows: HashMap<String, (String, u64)>,
    keys: HashMap<String, (Instant, String, u64)>,
    execution_log: ExecutionLog,
}

/// A group, shared by its instances.
#[derive(Debug, Clone)]
pub struct FakeReplicaSet(SharedState<World>);

/// What a member answers: a value and its position, or an error's code and text.
pub type ExecutionResult = Result<(String, u64), (&'static str, &'static str)>;

/// Now, in Unix milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl FakeReplicaSet {
    /// A group led by the member of this name, whose replicas are `lag` behind, and which drops a repeat of a key
    /// within `window`.
    pub fn new(primary: &str, lag: Duration, window: Duration) -> FakeReplicaSet {
        let (rows, keys, execution_log) = (HashMap::new(), HashMap::new(), ExecutionLog::default());
        FakeReplicaSet(SharedState::new(World {
            stale_reads: StaleReadPolicy::default(),
            freshness: HashMap::new(),
            primary: primary.to_owned(),
            lag,
            window,
            rows,
            keys,
            execution_log,
        }))
    }

    /// Another member leads from now on.
    pub fn promote(&self, member: &str) {
        self.0.with(|w| member.clone_into(&mut w.primary));
    }

    /// What members do with reads for which they are too far behind.
    pub fn set_stale_read_policy(&self, policy: StaleReadPolicy) {
        self.0.with(|w| w.stale_reads = policy);
    }

    /// Reads of this class need data so recent.
    pub fn require_freshness(&self, class: &str, freshness: Freshness) {
        self.0
            .with(|w| w.freshness.insert(class.to_owned(), freshness));
    }

    /// How far a member has to have applied the log to answer a read of `row`, in Unix milliseconds.
    fn required_position(&self, row: &str, class: &str, named: u64) -> u64 {
        self.0.with(|w| match w.freshness.get(class) {
            Some(Freshness::LastWrite) => w.rows.get(row).map_or(named, |r| r.1.max(named)),
            Some(Freshness::MaxAge(age)) => {
                named.max(now_ms().saturating_sub(age.as_millis() as u64))
            }
            None => named,
        })
    }

    /// Whether a member may answer a read that needs this position; waits for it where members do so.
    fn may_answer(&self, member: &str, required: u64) -> bool {
        let behind = required.saturating_sub(self.position(member));
        match self.0.with(|w| w.stale_reads) {
            StaleReadPolicy::Serve => true,
            StaleReadPolicy::Reject => behind == 0,
            StaleReadPolicy::Wait(limit) => {
                let behind = Duration::from_millis(behind);
                std::thread::sleep(behind.min(limit));
                behind <= limit
            }
        }
    }

    /// Whether this member leads.
    pub fn is_primary(&self, member: &str) -> bool {
        self.0.with(|w| w.primary == member)
    }

    /// Reads the execution log.
    pub fn with_execution_log<R>(&self, read: impl FnOnce(&mut ExecutionLog) -> R) -> R {
        self.0.with(|w| read(&mut w.execution_log))
    }

    /// Waits until the execution log holds what `f` looks for.
    pub fn wait_for<R>(
        &self,
        within: Duration,
        mut f: impl FnMut(&mut ExecutionLog) -> Option<R>,
    ) -> Option<R> {
        self.0.wait_for(within, |w| f(&mut w.execution_log))
    }

    pub(crate) fn count(&self, member: &str, count: impl FnOnce(&mut MessageCounts)) {
        self.0
            .with(|w| match w.execution_log.endpoints.get_mut(member) {
                Some(counts) => count(counts),
                None => count(
                    w.execution_log
                        .endpoints
                        .entry(member.to_owned())
                        .or_default(),
                ),
            });
    }

    /// How far a member has applied the log, in Unix milliseconds.
    pub fn position(&self, member: &str) -> u64 {
        let now = now_ms();
        self.0.with(|w| {
            if w.primary == member {
                now
            } else {
                now - w.lag.as_millis() as u64
            }
        })
    }

    /// Runs a statement in words at a member.
    pub fn execute(&self, member: &str, text: &str) -> ExecutionResult {
        let mut quoted = literals(text);
        let Some(row) = quoted.next() else {
            return Err(("08P01", "no quoted key"));
        };
        let comment = |name: &str| {
            let inside = text.rsplit_once("/*")?.1.trim_end().trim_end_matches("*/");
            inside
                .split(',')
                .find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
        };
        if comment("id").is_none_or(|id| id.len() != 16)
            || comment("d").is_none_or(|d| d.parse() == Ok(0))
        {
            return Err(("08P01", "a statement that no client sends"));
        }
        let is_read = !text.starts_with("INSERT");
        if is_read {
            let named = comment("after").and_then(|a| a.parse().ok()).unwrap_or(0);
            let class = comment("c").unwrap_or_default();
            if !self.may_answer(member, self.required_position(&row, class, named)) {
                return Err(("72000", "too far behind"));
            }
        }
        let position = self.position(member);
        self.0.with(|w| {
            if is_read {
                let seen = w.rows.get(&row).filter(|(_, at)| *at <= position);
                return Ok((
                    seen.map_or_else(|| "(nothing)".to_owned(), |(v, _)| v.clone()),
                    position,
                ));
            }
            let Some(value) = quoted.next() else {
                return Err(("08P01", "no value"));
            };
            if w.primary != member {
                return Err(("25006", "this is not the primary"));
            }
            let key = comment("k").unwrap_or_default().to_owned();
            let (now, window) = (Instant::now(), w.window);
            w.keys.retain(|_, (at, ..)| now - *at < window);
            if let Some((_, value, at)) = w.keys.get(&key) {
                w.execution_log.suppressed_duplicates += 1;
                return Ok((value.clone(), *at));
            }
            w.execution_log
                .executed_writes
                .entry(key.clone())
                .or_default()
                .push(member.to_owned());
            w.rows.insert(row, (value.clone(), position));
            w.keys.insert(key, (now, value.clone(), position));
            Ok((value, position))
        })
    }
}

/// The quoted literals of a statement.
fn literals(text: &str) -> impl Iterator<Item = String> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let mut inside = rest.split_once('\'')?.1;
        let mut found = String::new();
        loop {
            let (part, behind) = inside.split_once('\'')?;
            found.push_str(part);
            match behind.strip_prefix('\'') {
                Some(more) => {
                    found.push('\'');
                    inside = more;
                }
                None => {
                    rest = behind;
                    return Some(found);
                }
            }
        }
    })
}

#[cfg(test)]
mod tests;
