//! Seeded property tests of the operators' rules under unusual orders of events, as after failures,
//! late responses and list changes.
//!
//! - Rule 1: each request gets exactly one final response in time, and no attempt after it.
//! - Rule 2: a possibly executed write is not rejected, and is sent again only with an idempotency
//!   key.
//! - Rule 3: no attempt is sent to an endpoint after its drain grace.
//! - Rule 5: no read is sent to a replica whose known position is older than the staleness bound.

mod common;
use common::*;
use reelrill_routing::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Xorshift generator for the choices of the test, apart from the balancer's generator.
struct Rng(u64);

impl Rng {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

/// State of a request, as far as the rules depend on it.
#[derive(Default)]
struct ObservedRequest {
    class: u32,
    deadline: Timestamp,
    attempts: u32,
    /// Number of attempts that may have been executed.
    possibly_executed: u32,
    /// Whether it has its final response.
    is_complete: bool,
}

const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Served,
    AttemptOutcome::Error,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::ConnectionReset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::Abandoned,
    AttemptOutcome::Misrouted,
];

struct RuleChecker {
    router: TestRouter,
    requests: BTreeMap<RequestId, ObservedRequest>,
    /// Attempts in flight: request, number of the attempt, endpoint.
    in_flight: Vec<(RequestId, u32, EndpointId)>,
    /// Time of the notification of each endpoint that is draining or removed.
    draining_since: BTreeMap<String, Timestamp>,
    /// Endpoints that have reported themselves as replicas.
    replicas: BTreeSet<String>,
    /// Whether endpoints serve stale reads, so that only the router prevents them.
    has_unchecked_reads: bool,
    /// Latest position that each endpoint has reported, other than that of a served write.
    known_positions: BTreeMap<String, Timestamp>,
}

impl RuleChecker {
    /// Checks the rules for each action.
    fn check(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    request, endpoint, ..
                } => {
                    let observed = self.requests.get_mut(&request).expect("a known request");
                    assert!(
                        !observed.is_complete,
                        "rule 1: sent after its final response"
                    );
                    assert!(
                        observed.class != WRITE || observed.possibly_executed == 0,
                        "rule 2: a possibly executed write sent again"
                    );
                    if let Some(since) = self.draining_since.get(&*endpoint) {
                        assert!(
                            self.router.now <= since + 1000 * MS,
                            "rule 3: sent to an endpoint after its drain grace"
                        );
                    }
                    if self.has_unchecked_reads
                        && observed.class == BOUNDED
                        && self.replicas.contains(&*endpoint)
                    {
                        let position = self.known_positions.get(&*endpoint).copied().unwrap_or(0);
                        // The clock may have advanced by up to 1 ms since the action.
                        assert!(
                            self.router.now - position < 301 * MS,
                            "rule 5: sent to a replica behind the staleness bound"
                        );
                    }
                    self.in_flight.push((request, observed.attempts, endpoint));
                    observed.attempts += 1;
                    observed.possibly_executed += 1;
                }
                Action::Reject { request, .. } => {
                    let observed = self.requests.get_mut(&request).expect("a known request");
                    assert!(!observed.is_complete, "rule 1: a second final response");
                    let is_unsafe_to_repeat = observed.class == WRITE || observed.class == KEYED;
                    assert!(
                        !is_unsafe_to_repeat || observed.possibly_executed == 0,
                        "rule 2: rejected although possibly executed"
                    );
                    observed.is_complete = true;
                }
                Action::Fail { request, .. } => {
                    let observed = self.requests.get_mut(&request).expect("a known request");
                    assert!(!observed.is_complete, "rule 1: a second final response");
                    observed.is_complete = true;
                }
                _ => {}
            }
        }
    }
}

