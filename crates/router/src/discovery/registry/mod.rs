//! Runs the task that owns the endpoint registry, which merges several sources of endpoints. It passes the sources'
//! claims to the registry, runs the DNS browsers, and reports each change of the merged list to the dispatcher.
//!
//! The task also owns the browsers. It never changes a source's claims; `reelrill_service_discovery`
//! decides how they are merged.

mod dns_query;
mod services;

use crate::discovery::admin_socket::{self, StatusQuery};
use crate::discovery::messages::{EndpointListRequest, RegistryEvent};
use crate::messages::{ListedEndpoint, Message};
use crate::observability::counters::count;
use crate::runtime::shared::Shared;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{EndpointEntry, EndpointState, ListKind, Nanos, Timestamp};
use reelrill_service_discovery::{
    Claim, ClaimedState, EndpointRegistry, EndpointView, ListChange, ListingRule, RegistryInput,
    RegistrySettings, SourceId, SourceKind, Withdrawal,
};
use services::Service;
use slog::{info, warn};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

/// The endpoint list's number among the sources; services count from 1.
const ENDPOINT_LIST: SourceId = 0;
/// The endpoint list's name in the output for operators.
const ENDPOINT_LIST_NAME: &str = "roster";
/// The backoff after the first failure of the endpoint list, in nanoseconds; it doubles with each further failure.
const INITIAL_BACKOFF: Nanos = 250_000_000;
/// The maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// The error of a task that can't start.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// A service or a domain in the settings is not a DNS name.
    #[error("discovery.dns_sd: expected a DNS name, got '{0}': {1}")]
    Name(String, String),
    /// The admin socket can't be created.
    #[error("members_socket: {0}")]
    Socket(#[from] std::io::Error),
}

/// An event that wakes the task.
enum Wakeup {
    Event(RegistryEvent),
    StatusQuery(StatusQuery),
    TimerDue,
    /// All senders of events have been dropped.
    EventsClosed,
}

/// Owns the endpoint registry and the browsers, and merges the sources of endpoints.
pub struct EndpointRegistryTask {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
    list_requests: Sender<EndpointListRequest>,
    events: Receiver<RegistryEvent>,
    status_queries: Receiver<StatusQuery>,
    endpoints: EndpointRegistry,
    services: BTreeMap<SourceId, Service>,
    /// The number that the next new service gets.
    next_source: SourceId,
    /// The time at which the endpoint list is requested again.
    list_retry_at: Option<Timestamp>,
    /// The number of consecutive failures of the endpoint list.
    list_failures: u32,
}

impl EndpointRegistryTask {
    /// Creates the task, or returns `None` if the endpoint list is the only source; the list watch then reports to the
    /// dispatcher directly.
    ///
    /// # Errors
    /// Fails if the settings contain an invalid DNS name, or the admin socket can't be created.
    pub fn new(
        shared: &Rc<Shared>,
        executor: &Rc<LocalExecutor<'static>>,
        list_requests: Sender<EndpointListRequest>,
        events: Receiver<RegistryEvent>,
    ) -> Result<Option<EndpointRegistryTask>, RegistryError> {
        if shared.registry.is_none() {
            return Ok(None);
        }
        let discovery = &shared.config.extensions.discovery;
        let settings = RegistrySettings {
            heartbeat_ttl: discovery.vouch_s.saturating_mul(NANOS_PER_SECOND),
            ..RegistrySettings::default()
        };
        let mut task = EndpointRegistryTask {
            shared: shared.clone(),
            executor: executor.clone(),
            list_requests,
            events,
            status_queries: admin_socket::listen(shared, executor)?,
            endpoints: EndpointRegistry::new(settings, shared.clock.now()),
            services: BTreeMap::new(),
            next_source: ENDPOINT_LIST + 1,
            list_retry_at: None,
            list_failures: 0,
        };
        task.configure_services(discovery)?;
        Ok(Some(task))
    }

    /// Runs until all senders of events have been dropped.
    pub async fn run(mut self) {
        self.start().await;
        loop {
            self.shared.turns.yield_if_over().await;
            let wakeup = self.next_wakeup().await;
            let now = self.shared.clock.now();
            let mut changes = Vec::new();
            match wakeup {
                Wakeup::Event(event) => self.on_event(now, event, &mut changes).await,
                Wakeup::StatusQuery(query) => self.respond_to_status_query(now, &query),
                Wakeup::TimerDue => {}
                Wakeup::EventsClosed => return,
            }
            self.on_due(now, &mut changes);
            self.report(changes).await;
        }
    }

