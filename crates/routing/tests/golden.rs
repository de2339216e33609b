//! Golden test of every decision of the balancer: scripted, seeded runs with all kinds of events,
//! compared with the recorded sequence of actions, as a hash and a count of each kind.
//!
//! The hash covers numbers that this file assigns, never the debug text of a type: renaming a type
//! or a field doesn't change it. A commit that is meant to change decisions replaces the expected
//! values and gives the reason.

mod common;
use common::{KEYED, MS, START_TIME, WRITE, class};
use reelrill_routing::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Length of a scripted run, nanoseconds.
const RUN_LENGTH: Timestamp = 30_000 * MS;
const ENDPOINTS: u64 = 48;
const REPLICA_SETS: u64 = 6;
/// Number of kinds of actions.
const ACTION_KINDS: usize = 9;

/// Expected result of the scripted run with one seed.
struct Expected {
    seed: u64,
    /// Hash of all actions, with the time of each event and the number of endpoints after it.
    hash: u64,
    /// Number of sends, rejections, failures, cancellations, timers, health checks, subscriptions,
    /// list fetches and withdrawals.
    counts: [u64; ACTION_KINDS],
}

const EXPECTED: [Expected; 8] = [
    Expected {
        seed: 1,
        hash: 0xbc26_9deb_2270_1175,
        counts: [3447, 768, 36, 12, 901, 0, 8, 0, 0],
    },
    Expected {
        seed: 2,
        hash: 0xaf8c_8fa3_6566_6c54,
        counts: [3343, 684, 13, 7, 901, 0, 0, 0, 0],
    },
    Expected {
        seed: 3,
        hash: 0xf036_a2c1_9c20_fe17,
        counts: [4022, 869, 38, 14, 901, 0, 2, 0, 1],
    },
    Expected {
        seed: 4,
        hash: 0xdbff_22cf_d04f_555a,
        counts: [3308, 902, 6, 8, 900, 0, 8, 0, 0],
    },
    Expected {
        seed: 5,
        hash: 0xf0ca_99d8_9360_dd1a,
        counts: [3387, 575, 25, 10, 901, 0, 8, 0, 0],
    },
    Expected {
        seed: 6,
        hash: 0x4a87_f560_59fc_028c,
        counts: [4170, 509, 37, 11, 900, 0, 3, 0, 0],
    },
    Expected {
        seed: 7,
        hash: 0x97b8_5be5_c2e0_93d4,
        counts: [3365, 876, 9, 10, 901, 0, 0, 0, 0],
    },
    Expected {
        seed: 8,
        hash: 0x219b_4a70_392f_6bc1,
        counts: [2924, 1079, 24, 9, 893, 0, 12, 0, 0],
    },
];

/// FNV-1a hash over 64-bit numbers, byte by byte.
struct Fnv(u64);

