//! The processing of responses: matching them to queries, and selecting and storing their records.

use super::queries::PendingQuery;
use super::types::BrowserOutput;
use super::{Browser, EMPTY_LIST_THRESHOLD, RecordKey};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use rand::RngExt as _;
use reelrill_routing::{Nanos, Timestamp};
use std::collections::HashSet;

/// The fraction of the TTL after which records are requested again. It is reduced at random by up to a tenth so that
/// the queries of different routers are spread over time.
const REFRESH_FRACTION: f64 = 0.8;
/// The additional fraction for records other than the endpoint list, since a refresh of the list may include them.
const EXTRA_REFRESH_FRACTION: f64 = 0.1;
/// The maximum number of records of one name and type that are used from a response.
const MAX_RECORDS: usize = 4096;
const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// The record types that describe an endpoint.
const ENDPOINT_RECORD_TYPES: [RecordType; 2] = [RecordType::SRV, RecordType::TXT];
/// The record types that contain a host's address.
const ADDRESS_RECORD_TYPES: [RecordType; 2] = [RecordType::A, RecordType::AAAA];

/// The records of one name and type in a response, with the shortest of their TTLs in seconds.
struct MatchingRecords {
    records: Vec<RData>,
    ttl: u32,
}

fn find_records(records: &[Record], key: &RecordKey) -> MatchingRecords {
    let is_match = |r: &&Record| r.name == key.name && r.data.record_type() == key.record_type;
    let found: Vec<&Record> = records.iter().filter(is_match).take(MAX_RECORDS).collect();
    MatchingRecords {
        ttl: found.iter().map(|r| r.ttl).min().unwrap_or(0),
        records: found.into_iter().map(|r| r.data.clone()).collect(),
    }
}

/// Returns the time in seconds for which the absence of records is valid: the smaller of the SOA minimum and the TTL of
/// the SOA record (RFC 2308, 5), or 0 without an SOA record.
fn negative_ttl(message: &Message, name: &Name) -> u32 {
    let soa_ttl = message.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) if r.name.zone_of(name) => Some(soa.minimum.min(r.ttl)),
        _ => None,
    });
    soa_ttl.unwrap_or(0)
}

/// Parses a message; returns `None` if it is malformed or not a response to the query.
pub(super) fn parse_response(bytes: &[u8], pending: &PendingQuery) -> Option<Message> {
    let message = Message::from_vec(bytes).ok()?;
    let key = &pending.query.key;
    let is_question = |q: &Query| q.name == key.name && q.query_type == key.record_type;
    let is_response = message.metadata.id == pending.message_id
        && message.metadata.message_type == MessageType::Response
        && message.metadata.op_code == OpCode::Query
        && message.queries.len() == 1
        && message.queries.iter().all(is_question);
    is_response.then_some(message)
}

/// Returns whether the server processed the query successfully, including the response that there are no such records.
pub(super) fn is_success(message: &Message) -> bool {
    matches!(
        message.metadata.response_code,
        ResponseCode::NoError | ResponseCode::NXDomain
    )
}

/// Returns the endpoint names in PTR records.
fn endpoints_in(records: &[RData]) -> impl Iterator<Item = &Name> {
    records.iter().filter_map(|r| match r {
        RData::PTR(name) => Some(&name.0),
        _ => None,
    })
}

impl Browser {
    /// Processes a response: stores the requested records or their absence, stores the related additional records, and
    /// updates the claims of the affected endpoints.
    pub(super) fn process_response(
        &mut self,
        now: Timestamp,
        key: RecordKey,
        message: &Message,
        outputs: &mut Vec<BrowserOutput>,
    ) {
        let MatchingRecords { records, mut ttl } = find_records(&message.answers, &key);
        if records.is_empty() {
            ttl = negative_ttl(message, &key.name);
        }
        if key.record_type == RecordType::PTR && !self.should_accept_list(records.is_empty()) {
            self.consecutive_failures = 0;
            return self.back_off(now, key, outputs);
        }
        let mut affected: HashSet<Name> = HashSet::new();
        let mut listed: HashSet<Name> = HashSet::new();
        match key.record_type {
            RecordType::PTR => {
                listed = self.process_list(&records, outputs);
                affected.extend(listed.iter().cloned());
            }
            RecordType::SRV | RecordType::TXT => {
                affected.insert(key.name.clone());
            }
            _ => affected.extend(
                self.endpoints_by_host
                    .get(&key.name)
                    .into_iter()
                    .flatten()
                    .cloned(),
            ),
        }
        self.store_records(now, key, records, ttl);
        self.store_additionals(now, message, listed, &affected);
        let mut affected: Vec<Name> = affected.into_iter().collect();
        affected.sort();
        for name in affected {
            self.update_claim(now, &name, outputs);
        }
    }

