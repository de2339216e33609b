//! A DNS server for service records: a zone that changes, over UDP and TCP, with faults by script. What it answers can
//! also be had without sockets.

use crate::shared_state::{SharedState, WAIT_TIMEOUT};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, PTR, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

/// An instance of the service, as its records tell it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceInstance {
    /// Where it listens.
    pub address: SocketAddr,
    /// SRV.
    pub priority: u16,
    /// SRV.
    pub weight: u16,
    /// Pairs of TXT.
    pub txt_pairs: Vec<(String, String)>,
    /// Of all its records, in seconds.
    pub ttl: u32,
}

impl ServiceInstance {
    /// An instance in service, with its own name and group.
    pub fn new(uid: &str, address: SocketAddr, group: u32) -> ServiceInstance {
        let pair = |key: &str, value: String| (key.to_owned(), value);
        let texts = vec![
            pair("txtvers", "1".into()),
            pair("uid", uid.into()),
            pair("az", "a".into()),
            pair("group", group.to_string()),
            pair("state", "ready".into()),
            pair("boot_ms", "0".into()),
        ];
        ServiceInstance {
            address,
            priority: 0,
            weight: 100,
            txt_pairs: texts,
            ttl: 1,
        }
    }

    /// The same with another value of a pair; none: without the pair.
    #[must_use]
    pub fn with_txt(mut self, key: &str, value: Option<&str>) -> ServiceInstance {
        self.txt_pairs.retain(|(k, _)| k != key);
        self.txt_pairs
            .extend(value.map(|v| (key.to_owned(), v.to_owned())));
        self
    }
}

/// How the server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DnsFaultMode {
    /// With all that belongs to the answer in its additional section.
    #[default]
    Normal,
    /// With what was asked and nothing else.
    NoAdditionalRecords,
    /// Every other query is lost.
    DropEveryOtherQuery,
    /// Answers come after 150 ms.
    Delayed,
    /// An error: it can't.
    ServerFailure,
    /// Nothing.
    NoResponse,
    /// There is no such name, and the SOA says for how long.
    NxDomain,
    /// No records, and no error.
    NoData,
    /// Over UDP, truncated and without records.
    Truncated,
    /// Another id than the query's.
    WrongId,
    /// Another question than the query's.
    WrongQuestion,
    /// True records, with others that nobody asked for.
    UnrelatedRecords,
    /// Bytes that are no message.
    InvalidMessage,
    /// A name that points at itself.
    CompressionLoop,
}

/// What the server serves.
#[derive(Debug, Clone, Default)]
pub struct DnsZone {
    /// By label.
    pub instances: BTreeMap<String, ServiceInstance>,
    /// How it answers.
    pub fault_mode: DnsFaultMode,
    /// Queries so far.
    pub query_count: usize,
}

/// The service that a [`DnsZone`] holds.
pub const SERVICE: &str = "_postgresql._tcp.qianzhen-dc.example.org.";
/// The domain that it lies in.
pub const DOMAIN: &str = "qianzhen-dc.example.org.";
/// A subtype of the service, which names the same instances (RFC 6763, 7.1).
pub const SUBTYPE: &str = "_cargo._sub._postgresql._tcp.qianzhen-dc.example.org.";

fn name(text: &str) -> Name {
    Name::from_ascii(text).expect("a name")
}

impl DnsZone {
    fn records(&self) -> Vec<Record> {
        let mut all = Vec::new();
        for (label, i) in &self.instances {
            let instance = name(&format!("{label}.{SERVICE}"));
            let host = name(&format!("{label}.{DOMAIN}"));
            let texts = i
                .txt_pairs
                .iter()
                .map(|(k, v)| format!("{k}={v}"))
                .collect();
            let address = match i.address.ip() {
                IpAddr::V4(ip) => RData::A(A(ip)),
                IpAddr::V6(ip) => RData::AAAA(AAAA(ip)),
            };
            let srv = SRV::new(i.priority, i.weight, i.address.port(), host.clone());
            for service in [SERVICE, SUBTYPE] {
                all.push(Record::from_rdata(
                    name(service),
                    i.ttl,
                    RData::PTR(PTR(instance.clone())),
                ));
            }
            all.push(Record::from_rdata(instance.clone(), i.ttl, RData::SRV(srv)));
            all.push(Record::from_rdata(
                instance,
                i.ttl,
                RData::TXT(TXT::new(texts)),
            ));
            all.push(Record::from_rdata(host, i.ttl, address));
        }
        all
    }

