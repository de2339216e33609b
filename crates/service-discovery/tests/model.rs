//! Model checks of the merge rules: all interleavings, up to a depth, of the events of two sources, three endpoints and
//! the router: drains, stops, restarts, outdated and removed records, source failures, and a restart of the router.

use reelrill_service_discovery::{
    Claim, ClaimedState, EndpointRegistry, ListChange, ListingRule, RegistryInput,
    RegistrySettings, SourceKind, Withdrawal,
};
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

const ENDPOINTS: usize = 3;
const ENDPOINT_LIST: u16 = 0;
const DNS_RECORDS: u16 = 1;
/// The time between two actions: 100 wheel ticks, about 105 ms. A reported drain must take effect within one step, well
/// within the usual drain grace of 250 ms.
const STEP: u64 = 100 << 20;

/// The actual state of an endpoint, which the sources report sooner or later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ActualEndpoint {
    is_running: bool,
    is_draining: bool,
    process_start: u64,
}

/// The events that the router has observed. The properties are checked against them.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Observations {
    /// The process start for which a drain was last reported; 0 if none was.
    reported_drain_start: [u64; ENDPOINTS],
    /// Whether a source has a claim about the endpoint.
    is_claimed: [[bool; ENDPOINTS]; 2],
    /// Whether the last report of a source matches the actual state.
    is_up_to_date: [[bool; ENDPOINTS]; 2],
    has_responded: [bool; ENDPOINTS],
    /// Whether the endpoint has been listed since the router started.
    has_been_listed: [bool; ENDPOINTS],
}

/// A state of the model: the actual endpoints, and the registry with everything that it has observed.
#[derive(Clone, Debug)]
struct ModelState {
    actual: [ActualEndpoint; ENDPOINTS],
    observations: Observations,
    endpoints: EndpointRegistry,
    version: u64,
    now: u64,
}

impl ModelState {
    /// Returns everything that determines the further behaviour, with times replaced by their order.
    fn digest(&self) -> impl Hash + Eq + use<> {
        let statuses = self.endpoints.endpoint_statuses();
        let times: BTreeSet<u64> = statuses
            .iter()
            .flat_map(|status| status.claims.iter().map(|stored| stored.unchanged_since))
            .collect();
        let order = |at: u64| times.iter().position(|t| *t == at);
        let marker_digest = |marker: Option<reelrill_service_discovery::StateMarker>| {
            marker.map(|marker| (marker.source, marker.started_at, marker.version))
        };
        let endpoint_digest = |status: &reelrill_service_discovery::EndpointStatus| {
            let mut claims: Vec<_> = status
                .claims
                .iter()
                .map(|stored| {
                    (
                        stored.source,
                        stored.claim.state,
                        stored.claim.started_at,
                        stored.claim.version,
                        order(stored.unchanged_since),
                    )
                })
                .collect();
            claims.sort_unstable_by_key(|c| (c.0, c.4));
            let listed = status
                .listed
                .as_ref()
                .map(|view| (view.state, view.started_at));
            let reported = (
                status.drain_reported_at.is_some(),
                status.last_response_at.is_some(),
            );
            (
                status.endpoint.clone(),
                status.rule,
                listed,
                claims,
                marker_digest(status.drain_marker),
                marker_digest(status.removal_marker),
                reported,
            )
        };
        let is_unreachable = [ENDPOINT_LIST, DNS_RECORDS]
            .map(|source| self.endpoints.unreachable_since(source).is_some());
        let endpoints: Vec<_> = statuses.iter().map(endpoint_digest).collect();
        (
            self.actual,
            self.observations.clone(),
            self.version,
            is_unreachable,
            endpoints,
        )
    }

    /// Returns the state with which an endpoint is listed; `None` if it is not listed.
    fn listed_state(&self, index: usize) -> Option<ClaimedState> {
        let id = endpoint_id(index);
        let all = self.endpoints.endpoint_statuses();
        all.iter()
            .find(|s| s.endpoint == id)
            .and_then(|s| s.listed.as_ref())
            .map(|v| v.state)
    }
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        self.digest() == other.digest()
    }
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest().hash(hasher);
    }
}

