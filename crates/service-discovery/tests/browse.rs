//! Tests the DNS-SD browser and the resulting endpoint list on simulated time, against zones of the fake DNS server.

use hickory_proto::rr::Name;
use proptest::prelude::*;
use reelrill_service_discovery::browse::{Browser, BrowserConfig, BrowserOutput};
use reelrill_service_discovery::{
    ClaimedState, EndpointRegistry, EndpointView, ListChange, RegistryInput, RegistrySettings,
    SourceKind,
};
use reelrill_test_support::dns::{
    DOMAIN, DnsFaultMode, DnsZone, SERVICE, SUBTYPE, ServiceInstance,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One millisecond in nanoseconds, the unit of all times in these tests.
const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1000 * MILLISECOND;
/// The time between a query and its response.
const ROUND_TRIP: u64 = 2 * MILLISECOND;

/// A browser with the zones of its simulated servers, and the endpoint registry that it updates.
struct Simulation {
    zones: Vec<DnsZone>,
    browser: Browser,
    endpoints: EndpointRegistry,
    list: BTreeMap<String, EndpointView>,
    now: u64,
    /// The arrival time, query number and bytes of each response in flight.
    responses_in_flight: Vec<(u64, u64, Vec<u8>)>,
    queries_sent: usize,
    max_listed: usize,
}

fn address(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + number).into()
}

fn zone(count: u16) -> DnsZone {
    let instances = (0..count).map(|number| {
        (
            format!("db-{number}"),
            ServiceInstance::new(&format!("s-{number}"), address(number), 1),
        )
    });
    DnsZone {
        instances: instances.collect(),
        ..DnsZone::default()
    }
}

fn server_addresses(count: usize) -> Vec<SocketAddr> {
    (0..count)
        .map(|index| ([127, 0, 0, 53], index as u16 + 1).into())
        .collect()
}

impl Simulation {
    fn new(zones: Vec<DnsZone>) -> Simulation {
        Simulation::with_budget(zones, 1000.0)
    }

    fn with_budget(zones: Vec<DnsZone>, budget: f64) -> Simulation {
        Simulation::with_service(SERVICE, zones, budget)
    }

    fn with_service(service: &str, zones: Vec<DnsZone>, budget: f64) -> Simulation {
        let now = 1 << 60;
        let config = BrowserConfig {
            servers: server_addresses(zones.len()),
            service: Name::from_ascii(service).unwrap(),
            domain: Name::from_ascii(DOMAIN).unwrap(),
            ttl_range: (SECOND, 60 * SECOND),
            query_timeout: 500 * MILLISECOND,
            max_queries_per_second: budget,
            zones: vec!["a".into()],
        };
        let mut endpoints = EndpointRegistry::new(RegistrySettings::default(), now);
        endpoints.handle(
            now,
            RegistryInput::SourceAdded {
                source: 1,
                kind: SourceKind::DnsRecords,
            },
            &mut Vec::new(),
        );
        let browser = Browser::new(config, 1, 7, now);
        let (list, responses_in_flight) = (BTreeMap::new(), Vec::new());
        let mut simulation = Simulation {
            zones,
            browser,
            endpoints,
            list,
            now,
            responses_in_flight,
            queries_sent: 0,
            max_listed: 0,
        };
        let mut outputs = Vec::new();
        simulation.browser.start(now, &mut outputs);
        simulation.handle_outputs(outputs);
        simulation
    }

    fn handle_outputs(&mut self, outputs: Vec<BrowserOutput>) {
        for output in outputs {
            match output {
                BrowserOutput::SendQuery(query) => {
                    self.queries_sent += 1;
                    let server = server_addresses(self.zones.len())
                        .iter()
                        .position(|s| *s == query.server)
                        .unwrap();
                    if let Some(response) = self.zones[server].respond(&query.message, query.is_tcp)
                    {
                        self.responses_in_flight
                            .push((self.now + ROUND_TRIP, query.id, response));
                    }
                }
                BrowserOutput::CancelQuery(id) => {
                    self.responses_in_flight.retain(|response| response.1 != id)
                }
                BrowserOutput::UpdateRegistry(input) => {
                    let mut changes = Vec::new();
                    self.endpoints.handle(self.now, input, &mut changes);
                    self.apply_changes(changes);
                }
            }
        }
    }

    fn apply_changes(&mut self, changes: Vec<ListChange>) {
        for change in changes {
            match change {
                ListChange::Listed { endpoint, view, .. } => {
                    self.list.insert(endpoint.to_string(), view);
                }
                ListChange::Removed { endpoint } => {
                    self.list.remove(&*endpoint);
                }
            }
        }
        self.max_listed = self.max_listed.max(self.list.len());
    }

