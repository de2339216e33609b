//! The directory's actor, where there are several sources of endpoints: it passes the sources' words to the endpoints'
//! package, sends the queries for service records, and tells the decider what changes in the one list.

use crate::discovery::admin_socket::{self, Question};
use crate::extensions::{Discovery, DnsSd};
use crate::messages::{Call, ListedEndpoint, Message, News};
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use hickory_proto::rr::Name;
use reelrill_routing::{EndpointEntry, EndpointState, ListKind, Timestamp};
use reelrill_service_discovery::browse::{Ask, Browser, Config, Output};
use reelrill_service_discovery::{
    Change, Claim, ClaimedState, EndpointRegistry, Input, RegistrySettings, SourceId, SourceKind,
    Withdrawal,
};
use slog::{info, warn};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The roster's number among the sources; services count from 1.
const ROSTER: SourceId = 0;
/// The largest datagram that is looked at.
const DATAGRAM: usize = 4096;
/// The pauses between calls to a roster that fails: the first, and how often it doubles.
const PAUSE: (Duration, u32) = (Duration::from_millis(250), 5);

#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    #[error("discovery.dns_sd: '{0}' is no name: {1}")]
    Name(String, String),
    #[error("members_socket: {0}")]
    Socket(#[from] std::io::Error),
}

enum Next {
    News(Option<News>),
    Question(Question),
    Due,
}

struct Service {
    name: String,
    settings: DnsSd,
    browser: Browser,
    /// Dropping one ends its query.
    queries: HashMap<u64, Sender<()>>,
}

pub struct EndpointRegistryTask {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    roster: Sender<Call>,
    news: Receiver<News>,
    questions: Receiver<Question>,
    endpoints: EndpointRegistry,
    services: BTreeMap<SourceId, Service>,
    next: SourceId,
    /// When the roster is asked again, and how often it has failed in a row.
    retry: Option<Timestamp>,
    failures: u32,
}

fn name(text: &str) -> Result<Name, RegistryError> {
    let mut name =
        Name::from_ascii(text).map_err(|e| RegistryError::Name(text.to_owned(), e.to_string()))?;
    name.set_fqdn(true);
    Ok(name)
}

impl EndpointRegistryTask {
    /// None: there is one source alone, and the roster speaks to the decider itself.
    pub fn new(
        shared: &Rc<Shared>,
        executor: &Rc<LocalExecutor<'static>>,
        roster: Sender<Call>,
        news: Receiver<News>,
    ) -> Result<Option<EndpointRegistryTask>, RegistryError> {
        let discovery = &shared.config.edge.discovery;
        if shared.directory.is_none() {
            return Ok(None);
        }
        let now = shared.clock.now();
        let heartbeat_ttl = discovery.vouch_s.saturating_mul(1_000_000_000);
        let questions = admin_socket::listen(shared, executor)?;
        let mut directory = EndpointRegistryTask {
            shared: shared.clone(),
            executor: executor.clone(),
            roster,
            news,
            questions,
            endpoints: EndpointRegistry::new(
                RegistrySettings {
                    heartbeat_ttl,
                    ..RegistrySettings::default()
                },
                now,
            ),
            services: BTreeMap::new(),
            next: ROSTER + 1,
            retry: None,
            failures: 0,
        };
        directory.services_are(discovery)?;
        Ok(Some(directory))
    }

