//! Converts the SRV, TXT and address records of an endpoint into one [`Claim`].

use super::types::BrowserOutput;
use super::{Browser, RecordKey};
use crate::{Claim, ClaimedState, RegistryInput, Withdrawal};
use hickory_proto::rr::{Name, RData, RecordType};
use reelrill_routing::Timestamp;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// The weight in an SRV record that stands for the usual capacity.
const USUAL_WEIGHT: f64 = 100.0;
const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// The supported version of the pairs in a TXT record (RFC 6763, 6.7).
const TXT_VERSION: &str = "1";

/// The contents of an SRV record.
pub(super) struct ServiceTarget {
    pub(super) host: Name,
    port: u16,
    weight: u16,
    priority: u16,
}

/// Returns the name of an endpoint for the registry, in lower case since DNS names are case-insensitive.
fn registry_name(endpoint: &Name) -> Arc<str> {
    endpoint.to_lowercase().to_ascii().into()
}

/// Parses the pairs of a TXT record (RFC 6763, 6). Keys are case-insensitive, and the first pair of a key is used.
/// Pairs of an unsupported version are ignored.
fn parse_txt_pairs(records: &[RData]) -> HashMap<String, String> {
    let mut pairs = HashMap::new();
    for record in records {
        let RData::TXT(txt) = record else { continue };
        for bytes in &txt.txt_data {
            let text = std::str::from_utf8(bytes).ok();
            if let Some((key, value)) = text.and_then(|text| text.split_once('=')) {
                let entry = pairs.entry(key.to_ascii_lowercase());
                entry.or_insert_with(|| value.to_owned());
            }
        }
    }
    match pairs.get("txtvers") {
        Some(version) if version != TXT_VERSION => HashMap::new(),
        _ => pairs,
    }
}

/// Converts an SRV weight into a relative capacity. Weight 100 means 1, and so does 0, which states no preference
/// (RFC 2782).
fn relative_weight(weight: u16) -> f64 {
    match weight {
        0 => 1.0,
        weight => f64::from(weight) / USUAL_WEIGHT,
    }
}

impl Browser {
    /// Returns the contents of an endpoint's SRV record, if there is one.
    pub(super) fn service_target(&self, endpoint: &Name) -> Option<ServiceTarget> {
        let set = self
            .record_sets
            .get(&RecordKey::new(endpoint, RecordType::SRV))?;
        set.records.iter().find_map(|record| match record {
            RData::SRV(srv) => Some(ServiceTarget {
                host: srv.target.clone(),
                port: srv.port,
                weight: srv.weight,
                priority: srv.priority,
            }),
            _ => None,
        })
    }

    /// Withdraws an endpoint's claim, and drops its records and those of its host if no other endpoint uses the host.
    pub(super) fn withdraw_claim(&mut self, endpoint: &Name, outputs: &mut Vec<BrowserOutput>) {
        if self.claims.remove(endpoint).is_some() {
            outputs.push(BrowserOutput::UpdateRegistry(RegistryInput::Withdrawn {
                source: self.source,
                name: registry_name(endpoint),
                withdrawal: Withdrawal::Absent,
            }));
        }
        if let Some(target) = self.service_target(endpoint) {
            self.release_host(&target.host, endpoint);
        }
        for record_type in [RecordType::SRV, RecordType::TXT] {
            self.drop_record_set(&RecordKey::new(endpoint, record_type));
        }
    }

    fn release_host(&mut self, host: &Name, endpoint: &Name) {
        let Some(endpoints) = self.endpoints_by_host.get_mut(host) else {
            return;
        };
        endpoints.remove(endpoint);
        if endpoints.is_empty() {
            self.endpoints_by_host.remove(host);
            for record_type in [RecordType::A, RecordType::AAAA] {
                self.drop_record_set(&RecordKey::new(host, record_type));
            }
        }
    }