    /// Advances time by `span`, and calls `observe` with the time and the list after each event.
    fn run(&mut self, span: u64, mut observe: impl FnMut(u64, &BTreeMap<String, EndpointView>)) {
        let end = self.now + span;
        loop {
            let response_due = self
                .responses_in_flight
                .iter()
                .map(|response| response.0)
                .min();
            let due = [
                response_due,
                self.browser.next_due(),
                self.endpoints.next_due(),
            ];
            let Some(next) = due.into_iter().flatten().min().filter(|n| *n <= end) else {
                break;
            };
            // The due times of the wheel are rounded down to ticks and may lie in the past.
            self.now = self.now.max(next);
            let (mut outputs, mut changes) = (Vec::new(), Vec::new());
            if let Some(index) = self
                .responses_in_flight
                .iter()
                .position(|response| response.0 <= self.now)
            {
                let (_, id, bytes) = self.responses_in_flight.swap_remove(index);
                self.browser.on_response(self.now, id, &bytes, &mut outputs);
            }
            self.browser.on_due(self.now, &mut outputs);
            self.endpoints.on_due(self.now, &mut changes);
            self.apply_changes(changes);
            self.handle_outputs(outputs);
            observe(self.now, &self.list);
        }
        self.now = end;
    }

    fn endpoint_ids(&self) -> Vec<&str> {
        self.list.keys().map(String::as_str).collect()
    }
}

/// Guards against needless round trips: one is enough if the server sends additional records, three if it does not, and
/// one more over TCP if it truncates the response.
#[rstest]
#[case(DnsFaultMode::Normal, 1)]
#[case(DnsFaultMode::Truncated, 2)]
#[case(DnsFaultMode::NoAdditionalRecords, 3)]
fn ten_endpoints_are_listed_within_the_expected_round_trips(
    #[case] fault_mode: DnsFaultMode,
    #[case] round_trips: u64,
) {
    let mut simulation = Simulation::new(vec![DnsZone {
        fault_mode,
        ..zone(10)
    }]);
    simulation.run(round_trips * ROUND_TRIP, |_, _| {});
    assert_eq!(simulation.list.len(), 10);
    assert_eq!(simulation.list["s-3"].address, address(3));
    if fault_mode != DnsFaultMode::Truncated {
        let queries = simulation.browser.counters().queries_sent;
        assert_eq!(
            queries,
            if fault_mode == DnsFaultMode::Normal {
                1
            } else {
                1 + 2 * 10 + 2 * 10
            }
        );
    }
}

/// Guards against late or wrong changes: additions and drains must take effect within the minimum TTL of 1 s, removals
/// within 3 s, and an outdated record must not lift a drain.
#[test]
fn changes_take_effect_within_the_minimum_ttl() {
    let mut simulation = Simulation::new(vec![zone(5)]);
    simulation.run(5 * SECOND, |_, _| {});
    simulation.zones[0]
        .instances
        .insert("db-9".into(), ServiceInstance::new("s-9", address(9), 1));
    simulation.zones[0].instances.remove("db-0");
    let changed = simulation.zones[0].instances["db-1"]
        .clone()
        .with_txt("state", Some("draining"));
    simulation.zones[0].instances.insert("db-1".into(), changed);
    let (changed_at, mut listed_at, mut draining_at) = (simulation.now, None, None);
    simulation.run(3 * SECOND, |now, list| {
        listed_at = listed_at.or(list.contains_key("s-9").then_some(now));
        draining_at = draining_at.or((list["s-1"].state == ClaimedState::Draining).then_some(now));
    });
    assert!(
        listed_at.unwrap() - changed_at <= SECOND && draining_at.unwrap() - changed_at <= SECOND
    );
    // No source lists s-0, and it has no heartbeat.
    assert_eq!(
        simulation.endpoint_ids(),
        ["s-1", "s-2", "s-3", "s-4", "s-9"]
    );
    // An outdated record without a later process start does not lift the drain. A later start does.
    let changed = simulation.zones[0].instances["db-1"].clone();
    simulation.zones[0].instances.insert(
        "db-1".into(),
        changed.clone().with_txt("state", Some("ready")),
    );
    simulation.run(3 * SECOND, |_, list| {
        assert_eq!(list["s-1"].state, ClaimedState::Draining)
    });
    simulation.zones[0].instances.insert(
        "db-1".into(),
        changed
            .with_txt("state", Some("ready"))
            .with_txt("boot_ms", Some("9")),
    );
    simulation.run(3 * SECOND, |_, _| {});
    assert_eq!(simulation.list["s-1"].state, ClaimedState::Ready);
}