    pub async fn run(mut self) {
        let now = self.shared.clock.now();
        let mut changes = Vec::new();
        if self.shared.config.edge.discovery.roster {
            self.endpoints.handle(
                now,
                Input::SourceAdded {
                    source: ROSTER,
                    kind: SourceKind::EndpointList,
                },
                &mut changes,
            );
            // The decider takes the records' changes for a list that is kept up, and would not ask.
            self.retry = Some(now);
            let (version, known) = self.shared.config.known.clone();
            self.on_entries(now, known, version.unwrap_or(0), &mut changes);
        }
        let sources: Vec<SourceId> = self.services.keys().copied().collect();
        for source in sources {
            self.start_service(now, source, &mut changes);
        }
        self.tell(changes).await;
        loop {
            let browsers = self.services.values().map(|s| s.browser.next_due());
            let due = browsers
                .chain([self.endpoints.next_due(), self.retry])
                .flatten()
                .min();
            let due = due.map(|at| self.shared.clock.instant(at));
            let timer = async {
                match due {
                    Some(at) => Timer::at(at).await,
                    None => std::future::pending().await,
                };
                Next::Due
            };
            let news = async { Next::News(self.news.recv().await.ok()) };
            let question = async {
                match self.questions.recv().await {
                    Ok(question) => Next::Question(question),
                    Err(_) => std::future::pending().await,
                }
            };
            let next = or(news, or(question, timer)).await;
            let (now, mut changes) = (self.shared.clock.now(), Vec::new());
            match next {
                Next::News(None) => return,
                Next::News(Some(news)) => self.on_news(now, news, &mut changes).await,
                Next::Question(question) => {
                    let name = |source| match source {
                        ROSTER => "roster".to_owned(),
                        other => self
                            .services
                            .get(&other)
                            .map_or_else(String::new, |s| s.name.clone()),
                    };
                    let _ = question.try_send(admin_socket::table(&self.endpoints, now, name));
                }
                Next::Due => {}
            }
            self.on_due(now, &mut changes);
            self.tell(changes).await;
        }
    }

    fn on_due(&mut self, now: Timestamp, changes: &mut Vec<Change>) {
        self.endpoints.on_due(now, changes);
        let sources: Vec<SourceId> = self.services.keys().copied().collect();
        for source in sources {
            let mut out = Vec::new();
            if let Some(service) = self.services.get_mut(&source) {
                service.browser.on_due(now, &mut out);
            }
            self.carry(now, source, out, changes);
        }
        if self.retry.is_some_and(|at| at <= now) {
            // A call that still waits in the mailbox will do for this one, too.
            self.retry = None;
            let _ = self.roster.try_send(Call::Subscribe);
        }
    }

    async fn on_news(&mut self, now: Timestamp, news: News, changes: &mut Vec<Change>) {
        let before = self.endpoints.counts().contradictions;
        self.take(now, news, changes).await;
        let contradicted = self.endpoints.counts().contradictions - before;
        if contradicted > 0 {
            let endpoint = self.endpoints.contradicted().map_or("", |id| id);
            warn!(self.shared.log, "sources contradict"; "times" => contradicted, "last" => endpoint);
        }
    }

    async fn take(&mut self, now: Timestamp, news: News, changes: &mut Vec<Change>) {
        match news {
            News::DiscoveryClient {
                kind: ListKind::Failed,
                ..
            } => {
                self.endpoints
                    .handle(now, Input::SourceFailed { source: ROSTER }, changes);
                // The decider thinks that the list is kept up as long as changes come, also those of records.
                let pause = PAUSE.0.as_nanos() as u64;
                let pause = pause << self.failures.min(PAUSE.1);
                self.failures += 1;
                self.retry = Some(now + pause / 2 + rand::random_range(0..pause / 2));
                let (kind, listed) = (ListKind::Failed, Vec::new());
                let _ = self
                    .shared
                    .dispatcher
                    .send(Message::List { kind, listed })
                    .await;
            }
            News::DiscoveryClient {
                kind,
                listed,
                version,
            } => {
                (self.retry, self.failures) = (None, 0);
                if kind == ListKind::Full {
                    let names = listed.iter().map(|l| l.entry.endpoint.clone()).collect();
                    self.endpoints.handle(
                        now,
                        Input::Snapshot {
                            source: ROSTER,
                            names,
                        },
                        changes,
                    );
                }
                self.on_entries(now, listed, version, changes);
                // Also without a change: the decider's call has been answered.
                let (kind, listed) = (ListKind::Changes, Vec::new());
                let _ = self
                    .shared
                    .dispatcher
                    .send(Message::List { kind, listed })
                    .await;
            }
            News::Answered { endpoint, leaving } => {
                self.endpoints.handle(
                    now,
                    Input::EndpointResponded {
                        endpoint,
                        is_draining: leaving,
                    },
                    changes,
                );
            }
            News::Records {
                source,
                query,
                bytes,
            } => {
                let mut out = Vec::new();
                if let Some(service) = self.services.get_mut(&source) {
                    match bytes {
                        Some(bytes) => service.browser.answer(now, query, &bytes, &mut out),
                        None => service.browser.broken(now, query, &mut out),
                    }
                }
                self.carry(now, source, out, changes);
            }
            News::Settings(discovery) => {
                let before: Vec<SourceId> = self.services.keys().copied().collect();
                let gone = match self.services_are(&discovery) {
                    Ok(gone) => gone,
                    Err(e) => {
                        return warn!(self.shared.log, "the new sources are not used"; "error" => %e);
                    }
                };
                let new: Vec<SourceId> = self
                    .services
                    .keys()
                    .copied()
                    .filter(|s| !before.contains(s))
                    .collect();
                info!(self.shared.log, "sources read again"; "new" => new.len(), "gone" => gone.len());
                // New ones first: what both name is never without a source.
                for source in new {
                    self.start_service(now, source, changes);
                }
                for source in gone {
                    self.endpoints
                        .handle(now, Input::SourceRemoved { source }, changes);
                }
            }
        }
    }