/// An event of the model. The numbers are indexes of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ModelAction {
    Drain(usize),
    Stop(usize),
    Restart(usize),
    ListUpdated(usize),
    RecordUpdated(usize),
    /// A secondary DNS server returns an outdated record: in service, with the previous process start.
    RecordOutdated(usize),
    RecordRemoved(usize),
    Respond(usize),
    ListFailed,
    RecordsFailed,
    RouterRestarted,
}

/// The model of the registry with the given settings.
struct RegistryModel(RegistrySettings);

fn endpoint_id(index: usize) -> std::sync::Arc<str> {
    format!("s-{index}").into()
}

fn claim(index: usize, state: ClaimedState, started_at: u64, version: u64) -> Claim {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16));
    Claim {
        state,
        started_at,
        version,
        ..Claim::new(&endpoint_id(index), address, 1)
    }
}

fn new_registry(settings: RegistrySettings, now: u64) -> EndpointRegistry {
    let mut endpoints = EndpointRegistry::new(settings, now);
    for (source, kind) in [
        (ENDPOINT_LIST, SourceKind::EndpointList),
        (DNS_RECORDS, SourceKind::DnsRecords),
    ] {
        endpoints.handle(
            now,
            RegistryInput::SourceAdded { source, kind },
            &mut Vec::new(),
        );
    }
    endpoints
}

impl RegistryModel {
    /// Reports the actual state of an endpoint to the registry, as a claim or withdrawal of the given source.
    fn report_endpoint(&self, state: &mut ModelState, source: u16, index: usize) {
        let actual = state.actual[index];
        state.version += u64::from(source == ENDPOINT_LIST);
        let version = if source == ENDPOINT_LIST {
            state.version
        } else {
            0
        };
        let claimed_state = if actual.is_draining {
            ClaimedState::Draining
        } else {
            ClaimedState::Ready
        };
        let input = if actual.is_running {
            RegistryInput::Claimed {
                source,
                name: endpoint_id(index),
                claim: claim(index, claimed_state, actual.process_start, version),
            }
        } else {
            let withdrawal = if source == ENDPOINT_LIST {
                Withdrawal::Removed
            } else {
                Withdrawal::Absent
            };
            RegistryInput::Withdrawn {
                source,
                name: endpoint_id(index),
                withdrawal,
            }
        };
        state.observations.is_claimed[source as usize][index] = actual.is_running;
        state.observations.is_up_to_date[source as usize][index] = true;
        if actual.is_running && actual.is_draining {
            state.observations.reported_drain_start[index] = actual.process_start;
        }
        self.handle_input(state, input);
    }

    fn handle_input(&self, state: &mut ModelState, input: RegistryInput) {
        let mut changes = Vec::new();
        state.endpoints.handle(state.now, input, &mut changes);
        for change in changes {
            if let ListChange::Listed { endpoint, .. } = change {
                let index = endpoint.trim_start_matches("s-").parse::<usize>().unwrap();
                state.observations.has_been_listed[index] = true;
            }
        }
    }
}

impl Model for RegistryModel {
    type State = ModelState;
    type Action = ModelAction;

