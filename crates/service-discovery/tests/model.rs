//! The rules as a model: all interleavings of two sources, three endpoints, drains, deaths, restarts, stale records,
//! vanished records, failures and a restart of the router, to a depth.

use reelrill_service_discovery::{
    Claim, ClaimedState, EndpointRegistry, ListChange, ListingRule, RegistryInput,
    RegistrySettings, SourceKind, Withdrawal,
};
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

const MEMBERS: usize = 3;
const ROSTER: u16 = 0;
const RECORDS: u16 = 1;
/// Between two actions, 100 ms: a drain that is told must show at once, long before 250 ms are over.
const STEP: u64 = 100 << 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Truth {
    alive: bool,
    leaving: bool,
    start: u64,
}

/// What the checker keeps beside the endpoints, to judge them by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Ghost {
    /// The router has been told that this start of the endpoint leaves.
    told_leaving: [u64; MEMBERS],
    /// A source names the endpoint; and its last word is the truth.
    named: [[bool; MEMBERS]; 2],
    synced: [[bool; MEMBERS]; 2],
    answered: [bool; MEMBERS],
    /// It has been in the list of this router.
    seen: [bool; MEMBERS],
}

#[derive(Clone, Debug)]
struct World {
    truth: [Truth; MEMBERS],
    ghost: Ghost,
    endpoints: EndpointRegistry,
    version: u64,
    now: u64,
}

impl World {
    /// All that decides what the endpoints do next; times by their order alone.
    fn digest(&self) -> impl Hash + Eq + use<> {
        let status = self.endpoints.endpoint_statuses();
        let times: BTreeSet<u64> = status
            .iter()
            .flat_map(|s| s.claims.iter().map(|h| h.unchanged_since))
            .collect();
        let order = |at: u64| times.iter().position(|t| *t == at);
        let bound = |b: Option<reelrill_service_discovery::StateMarker>| {
            b.map(|b| (b.source, b.started_at, b.version))
        };
        let endpoint = |s: &reelrill_service_discovery::EndpointStatus| {
            let mut claims: Vec<_> = s
                .claims
                .iter()
                .map(|h| {
                    (
                        h.source,
                        h.claim.state,
                        h.claim.started_at,
                        h.claim.version,
                        order(h.unchanged_since),
                    )
                })
                .collect();
            claims.sort_unstable_by_key(|c| (c.0, c.4));
            let listed = s.listed.as_ref().map(|v| (v.state, v.started_at));
            let own = (s.drain_reported_at.is_some(), s.last_response_at.is_some());
            (
                s.endpoint.clone(),
                s.rule,
                listed,
                claims,
                bound(s.drain_marker),
                bound(s.removal_marker),
                own,
            )
        };
        let silent = [ROSTER, RECORDS].map(|s| self.endpoints.unreachable_since(s).is_some());
        let all: Vec<_> = status.iter().map(endpoint).collect();
        (self.truth, self.ghost.clone(), self.version, silent, all)
    }

    fn word_of(&self, m: usize) -> Option<ClaimedState> {
        let id = name(m);
        let all = self.endpoints.endpoint_statuses();
        all.iter()
            .find(|s| s.endpoint == id)
            .and_then(|s| s.listed.as_ref())
            .map(|v| v.state)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.digest() == other.digest()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest().hash(state);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Act {
    Drain(usize),
    Die(usize),
    Restart(usize),
    RosterTells(usize),
    RecordsTell(usize),
    /// A secondary that is behind: in service, as of the start before.
    RecordsAreOld(usize),
    RecordVanishes(usize),
    Answers(usize),
    RosterFails,
    RecordsFail,
    RouterRestarts,
}

struct Rules(RegistrySettings);

fn name(m: usize) -> std::sync::Arc<str> {
    format!("s-{m}").into()
}

fn claim(m: usize, state: ClaimedState, started: u64, version: u64) -> Claim {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000 + m as u16));
    Claim {
        state,
        started_at: started,
        version,
        ..Claim::new(&name(m), address, 1)
    }
}

fn fresh(settings: RegistrySettings, now: u64) -> EndpointRegistry {
    let mut endpoints = EndpointRegistry::new(settings, now);
    for (source, kind) in [
        (ROSTER, SourceKind::EndpointList),
        (RECORDS, SourceKind::DnsRecords),
    ] {
        endpoints.handle(
            now,
            RegistryInput::SourceAdded { source, kind },
            &mut Vec::new(),
        );
    }
    endpoints
}