/// Runs 3000 random events, some of them about unknown requests, and checks the rules after each.
fn run_unusual_events(seed: u64, settings: Settings) {
    let allows_unlisted = settings.rules.allows_unlisted_endpoints;
    let mut rng = Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut checker = RuleChecker {
        has_unchecked_reads: settings.stale_reads == StaleReadPolicy::Serve,
        router: TestRouter::with_seed(settings, seed),
        requests: BTreeMap::new(),
        in_flight: Vec::new(),
        draining_since: BTreeMap::new(),
        replicas: BTreeSet::new(),
        known_positions: BTreeMap::new(),
    };
    for _ in 0..3000 {
        match rng.below(12) {
            0..4 => {
                let class = rng.below(5) as u32;
                let id = checker.router.next_request;
                let deadline = checker.router.now + 2000 * MS;
                checker.requests.insert(
                    id,
                    ObservedRequest {
                        class,
                        deadline,
                        ..ObservedRequest::default()
                    },
                );
                let (_, actions) = checker.router.request(class);
                checker.check(actions);
            }
            4..8 if !checker.in_flight.is_empty() => {
                let index = rng.below(checker.in_flight.len() as u64) as usize;
                let (id, attempt, endpoint) = checker.in_flight.swap_remove(index);
                let outcome = if rng.below(2) == 0 {
                    AttemptOutcome::Served
                } else {
                    OUTCOMES[rng.below(9) as usize]
                };
                let is_primary = rng.below(20) == 0 || &*endpoint == "a";
                let applied_position = checker.router.now - rng.below(500) * MS;
                let replication = if is_primary {
                    primary_status(applied_position)
                } else {
                    replica_status(applied_position)
                };
                let has_response = matches!(
                    outcome,
                    AttemptOutcome::Served
                        | AttemptOutcome::Error
                        | AttemptOutcome::Overloaded
                        | AttemptOutcome::Misrouted
                );
                let replication = if has_response {
                    replication
                } else {
                    ReplicationStatus::default()
                };
                let observed = checker.requests.get_mut(&id).unwrap();
                if outcome.is_never_executed() {
                    observed.possibly_executed -= 1;
                }
                let is_write = observed.class == WRITE || observed.class == KEYED;
                observed.is_complete |= outcome == AttemptOutcome::Served;
                if has_response && is_primary {
                    checker.replicas.remove(&*endpoint);
                } else if has_response {
                    checker.replicas.insert(endpoint.to_string());
                    let is_served_write = is_write && outcome == AttemptOutcome::Served;
                    let position = checker
                        .known_positions
                        .entry(endpoint.to_string())
                        .or_insert(0);
                    *position = (*position).max(if is_served_write { 0 } else { applied_position });
                }
                if has_response && is_primary && !(is_write && outcome == AttemptOutcome::Served) {
                    let position = checker
                        .known_positions
                        .entry(endpoint.to_string())
                        .or_insert(0);
                    *position = (*position).max(applied_position);
                }
                let actions =
                    checker
                        .router
                        .end_attempt(id, &endpoint, attempt, outcome, replication);
                checker.check(actions);
            }
            8 if rng.below(8) == 0 => {
                let name = ["a", "b", "c"][rng.below(3) as usize];
                let mut changed = entry(name, rng.below(2) == 0);
                changed.state = [
                    EndpointState::Serving,
                    EndpointState::Serving,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][rng.below(4) as usize];
                changed.started = if rng.below(3) == 0 {
                    checker.router.now
                } else {
                    0
                };
                if changed.state == EndpointState::Serving {
                    checker.draining_since.remove(name);
                } else if changed.state == EndpointState::Draining || !allows_unlisted {
                    checker
                        .draining_since
                        .entry(name.to_string())
                        .or_insert(checker.router.now);
                }
                let actions = checker.router.handle(Event::List {
                    kind: ListKind::Changes,
                    entries: vec![changed],
                });
                checker.check(actions);
            }
            9 => {
                // Events of unknown requests, endpoints and timers.
                let endpoint: EndpointId = Arc::from(["a", "zz"][rng.below(2) as usize]);
                let mut actions = checker.router.end_attempt(
                    1 << 40,
                    &endpoint,
                    3,
                    OUTCOMES[rng.below(9) as usize],
                    replica_status(1),
                );
                actions.extend(
                    checker
                        .router
                        .handle(Event::ClientDisconnected { request: 1 << 41 }),
                );
                actions.extend(checker.router.handle(Event::Timer { token: 99 }));
                actions.extend(checker.router.handle(Event::HealthCheckEnded {
                    endpoint,
                    outcome: AttemptOutcome::Served,
                    report: replica_status(1),
                }));
                checker.check(actions);
            }
            _ => {
                for _ in 0..rng.below(20) {
                    let actions = checker.router.advance(MS);
                    checker.check(actions);
                }
            }
        }
        for (id, observed) in &checker.requests {
            let is_waiting =
                !observed.is_complete && !checker.in_flight.iter().any(|attempt| attempt.0 == *id);
            assert!(
                !is_waiting || checker.router.now <= observed.deadline + 20 * MS,
                "rule 1: no final response to request {id}"
            );
        }
    }
}