    /// Adds the configured sources, with the endpoint list's last known entries from the configuration.
    async fn start(&mut self) {
        let now = self.shared.clock.now();
        let mut changes = Vec::new();
        if self.shared.config.extensions.discovery.roster {
            let input = RegistryInput::SourceAdded {
                source: ENDPOINT_LIST,
                kind: SourceKind::EndpointList,
            };
            self.endpoints.handle(now, input, &mut changes);
            // The balancer cannot distinguish changes from DNS records from those of a watched list, and would not
            // request the list.
            self.list_retry_at = Some(now);
            let (version, entries) = self.shared.config.known_list.clone();
            self.apply_entries(now, entries, version.unwrap_or(0), &mut changes);
        }
        for source in self.service_ids() {
            self.start_service(now, source, &mut changes);
        }
        self.report(changes).await;
    }

    async fn next_wakeup(&self) -> Wakeup {
        let event = async {
            match self.events.recv().await {
                Ok(event) => Wakeup::Event(event),
                Err(_) => Wakeup::EventsClosed,
            }
        };
        let status_query = async {
            match self.status_queries.recv().await {
                Ok(query) => Wakeup::StatusQuery(query),
                Err(_) => std::future::pending().await,
            }
        };
        let timer = async {
            match self.next_due() {
                Some(at) => Timer::at(self.shared.clock.instant(at)).await,
                None => std::future::pending().await,
            };
            Wakeup::TimerDue
        };
        or(event, or(status_query, timer)).await
    }

    fn next_due(&self) -> Option<Timestamp> {
        let browsers = self.services.values().map(|s| s.browser.next_due());
        let others = [self.endpoints.next_due(), self.list_retry_at];
        browsers.chain(others).flatten().min()
    }

    fn on_due(&mut self, now: Timestamp, changes: &mut Vec<ListChange>) {
        self.endpoints.on_due(now, changes);
        for source in self.service_ids() {
            self.drive_browser(now, source, changes, |browser, out| {
                browser.on_due(now, out);
            });
        }
        if self.list_retry_at.is_some_and(|at| at <= now) {
            self.list_retry_at = None;
            // If the channel is full, a request for the list that is still queued also covers this one.
            let _ = self.list_requests.try_send(EndpointListRequest::Subscribe);
        }
    }

    fn respond_to_status_query(&self, now: Timestamp, query: &StatusQuery) {
        let source_name = |source| match source {
            ENDPOINT_LIST => ENDPOINT_LIST_NAME.to_owned(),
            other => self
                .services
                .get(&other)
                .map_or_else(String::new, |service| service.name.clone()),
        };
        let _ = query.try_send(admin_socket::format_table(
            &self.endpoints,
            now,
            source_name,
        ));
    }

    async fn on_event(
        &mut self,
        now: Timestamp,
        event: RegistryEvent,
        changes: &mut Vec<ListChange>,
    ) {
        let before = self.endpoints.counters().state_conflicts;
        match event {
            RegistryEvent::EndpointList {
                kind,
                listed,
                version,
            } => {
                self.on_endpoint_list(now, kind, listed, version, changes)
                    .await
            }
            RegistryEvent::EndpointResponded {
                endpoint,
                is_draining,
            } => {
                let input = RegistryInput::EndpointResponded {
                    endpoint,
                    is_draining,
                };
                self.endpoints.handle(now, input, changes);
            }
            RegistryEvent::DnsResponse {
                source,
                query,
                bytes,
            } => self.on_dns_response(now, source, query, bytes.as_deref(), changes),
            RegistryEvent::SettingsReloaded(discovery) => {
                self.on_settings(now, &discovery, changes);
            }
        }
        let conflicts = self.endpoints.counters().state_conflicts - before;
        if conflicts > 0 {
            let endpoint = self
                .endpoints
                .last_conflicting_endpoint()
                .map_or("", |id| id);
            warn!(self.shared.log, "sources contradict each other"; "times" => conflicts, "last" => endpoint);
        }
    }