    /// Counts consecutive empty lists, and returns whether a list is accepted. A server that has lost its zone data
    /// must not empty the router's list.
    fn should_accept_list(&mut self, is_empty: bool) -> bool {
        if !is_empty {
            self.consecutive_empty_lists = 0;
            return true;
        }
        self.consecutive_empty_lists += 1;
        self.consecutive_empty_lists >= EMPTY_LIST_THRESHOLD || self.claims.is_empty()
    }

    /// Processes the endpoint list: withdraws the claims of endpoints that are no longer listed, and returns the listed
    /// endpoints.
    fn process_list(
        &mut self,
        records: &[RData],
        outputs: &mut Vec<BrowserOutput>,
    ) -> HashSet<Name> {
        let is_in_domain = |name: &&Name| self.config.domain.zone_of(name);
        let names: HashSet<Name> = endpoints_in(records)
            .filter(is_in_domain)
            .cloned()
            .collect();
        self.counters.unrelated_records += (records.len() - names.len()) as u64;
        let is_absent = |name: &&Name| !names.contains(*name);
        let absent: Vec<Name> = self.claims.keys().filter(is_absent).cloned().collect();
        for name in absent {
            self.withdraw_claim(&name, outputs);
        }
        names
    }

    /// Stores the additional records that are related to the question (RFC 6763, 12.1): first those of the listed
    /// endpoints, then those of the hosts that the affected endpoints refer to.
    fn store_additionals(
        &mut self,
        now: Timestamp,
        message: &Message,
        listed: HashSet<Name>,
        affected: &HashSet<Name>,
    ) {
        let mut used = 0;
        for name in listed {
            used += self.store_additionals_of(now, message, &name, ENDPOINT_RECORD_TYPES);
        }
        let targets = affected.iter().filter_map(|name| self.service_target(name));
        let hosts: HashSet<Name> = targets
            .map(|target| target.host)
            .filter(|host| self.config.domain.zone_of(host))
            .collect();
        for host in hosts {
            used += self.store_additionals_of(now, message, &host, ADDRESS_RECORD_TYPES);
        }
        self.counters.unrelated_records += message.additionals.len().saturating_sub(used) as u64;
    }

    /// Stores the additional records of one name, and returns their number.
    fn store_additionals_of(
        &mut self,
        now: Timestamp,
        message: &Message,
        name: &Name,
        record_types: [RecordType; 2],
    ) -> usize {
        let mut used = 0;
        for record_type in record_types {
            let key = RecordKey::new(name, record_type);
            let MatchingRecords { records, ttl } = find_records(&message.additionals, &key);
            used += records.len();
            if !records.is_empty() {
                self.requested.remove(&key);
                self.queue.retain(|queued| queued.key != key);
                self.store_records(now, key, records, ttl);
            }
        }
        used
    }

    /// Stores a set of records, and sets the time at which it is requested again.
    fn store_records(
        &mut self,
        now: Timestamp,
        key: RecordKey,
        records: Vec<RData>,
        ttl_seconds: u32,
    ) {
        let (min_ttl, max_ttl) = self.config.ttl_range;
        let ttl = (u64::from(ttl_seconds) * NANOS_PER_SECOND).clamp(min_ttl, max_ttl);
        let extra = match key.record_type {
            RecordType::PTR => 0.0,
            _ => EXTRA_REFRESH_FRACTION,
        };
        let fraction = (REFRESH_FRACTION + extra) * self.random.random_range(0.9..1.0);
        let refresh_at = now.saturating_add((ttl as f64 * fraction) as Nanos);
        self.refresh_at(refresh_at, key.clone());
        self.deferred_refreshes.remove(&key);
        let set = self.record_sets.entry(key).or_default();
        set.records = records;
        set.expires_at = now.saturating_add(ttl);
    }
}
