//! The client of service records on a made-up clock, against the stand-in's zone, and the endpoints that come of it.

use hickory_proto::rr::Name;
use proptest::prelude::*;
use reelrill_service_discovery::browse::{Browser, BrowserConfig, BrowserOutput};
use reelrill_service_discovery::{
    ClaimedState, EndpointRegistry, EndpointView, ListChange, RegistryInput, RegistrySettings,
    SourceKind,
};
use reelrill_test_support::dns::{DOMAIN, Instance, Manner, SERVICE, SUBTYPE, Zone};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const MS: u64 = 1_000_000;
const SECOND: u64 = 1000 * MS;
const TRIP: u64 = 2 * MS;

/// A browser, the servers that it asks, and the endpoints that it tells.
struct World {
    zones: Vec<Zone>,
    browser: Browser,
    endpoints: EndpointRegistry,
    list: BTreeMap<String, EndpointView>,
    now: u64,
    /// Answers on their way: when, for which query, and the bytes.
    on_way: Vec<(u64, u64, Vec<u8>)>,
    asked: usize,
    most_told: usize,
}

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + n).into()
}

fn zone(instances: u16) -> Zone {
    let all = (0..instances).map(|n| {
        (
            format!("db-{n}"),
            Instance::new(&format!("s-{n}"), address(n), 1),
        )
    });
    Zone {
        instances: all.collect(),
        ..Zone::default()
    }
}

fn servers(n: usize) -> Vec<SocketAddr> {
    (0..n)
        .map(|n| ([127, 0, 0, 53], n as u16 + 1).into())
        .collect()
}

impl World {
    fn new(zones: Vec<Zone>) -> World {
        World::with_budget(zones, 1000.0)
    }

    fn with_budget(zones: Vec<Zone>, budget: f64) -> World {
        World::of(SERVICE, zones, budget)
    }

