//! The browser's queries: the queue, the queries in flight, the query budget, and the handling of failures.

use super::types::{BrowserOutput, DnsQuery};
use super::{Browser, RecordKey, TimerEvent};
use crate::RegistryInput;
use crate::wheel::TimerHandle;
use hickory_proto::op::{Edns, Message, Query};
use hickory_proto::rr::RecordType;
use rand::RngExt as _;
use reelrill_routing::{Nanos, Timestamp};

/// The largest UDP response that the browser accepts, in bytes (EDNS, RFC 6891). Servers truncate larger responses, and
/// the query is then repeated over TCP.
const MAX_UDP_PAYLOAD: u16 = 1232;
/// The upper bound of the first pause after a failure, in nanoseconds, unless the minimum TTL is longer. Each pause is
/// drawn at random between half of its upper bound and the whole.
const MIN_BACKOFF: Nanos = 100_000_000;
/// The longest upper bound of a pause while the source fails, in nanoseconds.
const MAX_BACKOFF: Nanos = 30_000_000_000;
/// The maximum number of times that the upper bound of the pause doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// The maximum number of queries that wait for the query budget.
const MAX_QUEUED: usize = 16_384;
const NANOS_PER_SECOND: f64 = 1e9;

/// A query that waits for the query budget.
#[derive(Debug)]
pub(super) struct QueuedQuery {
    pub(super) key: RecordKey,
    /// The index of the server in the configuration.
    pub(super) server_index: usize,
    /// The number of servers tried so far, including this one.
    pub(super) attempt: usize,
    pub(super) is_tcp: bool,
}

/// A query in flight.
#[derive(Debug)]
pub(super) struct PendingQuery {
    pub(super) query: QueuedQuery,
    /// The id in the DNS message.
    pub(super) message_id: u16,
    timer: TimerHandle,
}

fn query_message(key: &RecordKey, id: u16) -> Message {
    let mut message = Message::query();
    message.metadata.id = id;
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(key.name.clone(), key.record_type));
    let mut edns = Edns::new();
    edns.set_max_payload(MAX_UDP_PAYLOAD);
    message.set_edns(edns);
    message
}

impl Browser {
    /// Queues a query for records unless one is queued or in flight, or the queue is full.
    pub(super) fn request_records(&mut self, key: RecordKey) {
        if self.queue.len() < MAX_QUEUED && self.requested.insert(key.clone()) {
            self.queue.push_back(QueuedQuery {
                key,
                server_index: 0,
                attempt: 1,
                is_tcp: false,
            });
        }
    }

    /// Ends a query that received a response, and returns it.
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

    /// Queues a failed query for the next server, or backs off if all servers have been tried.
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
                server_index: (failed.server_index + 1) % self.config.servers.len(),
                attempt: failed.attempt + 1,
                is_tcp: false,
                ..failed
            });
            return;
        }
        self.requested.remove(&failed.key);
        self.back_off(now, failed.key, outputs);
    }

    /// Reports the source as failed, and requests the records again after an increasing pause.
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
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let max_pause = (min_ttl.max(MIN_BACKOFF) << doublings).min(MAX_BACKOFF);
        self.consecutive_failures += 1;
        self.is_list_failing |= key.record_type == RecordType::PTR;
        let pause = (max_pause as f64 * self.random.random_range(0.5..1.0)) as Nanos;
        self.refresh_at(now.saturating_add(pause), key);
    }

    /// Sends queued queries as far as the query budget allows.
    pub(super) fn send_queued(&mut self, now: Timestamp, outputs: &mut Vec<BrowserOutput>) {
        let budget = self.config.max_queries_per_second.max(1.0);
        let elapsed = now.saturating_sub(self.tokens_updated_at) as f64 / NANOS_PER_SECOND;
        self.tokens = (self.tokens + elapsed * budget).min(budget);
        self.tokens_updated_at = now;
        while self.tokens >= 1.0
            && let Some(query) = self.queue.pop_front()
        {
            if query.server_index >= self.config.servers.len() {
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
        let Ok(message) = query_message(&query.key, message_id).to_vec() else {
            return;
        };
        self.last_query_id += 1;
        let id = self.last_query_id;
        let timeout_at = now.saturating_add(self.config.query_timeout);
        let timer = self.wheel.insert(timeout_at, TimerEvent::QueryTimedOut(id));
        outputs.push(BrowserOutput::SendQuery(DnsQuery {
            id,
            server: self.config.servers[query.server_index],
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