/// Guards the operators' rules against orders of events that no other test has, such as an outcome
/// after the final response, or list changes while attempts are in flight.
#[test]
fn rules_hold_under_unusual_event_orders() {
    for seed in 1..=32 {
        // All combinations: endpoints that check reads or not, session positions in requests or
        // recorded by the router, both rules for removed endpoints, a list with or without roles,
        // and load reports or none.
        let mut settings = settings();
        if seed & 1 == 1 {
            settings.stale_reads = StaleReadPolicy::Reject;
        }
        settings.has_session_positions = seed & 2 == 2;
        settings.rules.allows_unlisted_endpoints = seed & 4 == 4;
        if seed & 8 == 8 {
            settings.list_role = ListRole::None;
        }
        if seed & 16 == 16 {
            settings.reports = ReportSource::Responses;
            settings.is_subscription_required = true;
        }
        run_unusual_events(seed, settings);
    }
}

/// Guards against a panic of the router by requests with values out of range.
#[test]
fn unusual_input_never_panics() {
    let mut router = TestRouter::new(settings());
    let mut send_unusual = |id: RequestId, class: u32, replica_set: u32, time_left: Nanos| {
        let request = Request {
            id,
            class,
            replica_set,
            session: None,
            since_write: Some(Nanos::MAX),
            tenant: Some(9),
            expected_execution_time: Some(Nanos::MAX),
            is_retry: true,
            time_left,
        };
        router.handle(Event::Request(request))
    };
    assert!(
        is_rejected(&send_unusual(1, 77, 1, MS)),
        "a class that is not in the settings"
    );
    assert!(
        is_rejected(&send_unusual(2, 0, 55, 500 * MS)),
        "a replica set without endpoints"
    );
    assert!(is_rejected(&send_unusual(3, 0, 1, 0)), "no time left");
    send_unusual(4, 1, 1, Nanos::MAX);
    router.handle(Event::List {
        kind: ListKind::Full,
        entries: Vec::new(),
    });
    let (_, mut actions) = router.request(BOUNDED);
    assert!(sent_to(&actions).is_none());
    actions.extend(router.advance(600 * MS));
    assert!(
        actions
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. }))
            .count()
            >= 1
    );
}

/// Guards against choices that do not follow from the seed, such as a clock reading or the order of
/// a hash map: a recorded run could not be reproduced then.
#[test]
fn same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut router = TestRouter::new(settings());
        router.warm_up();
        let mut all_actions = Vec::new();
        for step in 0..200 {
            let (id, actions) = router.request(step % 5);
            if let Some(endpoint) = sent_to(&actions).map(str::to_string) {
                all_actions.extend(router.end_attempt(
                    id,
                    &endpoint,
                    0,
                    OUTCOMES[step as usize % 9],
                    replica_status(router.now),
                ));
            }
            all_actions.extend(actions);
            all_actions.extend(router.advance(3 * MS));
        }
        all_actions
    };
    assert_eq!(run(), run());
}
