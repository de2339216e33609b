//! The browser's queries: which wait, which are in flight, the budget that paces them, and what follows a failure.

use super::types::{BrowserOutput, DnsQuery};
use super::{Browser, RecordKey, TimerEvent};
use crate::RegistryInput;
use crate::wheel::TimerHandle;
use hickory_proto::op::{Edns, Message, Query};
use hickory_proto::rr::RecordType;
use rand::RngExt as _;
use reelrill_routing::{Nanos, Timestamp};

/// The largest response over UDP that the client takes, in bytes (EDNS, RFC 6891). Servers truncate a larger one, and
/// the query is repeated over TCP.
const MAX_UDP_PAYLOAD: u16 = 1232;
/// The shortest first pause after a failure.
const MIN_BACKOFF: Nanos = 100_000_000;
/// The longest pause between attempts at a source that fails.
const MAX_BACKOFF: Nanos = 30_000_000_000;
/// How often the pause doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The most queries that wait for the budget.
const MAX_QUEUED: usize = 16_384;
const NANOS_PER_SECOND: f64 = 1e9;

/// A query that waits for the budget.
#[derive(Debug)]
pub(super) struct QueuedQuery {
    pub(super) key: RecordKey,
    /// The server's place in the configuration.
    pub(super) server: usize,
    /// Servers tried so far, this one included.
    pub(super) attempt: usize,
    pub(super) is_tcp: bool,
}

/// A query in flight.
#[derive(Debug)]
pub(super) struct PendingQuery {
    pub(super) query: QueuedQuery,
    /// The id in the message.
    pub(super) message_id: u16,
    timer: TimerHandle,
}

fn message_for(key: &RecordKey, id: u16) -> Message {
    let mut message = Message::query();
    message.metadata.id = id;
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(key.name.clone(), key.kind));
    let mut edns = Edns::new();
    edns.set_max_payload(MAX_UDP_PAYLOAD);
    message.set_edns(edns);
    message
}

impl Browser {
    /// Queues a query for these records, unless there is one.
    pub(super) fn request(&mut self, key: RecordKey) {
        if self.queue.len() < MAX_QUEUED && self.requested.insert(key.clone()) {
            self.queue.push_back(QueuedQuery {
                key,
                server: 0,
                attempt: 1,
                is_tcp: false,
            });
        }
    }

    /// Ends a query that was answered.
    pub(super) fn finish_query(
        &mut self,
        id: u64,
        outputs: &mut Vec<BrowserOutput>,
    ) -> Option<QueuedQuery> {
        let pending = self.pending.remove(&id)?;
        self.wheel.cancel(pending.timer);
        outputs.push(BrowserOutput::CancelQuery(id));
        Some(pending.query)
    }

    /// Queues a query that failed for the next server, or gives up for now.
    pub(super) fn try_next_server(
        &mut self,
        now: Timestamp,
        id: u64,
        outputs: &mut Vec<BrowserOutput>,
    ) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        self.wheel.cancel(pending.timer);
        let failed = pending.query;
        if failed.attempt < self.config.servers.len() {
            self.queue.push_back(QueuedQuery {
                server: (failed.server + 1) % self.config.servers.len(),
                attempt: failed.attempt + 1,
                is_tcp: false,
                ..failed
            });
            return;
        }
        self.requested.remove(&failed.key);
        self.back_off(now, failed.key, outputs);
    }

    /// Nothing new could be learnt; the records are requested again after a pause that grows.
    pub(super) fn back_off(
        &mut self,
        now: Timestamp,
        key: RecordKey,
        outputs: &mut Vec<BrowserOutput>,
    ) {
        outputs.push(BrowserOutput::UpdateRegistry(RegistryInput::SourceFailed {
            source: self.source,
        }));
        let (min_ttl, _) = self.config.ttl_range;
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let longest = (min_ttl.max(MIN_BACKOFF) << doublings).min(MAX_BACKOFF);
        self.failures += 1;
        self.is_failing |= key.kind == RecordType::PTR;
        let pause = (longest as f64 * self.random.random_range(0.5..1.0)) as Nanos;
        self.refresh_at(now.saturating_add(pause), key);
    }

    /// Sends what is queued, as far as the budget goes.
    pub(super) fn send_queued(&mut self, now: Timestamp, outputs: &mut Vec<BrowserOutput>) {
        let budget = self.config.max_queries_per_second.max(1.0);
        let elapsed = now.saturating_sub(self.tokens_updated_at) as f64 / NANOS_PER_SECOND;
        self.tokens = (self.tokens + elapsed * budget).min(budget);
        self.tokens_updated_at = now;
        while self.tokens >= 1.0
            && let Some(query) = self.queue.pop_front()
        {
            if query.server >= self.config.servers.len() {
                return;
            }
            self.send(now, query, outputs);
        }
        if !self.queue.is_empty() && !self.has_budget_timer {
            self.has_budget_timer = true;
            let pause = (NANOS_PER_SECOND / budget) as Nanos;
            self.wheel
                .insert(now.saturating_add(pause), TimerEvent::BudgetRefilled);
        }
    }

    fn send(&mut self, now: Timestamp, query: QueuedQuery, outputs: &mut Vec<BrowserOutput>) {
        self.tokens -= 1.0;
        self.counters.queries_sent += 1;
        self.counters.tcp_queries += u64::from(query.is_tcp);
        let message_id = self.random.random();
        let Ok(message) = message_for(&query.key, message_id).to_vec() else {
            return;
        };
        self.last_query_id += 1;
        let id = self.last_query_id;
        let timeout_at = now.saturating_add(self.config.query_timeout);
        let timer = self.wheel.insert(timeout_at, TimerEvent::QueryTimedOut(id));
        outputs.push(BrowserOutput::SendQuery(DnsQuery {
            id,
            server: self.config.servers[query.server],
            is_tcp: query.is_tcp,
            message,
        }));
        let pending = PendingQuery {
            query,
            message_id,
            timer,
        };
        self.pending.insert(id, pending);
    }
}
