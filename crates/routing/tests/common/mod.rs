//! Test support: settings with one class of each kind, and a router of one replica set around the
//! balancer, with a clock and timers that the test controls.
#![allow(dead_code)]

use reelrill_routing::*;
use std::sync::Arc;

/// Nanoseconds per millisecond.
pub const MS: Timestamp = 1_000_000;
/// Clock of the test router at its start, nanoseconds.
pub const START_TIME: Timestamp = 1_000_000 * MS;
/// Class of reads with a staleness bound of 300 ms.
pub const BOUNDED: u32 = 0;
/// Class of read-your-writes reads.
pub const SESSION: u32 = 1;
/// Class of writes that are not idempotent.
pub const WRITE: u32 = 2;
/// Class of strongly consistent reads.
pub const STRONG: u32 = 3;
/// Class of writes with an idempotency key.
pub const KEYED: u32 = 4;

pub fn class(operation: Operation, idempotency: Idempotency) -> Class {
    Class {
        operation,
        idempotency,
        deduplication_window: 3000 * MS,
        latency_objective: 400 * MS,
        objective_stretch: 0.0,
        deadline: 2000 * MS,
        priority_weight: 1.0,
        late_weight: if operation == Operation::Write {
            0.3
        } else {
            0.0
        },
    }
}

/// Settings with the classes [`BOUNDED`] to [`KEYED`], where only responses carry positions.
pub fn settings() -> Settings {
    Settings {
        router_count: 2,
        zone: 0,
        min_batch_interval: 5 * MS,
        classes: vec![
            class(
                Operation::Read(Consistency::BoundedStaleness(300 * MS)),
                Idempotency::Idempotent,
            ),
            class(
                Operation::Read(Consistency::ReadYourWrites),
                Idempotency::Idempotent,
            ),
            class(Operation::Write, Idempotency::NonIdempotent),
            class(
                Operation::Read(Consistency::Strong),
                Idempotency::Idempotent,
            ),
            class(
                Operation::Write,
                Idempotency::IdempotencyKey(KeyScope::ReplicaSet),
            ),
        ],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        reports: ReportSource::None,
        has_applied_positions: true,
        has_session_positions: false,
        stale_reads: StaleReadPolicy::Serve,
        list_role: ListRole::Delayed,
        is_subscription_required: false,
        rules: Rules {
            drain_grace: 1000 * MS,
            allows_unlisted_endpoints: false,
            slow_start_initial_fraction: 0.2,
            slow_start_duration: 10_000 * MS,
            overload_multiple: 3.0,
            overload_window: 1000 * MS,
            poll_interval: 10_000 * MS,
        },
        limits: Limits {
            max_attempts: 6,
            allows_health_checks: true,
            allows_cancellation: true,
            allows_hedging: true,
            allows_retry_advice: true,
            max_retry_advice: 500 * MS,
            connect_timeout: 250 * MS,
        },
    }
}

/// Entry of a serving endpoint of replica set 1 in the endpoint list.
pub fn entry(name: &str, is_primary: bool) -> EndpointEntry {
    EndpointEntry {
        endpoint: Arc::from(name),
        started: 0,
        is_primary,
        state: EndpointState::Serving,
        weight: 1.0,
        replica_set: 1,
        zone: 0,
    }
}

/// A balancer with the clock and the timers of a router.
pub struct TestRouter {
    pub balancer: Balancer,
    pub now: Timestamp,
    pub next_request: RequestId,
    timers: Vec<Timestamp>,
}

impl TestRouter {
    /// Creates a router with endpoints `a` (listed as the primary), `b` and `c`.
    pub fn new(settings: Settings) -> TestRouter {
        TestRouter::with_seed(settings, 7)
    }

    pub fn with_seed(settings: Settings, seed: u64) -> TestRouter {
        let mut router = TestRouter {
            balancer: Balancer::new(seed, settings).unwrap(),
            now: START_TIME,
            next_request: 1,
            timers: Vec::new(),
        };
        let entries = vec![entry("a", true), entry("b", false), entry("c", false)];
        router.handle(Event::List {
            kind: ListKind::Cached,
            entries,
        });
        router
    }

    /// Passes an event to the balancer, sets the timers of its actions, and returns the actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::SetTimer { after, .. } = action {
                self.timers.push(self.now + after);
            }
        }
        actions
    }

    /// Advances the clock by `span`, handles the timers that come due, and returns all actions.
    pub fn advance(&mut self, span: Nanos) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        while let Some(&due) = self.timers.iter().filter(|t| **t <= end).min() {
            self.timers.retain(|t| *t != due);
            self.now = self.now.max(due);
            actions.extend(self.handle(Event::Timer { token: 1 }));
        }
        self.now = end;
        actions
    }

    /// Passes a request of the class, with session `s` and 2 s until its deadline, to the balancer.
    pub fn request(&mut self, class: u32) -> (RequestId, Vec<Action>) {
        let id = self.next_request;
        self.next_request += 1;
        let request = Request {
            id,
            class,
            replica_set: 1,
            session: Some(Arc::from("s")),
            since_write: None,
            tenant: None,
            expected_execution_time: None,
            is_retry: false,
            time_left: 2000 * MS,
        };
        (id, self.handle(Event::Request(request)))
    }

    /// Ends an attempt after a latency of 50 ms; a served attempt completes its request.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        endpoint: &str,
        attempt: u32,
        outcome: AttemptOutcome,
        replication: ReplicationStatus,
    ) -> Vec<Action> {
        let ended = AttemptEnded {
            request,
            endpoint: Arc::from(endpoint),
            attempt,
            outcome,
            replication,
            report: ReplicationStatus::default(),
            latency: 50 * MS,
            is_request_complete: outcome == AttemptOutcome::Served,
        };
        self.handle(Event::AttemptEnded(ended))
    }

    /// Sends a request and serves it at once wherever it is sent; returns the endpoint. Replicas
    /// reject writes as misrouted, and `a` is the primary.
    pub fn serve(&mut self, class: u32, applied_position: Timestamp) -> String {
        let (id, mut actions) = self.request(class);
        for attempt in 0.. {
            let endpoint = sent_to(&actions).expect("sent").to_string();
            let is_write = class == WRITE || class == KEYED;
            if is_write && endpoint != "a" {
                actions = self.end_attempt(
                    id,
                    &endpoint,
                    attempt,
                    AttemptOutcome::Misrouted,
                    replica_status(applied_position),
                );
                continue;
            }
            let replication = if endpoint == "a" {
                primary_status(applied_position)
            } else {
                replica_status(applied_position)
            };
            self.end_attempt(id, &endpoint, attempt, AttemptOutcome::Served, replication);
            return endpoint;
        }
        unreachable!()
    }

    /// Serves 12 session reads, after which the role and position of every endpoint are known.
    pub fn warm_up(&mut self) {
        for _ in 0..12 {
            self.serve(SESSION, self.now);
        }
    }
}

pub fn primary_status(applied_position: Timestamp) -> ReplicationStatus {
    ReplicationStatus {
        role: Some(Role::Primary),
        applied_position: Some(applied_position),
    }
}

pub fn replica_status(applied_position: Timestamp) -> ReplicationStatus {
    ReplicationStatus {
        role: Some(Role::Replica),
        applied_position: Some(applied_position),
    }
}

/// Returns the endpoint of the first [`Action::Send`].
pub fn sent_to(actions: &[Action]) -> Option<&str> {
    actions.iter().find_map(|action| {
        if let Action::Send { endpoint, .. } = action {
            Some(&**endpoint)
        } else {
            None
        }
    })
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}