    fn of(service: &str, zones: Vec<Zone>, budget: f64) -> World {
        let now = 1 << 60;
        let config = BrowserConfig {
            servers: servers(zones.len()),
            service: Name::from_ascii(service).unwrap(),
            domain: Name::from_ascii(DOMAIN).unwrap(),
            ttl_range: (SECOND, 60 * SECOND),
            query_timeout: 500 * MS,
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
        let (list, on_way) = (BTreeMap::new(), Vec::new());
        let mut world = World {
            zones,
            browser,
            endpoints,
            list,
            now,
            on_way,
            asked: 0,
            most_told: 0,
        };
        let mut out = Vec::new();
        world.browser.start(now, &mut out);
        world.carry(out);
        world
    }

    fn carry(&mut self, out: Vec<BrowserOutput>) {
        for output in out {
            match output {
                BrowserOutput::SendQuery(ask) => {
                    self.asked += 1;
                    let server = servers(self.zones.len())
                        .iter()
                        .position(|s| *s == ask.server)
                        .unwrap();
                    if let Some(answer) = self.zones[server].answer(&ask.message, ask.is_tcp) {
                        self.on_way.push((self.now + TRIP, ask.id, answer));
                    }
                }
                BrowserOutput::CancelQuery(query) => self.on_way.retain(|w| w.1 != query),
                BrowserOutput::UpdateRegistry(input) => {
                    let mut changes = Vec::new();
                    self.endpoints.handle(self.now, input, &mut changes);
                    self.apply(changes);
                }
            }
        }
    }

    fn apply(&mut self, changes: Vec<ListChange>) {
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
        self.most_told = self.most_told.max(self.list.len());
    }

    /// Lets time pass; `watch` looks at the list after each event.
    fn run(&mut self, span: u64, mut watch: impl FnMut(u64, &BTreeMap<String, EndpointView>)) {
        let end = self.now + span;
        loop {
            let answer = self.on_way.iter().map(|w| w.0).min();
            let due = [answer, self.browser.next_due(), self.endpoints.next_due()];
            let Some(next) = due.into_iter().flatten().min().filter(|n| *n <= end) else {
                break;
            };
            // The wheel's clock goes in ticks.
            self.now = self.now.max(next);
            let (mut out, mut changes) = (Vec::new(), Vec::new());
            if let Some(at) = self.on_way.iter().position(|w| w.0 <= self.now) {
                let (_, query, bytes) = self.on_way.swap_remove(at);
                self.browser.on_response(self.now, query, &bytes, &mut out);
            }
            self.browser.on_due(self.now, &mut out);
            self.endpoints.on_due(self.now, &mut changes);
            self.apply(changes);
            self.carry(out);
            watch(self.now, &self.list);
        }
        self.now = end;
    }

    fn names(&self) -> Vec<&str> {
        self.list.keys().map(String::as_str).collect()
    }
}

/// Guards the round trips: one where the server sends all along, three where it sends only what was asked, one more
/// over TCP where it truncates.
#[rstest]
#[case(Manner::Helpful, 1)]
#[case(Manner::Truncated, 2)]
#[case(Manner::Terse, 3)]
fn ten_endpoints_are_found_in_few_round_trips(#[case] manner: Manner, #[case] trips: u64) {
    let mut world = World::new(vec![Zone { manner, ..zone(10) }]);
    world.run(trips * TRIP, |_, _| {});
    assert_eq!(world.list.len(), 10);
    assert_eq!(world.list["s-3"].address, address(3));
    if manner != Manner::Truncated {
        let queries = world.browser.counters().queries_sent;
        assert_eq!(
            queries,
            if manner == Manner::Helpful {
                1
            } else {
                1 + 2 * 10 + 2 * 10
            }
        );
    }
}

/// Guards the time from a change to its use, and that only what changed is told anew.
#[test]
fn changes_are_seen_within_the_floor_of_ttls() {
    let mut world = World::new(vec![zone(5)]);
    world.run(5 * SECOND, |_, _| {});
    world.zones[0]
        .instances
        .insert("db-9".into(), Instance::new("s-9", address(9), 1));
    world.zones[0].instances.remove("db-0");
    let db1 = world.zones[0].instances["db-1"]
        .clone()
        .with("state", Some("draining"));
    world.zones[0].instances.insert("db-1".into(), db1);
    let (began, mut came, mut drained) = (world.now, None, None);
    world.run(3 * SECOND, |now, list| {
        came = came.or(list.contains_key("s-9").then_some(now));
        drained = drained.or((list["s-1"].state == ClaimedState::Draining).then_some(now));
    });
    assert!(came.unwrap() - began <= SECOND && drained.unwrap() - began <= SECOND);
    // Nobody names it and it never answered for itself.
    assert_eq!(world.names(), ["s-1", "s-2", "s-3", "s-4", "s-9"]);
    // An older record that still points there lifts nothing; a newer start does.
    let db1 = world.zones[0].instances["db-1"].clone();
    world.zones[0]
        .instances
        .insert("db-1".into(), db1.clone().with("state", Some("ready")));
    world.run(3 * SECOND, |_, list| {
        assert_eq!(list["s-1"].state, ClaimedState::Draining)
    });
    world.zones[0].instances.insert(
        "db-1".into(),
        db1.with("state", Some("ready")).with("boot_ms", Some("9")),
    );
    world.run(3 * SECOND, |_, _| {});
    assert_eq!(world.list["s-1"].state, ClaimedState::Ready);
}

/// Hard case 2: the servers are out for an hour, then one answer is empty, then all is right; and each other way in
/// which a server can fail. No endpoint is forgotten at any point.
#[rstest]
fn a_server_that_fails_takes_nothing_away(
    #[values(
        Manner::Silent,
        Manner::Fails,
        Manner::Noise,
        Manner::Loop,
        Manner::WrongId,
        Manner::WrongQuestion
    )]
    manner: Manner,
    #[values(Manner::Empty, Manner::NoName)] empty: Manner,
) {
    let mut world = World::new(vec![zone(5), zone(5)]);
    world.run(10 * SECOND, |_, _| {});
    let mut least = usize::MAX;
    let mut watch = |_, list: &BTreeMap<String, EndpointView>| least = least.min(list.len());
    world.zones.iter_mut().for_each(|z| z.manner = manner);
    world.run(3600 * SECOND, &mut watch);
    assert!(world.endpoints.unreachable_since(1).is_some());
    // Not at full speed: the pauses grow to half a minute and more.
    assert!(world.asked < 1000, "{} queries", world.asked);
    world.zones.iter_mut().for_each(|z| z.manner = empty);
    let before = world.asked;
    while world.asked == before {
        world.run(100 * MS, &mut watch);
    }
    world
        .zones
        .iter_mut()
        .for_each(|z| z.manner = Manner::Helpful);
    world.run(120 * SECOND, &mut watch);
    assert_eq!((least, world.list.len()), (5, 5));
    assert!(world.endpoints.unreachable_since(1).is_none());
}

/// Guards the other side of it: an empty list that stays is believed.
#[test]
fn a_list_that_stays_empty_is_believed() {
    let mut world = World::new(vec![zone(3)]);
    world.run(5 * SECOND, |_, _| {});
    assert_eq!(world.list.len(), 3);
    world.zones[0].instances.clear();
    world.run(30 * SECOND, |_, _| {});
    assert!(world.list.is_empty());
}

/// Hard case 4: records that nobody asked for change nothing.
#[test]
fn foreign_records_are_not_believed() {
    let mut world = World::new(vec![Zone {
        manner: Manner::Foreign,
        ..zone(2)
    }]);
    world.run(10 * SECOND, |_, list| {
        assert!(list.values().all(|v| v.address.port() != 9))
    });
    assert_eq!(world.names(), ["s-0", "s-1"]);
    assert!(world.browser.counters().unrelated_records > 0);
}

