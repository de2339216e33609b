//! Converting resource records into claims: SRV, TXT and address records of an endpoint become one [`Claim`].

use super::types::BrowserOutput;
use super::{Browser, RecordKey};
use crate::{Claim, ClaimedState, RegistryInput, Withdrawal};
use hickory_proto::rr::{Name, RData, RecordType};
use reelrill_routing::Timestamp;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// The weight in an SRV record that counts as the usual capacity.
const USUAL_WEIGHT: f64 = 100.0;
const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// The version of a TXT record's pairs that is understood (RFC 6763, 6.7).
const TXT_VERSION: &str = "1";

/// What an SRV record states.
pub(super) struct ServiceTarget {
    pub(super) host: Name,
    port: u16,
    weight: u16,
    priority: u16,
}

/// An endpoint's name, as the registry knows it: DNS names are the same in upper and lower case.
fn registry_name(endpoint: &Name) -> Arc<str> {
    endpoint.to_lowercase().to_ascii().into()
}

/// The pairs of a TXT record (RFC 6763, 6): keys in any case, the first of a key counts. Another version of them
/// states nothing.
fn text_pairs(records: &[RData]) -> HashMap<String, String> {
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

/// 100 is the usual weight; 0 states nothing of it (RFC 2782).
fn relative_weight(weight: u16) -> f64 {
    match weight {
        0 => 1.0,
        weight => f64::from(weight) / USUAL_WEIGHT,
    }
}

impl Browser {
    /// What the SRV record of an endpoint states, if there is one.
    pub(super) fn service_target(&self, endpoint: &Name) -> Option<ServiceTarget> {
        let set = self.sets.get(&RecordKey::new(endpoint, RecordType::SRV))?;
        set.records.iter().find_map(|r| match r {
            RData::SRV(srv) => Some(ServiceTarget {
                host: srv.target.clone(),
                port: srv.port,
                weight: srv.weight,
                priority: srv.priority,
            }),
            _ => None,
        })
    }

    /// Withdraws an endpoint's claim, and drops its records and those of a host that no other endpoint names.
    pub(super) fn withdraw_claim(&mut self, endpoint: &Name, outputs: &mut Vec<BrowserOutput>) {
        if self.claimed.remove(endpoint).is_some() {
            outputs.push(BrowserOutput::UpdateRegistry(RegistryInput::Withdrawn {
                source: self.source,
                name: registry_name(endpoint),
                withdrawal: Withdrawal::Absent,
            }));
        }
        if let Some(target) = self.service_target(endpoint) {
            self.release_host(&target.host, endpoint);
        }
        for kind in [RecordType::SRV, RecordType::TXT] {
            self.drop_set(&RecordKey::new(endpoint, kind));
        }
    }

    fn release_host(&mut self, host: &Name, endpoint: &Name) {
        let Some(endpoints) = self.hosted.get_mut(host) else {
            return;
        };
        endpoints.remove(endpoint);
        if endpoints.is_empty() {
            self.hosted.remove(host);
            for kind in [RecordType::A, RecordType::AAAA] {
                self.drop_set(&RecordKey::new(host, kind));
            }
        }
    }

    /// Claims an endpoint by its records, or requests those that are missing.
    pub(super) fn update_claim(
        &mut self,
        now: Timestamp,
        endpoint: &Name,
        outputs: &mut Vec<BrowserOutput>,
    ) {
        let Some((pairs, records_until)) = self.endpoint_records(endpoint) else {
            return;
        };
        let Some(target) = self.service_target(endpoint) else {
            // The server states that there is no such endpoint.
            return self.withdraw_claim(endpoint, outputs);
        };
        if !self.config.domain.zone_of(&target.host) {
            self.counters.unrelated_records += 1;
            return;
        }
        let endpoints = self.hosted.entry(target.host.clone()).or_default();
        endpoints.insert(endpoint.clone());
        let Some((ip, address_until)) = self.address_of(&target.host) else {
            return self.request_addresses(now, &target.host);
        };
        let until = records_until.min(address_until);
        let Some(claim) = self.claim_of(&target, ip, &pairs, until) else {
            self.counters.incomplete_endpoints += 1;
            return;
        };
        self.claimed.insert(endpoint.clone(), claim.clone());
        outputs.push(BrowserOutput::UpdateRegistry(RegistryInput::Claimed {
            source: self.source,
            name: registry_name(endpoint),
            claim,
        }));
    }

    /// The pairs of an endpoint's TXT record, and until when this and its SRV record hold. If either was not asked for
    /// yet, it is requested.
    fn endpoint_records(
        &mut self,
        endpoint: &Name,
    ) -> Option<(HashMap<String, String>, Timestamp)> {
        let srv_key = RecordKey::new(endpoint, RecordType::SRV);
        let txt_key = RecordKey::new(endpoint, RecordType::TXT);
        let srv = self.sets.get(&srv_key).filter(|set| set.until > 0);
        let txt = self.sets.get(&txt_key).filter(|set| set.until > 0);
        if let (Some(srv), Some(txt)) = (srv, txt) {
            return Some((text_pairs(&txt.records), srv.until.min(txt.until)));
        }
        let (has_srv, has_txt) = (srv.is_some(), txt.is_some());
        if !has_srv {
            self.request(srv_key);
        }
        if !has_txt {
            self.request(txt_key);
        }
        None
    }

    /// A host's address, and until when it holds.
    fn address_of(&self, host: &Name) -> Option<(IpAddr, Timestamp)> {
        let keys = [RecordType::A, RecordType::AAAA].map(|kind| RecordKey::new(host, kind));
        let sets = keys.iter().filter_map(|key| self.sets.get(key));
        let mut addresses = sets.filter_map(|set| {
            let ip = set.records.iter().find_map(|r| match r {
                RData::A(a) => Some(IpAddr::V4(a.0)),
                RData::AAAA(a) => Some(IpAddr::V6(a.0)),
                _ => None,
            });
            ip.map(|ip| (ip, set.until))
        });
        addresses.next()
    }

    /// Requests a host's addresses, unless it is known that there are none.
    fn request_addresses(&mut self, now: Timestamp, host: &Name) {
        for kind in [RecordType::A, RecordType::AAAA] {
            let key = RecordKey::new(host, kind);
            if self.sets.get(&key).is_none_or(|set| set.until <= now) {
                self.request(key);
            }
        }
    }

    /// The claim that an endpoint's records make; none: they state no replica set.
    fn claim_of(
        &self,
        target: &ServiceTarget,
        ip: IpAddr,
        pairs: &HashMap<String, String>,
        until: Timestamp,
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
            expires_at: Some(until),
        })
    }
}