impl Rules {
    fn told(&self, w: &mut World, source: u16, m: usize) {
        let truth = w.truth[m];
        w.version += u64::from(source == ROSTER);
        let version = if source == ROSTER { w.version } else { 0 };
        let state = if truth.leaving {
            ClaimedState::Draining
        } else {
            ClaimedState::Ready
        };
        let input = if truth.alive {
            RegistryInput::Claimed {
                source,
                name: name(m),
                claim: claim(m, state, truth.start, version),
            }
        } else {
            let how = if source == ROSTER {
                Withdrawal::Removed
            } else {
                Withdrawal::Absent
            };
            RegistryInput::Withdrawn {
                source,
                name: name(m),
                withdrawal: how,
            }
        };
        w.ghost.named[source as usize][m] = truth.alive;
        w.ghost.synced[source as usize][m] = true;
        if truth.alive && truth.leaving {
            w.ghost.told_leaving[m] = truth.start;
        }
        self.feed(w, input);
    }

    fn feed(&self, w: &mut World, input: RegistryInput) {
        let mut changes = Vec::new();
        w.endpoints.handle(w.now, input, &mut changes);
        for change in changes {
            if let ListChange::Listed { endpoint, .. } = change {
                let m = endpoint.trim_start_matches("s-").parse::<usize>().unwrap();
                w.ghost.seen[m] = true;
            }
        }
    }
}

impl Model for Rules {
    type State = World;
    type Action = Act;