/// Hard case 3: TTLs flip between 0, 1 and a day, and a replaced node takes over an address.
#[test]
fn ttls_may_flip_and_addresses_change_hands() {
    let mut world = World::new(vec![zone(4)]);
    world.run(2 * SECOND, |_, _| {});
    let mut least = usize::MAX;
    for round in 0..60 {
        let ttl = [0, 1, 86_400][round % 3];
        world.zones[0]
            .instances
            .values_mut()
            .for_each(|i| i.ttl = ttl);
        world.run(7 * SECOND, |_, list| least = least.min(list.len()));
    }
    assert_eq!(least, 4);
    world.zones[0].instances.remove("db-2");
    let next = Instance::new("s-20", address(2), 1).with("boot_ms", Some("5"));
    world.zones[0].instances.insert("db-20".into(), next);
    world.run(60 * SECOND, |_, list| {
        assert!(list.values().filter(|v| v.address == address(2)).count() <= 1);
    });
    assert_eq!(world.names(), ["s-0", "s-1", "s-20", "s-3"]);
}

/// Guards the first server's users: when it says nothing the next one is asked, within its time-out.
#[test]
fn the_next_server_is_asked_in_time() {
    let mut world = World::new(vec![
        Zone {
            manner: Manner::Silent,
            ..zone(3)
        },
        zone(3),
    ]);
    world.run(510 * MS, |_, _| {});
    assert_eq!(world.list.len(), 3);
}

/// Guards the servers: what a large service needs is asked for within the budget.
#[test]
fn queries_keep_to_their_budget() {
    let mut world = World::with_budget(
        vec![Zone {
            manner: Manner::Terse,
            ..zone(100)
        }],
        50.0,
    );
    for second in 1..=20 {
        world.run(SECOND, |_, _| {});
        assert!(
            world.asked <= 50 * (second + 1),
            "{} queries in {second} s",
            world.asked
        );
    }
    assert_eq!(world.list.len(), 100);
}

/// Guards priorities and weights (RFC 2782): the higher tier stands by until the lower one has none in service.
#[test]
fn priority_is_a_tier_and_weight_a_size() {
    let mut zone = zone(4);
    for (label, instance) in &mut zone.instances {
        instance.priority = u16::from(label == "db-3") * 10;
        instance.weight = 50;
    }
    let mut world = World::new(vec![zone]);
    world.run(2 * SECOND, |_, _| {});
    assert_eq!(
        (world.names(), world.list["s-0"].weight),
        (vec!["s-0", "s-1", "s-2"], 0.5)
    );
    for label in ["db-0", "db-1", "db-2"] {
        let drains = world.zones[0].instances[label]
            .clone()
            .with("state", Some("draining"));
        world.zones[0].instances.insert(label.into(), drains);
    }
    world.run(2 * SECOND, |_, _| {});
    assert_eq!(world.list["s-3"].state, ClaimedState::Ready);
}

/// Guards subtypes, whose endpoints are named under the service itself, and hosts that only have an IPv6 address.
#[rstest]
fn subtypes_and_ipv6_hosts_are_found(#[values(Manner::Helpful, Manner::Terse)] manner: Manner) {
    let mut zone = Zone { manner, ..zone(2) };
    let six: SocketAddr = "[::1]:7001".parse().unwrap();
    zone.instances
        .insert("db-1".into(), Instance::new("s-1", six, 1));
    let mut world = World::of(SUBTYPE, vec![zone], 1000.0);
    world.run(2 * SECOND, |_, _| {});
    assert_eq!(
        (world.names(), world.list["s-1"].address),
        (vec!["s-0", "s-1"], six)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 250,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Hard case 4, further: from bytes to claims. Whatever is done to an answer, nothing panics or loops, and no
    /// endpoint comes that lies outside of the domain.
    #[test]
    fn damaged_answers_do_no_harm(
        damage in proptest::collection::vec((any::<proptest::sample::Index>(), any::<u8>()), 1..8),
        cut in any::<Option<proptest::sample::Index>>(),
        manner in prop_oneof![Just(Manner::Helpful), Just(Manner::Terse), Just(Manner::Foreign)],
    ) {
        let mut world = World::new(vec![Zone { manner, ..zone(4) }]);
        for _ in 0..40 {
            for (_, _, bytes) in &mut world.on_way {
                for (at, value) in &damage {
                    // The id stays: one with another is refused without a further look.
                    let at = 2 + at.index(bytes.len().max(3) - 2);
                    if let Some(byte) = bytes.get_mut(at) {
                        *byte = *value;
                    }
                }
                if let Some(cut) = cut {
                    bytes.truncate(cut.index(bytes.len() + 1));
                }
            }
            world.run(100 * MS, |_, _| {});
        }
        prop_assert!(world.asked < 500, "{} queries", world.asked);
        prop_assert!(world.endpoints.len() <= 64);
    }
}
