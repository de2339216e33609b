//! Guards every decision against a change that was not meant: scripted days, seeded, with all kinds of events, and the
//! exact sequence of actions that each led to when this was written, as a hash and a count by kind.
//!
//! The hash is over numbers that this file assigns, never over a type's debug text: renaming a type or a field changes
//! nothing here. A commit that is meant to change decisions replaces the expected values and says why.

mod common;
use common::{KEYED, MS, START_TIME, WRITE, class};
use reelrill_routing::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const DAY: Timestamp = 30_000 * MS;
const ENDPOINTS: u64 = 48;
const REPLICA_SETS: u64 = 6;
const KINDS: usize = 8;

/// What one seed's day is expected to lead to.
struct Expected {
    seed: u64,
    hash: u64,
    /// Sends, refusals, failures, cancellations, timers, probes, subscriptions, list fetches.
    counts: [u64; KINDS],
}

const EXPECTED: [Expected; 8] = [
    Expected {
        seed: 1,
        hash: 0xbc26_9deb_2270_1175,
        counts: [3447, 768, 36, 12, 901, 0, 8, 0],
    },
    Expected {
        seed: 2,
        hash: 0xaf8c_8fa3_6566_6c54,
        counts: [3343, 684, 13, 7, 901, 0, 0, 0],
    },
    Expected {
        seed: 3,
        hash: 0xadf2_88e4_44eb_2adf,
        counts: [4022, 869, 38, 14, 901, 0, 2, 0],
    },
    Expected {
        seed: 4,
        hash: 0xdbff_22cf_d04f_555a,
        counts: [3308, 902, 6, 8, 900, 0, 8, 0],
    },
    Expected {
        seed: 5,
        hash: 0xf0ca_99d8_9360_dd1a,
        counts: [3387, 575, 25, 10, 901, 0, 8, 0],
    },
    Expected {
        seed: 6,
        hash: 0x3e7c_2f4f_bdf8_d02c,
        counts: [4170, 509, 37, 11, 900, 0, 3, 0],
    },
    Expected {
        seed: 7,
        hash: 0x97b8_5be5_c2e0_93d4,
        counts: [3365, 876, 9, 10, 901, 0, 0, 0],
    },
    Expected {
        seed: 8,
        hash: 0x219b_4a70_392f_6bc1,
        counts: [2924, 1079, 24, 9, 893, 0, 12, 0],
    },
];

/// FNV-1a over 64-bit numbers, byte by byte.
struct Fnv(u64);

