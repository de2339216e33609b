//! A fake DNS server for service discovery by DNS (RFC 6763): a changeable zone served over UDP and TCP, with fault
//! modes. [`DnsZone::respond`] returns the same responses without sockets.

use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, PTR, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

/// The delay of UDP responses in [`DnsFaultMode::Delayed`].
const RESPONSE_DELAY: Duration = Duration::from_millis(150);

/// The number of attempts to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS: usize = 100;

/// Describes the service instance (RFC 6763) of one endpoint in the zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceInstance {
    /// The address of the endpoint, for the SRV record and the A or AAAA record.
    pub address: SocketAddr,
    /// The priority in the SRV record.
    pub priority: u16,
    /// The weight in the SRV record.
    pub weight: u16,
    /// The keys and values of the TXT record.
    pub txt_pairs: Vec<(String, String)>,
    /// The time to live of all records, in seconds.
    pub ttl: u32,
}

impl ServiceInstance {
    /// Creates an instance in state `ready` with the given endpoint uid and replica set.
    pub fn new(uid: &str, address: SocketAddr, replica_set: u32) -> ServiceInstance {
        let pair = |key: &str, value: String| (key.to_owned(), value);
        let txt_pairs = vec![
            pair("txtvers", "1".into()),
            pair("uid", uid.into()),
            pair("az", "a".into()),
            pair("group", replica_set.to_string()),
            pair("state", "ready".into()),
            pair("boot_ms", "0".into()),
        ];
        ServiceInstance {
            address,
            priority: 0,
            weight: 100,
            txt_pairs,
            ttl: 1,
        }
    }

    /// Replaces the TXT pair of this key, or removes it if `value` is `None`.
    #[must_use]
    pub fn with_txt(mut self, key: &str, value: Option<&str>) -> ServiceInstance {
        self.txt_pairs.retain(|(existing, _)| existing != key);
        self.txt_pairs
            .extend(value.map(|value| (key.to_owned(), value.to_owned())));
        self
    }
}

/// Selects how the server responds to queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DnsFaultMode {
    /// Sends the answers, with the related SRV, TXT and address records in the additional section.
    #[default]
    Normal,
    /// Sends the answers without additional records.
    NoAdditionalRecords,
    /// Drops every other query, starting with the first.
    DropEveryOtherQuery,
    /// Sends UDP responses after a delay of 150 ms.
    Delayed,
    /// Sends the response code SERVFAIL.
    ServerFailure,
    /// Sends no response.
    NoResponse,
    /// Sends the response code NXDOMAIN, with an SOA record that limits negative caching.
    NxDomain,
    /// Sends no answers and no error, with the same SOA record (NODATA, RFC 2308).
    NoData,
    /// Sends truncated responses without records over UDP, and whole ones over TCP.
    Truncated,
    /// Sends responses with another id than the query's.
    WrongId,
    /// Sends responses with another question than the query's.
    WrongQuestion,
    /// Sends the correct records together with unrelated ones, as in cache poisoning.
    UnrelatedRecords,
    /// Sends bytes that are not a DNS message.
    InvalidMessage,
    /// Sends a record whose compressed name points to itself.
    CompressionLoop,
}

/// Holds the service instances of a zone and the fault mode of its server.
#[derive(Debug, Clone, Default)]
pub struct DnsZone {
    /// The service instances by the first label of their names.
    pub instances: BTreeMap<String, ServiceInstance>,
    /// The fault mode of all further responses.
    pub fault_mode: DnsFaultMode,
    /// The number of queries received.
    pub query_count: usize,
}

/// The name of the service in a [`DnsZone`].
pub const SERVICE: &str = "_postgresql._tcp.qianzhen-dc.example.org.";
/// The domain of the service.
pub const DOMAIN: &str = "qianzhen-dc.example.org.";
/// A subtype of the service, which lists the same instances (RFC 6763, section 7.1).
pub const SUBTYPE: &str = "_cargo._sub._postgresql._tcp.qianzhen-dc.example.org.";

fn name(text: &str) -> Name {
    Name::from_ascii(text).expect("parse a DNS name")
}

