//! State shared by the endpoints of a fake replica set: the primary, the rows, the idempotency keys of the
//! deduplication window, and a log of all executed writes.

use crate::shared_state::SharedState;
use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts the messages that an endpoint received, by type.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct MessageCounts {
    /// The number of Parse messages.
    pub parses: usize,
    /// The number of Bind messages.
    pub binds: usize,
    /// The number of Execute messages.
    pub executes: usize,
    /// The number of Close messages.
    pub closes: usize,
    /// The number of Query messages.
    pub queries: usize,
}

/// Records all executed writes of a replica set and counts the messages that its endpoints received.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    /// The message counts by endpoint name.
    pub endpoints: HashMap<String, MessageCounts>,
    /// The executions of each write by idempotency key, as the names of the executing endpoints.
    pub executed_writes: HashMap<String, Vec<String>>,
    /// The number of writes that were not executed because their key was in the deduplication window.
    pub suppressed_duplicates: usize,
}

impl ExecutionLog {
    /// Returns the idempotency keys of writes that were executed more than once.
    pub fn keys_executed_more_than_once(&self) -> Vec<&str> {
        self.executed_writes
            .iter()
            .filter(|(_, endpoints)| endpoints.len() > 1)
            .map(|(key, _)| &**key)
            .collect()
    }

    /// Returns the sum of the message counts of all endpoints.
    pub fn total(&self) -> MessageCounts {
        let mut total = MessageCounts::default();
        for counts in self.endpoints.values() {
            total.parses += counts.parses;
            total.binds += counts.binds;
            total.executes += counts.executes;
            total.closes += counts.closes;
            total.queries += counts.queries;
        }
        total
    }
}

/// Selects how an endpoint handles a read for which its data is too stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StaleReadPolicy {
    /// The endpoint returns stale data.
    Serve,
    /// The endpoint rejects the read at once.
    #[default]
    Reject,
    /// The endpoint waits for up to this duration to catch up, and rejects the read if it still lags behind.
    Wait(Duration),
}

/// Selects how fresh an endpoint's data must be for the reads of a request class, in addition to the position that a
/// read itself names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The data includes the last write to the row.
    LastWrite,
    /// The data is at most this old.
    MaxAge(Duration),
}

/// Data and settings of a fake replica set. Positions are times in Unix milliseconds.
#[derive(Debug)]
struct ReplicaSetState {
    stale_read_policy: StaleReadPolicy,
    /// The required freshness by request class.
    freshness: HashMap<String, Freshness>,
    /// The name of the primary.
    primary: String,
    /// The replication lag of all replicas.
    lag: Duration,
    /// The duration for which the results of writes are kept for deduplication.
    deduplication_window: Duration,
    /// The rows by key, as the value and the position of the last write.
    rows: HashMap<String, (String, u64)>,
    /// The results of recent writes by idempotency key, as the time of execution, the value and the position.
    recent_writes: HashMap<String, (Instant, String, u64)>,
    execution_log: ExecutionLog,
}

/// A fake replica set. Clones share its state.
#[derive(Debug, Clone)]
pub struct FakeReplicaSet(SharedState<ReplicaSetState>);

/// The result of a statement: a value and its position in Unix milliseconds, or an error's SQLSTATE and message.
pub type ExecutionResult = Result<(String, u64), (&'static str, &'static str)>;

