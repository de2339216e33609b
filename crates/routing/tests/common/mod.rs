//! A small cluster for tests: settings, and a host that keeps what the balancer asked for.
#![allow(dead_code)]

use reelrill_routing::*;
use std::sync::Arc;

pub const MS: Timestamp = 1_000_000;
pub const T0: Timestamp = 1_000_000 * MS;
pub const BOUNDED: u32 = 0;
pub const SESSION: u32 = 1;
pub const WRITE: u32 = 2;
pub const FRESH: u32 = 3;
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

pub struct Host {
    pub balancer: Balancer,
    pub now: Timestamp,
    pub next: RequestId,
    timers: Vec<Timestamp>,
}

impl Host {
    /// Endpoints `a` (listed as the primary), `b` and `c`.
    pub fn new(set: Settings) -> Host {
        Host::seeded(set, 7)
    }

    pub fn seeded(set: Settings, seed: u64) -> Host {
        let mut host = Host {
            balancer: Balancer::new(seed, set).unwrap(),
            now: T0,
            next: 1,
            timers: Vec::new(),
        };
        let entries = vec![entry("a", true), entry("b", false), entry("c", false)];
        host.feed(Event::List {
            kind: ListKind::Cached,
            entries,
        });
        host
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for a in &out {
            if let Action::SetTimer { after, .. } = a {
                self.timers.push(self.now + after);
            }
        }
        out
    }

    /// Moves the clock on and feeds the timers that come due; returns all that was asked for.
    pub fn wait(&mut self, span: Nanos) -> Vec<Action> {
        let (end, mut all) = (self.now + span, Vec::new());
        while let Some(&t) = self.timers.iter().filter(|t| **t <= end).min() {
            self.timers.retain(|x| *x != t);
            self.now = self.now.max(t);
            all.extend(self.feed(Event::Timer { token: 1 }));
        }
        self.now = end;
        all
    }

    pub fn request(&mut self, class: u32) -> (RequestId, Vec<Action>) {
        let id = self.next;
        self.next += 1;
        let req = Request {
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
        (id, self.feed(Event::Request(req)))
    }

    pub fn outcome(
        &mut self,
        id: RequestId,
        to: &str,
        n: u32,
        outcome: AttemptOutcome,
        s: ReplicationStatus,
    ) -> Vec<Action> {
        let o = AttemptEnded {
            request: id,
            endpoint: Arc::from(to),
            attempt: n,
            outcome,
            replication: s,
            report: ReplicationStatus::default(),
            latency: 50 * MS,
            is_request_complete: outcome == AttemptOutcome::Served,
        };
        self.feed(Event::AttemptEnded(o))
    }

    /// Sends a request and serves it at once wherever it went; returns the endpoint.
    pub fn serve(&mut self, class: u32, applied_position: Timestamp) -> String {
        let (id, mut out) = self.request(class);
        for n in 0.. {
            let to = sent(&out).expect("sent").to_string();
            let write = class == WRITE || class == KEYED;
            if write && to != "a" {
                out = self.outcome(
                    id,
                    &to,
                    n,
                    AttemptOutcome::Misrouted,
                    replica(applied_position),
                );
                continue;
            }
            let s = if to == "a" {
                primary(applied_position)
            } else {
                replica(applied_position)
            };
            self.outcome(id, &to, n, AttemptOutcome::Served, s);
            return to;
        }
        unreachable!()
    }

    /// Lets every endpoint show its role and position.
    pub fn warm_up(&mut self) {
        for _ in 0..12 {
            self.serve(SESSION, self.now);
        }
    }
}

pub fn primary(applied_position: Timestamp) -> ReplicationStatus {
    ReplicationStatus {
        role: Some(Role::Primary),
        applied_position: Some(applied_position),
    }
}

pub fn replica(applied_position: Timestamp) -> ReplicationStatus {
    ReplicationStatus {
        role: Some(Role::Replica),
        applied_position: Some(applied_position),
    }
}

pub fn sent(out: &[Action]) -> Option<&str> {
    out.iter().find_map(|a| {
        if let Action::Send { endpoint, .. } = a {
            Some(&**endpoint)
        } else {
            None
        }
    })
}

pub fn refused(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Fail { .. }))
}
