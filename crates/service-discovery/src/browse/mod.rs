//! A client of DNS-based service discovery (RFC 6763) over unicast DNS, without I/O: it says which queries go to which
//! server, takes what comes back, and converts the records into claims.
//!
//! One PTR query names the endpoints; what a response brings along in its additional section (RFC 6763, 12.1) is used
//! where it belongs to what was asked, and only what is still missing is requested, all at once. So a change of ten
//! records takes one round trip at a server that sends them along, and three at most.
//!
//! What fails takes nothing away: a server that fails is followed by the next, and when all have failed the source is
//! [`SourceFailed`](crate::RegistryInput::SourceFailed) and requested again after a growing pause. An empty list of
//! endpoints counts as a failure until it has come [`EMPTY_LIST_THRESHOLD`] times in a row.
//!
//! [`Browser`] owns the records and the queries in flight. It never opens a socket and reads no clock.

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

/// How often in a row a list of endpoints must be empty before it is believed.
pub const EMPTY_LIST_THRESHOLD: u32 = 3;

/// Names a set of records.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RecordKey {
    name: Name,
    kind: RecordType,
}

impl RecordKey {
    fn new(name: &Name, kind: RecordType) -> RecordKey {
        RecordKey {
            name: name.clone(),
            kind,
        }
    }
}

/// Records of one name and type; none: there are none, as the server said.
#[derive(Debug, Default)]
struct RecordSet {
    records: Vec<RData>,
    /// Until when they hold; 0: no response has come yet.
    until: Timestamp,
    /// When they are requested again.
    timer: Option<TimerHandle>,
}

#[derive(Debug, Clone)]
enum TimerEvent {
    QueryTimedOut(u64),
    RefreshDue(RecordKey),
    BudgetRefilled,
}

/// The client of one service.
pub struct Browser {
    config: BrowserConfig,
    source: SourceId,
    /// Draws message ids and jitter.
    random: StdRng,
    /// Queries in flight, by number.
    pending: HashMap<u64, PendingQuery>,
    /// Records with a query that is queued or in flight.
    requested: HashSet<RecordKey>,
    /// Queries that wait for the budget.
    queue: VecDeque<QueuedQuery>,
    sets: HashMap<RecordKey, RecordSet>,
    /// Which endpoints run on a host, so that an address finds them.
    hosted: HashMap<Name, HashSet<Name>>,
    /// The latest claim of each endpoint.
    claimed: HashMap<Name, Claim>,
    /// The list of endpoints can't be had now.
    is_failing: bool,
    /// Records to be refreshed once the list can be had: one query at a time tells whether a server is back.
    deferred: HashSet<RecordKey>,
    /// There is a timer for the budget.
    has_budget_timer: bool,
    wheel: TimerWheel<TimerEvent>,
    last_query_id: u64,
    /// What is left of the budget, in queries.
    tokens: f64,
    tokens_updated_at: Timestamp,
    /// Failures in a row.
    failures: u32,
    /// Empty lists of endpoints in a row.
    empty_lists: u32,
    counters: BrowserCounters,
}

impl Browser {
    /// A client that has sent nothing yet; `seed` is for message ids and jitter.
    pub fn new(config: BrowserConfig, source: SourceId, seed: u64, now: Timestamp) -> Browser {
        Browser {
            tokens: config.max_queries_per_second.max(1.0),
            config,
            source,
            random: StdRng::seed_from_u64(seed),
            pending: HashMap::new(),
            requested: HashSet::new(),
            queue: VecDeque::new(),
            sets: HashMap::new(),
            hosted: HashMap::new(),
            claimed: HashMap::new(),
            is_failing: false,
            deferred: HashSet::new(),
            has_budget_timer: false,
            wheel: TimerWheel::new(now),
            last_query_id: 0,
            tokens_updated_at: now,
            failures: 0,
            empty_lists: 0,
            counters: BrowserCounters::default(),
        }
    }

    /// What has been counted since the start.
    pub fn counters(&self) -> BrowserCounters {
        self.counters
    }

    /// Begins to browse.
    pub fn start(&mut self, now: Timestamp, outputs: &mut Vec<BrowserOutput>) {
        self.request(RecordKey::new(&self.config.service, RecordType::PTR));
        self.send_queued(now, outputs);
    }

    /// When [`Browser::on_due`] is to be called at the latest.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.wheel.next_due()
    }

    /// Handles queries that took too long, and records that must be requested again.
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
        if let Some(set) = self.sets.get_mut(&key) {
            set.timer = None;
        }
        if self.is_failing && key.kind != RecordType::PTR {
            self.deferred.insert(key);
        } else {
            self.request(key);
        }
    }

    /// A query could not be sent, or its connection broke.
    pub fn on_query_failed(&mut self, now: Timestamp, id: u64, outputs: &mut Vec<BrowserOutput>) {
        self.counters.queries_failed += 1;
        self.try_next_server(now, id, outputs);
        self.send_queued(now, outputs);
    }

    /// Takes what came for a query. What is no response to it changes nothing: the true one may still come.
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
        let Some(message) = responses::read_response(bytes, pending) else {
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
            self.failures = 0;
            let is_list = query.key.kind == RecordType::PTR;
            self.is_failing &= !is_list;
            self.take_response(now, query.key, &message, outputs);
            if is_list && !self.is_failing {
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

    /// The list can be had again: what its response did not bring along is refreshed now.
    fn request_deferred(&mut self) {
        let mut deferred = std::mem::take(&mut self.deferred);
        deferred.retain(|key| self.sets.contains_key(key));
        for key in deferred {
            self.request(key);
        }
    }

    /// Sets when records are requested again.
    fn refresh_at(&mut self, at: Timestamp, key: RecordKey) {
        let set = self.sets.entry(key.clone()).or_default();
        match set.timer {
            Some(timer) if self.wheel.reset(timer, at) => {}
            _ => set.timer = Some(self.wheel.insert(at, TimerEvent::RefreshDue(key))),
        }
    }

    fn drop_set(&mut self, key: &RecordKey) {
        if let Some(timer) = self.sets.remove(key).and_then(|set| set.timer) {
            self.wheel.cancel(timer);
        }
    }
}