impl DnsZone {
    /// Returns all records of the zone.
    fn records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for (label, instance) in &self.instances {
            let instance_name = name(&format!("{label}.{SERVICE}"));
            let host = name(&format!("{label}.{DOMAIN}"));
            let texts = instance
                .txt_pairs
                .iter()
                .map(|(key, value)| format!("{key}={value}"))
                .collect();
            let address = match instance.address.ip() {
                IpAddr::V4(ip) => RData::A(A(ip)),
                IpAddr::V6(ip) => RData::AAAA(AAAA(ip)),
            };
            let srv = SRV::new(
                instance.priority,
                instance.weight,
                instance.address.port(),
                host.clone(),
            );
            for service in [SERVICE, SUBTYPE] {
                records.push(Record::from_rdata(
                    name(service),
                    instance.ttl,
                    RData::PTR(PTR(instance_name.clone())),
                ));
            }
            records.push(Record::from_rdata(
                instance_name.clone(),
                instance.ttl,
                RData::SRV(srv),
            ));
            records.push(Record::from_rdata(
                instance_name,
                instance.ttl,
                RData::TXT(TXT::new(texts)),
            ));
            records.push(Record::from_rdata(host, instance.ttl, address));
        }
        records
    }

    /// Returns the response to a query received over UDP or TCP; `None` if no response is sent.
    pub fn respond(&mut self, bytes: &[u8], is_tcp: bool) -> Option<Vec<u8>> {
        self.query_count += 1;
        let query = Message::from_vec(bytes).ok()?;
        let question = query.queries.first()?.clone();
        let mut response = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
        response.metadata.authoritative = true;
        response.add_query(question.clone());
        let records = self.records();
        let is_answer = |record: &&Record| {
            record.name == question.name && record.data.record_type() == question.query_type
        };
        let soa = SOA::new(name(DOMAIN), name(DOMAIN), 1, 1, 1, 1, 1);
        let soa = Record::from_rdata(name(DOMAIN), 1, RData::SOA(soa));
        match self.fault_mode {
            DnsFaultMode::NoResponse => return None,
            DnsFaultMode::DropEveryOtherQuery if self.query_count % 2 == 1 => return None,
            DnsFaultMode::InvalidMessage => return Some(b"no message at all".to_vec()),
            DnsFaultMode::CompressionLoop => {
                let mut bytes = response.to_vec().ok()?;
                // The low byte of the answer count in the header.
                bytes[7] = 1;
                // A PTR record whose name is a compression pointer to itself (RFC 1035, section 4.1.4).
                let offset = bytes.len() as u16;
                bytes.extend_from_slice(&(0xc000 | offset).to_be_bytes());
                bytes.extend_from_slice(&[0, 12, 0, 1, 0, 0, 0, 1, 0, 0]);
                return Some(bytes);
            }
            DnsFaultMode::ServerFailure => response.metadata.response_code = ResponseCode::ServFail,
            DnsFaultMode::NxDomain | DnsFaultMode::NoData => {
                if self.fault_mode == DnsFaultMode::NxDomain {
                    response.metadata.response_code = ResponseCode::NXDomain;
                }
                response.add_authority(soa);
            }
            DnsFaultMode::Truncated if !is_tcp => response.metadata.truncation = true,
            fault_mode => {
                response.add_answers(records.iter().filter(is_answer).cloned());
                if response.answers.is_empty() {
                    response.add_authority(soa);
                }
                if fault_mode != DnsFaultMode::NoAdditionalRecords && !response.answers.is_empty() {
                    let additional = records.iter().filter(|record| {
                        !is_answer(record) && record.data.record_type() != RecordType::PTR
                    });
                    response.add_additionals(additional.cloned());
                }
                if fault_mode == DnsFaultMode::UnrelatedRecords {
                    let unrelated = name("evil.example.net.");
                    let srv = RData::SRV(SRV::new(0, 100, 9, unrelated.clone()));
                    response.add_answer(Record::from_rdata(
                        name(SERVICE),
                        60,
                        RData::PTR(PTR(unrelated.clone())),
                    ));
                    response.add_additional(Record::from_rdata(unrelated.clone(), 60, srv));
                    response.add_additional(Record::from_rdata(
                        unrelated,
                        60,
                        RData::A(A(Ipv4Addr::LOCALHOST)),
                    ));
                }
                if fault_mode == DnsFaultMode::WrongId {
                    response.metadata.id ^= 1;
                }
                if fault_mode == DnsFaultMode::WrongQuestion {
                    response.queries = vec![Query::query(
                        name("other.example.org."),
                        question.query_type,
                    )];
                }
            }
        }
        response.to_vec().ok()
    }
}

/// A fake DNS server of a zone, on the same port number for UDP and TCP.
#[derive(Debug, Clone)]
pub struct FakeDnsServer {
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The zone, with the fault mode of the server.
    pub zone: SharedState<DnsZone>,
}

impl FakeDnsServer {
    /// Starts the server on a free loopback port.
    ///
    /// # Panics
    /// If no port is found that is free for both UDP and TCP.
    pub fn start(zone: DnsZone) -> FakeDnsServer {
        let (udp, tcp) = (0..PORT_ATTEMPTS)
            .find_map(|_| {
                let udp = UdpSocket::bind("127.0.0.1:0").ok()?;
                let tcp = TcpListener::bind(udp.local_addr().ok()?).ok()?;
                Some((udp, tcp))
            })
            .expect("bind the same port for UDP and TCP");
        let (address, zone) = (
            udp.local_addr().expect("local address of the DNS server"),
            SharedState::new(zone),
        );
        let udp_zone = zone.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            while let Ok((len, sender)) = udp.recv_from(&mut bytes) {
                let (response, fault_mode) =
                    udp_zone.with(|zone| (zone.respond(&bytes[..len], false), zone.fault_mode));
                if fault_mode == DnsFaultMode::Delayed {
                    std::thread::sleep(RESPONSE_DELAY);
                }
                if let Some(response) = response {
                    let _ = udp.send_to(&response, sender);
                }
            }
        });
        let tcp_zone = zone.clone();
        std::thread::spawn(move || {
            for mut stream in tcp.incoming().flatten() {
                let zone = tcp_zone.clone();
                std::thread::spawn(move || -> Option<()> {
                    loop {
                        let mut len = [0; 2];
                        stream.read_exact(&mut len).ok()?;
                        let mut bytes = vec![0; u16::from_be_bytes(len).into()];
                        stream.read_exact(&mut bytes).ok()?;
                        let response = zone.with(|zone| zone.respond(&bytes, true))?;
                        stream
                            .write_all(
                                &[&(response.len() as u16).to_be_bytes(), &response[..]].concat(),
                            )
                            .ok()?;
                    }
                });
            }
        });
        FakeDnsServer { address, zone }
    }

    /// Waits for this many further queries; returns whether they arrive within [`WAIT_TIMEOUT`].
    pub fn wait_for_queries(&self, count: usize) -> bool {
        self.wait_for_queries_within(count, WAIT_TIMEOUT)
    }

    /// Waits for this many further queries; returns whether they arrive within `timeout`.
    pub fn wait_for_queries_within(&self, count: usize, timeout: Duration) -> bool {
        let previous = self.zone.with(|zone| zone.query_count);
        self.zone
            .wait_for(timeout, |zone| {
                (zone.query_count >= previous + count).then_some(())
            })
            .is_some()
    }
}
