//! A DNS server for service records: a zone that changes, over UDP and TCP, with faults by script. What it answers can
//! also be had without sockets.

use crate::watched::{LIMIT, Watched};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, PTR, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

/// An instance of the service, as its records tell it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// SRV.
    pub priority: u16,
    /// SRV.
    pub weight: u16,
    /// Pairs of TXT.
    pub texts: Vec<(String, String)>,
    /// Of all its records, in seconds.
    pub ttl: u32,
}

impl Instance {
    /// An instance in service, with its own name and group.
    pub fn new(uid: &str, endpoint: SocketAddr, group: u32) -> Instance {
        let pair = |key: &str, value: String| (key.to_owned(), value);
        let texts = vec![
            pair("txtvers", "1".into()),
            pair("uid", uid.into()),
            pair("az", "a".into()),
            pair("group", group.to_string()),
            pair("state", "ready".into()),
            pair("boot_ms", "0".into()),
        ];
        Instance {
            endpoint,
            priority: 0,
            weight: 100,
            texts,
            ttl: 1,
        }
    }

    /// The same with another value of a pair; none: without the pair.
    #[must_use]
    pub fn with(mut self, key: &str, value: Option<&str>) -> Instance {
        self.texts.retain(|(k, _)| k != key);
        self.texts
            .extend(value.map(|v| (key.to_owned(), v.to_owned())));
        self
    }
}

/// How the server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Manner {
    /// With all that belongs to the answer in its additional section.
    #[default]
    Helpful,
    /// With what was asked and nothing else.
    Terse,
    /// Every other query is lost.
    Lossy,
    /// Answers come after 150 ms.
    Slow,
    /// An error: it can't.
    Fails,
    /// Nothing.
    Silent,
    /// There is no such name, and the SOA says for how long.
    NoName,
    /// No records, and no error.
    Empty,
    /// Over UDP, truncated and without records.
    Truncated,
    /// Another id than the query's.
    WrongId,
    /// Another question than the query's.
    WrongQuestion,
    /// True records, with others that nobody asked for.
    Foreign,
    /// Bytes that are no message.
    Noise,
    /// A name that points at itself.
    Loop,
}

/// What the server serves.
#[derive(Debug, Clone, Default)]
pub struct Zone {
    /// By label.
    pub instances: BTreeMap<String, Instance>,
    /// How it answers.
    pub manner: Manner,
    /// Queries so far.
    pub queries: usize,
}

/// The service that a [`Zone`] holds.
pub const SERVICE: &str = "_postgresql._tcp.qianzhen-dc.example.org.";
/// The domain that it lies in.
pub const DOMAIN: &str = "qianzhen-dc.example.org.";
/// A subtype of the service, which names the same instances (RFC 6763, 7.1).
pub const SUBTYPE: &str = "_cargo._sub._postgresql._tcp.qianzhen-dc.example.org.";

fn name(text: &str) -> Name {
    Name::from_ascii(text).expect("a name")
}

impl Zone {
    fn records(&self) -> Vec<Record> {
        let mut all = Vec::new();
        for (label, i) in &self.instances {
            let instance = name(&format!("{label}.{SERVICE}"));
            let host = name(&format!("{label}.{DOMAIN}"));
            let texts = i.texts.iter().map(|(k, v)| format!("{k}={v}")).collect();
            let address = match i.endpoint.ip() {
                IpAddr::V4(ip) => RData::A(A(ip)),
                IpAddr::V6(ip) => RData::AAAA(AAAA(ip)),
            };
            let srv = SRV::new(i.priority, i.weight, i.endpoint.port(), host.clone());
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
    pub fn answer(&mut self, bytes: &[u8], over_tcp: bool) -> Option<Vec<u8>> {
        self.queries += 1;
        let query = Message::from_vec(bytes).ok()?;
        let asked = query.queries.first()?.clone();
        let mut out = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
        out.metadata.authoritative = true;
        out.add_query(asked.clone());
        let all = self.records();
        let fits = |r: &&Record| r.name == asked.name && r.data.record_type() == asked.query_type;
        let soa = SOA::new(name(DOMAIN), name(DOMAIN), 1, 1, 1, 1, 1);
        let soa = Record::from_rdata(name(DOMAIN), 1, RData::SOA(soa));
        match self.manner {
            Manner::Silent => return None,
            Manner::Lossy if self.queries % 2 == 1 => return None,
            Manner::Noise => return Some(b"no message at all".to_vec()),
            Manner::Loop => {
                let mut bytes = out.to_vec().ok()?;
                bytes[7] = 1;
                // An answer whose name is a pointer to itself (RFC 1035, 4.1.4).
                let at = bytes.len() as u16;
                bytes.extend_from_slice(&(0xc000 | at).to_be_bytes());
                bytes.extend_from_slice(&[0, 12, 0, 1, 0, 0, 0, 1, 0, 0]);
                return Some(bytes);
            }
            Manner::Fails => out.metadata.response_code = ResponseCode::ServFail,
            Manner::NoName | Manner::Empty => {
                if self.manner == Manner::NoName {
                    out.metadata.response_code = ResponseCode::NXDomain;
                }
                out.add_authority(soa);
            }
            Manner::Truncated if !over_tcp => out.metadata.truncation = true,
            manner => {
                out.add_answers(all.iter().filter(fits).cloned());
                if out.answers.is_empty() {
                    out.add_authority(soa);
                }
                if manner != Manner::Terse && !out.answers.is_empty() {
                    let rest = all
                        .iter()
                        .filter(|r| !fits(r) && r.data.record_type() != RecordType::PTR);
                    out.add_additionals(rest.cloned());
                }
                if manner == Manner::Foreign {
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
                if manner == Manner::WrongId {
                    out.metadata.id ^= 1;
                }
                if manner == Manner::WrongQuestion {
                    out.queries = vec![Query::query(name("other.example.org."), asked.query_type)];
                }
            }
        }
        out.to_vec().ok()
    }
}

/// A server of a zone on a port of its own, the same for UDP and TCP.
#[derive(Debug, Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it serves.
    pub zone: Watched<Zone>,
}

impl Server {
    /// Starts on a free port.
    ///
    /// # Panics
    /// If there is none that is free for both.
    pub fn start(zone: Zone) -> Server {
        let (udp, tcp) = (0..100)
            .find_map(|_| {
                let udp = UdpSocket::bind("127.0.0.1:0").ok()?;
                let tcp = TcpListener::bind(udp.local_addr().ok()?).ok()?;
                Some((udp, tcp))
            })
            .expect("a port for both");
        let (address, zone) = (udp.local_addr().expect("an address"), Watched::new(zone));
        let z = zone.clone();
        std::thread::spawn(move || {
            let mut bytes = [0; 4096];
            while let Ok((len, from)) = udp.recv_from(&mut bytes) {
                let (answer, manner) = z.change(|z| (z.answer(&bytes[..len], false), z.manner));
                if manner == Manner::Slow {
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
                        let answer = z.change(|z| z.answer(&bytes, true))?;
                        stream
                            .write_all(
                                &[&(answer.len() as u16).to_be_bytes(), &answer[..]].concat(),
                            )
                            .ok()?;
                    }
                });
            }
        });
        Server { address, zone }
    }

    /// Waits until it has been asked this many times more.
    pub fn asked(&self, more: usize) -> bool {
        self.asked_within(more, LIMIT)
    }

    /// The same within a time.
    pub fn asked_within(&self, more: usize, within: Duration) -> bool {
        let before = self.zone.change(|z| z.queries);
        self.zone
            .wait_for(within, |z| (z.queries >= before + more).then_some(()))
            .is_some()
    }
}