impl Fnv {
    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

/// A linear congruence for the script's own choices, apart from the generator under test.
struct Choices(u64);

impl Choices {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// What comes at a point of time.
enum Scheduled {
    Timer(u64),
    AttemptEnded {
        request: RequestId,
        endpoint: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        sent: Timestamp,
    },
    Started {
        request: RequestId,
        endpoint: u64,
        attempt: u32,
    },
    ClientLeaves(RequestId),
}

struct Endpoint {
    state: EndpointState,
    started: Timestamp,
    /// How its attempts end: 0 well, 1 slowly, 2 by errors, 3 not at all, 4 it can't be reached, 5 full, 6 anyhow.
    condition: u64,
    lag: Timestamp,
}

struct Day {
    balancer: Balancer,
    settings: Settings,
    choices: Choices,
    now: Timestamp,
    order: u64,
    queue: BTreeMap<(Timestamp, u64), Scheduled>,
    endpoints: Vec<Endpoint>,
    primaries: Vec<u64>,
    classes: BTreeMap<RequestId, u32>,
    attempts: BTreeMap<RequestId, u32>,
    over: BTreeSet<RequestId>,
    hash: Fnv,
    counts: [u64; KINDS],
}

fn name(endpoint: u64) -> EndpointId {
    Arc::from(format!("e{endpoint}"))
}

fn number(name: &str) -> u64 {
    name[1..].parse().expect("a name of this test's own")
}

fn cause_code(reason: RejectReason) -> u64 {
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

/// Each seed has settings of its own, so that every way of reading and repeating comes up.
fn settings_of(seed: u64) -> Settings {
    let mut set = common::settings();
    set.classes.push(class(
        Operation::Read(Consistency::Eventual),
        Idempotency::Idempotent,
    ));
    set.classes.push(class(
        Operation::Write,
        Idempotency::IdempotencyKey(KeyScope::Zone),
    ));
    set.classes.push(class(
        Operation::Write,
        Idempotency::IdempotencyKey(KeyScope::All),
    ));
    set.router_count = [1, 3, 40, 300][seed as usize % 4];
    set.stale_reads = [
        StaleReadPolicy::Serve,
        StaleReadPolicy::Reject,
        StaleReadPolicy::Wait(100 * MS),
    ][seed as usize % 3];
    set.has_session_positions = seed & 1 == 1;
    set.rules.allows_unlisted_endpoints = seed & 4 == 4;
    set.list_role = [ListRole::Delayed, ListRole::None, ListRole::Initial][seed as usize % 3];
    set.reports = [
        ReportSource::None,
        ReportSource::Responses,
        ReportSource::HealthChecks,
    ][seed as usize % 3];
    set.is_subscription_required = seed & 2 == 2;
    set.rules.slow_start_duration = 3000 * MS;
    set.tenants = vec![Tenant { quota: 20.0 }, Tenant { quota: 2000.0 }];
    set
}

impl Day {
    fn new(seed: u64) -> Day {
        let settings = settings_of(seed);
        let new = |n: u64| Endpoint {
            state: if n < ENDPOINTS / 2 {
                EndpointState::Serving
            } else {
                EndpointState::Removed
            },
            started: 0,
            condition: 0,
            lag: n % 7 * 60 * MS,
        };
        Day {
            balancer: Balancer::new(seed, settings.clone()).expect("good settings"),
            settings,
            choices: Choices(seed),
            now: START_TIME,
            order: 0,
            queue: BTreeMap::new(),
            endpoints: (0..ENDPOINTS).map(new).collect(),
            primaries: (0..REPLICA_SETS).collect(),
            classes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            over: BTreeSet::new(),
            hash: Fnv(0xcbf2_9ce4_8422_2325),
            counts: [0; KINDS],
        }
    }

    fn run(mut self) -> (u64, [u64; KINDS]) {
        self.tell_whole_list(ListKind::Cached);
        let (mut next_request, mut next_change) = (START_TIME, START_TIME + 500 * MS);
        let mut id = 1;
        while self.now < START_TIME + DAY {
            let due = self.queue.keys().next().map_or(Timestamp::MAX, |key| key.0);
            self.now = due.min(next_request).min(next_change).max(self.now);
            if due <= self.now {
                let (_, scheduled) = self.queue.pop_first().expect("one that is due");
                self.on_scheduled(scheduled);
            } else if next_change <= self.now {
                next_change += (20 + self.choices.below(250)) * MS;
                self.change_world();
            } else {
                // Bursts and quiet spells.
                let is_burst = (self.now / (4000 * MS)).is_multiple_of(2);
                next_request += self.choices.below(if is_burst { 12 } else { 60 }) * MS;
                self.request(id);
                id += 1;
            }
        }
        (self.hash.0, self.counts)
    }

    fn schedule(&mut self, after: Nanos, scheduled: Scheduled) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), scheduled);
    }

    fn entry(&self, endpoint: u64) -> EndpointEntry {
        let it = &self.endpoints[endpoint as usize];
        let replica_set = endpoint % REPLICA_SETS;
        EndpointEntry {
            endpoint: name(endpoint),
            started: it.started,
            is_primary: self.primaries[replica_set as usize] == endpoint,
            state: it.state,
            weight: 1.0,
            replica_set: replica_set as u32,
            zone: (endpoint / REPLICA_SETS % 2) as u32,
        }
    }

    fn tell_whole_list(&mut self, kind: ListKind) {
        let is_listed = |n: &u64| self.endpoints[*n as usize].state != EndpointState::Removed;
        let entries = (0..ENDPOINTS)
            .filter(is_listed)
            .map(|n| self.entry(n))
            .collect();
        self.feed(Event::List { kind, entries });
    }