    fn on_entries(
        &mut self,
        now: Timestamp,
        listed: Vec<ListedEndpoint>,
        version: u64,
        changes: &mut Vec<Change>,
    ) {
        for ListedEndpoint { entry, address } in listed {
            let name = entry.endpoint.clone();
            let input = if entry.state == EndpointState::Removed {
                Input::Withdrawn {
                    source: ROSTER,
                    name,
                    how: Withdrawal::Removed,
                }
            } else {
                let state = if entry.state == EndpointState::Draining {
                    ClaimedState::Draining
                } else {
                    ClaimedState::Ready
                };
                let claim = Claim {
                    zone: entry.zone,
                    state,
                    started: entry.started,
                    version,
                    weight: entry.weight,
                    ..Claim::new(&entry.endpoint, address, entry.replica_set)
                };
                Input::Claimed {
                    source: ROSTER,
                    name,
                    claim,
                }
            };
            self.endpoints.handle(now, input, changes);
        }
    }

    /// Makes the services those of the settings; one whose settings are the same goes on. Returns those that are gone.
    fn services_are(&mut self, discovery: &Discovery) -> Result<Vec<SourceId>, RegistryError> {
        // All names are read before anything changes: a wrong one must not leave half of the services behind.
        for text in discovery
            .dns_sd
            .iter()
            .flat_map(|d| d.services.iter().chain([&d.domain]))
        {
            name(text)?;
        }
        let mut kept = Vec::new();
        for service in discovery.dns_sd.iter().flat_map(|d| &d.services) {
            let Some(settings) = &discovery.dns_sd else {
                continue;
            };
            let is_same = |s: &Service| {
                let others = DnsSd {
                    services: s.settings.services.clone(),
                    ..settings.clone()
                };
                s.name == *service && s.settings == others
            };
            if let Some((source, _)) = self.services.iter().find(|(_, s)| is_same(s)) {
                kept.push(*source);
                continue;
            }
            let config = Config {
                servers: settings.servers.clone(),
                service: name(service)?,
                domain: name(&settings.domain)?,
                ttl: (
                    settings.ttl_floor_ms * 1_000_000,
                    settings.ttl_ceiling_ms * 1_000_000,
                ),
                timeout: settings.timeout_ms * 1_000_000,
                budget: settings.budget.into(),
                zones: self.shared.config.site.zones.clone(),
            };
            let source = self.next;
            self.next += 1;
            let browser = Browser::new(config, source, rand::random(), self.shared.clock.now());
            let (name, settings, queries) = (service.clone(), settings.clone(), HashMap::new());
            self.services.insert(
                source,
                Service {
                    name,
                    settings,
                    browser,
                    queries,
                },
            );
            kept.push(source);
        }
        let gone: Vec<SourceId> = self
            .services
            .keys()
            .copied()
            .filter(|s| !kept.contains(s))
            .collect();
        gone.iter()
            .for_each(|source| drop(self.services.remove(source)));
        Ok(gone)
    }

    fn start_service(&mut self, now: Timestamp, source: SourceId, changes: &mut Vec<Change>) {
        self.endpoints.handle(
            now,
            Input::SourceAdded {
                source,
                kind: SourceKind::DnsRecords,
            },
            changes,
        );
        let mut out = Vec::new();
        if let Some(service) = self.services.get_mut(&source) {
            service.browser.start(now, &mut out);
        }
        self.carry(now, source, out, changes);
    }