impl Fnv {
    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// Linear congruential generator for the choices of the run, apart from the balancer's generator.
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Event that is due at a later time of the run.
enum ScheduledEvent {
    Timer(u64),
    AttemptEnded {
        request: RequestId,
        endpoint: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        sent_at: Timestamp,
    },
    ResponseStarted {
        request: RequestId,
        endpoint: u64,
        attempt: u32,
    },
    ClientDisconnected(RequestId),
}

/// A scripted endpoint.
struct Endpoint {
    state: EndpointState,
    started: Timestamp,
    /// How its attempts end: 0 served, 1 served slowly, 2 mostly with errors, 3 timed out, 4
    /// unreachable, 5 mostly rejected at capacity, 6 with a random outcome.
    fault_mode: u64,
    /// Replication lag while it is a replica, nanoseconds.
    lag: Timestamp,
}

/// A balancer with scripted clients and endpoints, and the hash and counts of its actions.
struct ScriptedRun {
    balancer: Balancer,
    settings: Settings,
    rng: Rng,
    now: Timestamp,
    /// Number of events scheduled so far, which orders events that are due at the same time.
    scheduled_count: u64,
    /// Scheduled events, by the time at which they are due and their order.
    scheduled_events: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    endpoints: Vec<Endpoint>,
    /// Number of the primary of each replica set.
    primaries: Vec<u64>,
    /// Class of each request.
    classes: BTreeMap<RequestId, u32>,
    /// Number of attempts sent for each request.
    attempts: BTreeMap<RequestId, u32>,
    /// Requests that are complete or whose client has disconnected.
    completed: BTreeSet<RequestId>,
    hash: Fnv,
    counts: [u64; ACTION_KINDS],
}

fn endpoint_name(number: u64) -> EndpointId {
    Arc::from(format!("e{number}"))
}

fn endpoint_number(name: &str) -> u64 {
    name[1..].parse().expect("a name from `endpoint_name`")
}

fn reason_code(reason: RejectReason) -> u64 {
    match reason {
        RejectReason::UnknownClass => 1,
        RejectReason::UnknownReplicaSet => 2,
        RejectReason::DeadlineTooClose => 3,
        RejectReason::AttemptLimitReached => 4,
        RejectReason::NoEligibleEndpoint => 5,
        RejectReason::LoadShed => 6,
        RejectReason::NotRetryable => 7,
        RejectReason::AttemptTimedOut => 8,
        RejectReason::RetryBudgetExhausted => 9,
        RejectReason::InvalidRequest => 10,
    }
}

/// Returns the settings of the run with this seed. All runs together cover every consistency,
/// idempotency, key scope, stale read policy, list role and report source.
fn settings_for_seed(seed: u64) -> Settings {
    let mut settings = common::settings();
    settings.classes.push(class(
        Operation::Read(Consistency::Eventual),
        Idempotency::Idempotent,
    ));
    settings.classes.push(class(
        Operation::Write,
        Idempotency::IdempotencyKey(KeyScope::Zone),
    ));
    settings.classes.push(class(
        Operation::Write,
        Idempotency::IdempotencyKey(KeyScope::All),
    ));
    settings.router_count = [1, 3, 40, 300][seed as usize % 4];
    settings.stale_reads = [
        StaleReadPolicy::Serve,
        StaleReadPolicy::Reject,
        StaleReadPolicy::Wait(100 * MS),
    ][seed as usize % 3];
    settings.has_session_positions = seed & 1 == 1;
    settings.rules.allows_unlisted_endpoints = seed & 4 == 4;
    settings.list_role = [ListRole::Delayed, ListRole::None, ListRole::Initial][seed as usize % 3];
    settings.reports = [
        ReportSource::None,
        ReportSource::Responses,
        ReportSource::HealthChecks,
    ][seed as usize % 3];
    settings.is_subscription_required = seed & 2 == 2;
    settings.rules.slow_start_duration = 3000 * MS;
    settings.tenants = vec![Tenant { quota: 20.0 }, Tenant { quota: 2000.0 }];
    settings
}

impl ScriptedRun {
    fn new(seed: u64) -> ScriptedRun {
        let settings = settings_for_seed(seed);
        let new_endpoint = |number: u64| Endpoint {
            state: if number < ENDPOINTS / 2 {
                EndpointState::Serving
            } else {
                EndpointState::Removed
            },
            started: 0,
            fault_mode: 0,
            lag: number % 7 * 60 * MS,
        };
        ScriptedRun {
            balancer: Balancer::new(seed, settings.clone()).expect("valid settings"),
            settings,
            rng: Rng(seed),
            now: START_TIME,
            scheduled_count: 0,
            scheduled_events: BTreeMap::new(),
            endpoints: (0..ENDPOINTS).map(new_endpoint).collect(),
            primaries: (0..REPLICA_SETS).collect(),
            classes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            completed: BTreeSet::new(),
            hash: Fnv(0xcbf2_9ce4_8422_2325),
            counts: [0; ACTION_KINDS],
        }
    }

    /// Runs the script and returns the hash and the counts of the actions.
    fn run(mut self) -> (u64, [u64; ACTION_KINDS]) {
        self.send_whole_list(ListKind::Cached);
        let (mut next_request, mut next_change) = (START_TIME, START_TIME + 500 * MS);
        let mut id = 1;
        while self.now < START_TIME + RUN_LENGTH {
            let due = self
                .scheduled_events
                .keys()
                .next()
                .map_or(Timestamp::MAX, |key| key.0);
            self.now = due.min(next_request).min(next_change).max(self.now);
            if due <= self.now {
                let (_, scheduled) = self
                    .scheduled_events
                    .pop_first()
                    .expect("a scheduled event");
                self.on_scheduled(scheduled);
            } else if next_change <= self.now {
                next_change += (20 + self.rng.below(250)) * MS;
                self.apply_random_change();
            } else {
                // Bursts of 4 s alternate with 4 s of lower load.
                let is_burst = (self.now / (4000 * MS)).is_multiple_of(2);
                next_request += self.rng.below(if is_burst { 12 } else { 60 }) * MS;
                self.request(id);
                id += 1;
            }
        }
        (self.hash.0, self.counts)
    }

