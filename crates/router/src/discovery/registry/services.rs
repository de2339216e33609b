//! Manages the services that are browsed over DNS: creates and removes them according to the settings, and executes the
//! outputs of their browsers.

use super::{EndpointRegistryTask, RegistryError, dns_query};
use crate::extensions::{DiscoverySettings, DnsSdSettings};
use crate::observability::counters::count;
use crate::runtime::turn::{self, TaskKind};
use async_channel::Sender;
use futures_lite::future::or;
use hickory_proto::rr::Name;
use reelrill_routing::Timestamp;
use reelrill_service_discovery::browse::{Browser, BrowserConfig, BrowserOutput, DnsQuery};
use reelrill_service_discovery::{ListChange, RegistryInput, SourceId, SourceKind};
use slog::{info, warn};
use std::collections::HashMap;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// A service that is browsed over DNS.
pub(super) struct Service {
    pub(super) name: String,
    settings: DnsSdSettings,
    pub(super) browser: Browser,
    /// The queries in flight, by number. Dropping a query's sender cancels it.
    queries: HashMap<u64, Sender<()>>,
}

impl Service {
    /// Returns whether this service has this name and these settings. The list of services in the settings is not
    /// compared.
    fn is_configured_as(&self, name: &str, settings: &DnsSdSettings) -> bool {
        let comparable = DnsSdSettings {
            services: self.settings.services.clone(),
            ..settings.clone()
        };
        self.name == name && self.settings == comparable
    }
}

fn parse_name(text: &str) -> Result<Name, RegistryError> {
    let mut name =
        Name::from_ascii(text).map_err(|e| RegistryError::Name(text.to_owned(), e.to_string()))?;
    name.set_fqdn(true);
    Ok(name)
}

impl EndpointRegistryTask {
    /// Adds and removes services according to the settings. A service whose settings are unchanged is kept. Returns the
    /// removed services.
    ///
    /// # Errors
    /// Fails if a name in the settings is not a DNS name; nothing has changed then.
    pub(super) fn configure_services(
        &mut self,
        discovery: &DiscoverySettings,
    ) -> Result<Vec<SourceId>, RegistryError> {
        let mut configured = Vec::new();
        if let Some(settings) = &discovery.dns_sd {
            // All names are parsed before anything is changed, so that an invalid name does not leave half of the
            // services configured.
            for text in settings.services.iter().chain([&settings.domain]) {
                parse_name(text)?;
            }
            for name in &settings.services {
                configured.push(self.ensure_service(name, settings)?);
            }
        }
        let mut removed = self.service_ids();
        removed.retain(|source| !configured.contains(source));
        for source in &removed {
            self.services.remove(source);
        }
        Ok(removed)
    }

    /// Returns the source id of the service with this name and these settings: the existing one, or a new one that has
    /// not been started.
    fn ensure_service(
        &mut self,
        name: &str,
        settings: &DnsSdSettings,
    ) -> Result<SourceId, RegistryError> {
        let mut existing = self.services.iter();
        if let Some((source, _)) = existing.find(|(_, s)| s.is_configured_as(name, settings)) {
            return Ok(*source);
        }
        let config = BrowserConfig {
            servers: settings.servers.clone(),
            service: parse_name(name)?,
            domain: parse_name(&settings.domain)?,
            ttl_range: (
                settings.ttl_floor_ms * NANOS_PER_MILLISECOND,
                settings.ttl_ceiling_ms * NANOS_PER_MILLISECOND,
            ),
            query_timeout: settings.timeout_ms * NANOS_PER_MILLISECOND,
            max_queries_per_second: settings.budget.into(),
            zones: self.shared.config.routing.zones.clone(),
        };
        let source = self.next_source;
        self.next_source += 1;
        let now = self.shared.clock.now();
        let service = Service {
            name: name.to_owned(),
            settings: settings.clone(),
            browser: Browser::new(config, source, rand::random(), now),
            queries: HashMap::new(),
        };
        self.services.insert(source, service);
        Ok(source)
    }

    pub(super) fn service_ids(&self) -> Vec<SourceId> {
        self.services.keys().copied().collect()
    }

    /// Applies reloaded settings; invalid ones are logged and change nothing.
    pub(super) fn on_settings(
        &mut self,
        now: Timestamp,
        discovery: &DiscoverySettings,
        changes: &mut Vec<ListChange>,
    ) {
        let before = self.service_ids();
        let removed = match self.configure_services(discovery) {
            Ok(removed) => removed,
            Err(e) => {
                warn!(self.shared.log, "reloaded discovery settings rejected"; "error" => %e);
                return;
            }
        };
        let mut added = self.service_ids();
        added.retain(|source| !before.contains(source));
        info!(self.shared.log, "discovery sources reloaded"; "new" => added.len(), "gone" => removed.len());
        // New services are started before others are removed, so that an endpoint that both name is never without a
        // source.
        for source in added {
            self.start_service(now, source, changes);
        }
        for source in removed {
            let input = RegistryInput::SourceRemoved { source };
            self.endpoints.handle(now, input, changes);
        }
    }

    pub(super) fn start_service(
        &mut self,
        now: Timestamp,
        source: SourceId,
        changes: &mut Vec<ListChange>,
    ) {
        let kind = SourceKind::DnsRecords;
        let input = RegistryInput::SourceAdded { source, kind };
        self.endpoints.handle(now, input, changes);
        self.drive_browser(now, source, changes, |browser, out| browser.start(now, out));
    }

    /// Passes a query's response, or its failure, to the service's browser.
    pub(super) fn on_dns_response(
        &mut self,
        now: Timestamp,
        source: SourceId,
        query: u64,
        bytes: Option<&[u8]>,
        changes: &mut Vec<ListChange>,
    ) {
        self.drive_browser(now, source, changes, |browser, out| match bytes {
            Some(bytes) => browser.on_response(now, query, bytes, out),
            None => browser.on_query_failed(now, query, out),
        });
    }

    /// Calls a service's browser with an input and executes its outputs.
    pub(super) fn drive_browser(
        &mut self,
        now: Timestamp,
        source: SourceId,
        changes: &mut Vec<ListChange>,
        input: impl FnOnce(&mut Browser, &mut Vec<BrowserOutput>),
    ) {
        let Some(service) = self.services.get_mut(&source) else {
            return;
        };
        let mut outputs = Vec::new();
        input(&mut service.browser, &mut outputs);
        for output in outputs {
            match output {
                BrowserOutput::UpdateRegistry(input) => self.endpoints.handle(now, input, changes),
                BrowserOutput::CancelQuery(query) => self.cancel_query(source, query),
                BrowserOutput::SendQuery(query) => self.start_query(source, query),
            }
        }
    }

    fn cancel_query(&mut self, source: SourceId, query: u64) {
        if let Some(service) = self.services.get_mut(&source) {
            service.queries.remove(&query);
        }
    }

    fn start_query(&mut self, source: SourceId, query: DnsQuery) {
        let Some(service) = self.services.get_mut(&source) else {
            return;
        };
        count(&self.shared.counters.dns_queries);
        let (cancel_on_drop, cancelled) = async_channel::bounded::<()>(1);
        service.queries.insert(query.id, cancel_on_drop);
        let Some(events) = self.shared.registry.clone() else {
            return;
        };
        let cancellation = async move {
            let _ = cancelled.recv().await;
        };
        let task = or(dns_query::run(source, query, events), cancellation);
        turn::spawn(&self.shared, &self.executor, TaskKind::Discovery, task);
    }
}
