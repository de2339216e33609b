//! A browser for DNS-based service discovery (RFC 6763) over unicast DNS, without I/O. It decides which queries are
//! sent to which server, processes the responses, and converts the records into claims.
//!
//! One PTR query returns the endpoints. Records in the additional section of a response (RFC 6763, 12.1) are used if
//! they are related to the question, and only the missing records are requested, all at once. A change of ten records
//! therefore takes one round trip if the server sends additional records, and at most three otherwise.
//!
//! A failure does not withdraw any claim. If a server fails, the next one is queried. When all servers have failed, the
//! browser reports [`SourceFailed`](crate::RegistryInput::SourceFailed) and retries after an increasing pause. An empty
//! endpoint list counts as a failure until it has been received [`EMPTY_LIST_THRESHOLD`] times in a row.
//!
//! [`Browser`] owns the records and the queries in flight. It opens no sockets and reads no clock.

mod claims;
mod queries;
mod responses;
mod types;

pub use types::{BrowserConfig, BrowserCounters, BrowserOutput, DnsQuery};

use crate::wheel::{TimerHandle, TimerWheel};
use crate::{Claim, SourceId};
use hickory_proto::rr::{Name, RData, RecordType};
use queries::{PendingQuery, QueuedQuery};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use reelrill_routing::Timestamp;
use std::collections::{HashMap, HashSet, VecDeque};

/// The number of consecutive empty endpoint lists from which on an empty list is accepted.
pub const EMPTY_LIST_THRESHOLD: u32 = 3;

/// Identifies a set of records by name and type.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RecordKey {
    name: Name,
    record_type: RecordType,
}

impl RecordKey {
    fn new(name: &Name, record_type: RecordType) -> RecordKey {
        RecordKey {
            name: name.clone(),
            record_type,
        }
    }
}

/// The cached records of one name and type; empty if the server reported that there are none.
#[derive(Debug, Default)]
struct RecordSet {
    records: Vec<RData>,
    /// The time until which the records are valid; 0 before the first response.
    expires_at: Timestamp,
    /// The timer at which the records are requested again.
    timer: Option<TimerHandle>,
}

#[derive(Debug, Clone)]
enum TimerEvent {
    QueryTimedOut(u64),
    RefreshDue(RecordKey),
    BudgetRefilled,
}

/// Browses one service and converts its records into claims.
pub struct Browser {
    config: BrowserConfig,
    source: SourceId,
    /// The generator of message ids and jitter.
    random: StdRng,
    /// Queries in flight, by number.
    pending: HashMap<u64, PendingQuery>,
    /// The records for which a query is queued or in flight.
    requested: HashSet<RecordKey>,
    /// Queries that wait for the query budget.
    queue: VecDeque<QueuedQuery>,
    record_sets: HashMap<RecordKey, RecordSet>,
    /// The endpoints by host, to find those affected by a change of the host's addresses.
    endpoints_by_host: HashMap<Name, HashSet<Name>>,
    /// The latest claim of each endpoint.
    claims: HashMap<Name, Claim>,
    /// Whether the endpoint list is unavailable: its latest request failed on all servers, or returned an empty list
    /// that was not accepted.
    is_list_failing: bool,
    /// Records to be refreshed once the endpoint list is available again. Until then their refreshes are held back,
    /// since one query at a time, for the list, is enough to detect that a server has recovered.
    deferred_refreshes: HashSet<RecordKey>,
    /// Whether a timer is set for the query budget.
    has_budget_timer: bool,
    wheel: TimerWheel<TimerEvent>,
    last_query_id: u64,
    /// The remaining query budget, in queries.
    tokens: f64,
    tokens_updated_at: Timestamp,
    consecutive_failures: u32,
    consecutive_empty_lists: u32,
    counters: BrowserCounters,
}