    fn schedule(&mut self, after: Nanos, scheduled: ScheduledEvent) {
        self.scheduled_count += 1;
        self.scheduled_events
            .insert((self.now + after, self.scheduled_count), scheduled);
    }

    fn entry(&self, number: u64) -> EndpointEntry {
        let endpoint = &self.endpoints[number as usize];
        let replica_set = number % REPLICA_SETS;
        EndpointEntry {
            endpoint: endpoint_name(number),
            started: endpoint.started,
            is_primary: self.primaries[replica_set as usize] == number,
            state: endpoint.state,
            weight: 1.0,
            replica_set: replica_set as u32,
            zone: (number / REPLICA_SETS % 2) as u32,
        }
    }

    fn send_whole_list(&mut self, kind: ListKind) {
        let is_listed =
            |number: &u64| self.endpoints[*number as usize].state != EndpointState::Removed;
        let entries = (0..ENDPOINTS)
            .filter(is_listed)
            .map(|number| self.entry(number))
            .collect();
        self.handle(Event::List { kind, entries });
    }

    /// Changes the list state or the fault mode of a random endpoint, makes it the primary, or
    /// passes the whole list, a failed list update, or the end of a health check to the balancer.
    fn apply_random_change(&mut self) {
        let endpoint = self.rng.below(ENDPOINTS);
        let index = endpoint as usize;
        match self.rng.below(20) {
            0..4 => self.endpoints[index].state = EndpointState::Draining,
            4..7 => self.endpoints[index].state = EndpointState::Removed,
            7..13 => {
                self.endpoints[index].state = EndpointState::Serving;
                self.endpoints[index].started = self.now;
                self.endpoints[index].fault_mode = 0;
            }
            13 => {
                self.primaries[(endpoint % REPLICA_SETS) as usize] = endpoint;
                return;
            }
            14 => return self.send_whole_list(ListKind::Full),
            15 => {
                self.handle(Event::List {
                    kind: ListKind::Failed,
                    entries: Vec::new(),
                });
                return;
            }
            16 => {
                let report = ReplicationStatus {
                    role: Some(Role::Replica),
                    applied_position: Some(self.now),
                };
                self.handle(Event::HealthCheckEnded {
                    endpoint: endpoint_name(endpoint),
                    outcome: AttemptOutcome::Served,
                    report,
                });
                return;
            }
            _ => {
                self.endpoints[index].fault_mode = self.rng.below(10).saturating_sub(3);
                return;
            }
        }
        let entries = vec![self.entry(endpoint)];
        self.handle(Event::List {
            kind: ListKind::Changes,
            entries,
        });
    }

    fn request(&mut self, id: RequestId) {
        let class = self.rng.below(8) as u32;
        let session = self.rng.below(40);
        let time_left = (30 + self.rng.below(2000)) * MS;
        let request = Request {
            id,
            class,
            // One request in 100 is for a replica set without endpoints.
            replica_set: (self.rng.below(100) * REPLICA_SETS / 99) as u32,
            session: (session < 30).then(|| Arc::from(format!("session {session}"))),
            since_write: (session < 20).then_some(session * 37 * MS),
            tenant: [None, Some(0), Some(1)][self.rng.below(3) as usize],
            expected_execution_time: (session.is_multiple_of(4)).then_some(session * MS),
            is_retry: session.is_multiple_of(9),
            time_left,
        };
        self.classes.insert(id, class);
        if self.rng.below(20) == 0 {
            let after = self.rng.below(300) * MS;
            self.schedule(after, ScheduledEvent::ClientDisconnected(id));
        }
        self.handle(Event::Request(request));
    }