/// Returns the current time in Unix milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl FakeReplicaSet {
    /// Creates a replica set with the primary of this name, in which replicas lag by `lag` and a write is not executed
    /// again if its idempotency key repeats within `deduplication_window`.
    pub fn new(primary: &str, lag: Duration, deduplication_window: Duration) -> FakeReplicaSet {
        let (rows, recent_writes, execution_log) =
            (HashMap::new(), HashMap::new(), ExecutionLog::default());
        FakeReplicaSet(SharedState::new(ReplicaSetState {
            stale_read_policy: StaleReadPolicy::default(),
            freshness: HashMap::new(),
            primary: primary.to_owned(),
            lag,
            deduplication_window,
            rows,
            recent_writes,
            execution_log,
        }))
    }

    /// Makes the endpoint of this name the primary.
    pub fn promote(&self, endpoint: &str) {
        self.0.with(|state| endpoint.clone_into(&mut state.primary));
    }

    /// Sets the stale read policy of all endpoints; initially they reject.
    pub fn set_stale_read_policy(&self, policy: StaleReadPolicy) {
        self.0.with(|state| state.stale_read_policy = policy);
    }

    /// Sets the required freshness of all reads of a request class.
    pub fn require_freshness(&self, class: &str, freshness: Freshness) {
        self.0
            .with(|state| state.freshness.insert(class.to_owned(), freshness));
    }

    /// Returns the position that an endpoint must have applied to serve a read of `row`, in Unix milliseconds.
    /// `requested` is the position that the read names.
    fn required_position(&self, row: &str, class: &str, requested: u64) -> u64 {
        self.0.with(|state| match state.freshness.get(class) {
            Some(Freshness::LastWrite) => state
                .rows
                .get(row)
                .map_or(requested, |row| row.1.max(requested)),
            Some(Freshness::MaxAge(age)) => {
                requested.max(now_ms().saturating_sub(age.as_millis() as u64))
            }
            None => requested,
        })
    }

    /// Returns whether an endpoint may serve a read that requires this position, after the wait that the stale read
    /// policy prescribes.
    fn can_serve_read(&self, endpoint: &str, required: u64) -> bool {
        let behind_ms = required.saturating_sub(self.position(endpoint));
        match self.0.with(|state| state.stale_read_policy) {
            StaleReadPolicy::Serve => true,
            StaleReadPolicy::Reject => behind_ms == 0,
            StaleReadPolicy::Wait(limit) => {
                let behind = Duration::from_millis(behind_ms);
                std::thread::sleep(behind.min(limit));
                behind <= limit
            }
        }
    }

    /// Returns whether the endpoint of this name is the primary.
    pub fn is_primary(&self, endpoint: &str) -> bool {
        self.0.with(|state| state.primary == endpoint)
    }

    /// Calls `read` with the locked execution log and returns its result.
    pub fn with_execution_log<R>(&self, read: impl FnOnce(&mut ExecutionLog) -> R) -> R {
        self.0.with(|state| read(&mut state.execution_log))
    }

    /// Waits until `find` returns a value for the execution log and returns it; `None` if that takes longer than
    /// `timeout`.
    pub fn wait_for<R>(
        &self,
        timeout: Duration,
        mut find: impl FnMut(&mut ExecutionLog) -> Option<R>,
    ) -> Option<R> {
        self.0
            .wait_for(timeout, |state| find(&mut state.execution_log))
    }

    /// Calls `update` with the message counts of an endpoint, which it may change.
    pub(crate) fn update_counts(&self, endpoint: &str, update: impl FnOnce(&mut MessageCounts)) {
        self.0.with(
            |state| match state.execution_log.endpoints.get_mut(endpoint) {
                Some(counts) => update(counts),
                None => update(
                    state
                        .execution_log
                        .endpoints
                        .entry(endpoint.to_owned())
                        .or_default(),
                ),
            },
        );
    }

    /// Returns the applied position of an endpoint, in Unix milliseconds.
    pub fn position(&self, endpoint: &str) -> u64 {
        let now = now_ms();
        self.0.with(|state| {
            if state.primary == endpoint {
                now
            } else {
                now - state.lag.as_millis() as u64
            }
        })
    }

    /// Executes a statement, with the parameter values inserted, at the endpoint of this name.
    pub fn execute(&self, endpoint: &str, statement: &str) -> ExecutionResult {
        let mut values = literals(statement);
        let Some(row) = values.next() else {
            return Err(("08P01", "row key is missing"));
        };
        let annotation = |name: &str| {
            let annotations = statement
                .rsplit_once("/*")?
                .1
                .trim_end()
                .trim_end_matches("*/");
            annotations
                .split(',')
                .find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
        };
        if annotation("id").is_none_or(|id| id.len() != 16)
            || annotation("d").is_none_or(|d| d.parse() == Ok(0))
        {
            return Err(("08P01", "id or deadline annotation is missing or invalid"));
        }
        let is_read = !statement.starts_with("INSERT");
        if is_read {
            let requested = annotation("after")
                .and_then(|position| position.parse().ok())
                .unwrap_or(0);
            let class = annotation("c").unwrap_or_default();
            if !self.can_serve_read(endpoint, self.required_position(&row, class, requested)) {
                return Err(("72000", "replica has not applied the required position"));
            }
        }
        let position = self.position(endpoint);
        self.0.with(|state| {
            if is_read {
                let visible = state
                    .rows
                    .get(&row)
                    .filter(|(_, written)| *written <= position);
                return Ok((
                    visible.map_or_else(|| "(nothing)".to_owned(), |(value, _)| value.clone()),
                    position,
                ));
            }
            let Some(value) = values.next() else {
                return Err(("08P01", "value is missing"));
            };
            if state.primary != endpoint {
                return Err(("25006", "endpoint is not the primary"));
            }
            let key = annotation("k").unwrap_or_default().to_owned();
            let (now, window) = (Instant::now(), state.deduplication_window);
            state
                .recent_writes
                .retain(|_, (executed, ..)| now - *executed < window);
            if let Some((_, value, position)) = state.recent_writes.get(&key) {
                state.execution_log.suppressed_duplicates += 1;
                return Ok((value.clone(), *position));
            }
            state
                .execution_log
                .executed_writes
                .entry(key.clone())
                .or_default()
                .push(endpoint.to_owned());
            state.rows.insert(row, (value.clone(), position));
            state
                .recent_writes
                .insert(key, (now, value.clone(), position));
            Ok((value, position))
        })
    }
}

/// Returns the values of the quoted literals of a statement, in order.
fn literals(text: &str) -> impl Iterator<Item = String> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let mut quoted = rest.split_once('\'')?.1;
        let mut value = String::new();
        loop {
            let (part, after) = quoted.split_once('\'')?;
            value.push_str(part);
            match after.strip_prefix('\'') {
                Some(more) => {
                    value.push('\'');
                    quoted = more;
                }
                None => {
                    rest = after;
                    return Some(value);
                }
            }
        }
    })
}

#[cfg(test)]
mod tests;