    /// All endpoints are in service, and both sources have reported them.
    fn init_states(&self) -> Vec<ModelState> {
        let actual = [ActualEndpoint {
            is_running: true,
            is_draining: false,
            process_start: 1,
        }; ENDPOINTS];
        let now = 1 << 50;
        let (endpoints, observations) = (new_registry(self.0, now), Observations::default());
        let mut state = ModelState {
            actual,
            observations,
            endpoints,
            version: 0,
            now,
        };
        for index in 0..ENDPOINTS {
            self.report_endpoint(&mut state, ENDPOINT_LIST, index);
            self.report_endpoint(&mut state, DNS_RECORDS, index);
        }
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<ModelAction>) {
        for index in 0..ENDPOINTS {
            let actual = state.actual[index];
            if actual.is_running && !actual.is_draining {
                actions.push(ModelAction::Drain(index));
            }
            if actual.is_running {
                actions.extend([
                    ModelAction::Stop(index),
                    ModelAction::Respond(index),
                    ModelAction::RecordRemoved(index),
                ]);
            }
            if actual.process_start < 2 {
                actions.push(ModelAction::Restart(index));
            }
            actions.extend([
                ModelAction::ListUpdated(index),
                ModelAction::RecordUpdated(index),
                ModelAction::RecordOutdated(index),
            ]);
        }
        actions.extend([
            ModelAction::ListFailed,
            ModelAction::RecordsFailed,
            ModelAction::RouterRestarted,
        ]);
    }