    fn on_scheduled(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Timer(token) => self.handle(Event::Timer { token }),
            ScheduledEvent::ResponseStarted {
                request,
                endpoint,
                attempt,
            } => {
                self.handle(Event::ResponseStarted {
                    request,
                    attempt,
                    endpoint: endpoint_name(endpoint),
                });
            }
            ScheduledEvent::ClientDisconnected(request) => {
                if self.completed.insert(request) {
                    self.handle(Event::ClientDisconnected { request });
                }
            }
            ScheduledEvent::AttemptEnded {
                request,
                endpoint,
                attempt,
                outcome,
                sent_at,
            } => {
                self.end_attempt(request, endpoint, attempt, outcome, sent_at);
            }
        }
    }

    fn end_attempt(
        &mut self,
        request: RequestId,
        endpoint: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        sent_at: Timestamp,
    ) {
        let is_primary = self.primaries[(endpoint % REPLICA_SETS) as usize] == endpoint;
        let lag = if is_primary {
            0
        } else {
            self.endpoints[endpoint as usize].lag
        };
        let role = if is_primary {
            Role::Primary
        } else {
            Role::Replica
        };
        let has_status = matches!(
            outcome,
            AttemptOutcome::Served
                | AttemptOutcome::Error
                | AttemptOutcome::Overloaded
                | AttemptOutcome::Misrouted
        );
        let status = ReplicationStatus {
            role: Some(role),
            applied_position: Some(self.now - lag),
        };
        let has_report = has_status && self.settings.reports == ReportSource::Responses;
        if outcome == AttemptOutcome::Served {
            self.completed.insert(request);
        }
        self.handle(Event::AttemptEnded(AttemptEnded {
            request,
            endpoint: endpoint_name(endpoint),
            attempt,
            outcome,
            replication: if has_status {
                status
            } else {
                ReplicationStatus::default()
            },
            report: if has_report {
                status
            } else {
                ReplicationStatus::default()
            },
            latency: self.now - sent_at,
            is_request_complete: self.completed.contains(&request),
        }));
    }

    /// Draws the outcome of an attempt, and the time until it ends.
    fn draw_outcome(&mut self, class: u32, endpoint: u64) -> (AttemptOutcome, Nanos) {
        const ALL_OUTCOMES: [AttemptOutcome; 12] = [
            AttemptOutcome::Served,
            AttemptOutcome::Error,
            AttemptOutcome::Overloaded,
            AttemptOutcome::TimedOut,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::ConnectionReset,
            AttemptOutcome::Cancelled,
            AttemptOutcome::Abandoned,
            AttemptOutcome::Misrouted,
            AttemptOutcome::MalformedResponse,
            AttemptOutcome::NotSent,
            AttemptOutcome::InvalidRequest,
        ];
        let draw = self.rng.below(100);
        let short_latency = (1 + self.rng.below(40)) * MS;
        let is_write = matches!(
            self.settings.classes[class as usize].operation,
            Operation::Write
        );
        let is_primary = self.primaries[(endpoint % REPLICA_SETS) as usize] == endpoint;
        match self.endpoints[endpoint as usize].fault_mode {
            4 => (AttemptOutcome::ConnectFailed, short_latency),
            _ if is_write && !is_primary => (AttemptOutcome::Misrouted, short_latency),
            1 => (AttemptOutcome::Served, short_latency * 20),
            2 if draw < 70 => (AttemptOutcome::Error, short_latency),
            3 => (AttemptOutcome::TimedOut, 600 * MS),
            5 if draw < 60 => (AttemptOutcome::Overloaded, short_latency / 4),
            6 => (
                ALL_OUTCOMES[self.rng.below(ALL_OUTCOMES.len() as u64) as usize],
                short_latency,
            ),
            _ if draw < 2 => (
                ALL_OUTCOMES[self.rng.below(ALL_OUTCOMES.len() as u64) as usize],
                short_latency,
            ),
            _ => (AttemptOutcome::Served, short_latency),
        }
    }