    fn change_world(&mut self) {
        let endpoint = self.choices.below(ENDPOINTS);
        let at = endpoint as usize;
        match self.choices.below(20) {
            0..4 => self.endpoints[at].state = EndpointState::Draining,
            4..7 => self.endpoints[at].state = EndpointState::Removed,
            7..13 => {
                self.endpoints[at].state = EndpointState::Serving;
                self.endpoints[at].started = self.now;
                self.endpoints[at].condition = 0;
            }
            13 => {
                self.primaries[(endpoint % REPLICA_SETS) as usize] = endpoint;
                return;
            }
            14 => return self.tell_whole_list(ListKind::Full),
            15 => {
                self.feed(Event::List {
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
                self.feed(Event::HealthCheckEnded {
                    endpoint: name(endpoint),
                    outcome: AttemptOutcome::Served,
                    report,
                });
                return;
            }
            _ => {
                self.endpoints[at].condition = self.choices.below(10).saturating_sub(3);
                return;
            }
        }
        let entries = vec![self.entry(endpoint)];
        self.feed(Event::List {
            kind: ListKind::Changes,
            entries,
        });
    }

    fn request(&mut self, id: RequestId) {
        let class = self.choices.below(8) as u32;
        let session = self.choices.below(40);
        let time_left = (30 + self.choices.below(2000)) * MS;
        let request = Request {
            id,
            class,
            // Seldom one that no endpoint belongs to.
            replica_set: (self.choices.below(100) * REPLICA_SETS / 99) as u32,
            session: (session < 30).then(|| Arc::from(format!("session {session}"))),
            since_write: (session < 20).then_some(session * 37 * MS),
            tenant: [None, Some(0), Some(1)][self.choices.below(3) as usize],
            expected_execution_time: (session.is_multiple_of(4)).then_some(session * MS),
            is_retry: session.is_multiple_of(9),
            time_left,
        };
        self.classes.insert(id, class);
        if self.choices.below(20) == 0 {
            let after = self.choices.below(300) * MS;
            self.schedule(after, Scheduled::ClientLeaves(id));
        }
        self.feed(Event::Request(request));
    }

    fn on_scheduled(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Timer(token) => self.feed(Event::Timer { token }),
            Scheduled::Started {
                request,
                endpoint,
                attempt,
            } => {
                self.feed(Event::ResponseStarted {
                    request,
                    attempt,
                    endpoint: name(endpoint),
                });
            }
            Scheduled::ClientLeaves(request) => {
                if self.over.insert(request) {
                    self.feed(Event::ClientDisconnected { request });
                }
            }
            Scheduled::AttemptEnded {
                request,
                endpoint,
                attempt,
                outcome,
                sent,
            } => {
                self.end_attempt(request, endpoint, attempt, outcome, sent);
            }
        }
    }

    fn end_attempt(
        &mut self,
        request: RequestId,
        endpoint: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        sent: Timestamp,
    ) {
        let leads = self.primaries[(endpoint % REPLICA_SETS) as usize] == endpoint;
        let lag = if leads {
            0
        } else {
            self.endpoints[endpoint as usize].lag
        };
        let role = if leads { Role::Primary } else { Role::Replica };
        let says = matches!(
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
        let has_report = says && self.settings.reports == ReportSource::Responses;
        if outcome == AttemptOutcome::Served {
            self.over.insert(request);
        }
        self.feed(Event::AttemptEnded(AttemptEnded {
            request,
            endpoint: name(endpoint),
            attempt,
            outcome,
            replication: if says {
                status
            } else {
                ReplicationStatus::default()
            },
            report: if has_report {
                status
            } else {
                ReplicationStatus::default()
            },
            latency: self.now - sent,
            is_request_complete: self.over.contains(&request),
        }));
    }

    /// How an attempt at an endpoint will end, and after how long.
    fn fate(&mut self, class: u32, endpoint: u64) -> (AttemptOutcome, Nanos) {
        const ANY: [AttemptOutcome; 12] = [
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
        let chance = self.choices.below(100);
        let quick = (1 + self.choices.below(40)) * MS;
        let writes = matches!(
            self.settings.classes[class as usize].operation,
            Operation::Write
        );
        let leads = self.primaries[(endpoint % REPLICA_SETS) as usize] == endpoint;
        match self.endpoints[endpoint as usize].condition {
            4 => (AttemptOutcome::ConnectFailed, quick),
            _ if writes && !leads => (AttemptOutcome::Misrouted, quick),
            1 => (AttemptOutcome::Served, quick * 20),
            2 if chance < 70 => (AttemptOutcome::Error, quick),
            3 => (AttemptOutcome::TimedOut, 600 * MS),
            5 if chance < 60 => (AttemptOutcome::Overloaded, quick / 4),
            6 => (ANY[self.choices.below(ANY.len() as u64) as usize], quick),
            _ if chance < 2 => (ANY[self.choices.below(ANY.len() as u64) as usize], quick),
            _ => (AttemptOutcome::Served, quick),
        }
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.hash.add(self.now);
        self.hash.add(self.balancer.endpoint_count() as u64);
        self.hash.add(self.now);
        self.hash.add(self.balancer.endpoint_count() as u64);
        for action in actions {
            let codes = self.carry_out(action);
            self.counts[codes[0] as usize - 1] += 1;
            codes.into_iter().for_each(|code| self.hash.add(code));
        }
    }

    /// Does what is asked, and says it in numbers, the kind first.
    fn carry_out(&mut self, action: Action) -> [u64; 4] {
        match action {
            Action::Send {
                request,
                endpoint,
                limit,
                write_by: by,
            } => {
                assert_eq!(limit, None, "not used so far: give it a code if it is");
                self.send(request, number(&endpoint));
                [1, request, number(&endpoint), by.unwrap_or(0)]
            }
            Action::Reject {
                request,
                reason,
                retry_after,
            } => {
                self.over.insert(request);
                [2, request, cause_code(reason), retry_after.unwrap_or(0)]
            }
            Action::Fail { request, reason } => {
                self.over.insert(request);
                [3, request, cause_code(reason), 0]
            }
            Action::Cancel { request, attempt } => {
                self.cancel(request, attempt);
                [4, request, u64::from(attempt), 0]
            }
            Action::SetTimer { after, token } => {
                self.schedule(after, Scheduled::Timer(token));
                [5, after, token, 0]
            }
            Action::CheckHealth { endpoint } => [6, number(&endpoint), 0, 0],
            Action::Subscribe => [7, 0, 0, 0],
            Action::FetchList => [8, 0, 0, 0],
        }
    }

    fn send(&mut self, request: RequestId, endpoint: u64) {
        let counted = self.attempts.entry(request).or_insert(0);
        let attempt = *counted;
        *counted += 1;
        let class = self.classes[&request];
        let (outcome, after) = self.fate(class, endpoint);
        // Some reads are streamed.
        let is_streamed = outcome == AttemptOutcome::Served
            && class != WRITE
            && class != KEYED
            && request.is_multiple_of(16);
        if is_streamed {
            self.schedule(
                after / 2,
                Scheduled::Started {
                    request,
                    endpoint,
                    attempt,
                },
            );
        }
        self.schedule(
            after,
            Scheduled::AttemptEnded {
                request,
                endpoint,
                attempt,
                outcome,
                sent: self.now,
            },
        );
    }

    /// The attempt ends at once as cancelled, in place of its fate.
    fn cancel(&mut self, request: RequestId, attempt: u32) {
        let is_it = |scheduled: &Scheduled| matches!(scheduled, Scheduled::AttemptEnded { request: r, attempt: a, .. } if *r == request && *a == attempt);
        let key = self
            .queue
            .iter()
            .find(|(_, scheduled)| is_it(scheduled))
            .map(|(key, _)| *key);
        if let Some(Scheduled::AttemptEnded { endpoint, sent, .. }) =
            key.and_then(|key| self.queue.remove(&key))
        {
            let outcome = AttemptOutcome::Cancelled;
            self.schedule(
                0,
                Scheduled::AttemptEnded {
                    request,
                    endpoint,
                    attempt,
                    outcome,
                    sent,
                },
            );
        }
    }
}

#[test]
fn scripted_days_give_the_recorded_actions() {
    let mut changed = Vec::new();
    for expected in EXPECTED {
        let (hash, counts) = Day::new(expected.seed).run();
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