    /// All is well and told by both.
    fn init_states(&self) -> Vec<World> {
        let truth = [Truth {
            alive: true,
            leaving: false,
            start: 1,
        }; MEMBERS];
        let now = 1 << 50;
        let (endpoints, ghost) = (fresh(self.0, now), Ghost::default());
        let mut world = World {
            truth,
            ghost,
            endpoints,
            version: 0,
            now,
        };
        for m in 0..MEMBERS {
            self.told(&mut world, ROSTER, m);
            self.told(&mut world, RECORDS, m);
        }
        vec![world]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Act>) {
        for m in 0..MEMBERS {
            let truth = w.truth[m];
            if truth.alive && !truth.leaving {
                actions.push(Act::Drain(m));
            }
            if truth.alive {
                actions.extend([Act::Die(m), Act::Answers(m), Act::RecordVanishes(m)]);
            }
            if truth.start < 2 {
                actions.push(Act::Restart(m));
            }
            actions.extend([
                Act::RosterTells(m),
                Act::RecordsTell(m),
                Act::RecordsAreOld(m),
            ]);
        }
        actions.extend([Act::RosterFails, Act::RecordsFail, Act::RouterRestarts]);
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut w = before.clone();
        w.now += STEP;
        w.endpoints.on_due(w.now, &mut Vec::new());
        match act {
            Act::Drain(m) => w.truth[m].leaving = true,
            Act::Die(m) => w.truth[m].alive = false,
            Act::Restart(m) => {
                w.truth[m] = Truth {
                    alive: true,
                    leaving: false,
                    start: w.truth[m].start + 1,
                }
            }
            Act::RosterTells(m) => self.told(&mut w, ROSTER, m),
            Act::RecordsTell(m) => self.told(&mut w, RECORDS, m),
            Act::RecordsAreOld(m) => {
                let started = w.truth[m]
                    .start
                    .saturating_sub(u64::from(w.truth[m].start > 1));
                let claim = claim(m, ClaimedState::Ready, started, 0);
                w.ghost.named[RECORDS as usize][m] = true;
                w.ghost.synced[RECORDS as usize][m] = false;
                self.feed(
                    &mut w,
                    RegistryInput::Claimed {
                        source: RECORDS,
                        name: name(m),
                        claim,
                    },
                );
            }
            Act::RecordVanishes(m) => {
                w.ghost.named[RECORDS as usize][m] = false;
                w.ghost.synced[RECORDS as usize][m] = false;
                self.feed(
                    &mut w,
                    RegistryInput::Withdrawn {
                        source: RECORDS,
                        name: name(m),
                        withdrawal: Withdrawal::Absent,
                    },
                );
            }
            Act::Answers(m) => {
                let leaving = w.truth[m].leaving;
                if w.endpoints
                    .endpoint_statuses()
                    .iter()
                    .any(|s| s.endpoint == name(m))
                {
                    w.ghost.answered[m] = true;
                    if leaving {
                        w.ghost.told_leaving[m] = w.truth[m].start;
                    }
                }
                self.feed(
                    &mut w,
                    RegistryInput::EndpointResponded {
                        endpoint: name(m),
                        is_draining: leaving,
                    },
                );
            }
            Act::RosterFails => self.feed(&mut w, RegistryInput::SourceFailed { source: ROSTER }),
            Act::RecordsFail => self.feed(&mut w, RegistryInput::SourceFailed { source: RECORDS }),
            Act::RouterRestarts => {
                w.endpoints = fresh(self.0, w.now);
                w.ghost = Ghost::default();
            }
        }
        if matches!(act, Act::Drain(_) | Act::Die(_) | Act::Restart(_))
            && let Act::Drain(m) | Act::Die(m) | Act::Restart(m) = act
        {
            w.ghost.synced.iter_mut().for_each(|s| s[m] = false);
            w.ghost.answered[m] &= matches!(act, Act::Drain(_));
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Rules>> {
        vec![
            Property::always("a drain that was told binds", |_, w: &World| {
                (0..MEMBERS).all(|m| {
                    let truth = w.truth[m];
                    let told =
                        truth.alive && truth.leaving && w.ghost.told_leaving[m] == truth.start;
                    !told || w.word_of(m) != Some(ClaimedState::Ready)
                })
            }),
            Property::always("no healthy member is forgotten", |_, w: &World| {
                (0..MEMBERS).all(|m| {
                    let truth = w.truth[m];
                    let known = w.ghost.seen[m]
                        && (w.ghost.named.iter().any(|n| n[m]) || w.ghost.answered[m]);
                    // What the roster said of the start before holds until the next start is told.
                    let gone = w
                        .endpoints
                        .endpoint_statuses()
                        .iter()
                        .any(|s| s.endpoint == name(m) && s.rule == ListingRule::Gone);
                    let told = w.ghost.synced.iter().any(|s| s[m]);
                    let healthy = truth.alive && !truth.leaving && (told || !gone);
                    !(healthy && known) || w.word_of(m).is_some()
                })
            }),
            Property::always(
                "the list is the truth once the sources agree",
                |_, w: &World| {
                    let agree = (0..MEMBERS).all(|m| w.ghost.synced.iter().all(|s| s[m]));
                    let is_true = |m: usize| match (w.truth[m], w.word_of(m)) {
                        (Truth { alive: false, .. }, state) => state.is_none(),
                        (Truth { leaving: true, .. }, state) => {
                            state == Some(ClaimedState::Draining)
                        }
                        (_, state) => state == Some(ClaimedState::Ready),
                    };
                    !agree || (0..MEMBERS).all(is_true)
                },
            ),
        ]
    }
}

/// In the build for tests to a depth that takes seconds; the design page says how far it was explored besides.
fn depth() -> usize {
    std::env::var("MODEL_DEPTH")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(4)
}

#[test]
fn the_rules_hold_in_all_interleavings() {
    let checker = Rules(RegistrySettings::default())
        .checker()
        .target_max_depth(depth() + 1)
        .threads(4);
    let checker = checker.spawn_bfs().join();
    println!(
        "{} states, {} of them unique, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000);
}

/// The model is worth something only if it sees what goes wrong without a rule.
#[rstest]
#[case(RegistrySettings { has_sticky_drains: false, ..RegistrySettings::default() }, "a drain that was told binds")]
#[case(RegistrySettings { should_keep_claims_of_failed_sources: false, ..RegistrySettings::default() }, "no healthy member is forgotten")]
#[case(RegistrySettings { should_require_all_sources_for_removal: false, ..RegistrySettings::default() }, "no healthy member is forgotten")]
fn a_rule_that_is_taken_out_is_missed(
    #[case] settings: RegistrySettings,
    #[case] property: &'static str,
) {
    let checker = Rules(settings)
        .checker()
        .target_max_depth(5)
        .threads(4)
        .spawn_bfs()
        .join();
    let path = checker
        .discovery(property)
        .expect("the model did not find the bug");
    println!("{:?}", path.into_actions());
}