    /// Passes an event to the balancer, and hashes, counts and executes the actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.hash.add(self.now);
        self.hash.add(self.balancer.endpoint_count() as u64);
        self.hash.add(self.now);
        self.hash.add(self.balancer.endpoint_count() as u64);
        for action in actions {
            let codes = self.execute(action);
            self.counts[codes[0] as usize - 1] += 1;
            codes.into_iter().for_each(|code| self.hash.add(code));
        }
    }

    /// Executes an action and returns its codes for the hash. The first is its kind, counted from 1
    /// in the order of [`Expected::counts`].
    fn execute(&mut self, action: Action) -> [u64; 4] {
        match action {
            Action::Send {
                request,
                endpoint,
                limit,
                write_by: latest_write,
            } => {
                assert_eq!(
                    limit, None,
                    "the hash has no code for a limit of an attempt"
                );
                self.send(request, endpoint_number(&endpoint));
                [
                    1,
                    request,
                    endpoint_number(&endpoint),
                    latest_write.unwrap_or(0),
                ]
            }
            Action::Reject {
                request,
                reason,
                retry_after,
            } => {
                self.completed.insert(request);
                [2, request, reason_code(reason), retry_after.unwrap_or(0)]
            }
            Action::Fail { request, reason } => {
                self.completed.insert(request);
                [3, request, reason_code(reason), 0]
            }
            Action::Cancel { request, attempt } => {
                self.cancel(request, attempt);
                [4, request, u64::from(attempt), 0]
            }
            Action::SetTimer { after, token } => {
                self.schedule(after, ScheduledEvent::Timer(token));
                [5, after, token, 0]
            }
            Action::CheckHealth { endpoint } => [6, endpoint_number(&endpoint), 0, 0],
            Action::Subscribe => [7, 0, 0, 0],
            Action::FetchList => [8, 0, 0, 0],
            // The scripted attempts are written in the instant in which they are sent, so a
            // withdrawal has no effect on them.
            Action::Withdraw { request, attempt } => [9, request, u64::from(attempt), 0],
        }
    }

    fn send(&mut self, request: RequestId, endpoint: u64) {
        let attempt_count = self.attempts.entry(request).or_insert(0);
        let attempt = *attempt_count;
        *attempt_count += 1;
        let class = self.classes[&request];
        let (outcome, after) = self.draw_outcome(class, endpoint);
        // One served read in 16 has a streamed response.
        let is_streamed = outcome == AttemptOutcome::Served
            && class != WRITE
            && class != KEYED
            && request.is_multiple_of(16);
        if is_streamed {
            self.schedule(
                after / 2,
                ScheduledEvent::ResponseStarted {
                    request,
                    endpoint,
                    attempt,
                },
            );
        }
        self.schedule(
            after,
            ScheduledEvent::AttemptEnded {
                request,
                endpoint,
                attempt,
                outcome,
                sent_at: self.now,
            },
        );
    }

    /// Ends an attempt at once as cancelled, in place of the outcome that was drawn for it.
    fn cancel(&mut self, request: RequestId, attempt: u32) {
        let is_attempt_end = |scheduled: &ScheduledEvent| matches!(scheduled, ScheduledEvent::AttemptEnded { request: r, attempt: a, .. } if *r == request && *a == attempt);
        let key = self
            .scheduled_events
            .iter()
            .find(|(_, scheduled)| is_attempt_end(scheduled))
            .map(|(key, _)| *key);
        if let Some(ScheduledEvent::AttemptEnded {
            endpoint, sent_at, ..
        }) = key.and_then(|key| self.scheduled_events.remove(&key))
        {
            let outcome = AttemptOutcome::Cancelled;
            self.schedule(
                0,
                ScheduledEvent::AttemptEnded {
                    request,
                    endpoint,
                    attempt,
                    outcome,
                    sent_at,
                },
            );
        }
    }
}

/// Guards every decision against an unintended change, such as by a refactoring: each run must give
/// exactly the recorded actions, in the same order.
#[test]
fn scripted_runs_give_the_recorded_actions() {
    let mut changed = Vec::new();
    for expected in EXPECTED {
        let (hash, counts) = ScriptedRun::new(expected.seed).run();
        if (hash, counts) != (expected.hash, expected.counts) {
            changed.push(format!(
                "seed: {}, hash: {hash:#018x}, counts: {counts:?}",
                expected.seed
            ));
        }
    }
    assert!(
        changed.is_empty(),
        "decisions have changed:\n{}",
        changed.join("\n")
    );
}