    /// Handles the end of a poll of the endpoint list. Reports it to the dispatcher even without a change, because the
    /// poll completes the dispatcher's request for the list.
    async fn on_endpoint_list(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        listed: Vec<ListedEndpoint>,
        version: u64,
        changes: &mut Vec<ListChange>,
    ) {
        if kind == ListKind::Failed {
            let source = ENDPOINT_LIST;
            let input = RegistryInput::SourceFailed { source };
            self.endpoints.handle(now, input, changes);
            // As long as any changes arrive, even if only from DNS records, the balancer treats the list as watched,
            // and would not request it.
            self.list_retry_at = Some(now + self.next_backoff());
            self.send_to_dispatcher(ListKind::Failed, Vec::new()).await;
            return;
        }
        self.list_retry_at = None;
        self.list_failures = 0;
        if kind == ListKind::Full {
            let names = listed.iter().map(|l| l.entry.endpoint.clone()).collect();
            let source = ENDPOINT_LIST;
            let input = RegistryInput::Snapshot { source, names };
            self.endpoints.handle(now, input, changes);
        }
        self.apply_entries(now, listed, version, changes);
        self.send_to_dispatcher(ListKind::Changes, Vec::new()).await;
    }

    /// Counts a failure and returns the backoff after it, in nanoseconds: a random time between half and all of a limit
    /// that doubles with each failure.
    fn next_backoff(&mut self) -> Nanos {
        let doublings = self.list_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.list_failures += 1;
        let half = (INITIAL_BACKOFF << doublings) / 2;
        half + rand::random_range(0..half)
    }

    fn apply_entries(
        &mut self,
        now: Timestamp,
        listed: Vec<ListedEndpoint>,
        version: u64,
        changes: &mut Vec<ListChange>,
    ) {
        for endpoint in listed {
            let input = registry_input(endpoint, version);
            self.endpoints.handle(now, input, changes);
        }
    }

    async fn send_to_dispatcher(&self, kind: ListKind, listed: Vec<ListedEndpoint>) {
        let message = Message::EndpointList { kind, listed };
        let _ = self.shared.dispatcher.send(message).await;
    }

    /// Reports changes to the dispatcher, and logs a line for each.
    async fn report(&self, changes: Vec<ListChange>) {
        if changes.is_empty() {
            return;
        }
        let mut listed = Vec::with_capacity(changes.len());
        for change in changes {
            let rule = self.endpoints.rule(change.endpoint());
            listed.push(match change {
                ListChange::Removed { endpoint } => self.report_removed(endpoint, rule),
                ListChange::Listed {
                    endpoint,
                    view,
                    is_new,
                } => self.report_listed(endpoint, &view, is_new, rule),
            });
        }
        self.send_to_dispatcher(ListKind::Changes, listed).await;
    }

    fn report_removed(&self, endpoint: Arc<str>, rule: Option<ListingRule>) -> ListedEndpoint {
        count(&self.shared.counters.endpoints_removed);
        info!(self.shared.log, "endpoint removed"; "member" => &*endpoint, "rule" => ?rule);
        let entry = EndpointEntry {
            endpoint,
            started: 0,
            is_primary: false,
            state: EndpointState::Removed,
            weight: 1.0,
            replica_set: 0,
            zone: 0,
        };
        ListedEndpoint {
            entry,
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        }
    }

    fn report_listed(
        &self,
        endpoint: Arc<str>,
        view: &EndpointView,
        is_new: bool,
        rule: Option<ListingRule>,
    ) -> ListedEndpoint {
        if is_new {
            count(&self.shared.counters.endpoints_added);
        }
        info!(self.shared.log, "endpoint listed"; "member" => &*endpoint, "state" => ?view.state,
              "endpoint" => %view.address, "rule" => ?rule, "new" => is_new);
        let state = match view.state {
            ClaimedState::Draining => EndpointState::Draining,
            ClaimedState::Ready => EndpointState::Serving,
        };
        let entry = EndpointEntry {
            endpoint,
            started: view.started_at,
            is_primary: false,
            state,
            weight: view.weight,
            replica_set: view.replica_set,
            zone: view.zone,
        };
        ListedEndpoint {
            entry,
            address: view.address,
        }
    }
}

/// Converts an entry of the endpoint list to the registry's input.
fn registry_input(listed: ListedEndpoint, version: u64) -> RegistryInput {
    let ListedEndpoint { entry, address } = listed;
    let source = ENDPOINT_LIST;
    let name = entry.endpoint.clone();
    let state = match entry.state {
        EndpointState::Removed => {
            let withdrawal = Withdrawal::Removed;
            return RegistryInput::Withdrawn {
                source,
                name,
                withdrawal,
            };
        }
        EndpointState::Draining => ClaimedState::Draining,
        EndpointState::Serving => ClaimedState::Ready,
    };
    let claim = Claim {
        zone: entry.zone,
        state,
        started_at: entry.started,
        version,
        weight: entry.weight,
        ..Claim::new(&entry.endpoint, address, entry.replica_set)
    };
    RegistryInput::Claimed {
        source,
        name,
        claim,
    }
}