    /// Answers a message; none: it says nothing.
    pub fn respond(&mut self, bytes: &[u8], over_tcp: bool) -> Option<Vec<u8>> {
        self.query_count += 1;
        let query = Message::from_vec(bytes).ok()?;
        let asked = query.queries.first()?.clone();
        let mut out = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
        out.metadata.authoritative = true;
        out.add_query(asked.clone());
        let all = self.records();
        let fits = |r: &&Record| r.name == asked.name && r.data.record_type() == asked.query_type;
        let soa = SOA::new(name(DOMAIN), name(DOMAIN), 1, 1, 1, 1, 1);
        let soa = Record::from_rdata(name(DOMAIN), 1, RData::SOA(soa));
        match self.fault_mode {
            DnsFaultMode::NoResponse => return None,
            DnsFaultMode::DropEveryOtherQuery if self.query_count % 2 == 1 => return None,
            DnsFaultMode::InvalidMessage => return Some(b"no message at all".to_vec()),
            DnsFaultMode::CompressionLoop => {
                let mut bytes = out.to_vec().ok()?;
                bytes[7] = 1;
                // An answer whose name is a pointer to itself (RFC 1035, 4.1.4).
                let at = bytes.len() as u16;
                bytes.extend_from_slice(&(0xc000 | at).to_be_bytes());
                bytes.extend_from_slice(&[0, 12, 0, 1, 0, 0, 0, 1, 0, 0]);
                return Some(bytes);
            }
            DnsFaultMode::ServerFailure => out.metadata.response_code = ResponseCode::ServFail,
            DnsFaultMode::NxDomain | DnsFaultMode::NoData => {
                if self.fault_mode == DnsFaultMode::NxDomain {
                    out.metadata.response_code = ResponseCode::NXDomain;
                }
                out.add_authority(soa);
            }
            DnsFaultMode::Truncated if !over_tcp => out.metadata.truncation = true,
            manner => {
                out.add_answers(all.iter().filter(fits).cloned());
                if out.answers.is_empty() {
                    out.add_authority(soa);
                }
                if manner != DnsFaultMode::NoAdditionalRecords && !out.answers.is_empty() {
                    let rest = all
                        .iter()
                        .filter(|r| !fits(r) && r.data.record_type() != RecordType::PTR);
                    out.add_additionals(rest.cloned());
                }
                if manner == DnsFaultMode::UnrelatedRecords {
                    let evil = name("evil.example.net.");
                    let srv = RData::SRV(SRV::new(0, 100, 9, evil.clone()));
                    out.add_answer(Record::from_rdata(
                        name(SERVICE),
                        60,
                        RData::PTR(PTR(evil.clone())),
                    ));
                    out.add_additional(Record::from_rdata(evil.clone(), 60, srv));
                    out.add_additional(Record::from_rdata(
                        evil,
                        60,
                        RData::A(A(Ipv4Addr::LOCALHOST)),
                    ));
                }
                if manner == DnsFaultMode::WrongId {
                    out.metadata.id ^= 1;
                }
                if manner == DnsFaultMode::WrongQuestion {
                    out.queries = vec![Query::query(name("other.example.org."), asked.query_type)];
                }
            }
        }
        out.to_vec().ok()
    }
}

/// A server of a zone on a port of its own, the same for UDP and TCP.
#[derive(Debug, Clone)]
pub struct FakeDnsServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it serves.
    pub zone: SharedState<DnsZone>,
}

impl FakeDnsServer {
    /// Starts on a free port.
    ///
    /// # Panics
    /// If there is none that is free for both.
    pub fn start(zone: DnsZone) -> FakeDnsServer {
        let (udp, tcp) = (0..100)
            .find_map(|_| {
                let udp = UdpSocket::bind("127.0.0.1:0").ok()?;
                let tcp = TcpListener::bind(udp.local_addr().ok()?).ok()?;
                Some((udp, tcp))
            })
            .expect("a port for both");
        let (address, zone) = (
            udp.local_addr().expect("an address"),
            SharedState::new(zone),
        );
        let z = zone.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            while let Ok((len, from)) = udp.recv_from(&mut bytes) {
                let (answer, manner) = z.with(|z| (z.respond(&bytes[..len], false), z.fault_mode));
                if manner == DnsFaultMode::Delayed {
                    std::thread::sleep(Duration::from_millis(150));
                }
                if let Some(answer) = answer {
                    let _ = udp.send_to(&answer, from);
                }
            }
        });
        let z = zone.clone();
        std::thread::spawn(move || {
            for mut stream in tcp.incoming().flatten() {
                let z = z.clone();
                std::thread::spawn(move || -> Option<()> {
                    loop {
                        let mut len = [0; 2];
                        stream.read_exact(&mut len).ok()?;
                        let mut bytes = vec![0; u16::from_be_bytes(len).into()];
                        stream.read_exact(&mut bytes).ok()?;
                        let answer = z.with(|z| z.respond(&bytes, true))?;
                        stream
                            .write_all(
                                &[&(answer.len() as u16).to_be_bytes(), &answer[..]].concat(),
                            )
                            .ok()?;
                    }
                });
            }
        });
        FakeDnsServer { address, zone }
    }

    /// Waits until it has been asked this many times more.
    pub fn wait_for_queries(&self, more: usize) -> bool {
        self.wait_for_queries_within(more, WAIT_TIMEOUT)
    }

    /// The same within a time.
    pub fn wait_for_queries_within(&self, more: usize, within: Duration) -> bool {
        let before = self.zone.with(|z| z.query_count);
        self.zone
            .wait_for(within, |z| (z.query_count >= before + more).then_some(()))
            .is_some()
    }
}
