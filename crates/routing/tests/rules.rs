//! Seeded property tests: the rules hold under odd orders of events.

mod common;
use common::*;
use reelrill_routing::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}

#[derive(Default)]
struct Owed {
    class: u32,
    deadline: Timestamp,
    attempts: u32,
    may_have_run: u32,
    over: bool,
}

const ENDINGS: [AttemptOutcome; 9] = [
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

struct Checker {
    h: TestRouter,
    owed: BTreeMap<RequestId, Owed>,
    out: Vec<(RequestId, u32, EndpointId)>,
    barred: BTreeMap<String, Timestamp>,
    replicas: BTreeSet<String>,
    unchecked: bool,
    known: BTreeMap<String, Timestamp>,
}

impl Checker {
    fn check(&mut self, actions: Vec<Action>) {
        for a in actions {
            match a {
                Action::Send {
                    request, endpoint, ..
                } => {
                    let o = self.owed.get_mut(&request).expect("a known request");
                    assert!(!o.over, "rule 1: sent after its end");
                    assert!(
                        o.class != WRITE || o.may_have_run == 0,
                        "rule 2: an unsafe write repeated"
                    );
                    if let Some(t) = self.barred.get(&*endpoint) {
                        assert!(
                            self.h.now <= t + 1000 * MS,
                            "rule 3: sent to a draining endpoint"
                        );
                    }
                    if self.unchecked && o.class == BOUNDED && self.replicas.contains(&*endpoint) {
                        let at = self.known.get(&*endpoint).copied().unwrap_or(0);
                        // Up to a millisecond may have passed since it was sent.
                        assert!(self.h.now - at < 301 * MS, "rule 5: stale");
                    }
                    self.out.push((request, o.attempts, endpoint));
                    o.attempts += 1;
                    o.may_have_run += 1;
                }
                Action::Reject { request, .. } => {
                    let o = self.owed.get_mut(&request).expect("a known request");
                    assert!(!o.over, "rule 1: answered twice");
                    let unsure = o.class == WRITE || o.class == KEYED;
                    assert!(
                        !unsure || o.may_have_run == 0,
                        "rule 2: rejected though possibly executed"
                    );
                    o.over = true;
                }
                Action::Fail { request, .. } => {
                    let o = self.owed.get_mut(&request).expect("a known request");
                    assert!(!o.over, "rule 1: answered twice");
                    o.over = true;
                }
                _ => {}
            }
        }
    }
}

fn odd_day(seed: u64, set: Settings) {
    let only_draining = set.rules.allows_unlisted_endpoints;
    let mut rng = Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut c = Checker {
        unchecked: set.stale_reads == StaleReadPolicy::Serve,
        h: TestRouter::with_seed(set, seed),
        owed: BTreeMap::new(),
        out: Vec::new(),
        barred: BTreeMap::new(),
        replicas: BTreeSet::new(),
        known: BTreeMap::new(),
    };
    for _ in 0..3000 {
        match rng.below(12) {
            0..4 => {
                let class = rng.below(5) as u32;
                let id = c.h.next_request;
                let deadline = c.h.now + 2000 * MS;
                c.owed.insert(
                    id,
                    Owed {
                        class,
                        deadline,
                        ..Owed::default()
                    },
                );
                let (_, out) = c.h.request(class);
                c.check(out);
            }
            4..8 if !c.out.is_empty() => {
                let i = rng.below(c.out.len() as u64) as usize;
                let (id, n, endpoint) = c.out.swap_remove(i);
                let outcome = if rng.below(2) == 0 {
                    AttemptOutcome::Served
                } else {
                    ENDINGS[rng.below(9) as usize]
                };
                let leads = rng.below(20) == 0 || &*endpoint == "a";
                let applied_position = c.h.now - rng.below(500) * MS;
                let s = if leads {
                    primary_status(applied_position)
                } else {
                    replica_status(applied_position)
                };
                let answers = matches!(
                    outcome,
                    AttemptOutcome::Served
                        | AttemptOutcome::Error
                        | AttemptOutcome::Overloaded
                        | AttemptOutcome::Misrouted
                );
                let s = if answers {
                    s
                } else {
                    ReplicationStatus::default()
                };
                let o = c.owed.get_mut(&id).unwrap();
                if outcome.is_never_executed() {
                    o.may_have_run -= 1;
                }
                let write = o.class == WRITE || o.class == KEYED;
                o.over |= outcome == AttemptOutcome::Served;
                if answers && leads {
                    c.replicas.remove(&*endpoint);
                } else if answers {
                    c.replicas.insert(endpoint.to_string());
                    let commit = write && outcome == AttemptOutcome::Served;
                    let at = c.known.entry(endpoint.to_string()).or_insert(0);
                    *at = (*at).max(if commit { 0 } else { applied_position });
                }
                if answers && leads && !(write && outcome == AttemptOutcome::Served) {
                    let at = c.known.entry(endpoint.to_string()).or_insert(0);
                    *at = (*at).max(applied_position);
                }
                let out = c.h.end_attempt(id, &endpoint, n, outcome, s);
                c.check(out);
            }
            8 if rng.below(8) == 0 => {
                let name = ["a", "b", "c"][rng.below(3) as usize];
                let mut e = entry(name, rng.below(2) == 0);
                e.state = [
                    EndpointState::Serving,
                    EndpointState::Serving,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ][rng.below(4) as usize];
                e.started = if rng.below(3) == 0 { c.h.now } else { 0 };
                if e.state == EndpointState::Serving {
                    c.barred.remove(name);
                } else if e.state == EndpointState::Draining || !only_draining {
                    c.barred.entry(name.to_string()).or_insert(c.h.now);
                }
                let out = c.h.handle(Event::List {
                    kind: ListKind::Changes,
                    entries: vec![e],
                });
                c.check(out);
            }
            9 => {
                // Things that are no longer known, and unknown ones.
                let endpoint: EndpointId = Arc::from(["a", "zz"][rng.below(2) as usize]);
                let mut out = c.h.end_attempt(
                    1 << 40,
                    &endpoint,
                    3,
                    ENDINGS[rng.below(9) as usize],
                    replica_status(1),
                );
                out.extend(c.h.handle(Event::ClientDisconnected { request: 1 << 41 }));
                out.extend(c.h.handle(Event::Timer { token: 99 }));
                out.extend(c.h.handle(Event::HealthCheckEnded {
                    endpoint,
                    outcome: AttemptOutcome::Served,
                    report: replica_status(1),
                }));
                c.check(out);
            }
            _ => {
                for _ in 0..rng.below(20) {
                    let out = c.h.advance(MS);
                    c.check(out);
                }
            }
        }
        for (id, o) in &c.owed {
            let waiting = !o.over && !c.out.iter().any(|x| x.0 == *id);
            assert!(
                !waiting || c.h.now <= o.deadline + 20 * MS,
                "rule 1: request {id} got no answer"
            );
        }
    }
}

#[test]
fn rules_hold_under_unusual_event_orders() {
    for seed in 1..=32 {
        // Every kind of settings: endpoints that check reads or not, session marks carried or local, both drain
        // rules, a list with and without roles, reports or none.
        let mut set = settings();
        if seed & 1 == 1 {
            set.stale_reads = StaleReadPolicy::Reject;
        }
        set.has_session_positions = seed & 2 == 2;
        set.rules.allows_unlisted_endpoints = seed & 4 == 4;
        if seed & 8 == 8 {
            set.list_role = ListRole::None;
        }
        if seed & 16 == 16 {
            set.reports = ReportSource::Responses;
            set.is_subscription_required = true;
        }
        odd_day(seed, set);
    }
}

#[test]
fn unusual_input_never_panics() {
    let mut h = TestRouter::new(settings());
    let mut odd = |id: RequestId, class: u32, replica_set: u32, time_left: Nanos| {
        let req = Request {
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
        h.handle(Event::Request(req))
    };
    assert!(
        is_rejected(&odd(1, 77, 1, MS)),
        "a class that is not in the settings"
    );
    assert!(
        is_rejected(&odd(2, 0, 55, 500 * MS)),
        "a replica set without endpoints"
    );
    assert!(is_rejected(&odd(3, 0, 1, 0)), "no time left");
    odd(4, 1, 1, Nanos::MAX);
    h.handle(Event::List {
        kind: ListKind::Full,
        entries: Vec::new(),
    });
    let (_, mut out) = h.request(BOUNDED);
    assert!(sent_to(&out).is_none());
    out.extend(h.advance(600 * MS));
    assert!(
        out.iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count()
            >= 1
    );
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut h = TestRouter::new(settings());
        h.warm_up();
        let mut all = Vec::new();
        for i in 0..200 {
            let (id, out) = h.request(i % 5);
            if let Some(to) = sent_to(&out).map(str::to_string) {
                all.extend(h.end_attempt(
                    id,
                    &to,
                    0,
                    ENDINGS[i as usize % 9],
                    replica_status(h.now),
                ));
            }
            all.extend(out);
            all.extend(h.advance(3 * MS));
        }
        all
    };
    assert_eq!(run(), run());
}