/// Guards against endpoints that are withdrawn because of a fault: all servers fail in one of several ways for an hour,
/// then one response is empty, then the servers recover. No endpoint may be removed at any time.
#[rstest]
fn no_endpoint_is_removed_when_servers_fail(
    #[values(
        DnsFaultMode::NoResponse,
        DnsFaultMode::ServerFailure,
        DnsFaultMode::InvalidMessage,
        DnsFaultMode::CompressionLoop,
        DnsFaultMode::WrongId,
        DnsFaultMode::WrongQuestion
    )]
    fault_mode: DnsFaultMode,
    #[values(DnsFaultMode::NoData, DnsFaultMode::NxDomain)] empty: DnsFaultMode,
) {
    let mut simulation = Simulation::new(vec![zone(5), zone(5)]);
    simulation.run(10 * SECOND, |_, _| {});
    let mut min_listed = usize::MAX;
    let mut observe =
        |_, list: &BTreeMap<String, EndpointView>| min_listed = min_listed.min(list.len());
    simulation
        .zones
        .iter_mut()
        .for_each(|zone| zone.fault_mode = fault_mode);
    simulation.run(3600 * SECOND, &mut observe);
    assert!(simulation.endpoints.unreachable_since(1).is_some());
    // The pauses grow to up to half a minute, so the servers are not queried at the full rate.
    assert!(
        simulation.queries_sent < 1000,
        "{} queries",
        simulation.queries_sent
    );
    simulation
        .zones
        .iter_mut()
        .for_each(|zone| zone.fault_mode = empty);
    let before = simulation.queries_sent;
    while simulation.queries_sent == before {
        simulation.run(100 * MILLISECOND, &mut observe);
    }
    simulation
        .zones
        .iter_mut()
        .for_each(|zone| zone.fault_mode = DnsFaultMode::Normal);
    simulation.run(120 * SECOND, &mut observe);
    assert_eq!((min_listed, simulation.list.len()), (5, 5));
    assert!(simulation.endpoints.unreachable_since(1).is_none());
}

/// Guards against a list that is never emptied: an empty list that persists must be accepted.
#[test]
fn endpoints_are_removed_when_list_stays_empty() {
    let mut simulation = Simulation::new(vec![zone(3)]);
    simulation.run(5 * SECOND, |_, _| {});
    assert_eq!(simulation.list.len(), 3);
    simulation.zones[0].instances.clear();
    simulation.run(30 * SECOND, |_, _| {});
    assert!(simulation.list.is_empty());
}

/// Guards against injected records: those outside the domain or unrelated to the question must be ignored.
#[test]
fn unrelated_records_are_ignored() {
    let mut simulation = Simulation::new(vec![DnsZone {
        fault_mode: DnsFaultMode::UnrelatedRecords,
        ..zone(2)
    }]);
    simulation.run(10 * SECOND, |_, list| {
        assert!(list.values().all(|view| view.address.port() != 9))
    });
    assert_eq!(simulation.endpoint_ids(), ["s-0", "s-1"]);
    assert!(simulation.browser.counters().unrelated_records > 0);
}

/// Guards against the loss of endpoints when TTLs alternate between 0 s, 1 s and a day, and against two endpoints with
/// one address when a new endpoint replaces another at its address.
#[test]
fn endpoints_stay_listed_when_ttls_vary_and_an_address_is_reused() {
    let mut simulation = Simulation::new(vec![zone(4)]);
    simulation.run(2 * SECOND, |_, _| {});
    let mut min_listed = usize::MAX;
    for round in 0..60 {
        let ttl = [0, 1, 86_400][round % 3];
        simulation.zones[0]
            .instances
            .values_mut()
            .for_each(|instance| instance.ttl = ttl);
        simulation.run(7 * SECOND, |_, list| {
            min_listed = min_listed.min(list.len())
        });
    }
    assert_eq!(min_listed, 4);
    simulation.zones[0].instances.remove("db-2");
    let replacement = ServiceInstance::new("s-20", address(2), 1).with_txt("boot_ms", Some("5"));
    simulation.zones[0]
        .instances
        .insert("db-20".into(), replacement);
    simulation.run(60 * SECOND, |_, list| {
        assert!(
            list.values()
                .filter(|view| view.address == address(2))
                .count()
                <= 1
        );
    });
    assert_eq!(simulation.endpoint_ids(), ["s-0", "s-1", "s-20", "s-3"]);
}