    fn carry(
        &mut self,
        now: Timestamp,
        source: SourceId,
        out: Vec<Output>,
        changes: &mut Vec<Change>,
    ) {
        for output in out {
            match output {
                Output::Tell(input) => self.endpoints.handle(now, input, changes),
                Output::Drop(query) => {
                    if let Some(service) = self.services.get_mut(&source) {
                        service.queries.remove(&query);
                    }
                }
                Output::Ask(ask) => {
                    let Some(service) = self.services.get_mut(&source) else {
                        continue;
                    };
                    count(&self.shared.counters.dns_queries);
                    let (hold, given_up) = async_channel::bounded::<()>(1);
                    service.queries.insert(ask.query, hold);
                    let Some(news) = self.shared.directory.clone() else {
                        continue;
                    };
                    let dropped = async move {
                        let _ = given_up.recv().await;
                    };
                    self.executor
                        .spawn(or(send(source, ask, news), dropped))
                        .detach();
                }
            }
        }
    }

    /// Passes changes on, with a line in the log for each that is of interest.
    async fn tell(&self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let entry = |endpoint: Arc<str>, state| EndpointEntry {
            endpoint,
            started: 0,
            primary: false,
            state,
            weight: 1.0,
            replica_set: 0,
            zone: 0,
        };
        let mut listed = Vec::with_capacity(changes.len());
        for change in changes {
            let rule = self.endpoints.rule(change.endpoint());
            listed.push(match change {
                Change::Gone { endpoint } => {
                    count(&self.shared.counters.members_went);
                    info!(self.shared.log, "member gone"; "member" => &*endpoint, "rule" => ?rule);
                    let address = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
                    ListedEndpoint { entry: entry(endpoint, EndpointState::Removed), address }
                }
                Change::Listed { endpoint, view, is_new } => {
                    let state = if view.state == ClaimedState::Draining { EndpointState::Draining } else { EndpointState::Serving };
                    if is_new {
                        count(&self.shared.counters.members_came);
                    }
                    info!(self.shared.log, "member listed"; "member" => &*endpoint, "state" => ?view.state,
                          "endpoint" => %view.address, "rule" => ?rule, "new" => is_new);
                    let (started, weight, replica_set, zone) = (view.started, view.weight, view.replica_set, view.zone);
                    let entry = EndpointEntry { started, weight, replica_set, zone, ..entry(endpoint, state) };
                    ListedEndpoint { entry, address: view.address }
                }
            });
        }
        let _ = self
            .shared
            .dispatcher
            .send(Message::List {
                kind: ListKind::Changes,
                listed,
            })
            .await;
    }
}

/// Sends one query from a port of its own, and passes on what comes back until it is dropped.
async fn send(source: SourceId, ask: Ask, news: Sender<News>) {
    let query = ask.query;
    let result = if ask.over_tcp {
        over_tcp(&ask).await.map(Some)
    } else {
        over_udp(source, &ask, &news).await
    };
    // The client looks at the answer; one that can't be had is followed by the next server.
    let bytes = result.unwrap_or(None);
    let _ = news
        .send(News::Records {
            source,
            query,
            bytes,
        })
        .await;
}

/// The kernel draws the port, and passes on nothing that does not come from the server. What is no answer does not
/// end the wait for it.
async fn over_udp(
    source: SourceId,
    ask: &Ask,
    news: &Sender<News>,
) -> std::io::Result<Option<Vec<u8>>> {
    let local: SocketAddr = match ask.server {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = Async::<UdpSocket>::bind(local)?;
    socket.get_ref().connect(ask.server)?;
    socket.send(&ask.message).await?;
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let len = socket.recv(&mut bytes).await?;
        let (query, bytes) = (ask.query, Some(bytes[..len].to_vec()));
        let _ = news
            .send(News::Records {
                source,
                query,
                bytes,
            })
            .await;
    }
}

async fn over_tcp(ask: &Ask) -> std::io::Result<Vec<u8>> {
    let stream = Async::<TcpStream>::connect(ask.server).await?;
    let len = u16::try_from(ask.message.len()).map_err(std::io::Error::other)?;
    (&stream)
        .write_all(&[&len.to_be_bytes(), &ask.message[..]].concat())
        .await?;
    let mut len = [0; 2];
    (&stream).read_exact(&mut len).await?;
    let mut bytes = vec![0; u16::from_be_bytes(len).into()];
    (&stream).read_exact(&mut bytes).await?;
    Ok(bytes)
}