    fn next_state(&self, earlier: &ModelState, action: ModelAction) -> Option<ModelState> {
        let mut state = earlier.clone();
        state.now += STEP;
        state.endpoints.on_due(state.now, &mut Vec::new());
        match action {
            ModelAction::Drain(index) => state.actual[index].is_draining = true,
            ModelAction::Stop(index) => state.actual[index].is_running = false,
            ModelAction::Restart(index) => {
                state.actual[index] = ActualEndpoint {
                    is_running: true,
                    is_draining: false,
                    process_start: state.actual[index].process_start + 1,
                }
            }
            ModelAction::ListUpdated(index) => {
                self.report_endpoint(&mut state, ENDPOINT_LIST, index)
            }
            ModelAction::RecordUpdated(index) => {
                self.report_endpoint(&mut state, DNS_RECORDS, index)
            }
            ModelAction::RecordOutdated(index) => {
                let started_at = state.actual[index]
                    .process_start
                    .saturating_sub(u64::from(state.actual[index].process_start > 1));
                let claim = claim(index, ClaimedState::Ready, started_at, 0);
                state.observations.is_claimed[DNS_RECORDS as usize][index] = true;
                state.observations.is_up_to_date[DNS_RECORDS as usize][index] = false;
                self.handle_input(
                    &mut state,
                    RegistryInput::Claimed {
                        source: DNS_RECORDS,
                        name: endpoint_id(index),
                        claim,
                    },
                );
            }
            ModelAction::RecordRemoved(index) => {
                state.observations.is_claimed[DNS_RECORDS as usize][index] = false;
                state.observations.is_up_to_date[DNS_RECORDS as usize][index] = false;
                self.handle_input(
                    &mut state,
                    RegistryInput::Withdrawn {
                        source: DNS_RECORDS,
                        name: endpoint_id(index),
                        withdrawal: Withdrawal::Absent,
                    },
                );
            }
            ModelAction::Respond(index) => {
                let is_draining = state.actual[index].is_draining;
                if state
                    .endpoints
                    .endpoint_statuses()
                    .iter()
                    .any(|s| s.endpoint == endpoint_id(index))
                {
                    state.observations.has_responded[index] = true;
                    if is_draining {
                        state.observations.reported_drain_start[index] =
                            state.actual[index].process_start;
                    }
                }
                self.handle_input(
                    &mut state,
                    RegistryInput::EndpointResponded {
                        endpoint: endpoint_id(index),
                        is_draining,
                    },
                );
            }
            ModelAction::ListFailed => self.handle_input(
                &mut state,
                RegistryInput::SourceFailed {
                    source: ENDPOINT_LIST,
                },
            ),
            ModelAction::RecordsFailed => self.handle_input(
                &mut state,
                RegistryInput::SourceFailed {
                    source: DNS_RECORDS,
                },
            ),
            ModelAction::RouterRestarted => {
                state.endpoints = new_registry(self.0, state.now);
                state.observations = Observations::default();
            }
        }
        if matches!(
            action,
            ModelAction::Drain(_) | ModelAction::Stop(_) | ModelAction::Restart(_)
        ) && let ModelAction::Drain(index)
        | ModelAction::Stop(index)
        | ModelAction::Restart(index) = action
        {
            state
                .observations
                .is_up_to_date
                .iter_mut()
                .for_each(|s| s[index] = false);
            state.observations.has_responded[index] &= matches!(action, ModelAction::Drain(_));
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<RegistryModel>> {
        vec![
            Property::always(
                "a reported drain stays in force",
                |_, state: &ModelState| {
                    (0..ENDPOINTS).all(|index| {
                        let actual = state.actual[index];
                        let is_drain_reported = actual.is_running
                            && actual.is_draining
                            && state.observations.reported_drain_start[index]
                                == actual.process_start;
                        !is_drain_reported || state.listed_state(index) != Some(ClaimedState::Ready)
                    })
                },
            ),
            Property::always("no healthy endpoint is removed", |_, state: &ModelState| {
                (0..ENDPOINTS).all(|index| {
                    let actual = state.actual[index];
                    let is_known = state.observations.has_been_listed[index]
                        && (state.observations.is_claimed.iter().any(|n| n[index])
                            || state.observations.has_responded[index]);
                    // The removal of an earlier process stays in force until a source reports the new process.
                    let is_removed =
                        state.endpoints.endpoint_statuses().iter().any(|s| {
                            s.endpoint == endpoint_id(index) && s.rule == ListingRule::Gone
                        });
                    let is_reported = state.observations.is_up_to_date.iter().any(|s| s[index]);
                    let is_healthy =
                        actual.is_running && !actual.is_draining && (is_reported || !is_removed);
                    !(is_healthy && is_known) || state.listed_state(index).is_some()
                })
            }),
            Property::always(
                "the list is correct once the sources agree",
                |_, state: &ModelState| {
                    let has_agreement = (0..ENDPOINTS)
                        .all(|index| state.observations.is_up_to_date.iter().all(|s| s[index]));
                    let is_correct =
                        |index: usize| match (state.actual[index], state.listed_state(index)) {
                            (
                                ActualEndpoint {
                                    is_running: false, ..
                                },
                                listed,
                            ) => listed.is_none(),
                            (
                                ActualEndpoint {
                                    is_draining: true, ..
                                },
                                listed,
                            ) => listed == Some(ClaimedState::Draining),
                            (_, listed) => listed == Some(ClaimedState::Ready),
                        };
                    !has_agreement || (0..ENDPOINTS).all(is_correct)
                },
            ),
        ]
    }
}

/// Returns the depth to explore. The default takes seconds; the design page states the greatest depth explored so far.
fn depth() -> usize {
    std::env::var("MODEL_DEPTH")
        .ok()
        .and_then(|d| d.parse().ok())
        .unwrap_or(4)
}

/// Guards against any order of events in which a reported drain is lost, a healthy endpoint is removed, or the list
/// stays wrong although the sources agree.
#[test]
fn properties_hold_in_all_interleavings() {
    let checker = RegistryModel(RegistrySettings::default())
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

/// Guards against a model that does not detect faults: without a rule, the property that depends on it must be
/// violated.
#[rstest]
#[case(RegistrySettings { has_sticky_drains: false, ..RegistrySettings::default() }, "a reported drain stays in force")]
#[case(RegistrySettings { should_keep_claims_of_failed_sources: false, ..RegistrySettings::default() }, "no healthy endpoint is removed")]
#[case(RegistrySettings { should_require_all_sources_for_removal: false, ..RegistrySettings::default() }, "no healthy endpoint is removed")]
fn model_finds_a_counterexample_when_a_rule_is_disabled(
    #[case] settings: RegistrySettings,
    #[case] property: &'static str,
) {
    let checker = RegistryModel(settings)
        .checker()
        .target_max_depth(5)
        .threads(4)
        .spawn_bfs()
        .join();
    let path = checker
        .discovery(property)
        .expect("expected a counterexample to the property");
    println!("{:?}", path.into_actions());
}