/// Guards against an unresponsive first server that delays discovery: the next server must be queried after one query
/// timeout.
#[test]
fn next_server_is_queried_when_the_first_times_out() {
    let mut simulation = Simulation::new(vec![
        DnsZone {
            fault_mode: DnsFaultMode::NoResponse,
            ..zone(3)
        },
        zone(3),
    ]);
    simulation.run(510 * MILLISECOND, |_, _| {});
    assert_eq!(simulation.list.len(), 3);
}

/// Guards the servers against overload: the records of a large service are requested within the query budget.
#[test]
fn queries_stay_within_the_budget() {
    let mut simulation = Simulation::with_budget(
        vec![DnsZone {
            fault_mode: DnsFaultMode::NoAdditionalRecords,
            ..zone(100)
        }],
        50.0,
    );
    for second in 1..=20 {
        simulation.run(SECOND, |_, _| {});
        assert!(
            simulation.queries_sent <= 50 * (second + 1),
            "{} queries in {second} s",
            simulation.queries_sent
        );
    }
    assert_eq!(simulation.list.len(), 100);
}

/// Guards the interpretation of SRV priority and weight (RFC 2782): endpoints of a higher tier are on standby until none
/// of a lower tier is in service, and the weight is the capacity.
#[test]
fn priority_sets_the_tier_and_weight_the_capacity() {
    let mut zone = zone(4);
    for (label, instance) in &mut zone.instances {
        instance.priority = u16::from(label == "db-3") * 10;
        instance.weight = 50;
    }
    let mut simulation = Simulation::new(vec![zone]);
    simulation.run(2 * SECOND, |_, _| {});
    assert_eq!(
        (simulation.endpoint_ids(), simulation.list["s-0"].weight),
        (vec!["s-0", "s-1", "s-2"], 0.5)
    );
    for label in ["db-0", "db-1", "db-2"] {
        let draining = simulation.zones[0].instances[label]
            .clone()
            .with_txt("state", Some("draining"));
        simulation.zones[0].instances.insert(label.into(), draining);
    }
    simulation.run(2 * SECOND, |_, _| {});
    assert_eq!(simulation.list["s-3"].state, ClaimedState::Ready);
}

/// Guards against endpoints that are not listed because the browsed service is a subtype, whose endpoints have names
/// under the service itself, or because a host only has an IPv6 address.
#[rstest]
fn endpoints_of_subtypes_and_ipv6_hosts_are_listed(
    #[values(DnsFaultMode::Normal, DnsFaultMode::NoAdditionalRecords)] fault_mode: DnsFaultMode,
) {
    let mut zone = DnsZone {
        fault_mode,
        ..zone(2)
    };
    let ipv6_address: SocketAddr = "[::1]:7001".parse().unwrap();
    zone.instances
        .insert("db-1".into(), ServiceInstance::new("s-1", ipv6_address, 1));
    let mut simulation = Simulation::with_service(SUBTYPE, vec![zone], 1000.0);
    simulation.run(2 * SECOND, |_, _| {});
    assert_eq!(
        (simulation.endpoint_ids(), simulation.list["s-1"].address),
        (vec!["s-0", "s-1"], ipv6_address)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 250,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against damaged responses: however the bytes of a response are altered or truncated, the browser must not
    /// panic, loop or send queries without bound, and the number of endpoints stays bounded.
    #[test]
    fn damaged_responses_cause_no_panic_and_no_query_flood(
        damage in proptest::collection::vec((any::<proptest::sample::Index>(), any::<u8>()), 1..8),
        cut in any::<Option<proptest::sample::Index>>(),
        fault_mode in prop_oneof![Just(DnsFaultMode::Normal), Just(DnsFaultMode::NoAdditionalRecords), Just(DnsFaultMode::UnrelatedRecords)],
    ) {
        let mut simulation = Simulation::new(vec![DnsZone { fault_mode, ..zone(4) }]);
        for _ in 0..40 {
            for (_, _, bytes) in &mut simulation.responses_in_flight {
                for (position, value) in &damage {
                    // The id is left intact, since a response with another id is rejected without further parsing.
                    let position = 2 + position.index(bytes.len().max(3) - 2);
                    if let Some(byte) = bytes.get_mut(position) {
                        *byte = *value;
                    }
                }
                if let Some(cut) = cut {
                    bytes.truncate(cut.index(bytes.len() + 1));
                }
            }
            simulation.run(100 * MILLISECOND, |_, _| {});
        }
        prop_assert!(simulation.queries_sent < 500, "{} queries", simulation.queries_sent);
        prop_assert!(simulation.endpoints.len() <= 64);
    }
}