impl Browser {
    /// Returns a browser that has not been started. `seed` initializes the generator of message ids and jitter.
    pub fn new(config: BrowserConfig, source: SourceId, seed: u64, now: Timestamp) -> Browser {
        Browser {
            tokens: config.max_queries_per_second.max(1.0),
            config,
            source,
            random: StdRng::seed_from_u64(seed),
            pending: HashMap::new(),
            requested: HashSet::new(),
            queue: VecDeque::new(),
            record_sets: HashMap::new(),
            endpoints_by_host: HashMap::new(),
            claims: HashMap::new(),
            is_list_failing: false,
            deferred_refreshes: HashSet::new(),
            has_budget_timer: false,
            wheel: TimerWheel::new(now),
            last_query_id: 0,
            tokens_updated_at: now,
            consecutive_failures: 0,
            consecutive_empty_lists: 0,
            counters: BrowserCounters::default(),
        }
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> BrowserCounters {
        self.counters
    }

    /// Starts browsing by requesting the endpoint list.
    pub fn start(&mut self, now: Timestamp, outputs: &mut Vec<BrowserOutput>) {
        self.request_records(RecordKey::new(&self.config.service, RecordType::PTR));
        self.send_queued(now, outputs);
    }

    /// Returns the latest time at which [`Browser::on_due`] must be called; `None` if no timer is set.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.wheel.next_due()
    }

    /// Processes queries that timed out, records that are due for a refresh, and the query budget.
    pub fn on_due(&mut self, now: Timestamp, outputs: &mut Vec<BrowserOutput>) {
        let mut due = Vec::new();
        self.wheel.expire(now, &mut due);
        for event in due {
            match event {
                TimerEvent::QueryTimedOut(id) => {
                    self.counters.queries_timed_out += 1;
                    outputs.push(BrowserOutput::CancelQuery(id));
                    self.try_next_server(now, id, outputs);
                }
                TimerEvent::RefreshDue(key) => self.on_refresh_due(key),
                TimerEvent::BudgetRefilled => self.has_budget_timer = false,
            }
        }
        self.send_queued(now, outputs);
    }

    fn on_refresh_due(&mut self, key: RecordKey) {
        if let Some(set) = self.record_sets.get_mut(&key) {
            set.timer = None;
        }
        if self.is_list_failing && key.record_type != RecordType::PTR {
            self.deferred_refreshes.insert(key);
        } else {
            self.request_records(key);
        }
    }

    /// Handles a query that could not be sent or whose connection failed.
    pub fn on_query_failed(&mut self, now: Timestamp, id: u64, outputs: &mut Vec<BrowserOutput>) {
        self.counters.queries_failed += 1;
        self.try_next_server(now, id, outputs);
        self.send_queued(now, outputs);
    }

    /// Processes a message received for a query. A message that is not a response to the query is counted and otherwise
    /// ignored, since the actual response may still arrive.
    pub fn on_response(
        &mut self,
        now: Timestamp,
        id: u64,
        bytes: &[u8],
        outputs: &mut Vec<BrowserOutput>,
    ) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let Some(message) = responses::parse_response(bytes, pending) else {
            self.counters.mismatched_messages += 1;
            return;
        };
        if message.metadata.truncation && !pending.query.is_tcp {
            self.repeat_over_tcp(id, outputs);
        } else if !responses::is_success(&message) {
            self.counters.queries_failed += 1;
            outputs.push(BrowserOutput::CancelQuery(id));
            self.try_next_server(now, id, outputs);
        } else if let Some(query) = self.finish_query(id, outputs) {
            self.requested.remove(&query.key);
            self.consecutive_failures = 0;
            let is_list = query.key.record_type == RecordType::PTR;
            self.is_list_failing &= !is_list;
            self.process_response(now, query.key, &message, outputs);
            if is_list && !self.is_list_failing {
                self.request_deferred();
            }
        }
        self.send_queued(now, outputs);
    }

    fn repeat_over_tcp(&mut self, id: u64, outputs: &mut Vec<BrowserOutput>) {
        if let Some(query) = self.finish_query(id, outputs) {
            self.queue.push_front(QueuedQuery {
                is_tcp: true,
                ..query
            });
        }
    }

    /// Requests the deferred records that the response with the endpoint list did not include.
    fn request_deferred(&mut self) {
        let mut deferred = std::mem::take(&mut self.deferred_refreshes);
        deferred.retain(|key| self.record_sets.contains_key(key));
        for key in deferred {
            self.request_records(key);
        }
    }

    /// Sets the time at which records are requested again.
    fn refresh_at(&mut self, at: Timestamp, key: RecordKey) {
        let set = self.record_sets.entry(key.clone()).or_default();
        match set.timer {
            Some(timer) if self.wheel.reset(timer, at) => {}
            _ => set.timer = Some(self.wheel.insert(at, TimerEvent::RefreshDue(key))),
        }
    }

    fn drop_record_set(&mut self, key: &RecordKey) {
        if let Some(timer) = self.record_sets.remove(key).and_then(|set| set.timer) {
            self.wheel.cancel(timer);
        }
    }
}