    /// Updates an endpoint's claim from its records, or requests the missing records.
    pub(super) fn update_claim(
        &mut self,
        now: Timestamp,
        endpoint: &Name,
        outputs: &mut Vec<BrowserOutput>,
    ) {
        let Some((pairs, records_expire_at)) = self.endpoint_records(endpoint) else {
            return;
        };
        let Some(target) = self.service_target(endpoint) else {
            // The server reported that the endpoint has no SRV record.
            return self.withdraw_claim(endpoint, outputs);
        };
        if !self.config.domain.zone_of(&target.host) {
            self.counters.unrelated_records += 1;
            return;
        }
        let endpoints = self
            .endpoints_by_host
            .entry(target.host.clone())
            .or_default();
        endpoints.insert(endpoint.clone());
        let Some((ip, address_expires_at)) = self.address_of(&target.host) else {
            return self.request_addresses(now, &target.host);
        };
        let expires_at = records_expire_at.min(address_expires_at);
        let Some(claim) = self.build_claim(&target, ip, &pairs, expires_at) else {
            self.counters.incomplete_endpoints += 1;
            return;
        };
        self.claims.insert(endpoint.clone(), claim.clone());
        outputs.push(BrowserOutput::UpdateRegistry(RegistryInput::Claimed {
            source: self.source,
            name: registry_name(endpoint),
            claim,
        }));
    }

    /// Returns the pairs of an endpoint's TXT record, and the time until which both this and its SRV record are valid.
    /// Requests records that have not been received yet.
    fn endpoint_records(
        &mut self,
        endpoint: &Name,
    ) -> Option<(HashMap<String, String>, Timestamp)> {
        let srv_key = RecordKey::new(endpoint, RecordType::SRV);
        let txt_key = RecordKey::new(endpoint, RecordType::TXT);
        let srv = self
            .record_sets
            .get(&srv_key)
            .filter(|set| set.expires_at > 0);
        let txt = self
            .record_sets
            .get(&txt_key)
            .filter(|set| set.expires_at > 0);
        if let (Some(srv), Some(txt)) = (srv, txt) {
            return Some((
                parse_txt_pairs(&txt.records),
                srv.expires_at.min(txt.expires_at),
            ));
        }
        let (has_srv, has_txt) = (srv.is_some(), txt.is_some());
        if !has_srv {
            self.request_records(srv_key);
        }
        if !has_txt {
            self.request_records(txt_key);
        }
        None
    }

    /// Returns a host's address, and the time until which it is valid.
    fn address_of(&self, host: &Name) -> Option<(IpAddr, Timestamp)> {
        let keys =
            [RecordType::A, RecordType::AAAA].map(|record_type| RecordKey::new(host, record_type));
        let sets = keys.iter().filter_map(|key| self.record_sets.get(key));
        let mut addresses = sets.filter_map(|set| {
            let ip = set.records.iter().find_map(|record| match record {
                RData::A(a) => Some(IpAddr::V4(a.0)),
                RData::AAAA(a) => Some(IpAddr::V6(a.0)),
                _ => None,
            });
            ip.map(|ip| (ip, set.expires_at))
        });
        addresses.next()
    }

    /// Requests a host's addresses unless a valid response stated that there are none.
    fn request_addresses(&mut self, now: Timestamp, host: &Name) {
        for record_type in [RecordType::A, RecordType::AAAA] {
            let key = RecordKey::new(host, record_type);
            if self
                .record_sets
                .get(&key)
                .is_none_or(|set| set.expires_at <= now)
            {
                self.request_records(key);
            }
        }
    }

    /// Builds the claim from an endpoint's records; `None` if they state no replica set.
    fn build_claim(
        &self,
        target: &ServiceTarget,
        ip: IpAddr,
        pairs: &HashMap<String, String>,
        expires_at: Timestamp,
    ) -> Option<Claim> {
        let replica_set = pairs.get("group")?.parse().ok()?;
        let zone = pairs
            .get("az")
            .and_then(|az| self.config.zones.iter().position(|zone| zone == az));
        let started_ms: u64 = pairs
            .get("boot_ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0);
        let is_ready = pairs.get("state").is_none_or(|state| state == "ready");
        Some(Claim {
            uid: pairs.get("uid").map(|uid| Arc::from(&**uid)),
            address: SocketAddr::new(ip, target.port),
            replica_set,
            zone: zone.unwrap_or(self.config.zones.len()) as u32,
            state: if is_ready {
                ClaimedState::Ready
            } else {
                ClaimedState::Draining
            },
            started_at: started_ms.saturating_mul(NANOS_PER_MILLISECOND),
            version: 0,
            weight: relative_weight(target.weight),
            tier: target.priority,
            expires_at: Some(expires_at),
        })
    }
}
