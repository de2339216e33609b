//! Runs the task that watches the endpoint list: it polls the discovery service when the dispatcher requests a list or
//! the watch schedules a poll, and reports the result.
//!
//! The task owns the [`ListWatch`] and the [`DiscoveryClient`]. It never changes a list. It reports to the endpoint
//! registry if there are several sources of endpoints, otherwise to the dispatcher.

use crate::discovery::client::{self, DiscoveryClient, PollResult};
use crate::discovery::messages::{EndpointListRequest, RegistryEvent};
use crate::messages::Message;
use crate::runtime::shared::Shared;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use reelrill_routing::{ListKind, Nanos, Timestamp};
use reelrill_service_discovery::watch::{
    ListRequest, ListService, ListWatch, NextStep, PollRequest,
};
use slog::debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An event that wakes the task.
enum Wakeup {
    PollEnded(PollResult),
    ListRequested(EndpointListRequest),
    /// The configuration has been reloaded, and contains this address of the discovery service.
    AddressReloaded(SocketAddr),
    /// The dispatcher has ended.
    DispatcherEnded,
}

/// A poll to be sent after a delay, in nanoseconds.
#[derive(Clone, Copy)]
struct ScheduledPoll {
    request: PollRequest,
    delay: Nanos,
}

struct ListWatchTask {
    shared: Rc<Shared>,
    client: DiscoveryClient,
    watch: ListWatch,
    requests: Receiver<EndpointListRequest>,
    addresses: Receiver<SocketAddr>,
    scheduled: Option<ScheduledPoll>,
}

/// Runs until the dispatcher's end of `requests` is dropped. `addresses` receives the service's address whenever the
/// configuration has been reloaded.
pub async fn run(
    shared: Rc<Shared>,
    requests: Receiver<EndpointListRequest>,
    addresses: Receiver<SocketAddr>,
) {
    let service = if shared.config.routing.settings.is_subscription_required {
        ListService::Shared
    } else {
        ListService::LocalAgent
    };
    let mut task = ListWatchTask {
        client: DiscoveryClient::new(shared.clone()),
        watch: ListWatch::new(service, shared.config.known_list.0),
        shared,
        requests,
        addresses,
        scheduled: None,
    };
    let now = task.shared.clock.now();
    let initial = task.watch.initial_poll(now);
    task.scheduled = initial.map(|request| ScheduledPoll { request, delay: 0 });
    task.run().await;
}

impl ListWatchTask {
    async fn run(&mut self) {
        loop {
            let scheduled = self.scheduled.take();
            let wakeup = self.next_wakeup(scheduled).await;
            let now = self.shared.clock.now();
            match wakeup {
                Wakeup::PollEnded(result) => self.on_poll_ended(now, result).await,
                Wakeup::ListRequested(request) => self.schedule_request(now, list_request(request)),
                Wakeup::AddressReloaded(address) => self.on_address(now, address),
                Wakeup::DispatcherEnded => return,
            }
        }
    }

    /// Performs the scheduled poll, if there is one, unless an event occurs first that replaces it.
    async fn next_wakeup(&self, scheduled: Option<ScheduledPoll>) -> Wakeup {
        let address = self.next_address();
        let Some(scheduled) = scheduled else {
            return or(address, self.next_request()).await;
        };
        let poll = self.poll(scheduled);
        // A new address ends a poll of the old one, because that poll may hang, or its service may be about to close. A
        // request for the complete list ends only the long poll of an open watch: a poll that opens a watch does not
        // wait for changes, and ends soon.
        if self.watch.is_open() {
            or(address, or(self.next_request(), poll)).await
        } else {
            or(address, poll).await
        }
    }

    async fn poll(&self, scheduled: ScheduledPoll) -> Wakeup {
        if scheduled.delay > 0 {
            Timer::after(Duration::from_nanos(scheduled.delay)).await;
        }
        Wakeup::PollEnded(self.client.poll(&scheduled.request).await)
    }

    async fn next_address(&self) -> Wakeup {
        match self.addresses.recv().await {
            Ok(address) => Wakeup::AddressReloaded(address),
            Err(_) => futures_lite::future::pending().await,
        }
    }

    async fn next_request(&self) -> Wakeup {
        loop {
            match self.requests.recv().await {
                // The open watch already fulfils this request, and ending its poll would require another one.
                Ok(EndpointListRequest::Subscribe) if self.watch.is_open() => {}
                Ok(request) => return Wakeup::ListRequested(request),
                Err(_) => return Wakeup::DispatcherEnded,
            }
        }
    }

    fn schedule_request(&mut self, now: Timestamp, request: ListRequest) {
        let request = self.watch.request(now, request);
        self.scheduled = Some(ScheduledPoll { request, delay: 0 });
    }

    fn on_address(&mut self, now: Timestamp, address: SocketAddr) {
        if self.client.set_address(address) {
            self.watch.on_service_replaced();
        }
        // Polls at once even if the address has not changed, because a poll may have been dropped just now.
        self.schedule_request(now, ListRequest::Changes);
    }

    async fn on_poll_ended(&mut self, now: Timestamp, result: PollResult) {
        let next_step = self.watch.complete_poll(now, client::outcome(&result));
        let mut should_report = true;
        if let NextStep::Poll {
            request,
            delay,
            should_suppress_report,
        } = next_step
        {
            self.scheduled = Some(ScheduledPoll { request, delay });
            should_report = !should_suppress_report;
        }
        // This poll fulfils the requests received meanwhile, except those for the complete list.
        while let Ok(request) = self.requests.try_recv() {
            if matches!(request, EndpointListRequest::Fetch) {
                self.schedule_request(now, ListRequest::Snapshot);
            }
        }
        if let Err(error) = &result {
            self.client.record_failure(error);
        }
        if should_report {
            self.report(result).await;
        }
    }

    async fn report(&self, result: PollResult) {
        let version = result.as_ref().map_or(0, |list| list.version);
        let (kind, listed) = match result {
            Ok(list) => {
                debug!(self.shared.log, "endpoint list received"; "rev" => list.version, "whole" => list.is_complete,
                       "entries" => list.entries.len(), "ms" => self.client.elapsed_ms());
                let kind = if list.is_complete {
                    ListKind::Full
                } else {
                    ListKind::Changes
                };
                (kind, list.entries)
            }
            Err(_) => (ListKind::Failed, Vec::new()),
        };
        // Sending fails only when the receiving task has ended, and then the report is not needed.
        if let Some(registry) = &self.shared.registry {
            let event = RegistryEvent::EndpointList {
                kind,
                listed,
                version,
            };
            let _ = registry.send(event).await;
        } else {
            let message = Message::EndpointList { kind, listed };
            let _ = self.shared.dispatcher.send(message).await;
        }
    }
}

fn list_request(request: EndpointListRequest) -> ListRequest {
    match request {
        EndpointListRequest::Subscribe => ListRequest::Changes,
        EndpointListRequest::Fetch => ListRequest::Snapshot,
    }
}
