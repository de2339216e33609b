//! Measures endpoint discovery from several sources: the timers of records, the CPU time and memory of the registry,
//! and the reads that clients are served while endpoints change.

use crate::figures::{Report, Target, median};
use anyhow::{Context as _, ensure};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reelrill_service_discovery::wheel::{TimerHandle, TimerWheel};
use reelrill_service_discovery::{
    Claim, ClaimedState, EndpointRegistry, RegistryInput, RegistrySettings, SourceKind,
};
use reelrill_test_support::dns::{self, DnsZone, FakeDnsServer};
use reelrill_test_support::{
    Client, FakeDiscovery, FakeEndpoint, FakeReplicaSet, RouterProcess, base_settings,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The shortest time to live that the router applies to DNS records in these runs (`ttl_floor_ms`).
const TTL_FLOOR: Duration = Duration::from_millis(200);
/// Maximum time from the report of a drain until the router sends no more requests to the endpoint.
const DRAIN_REACTION_TIME: Duration = Duration::from_millis(250);

/// Runs all measurements of endpoint discovery; `quick` runs fewer or shorter rounds.
pub fn measure(program: &str, quick: bool) -> anyhow::Result<Report> {
    let mut report = Report::new("membership", quick);
    measure_timers(if quick { 3 } else { 9 }, &mut report);
    measure_changes(if quick { 5 } else { 15 }, &mut report)?;
    measure_memory(&mut report)?;
    measure_reads_under_changes(
        program,
        Duration::from_secs(if quick { 10 } else { 60 }),
        &mut report,
    )?;
    Ok(report)
}

/// Measures the time per operation of a timer wheel, a binary heap and a tree that do the same work: insert the timers
/// of 100,000 records, refresh each five times on average, and expire all.
fn measure_timers(rounds: usize, report: &mut Report) {
    const RECORDS: u64 = 100_000;
    const REFRESHES: u64 = 5 * RECORDS;
    const NANOS_PER_SECOND: u64 = 1_000_000_000;
    let mut random = StdRng::seed_from_u64(1);
    let delays: Vec<u64> = (0..RECORDS)
        .map(|_| random.random_range(NANOS_PER_SECOND..60 * NANOS_PER_SECOND))
        .collect();
    let refreshes: Vec<usize> = (0..REFRESHES)
        .map(|_| random.random_range(0..RECORDS as usize))
        .collect();
    let mut results: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut add_result = |name, started_at: Instant, operations: u64| {
        results
            .entry(name)
            .or_default()
            .push(started_at.elapsed().as_nanos() as f64 / operations as f64);
    };
    let refreshed_at_ns = |step: usize| step as u64 * 20_000;
    let end = 200 * NANOS_PER_SECOND;
    for _ in 0..rounds {
        let started_at = Instant::now();
        let mut wheel = TimerWheel::new(0);
        let handles: Vec<TimerHandle> = delays
            .iter()
            .enumerate()
            .map(|(index, delay)| wheel.insert(*delay, index))
            .collect();
        add_result("wheel, insert", started_at, RECORDS);
        let started_at = Instant::now();
        for (step, index) in refreshes.iter().enumerate() {
            wheel.reset(
                handles[*index],
                refreshed_at_ns(step) + delays[*index] + 60 * NANOS_PER_SECOND,
            );
        }
        add_result("wheel, refresh", started_at, REFRESHES);
        let (started_at, mut due) = (Instant::now(), Vec::new());
        for now in (0..=end).step_by(NANOS_PER_SECOND as usize / 20) {
            wheel.expire(now, &mut due);
        }
        add_result("wheel, expire", started_at, RECORDS);
        assert_eq!(due.len(), RECORDS as usize);

        // A heap can't move an entry: a refresh inserts another, and the outdated one is skipped when it is due.
        let started_at = Instant::now();
        let mut heap: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        let mut due_times: Vec<u64> = delays.clone();
        heap.extend(
            delays
                .iter()
                .enumerate()
                .map(|(index, delay)| Reverse((*delay, index))),
        );
        add_result("heap, insert", started_at, RECORDS);
        let started_at = Instant::now();
        for (step, index) in refreshes.iter().enumerate() {
            due_times[*index] = refreshed_at_ns(step) + delays[*index] + 60 * NANOS_PER_SECOND;
            heap.push(Reverse((due_times[*index], *index)));
        }
        add_result("heap, refresh", started_at, REFRESHES);
        let (started_at, mut due) = (Instant::now(), 0);
        for now in (0..=end).step_by(NANOS_PER_SECOND as usize / 20) {
            while let Some(Reverse((due_at, index))) =
                heap.peek().copied().filter(|top| top.0.0 <= now)
            {
                heap.pop();
                due += u64::from(due_times[index] == due_at);
            }
        }
        add_result("heap, expire", started_at, RECORDS);
        assert_eq!(due, RECORDS);

        let started_at = Instant::now();
        let mut tree: BTreeMap<(u64, usize), ()> = BTreeMap::new();
        let mut due_times: Vec<u64> = delays.clone();
        for (index, delay) in delays.iter().enumerate() {
            tree.insert((*delay, index), ());
        }
        add_result("tree, insert", started_at, RECORDS);
        let started_at = Instant::now();
        for (step, index) in refreshes.iter().enumerate() {
            tree.remove(&(due_times[*index], *index));
            due_times[*index] = refreshed_at_ns(step) + delays[*index] + 60 * NANOS_PER_SECOND;
            tree.insert((due_times[*index], *index), ());
        }
        add_result("tree, refresh", started_at, REFRESHES);
        let (started_at, mut due) = (Instant::now(), 0);
        for now in (0..=end).step_by(NANOS_PER_SECOND as usize / 20) {
            while tree.first_key_value().is_some_and(|(key, ())| key.0 <= now) {
                tree.pop_first();
                due += 1;
            }
        }
        add_result("tree, expire", started_at, RECORDS);
        assert_eq!(due, RECORDS);
    }
    for (name, values) in results {
        report.add(name, "ns", &values, Target::None);
    }
}

/// Returns the address of the endpoint with this index.
fn address(index: usize) -> SocketAddr {
    (
        [10, (index >> 16) as u8, (index >> 8) as u8, index as u8],
        5432,
    )
        .into()
}

/// The names of all endpoints, by index.
struct EndpointNames {
    /// Names in the endpoint list.
    ids: Vec<Arc<str>>,
    /// Names of the service instances in DNS.
    records: Vec<Arc<str>>,
}

/// Returns the names of `count` endpoints.
fn endpoint_names(count: usize) -> EndpointNames {
    let ids = (0..count).map(|i| format!("s-{i:08x}").into()).collect();
    EndpointNames {
        ids,
        records: (0..count)
            .map(|i| format!("db-{i}._postgresql._tcp.example.org.").into())
            .collect(),
    }
}

/// Returns a registry in which the endpoint list and DNS records both claim all these endpoints, in replica sets of
/// five.
fn registry_with(names: &EndpointNames) -> EndpointRegistry {
    let mut registry = EndpointRegistry::new(
        RegistrySettings {
            max_endpoints: 1 << 20,
            ..RegistrySettings::default()
        },
        0,
    );
    let mut out = Vec::new();
    for (source, kind) in [(0, SourceKind::EndpointList), (1, SourceKind::DnsRecords)] {
        registry.handle(0, RegistryInput::SourceAdded { source, kind }, &mut out);
    }
    for (index, id) in names.ids.iter().enumerate() {
        let claim = Claim {
            uid: Some(id.clone()),
            version: 1,
            ..Claim::new("", address(index), index as u32 / 5)
        };
        registry.handle(
            0,
            RegistryInput::Claimed {
                source: 0,
                name: id.clone(),
                claim: claim.clone(),
            },
            &mut out,
        );
        let claim = Claim {
            version: 0,
            expires_at: Some(60_000_000_000),
            ..claim
        };
        registry.handle(
            0,
            RegistryInput::Claimed {
                source: 1,
                name: names.records[index].clone(),
                claim,
            },
            &mut out,
        );
        out.clear();
    }
    registry
}

/// The alternative that the registry is compared with: after each change, the list is rebuilt from all claims and
/// compared with the previous list.
struct RebuiltList {
    /// The claims of both sources, by the endpoint's id.
    claims: HashMap<Arc<str>, [Claim; 2]>,
    /// Address, state and replica set, by the endpoint's id.
    list: HashMap<Arc<str>, (SocketAddr, ClaimedState, u32)>,
}

impl RebuiltList {
    /// Replaces the first claim of an endpoint and rebuilds the list. Returns how many entries changed.
    fn apply(&mut self, id: &Arc<str>, claim: Claim) -> usize {
        if let Some(claims) = self.claims.get_mut(id) {
            claims[0] = claim;
        }
        let mut list = HashMap::with_capacity(self.claims.len());
        for (id, [list_claim, record_claim]) in &self.claims {
            let newest = if record_claim.started_at > list_claim.started_at {
                record_claim
            } else {
                list_claim
            };
            let is_draining = list_claim.state == ClaimedState::Draining
                || record_claim.state == ClaimedState::Draining;
            let state = if is_draining {
                ClaimedState::Draining
            } else {
                ClaimedState::Ready
            };
            list.insert(id.clone(), (newest.address, state, newest.replica_set));
        }
        let changed = list
            .iter()
            .filter(|(id, entry)| self.list.get(*id) != Some(*entry))
            .count();
        self.list = list;
        changed
    }
}

/// Measures the registry's time per change of one endpoint's state by the endpoint list.
fn measure_changes(rounds: usize, report: &mut Report) -> anyhow::Result<()> {
    let change_times_us = |endpoint_count: usize,
                           rounds: usize,
                           changes: usize|
     -> anyhow::Result<Vec<f64>> {
        let names = endpoint_names(endpoint_count);
        let (mut registry, mut random) = (registry_with(&names), StdRng::seed_from_u64(2));
        let (mut out, mut version, mut times) = (Vec::new(), 1, Vec::new());
        for round in 0..=rounds {
            let mut inputs = Vec::with_capacity(changes);
            for _ in 0..changes {
                version += 1;
                let index = random.random_range(0..endpoint_count);
                let state = if random.random() {
                    ClaimedState::Ready
                } else {
                    ClaimedState::Draining
                };
                let claim = Claim {
                    state,
                    version,
                    ..Claim::new(&names.ids[index], address(index), index as u32 / 5)
                };
                inputs.push(RegistryInput::Claimed {
                    source: 0,
                    name: names.ids[index].clone(),
                    claim,
                });
            }
            out.clear();
            let started_at = Instant::now();
            for input in inputs {
                registry.handle(version, input, &mut out);
            }
            // The first round warms up and is not counted.
            if round > 0 {
                times.push(started_at.elapsed().as_nanos() as f64 / changes as f64 / 1000.0);
            }
            ensure!(
                out.len() > changes / 4,
                "{} changes of the list after {changes} changes of claims, expected more than a quarter",
                out.len()
            );
        }
        Ok(times)
    };
    let (mut small, mut large, mut growth, mut speedup) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let names = endpoint_names(10_000);
    let claim_of = |index: usize, id: &Arc<str>| Claim::new(id, address(index), index as u32 / 5);
    let claims = names
        .ids
        .iter()
        .enumerate()
        .map(|(index, id)| (id.clone(), [claim_of(index, id), claim_of(index, id)]));
    let mut rebuilt_list = RebuiltList {
        claims: claims.collect(),
        list: HashMap::new(),
    };
    let mut rebuilt = Vec::new();
    for round in 0..rounds {
        small.push(median(&change_times_us(1_000, 3, 5_000)?));
        large.push(median(&change_times_us(10_000, 3, 5_000)?));
        let started_at = Instant::now();
        for step in 0..20 {
            let index = (round * 20 + step) * 7 % 10_000;
            let claim = Claim {
                state: ClaimedState::Draining,
                ..claim_of(index, &names.ids[index])
            };
            ensure!(
                rebuilt_list.apply(&names.ids[index], claim) > 0,
                "the rebuilt list did not change"
            );
        }
        rebuilt.push(started_at.elapsed().as_nanos() as f64 / 20.0 / 1000.0);
        growth.push(large[round] / small[round]);
        speedup.push(rebuilt[round] / large[round]);
    }
    report.add("a change, 1,000 members", "us", &small, Target::None);
    report.add("a change, 10,000 members", "us", &large, Target::None);
    report.add("the same, list made anew", "us", &rebuilt, Target::None);
    report.add(
        "made anew / by changes",
        "",
        &speedup,
        Target::AtLeast(20.0),
    );
    report.add("10,000 / 1,000 members", "", &growth, Target::AtMost(1.5));
    let share = median(&large) * 1000.0 / 1e6 * 100.0;
    report.add(
        "processor for 1,000 changes a second",
        "%",
        &[share],
        Target::None,
    );
    Ok(())
}

/// Returns the resident memory of this process in bytes, with pages of 4,096 bytes.
fn resident_bytes() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    Ok(text
        .split(' ')
        .nth(1)
        .context("/proc/self/statm: expected the number of resident pages as second field")?
        .parse::<f64>()?
        * 4096.0)
}

/// Measures the memory of a registry per endpoint that two sources claim, with the names.
fn measure_memory(report: &mut Report) -> anyhow::Result<()> {
    const ENDPOINTS: usize = 100_000;
    let before = resident_bytes()?;
    let registry = registry_with(&endpoint_names(ENDPOINTS));
    let bytes = (resident_bytes()? - before) / ENDPOINTS as f64;
    ensure!(
        registry.len() == ENDPOINTS,
        "the registry has {} endpoints, expected {ENDPOINTS}",
        registry.len()
    );
    report.add(
        "memory a member, two sources",
        "bytes",
        &[bytes],
        Target::AtMost(1024.0),
    );
    Ok(())
}

/// Clients that each send a read as soon as the previous one has its response, until they are stopped.
struct ReadLoad {
    has_ended: Arc<AtomicBool>,
    /// Reads that got a response.
    requests: Arc<AtomicU64>,
    /// Reads that got a response without an error.
    served: Arc<AtomicU64>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl ReadLoad {
    /// Starts this many clients of a router.
    fn start(router: &RouterProcess, clients: usize) -> ReadLoad {
        let (has_ended, requests, served) = (Arc::default(), Arc::default(), Arc::default());
        let load = ReadLoad {
            has_ended,
            requests,
            served,
            threads: Vec::new(),
        };
        let next_id = Arc::new(AtomicU64::new(1));
        let address = router.address;
        let threads = (0..clients).map(|_| {
            let (has_ended, requests, served) =
                (load.has_ended.clone(), load.requests.clone(), load.served.clone());
            let next_id: Arc<AtomicU64> = next_id.clone();
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                client.complete_startup();
                while !has_ended.load(Ordering::Relaxed) {
                    let id = next_id.fetch_add(1, Ordering::Relaxed);
                    let text = format!(
                        "SELECT data FROM facts WHERE code = 'k' /* id={id:016x},c=board,d=1000,cluster=2 */"
                    );
                    let response = client.simple_query(&text);
                    requests.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(u64::from(response.sqlstate.is_empty()), Ordering::Relaxed);
                }
            })
        });
        let threads = threads.collect();
        ReadLoad { threads, ..load }
    }

    /// Stops the clients and returns served reads divided by all reads.
    fn stop(self) -> f64 {
        self.has_ended.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.served.load(Ordering::Relaxed) as f64
            / self.requests.load(Ordering::Relaxed).max(1) as f64
    }
}

/// A router with six fake endpoints, which a DNS server and a discovery service announce to it.
struct Setup {
    replica_set: FakeReplicaSet,
    endpoints: Vec<FakeEndpoint>,
    dns_server: FakeDnsServer,
    discovery: FakeDiscovery,
    router: RouterProcess,
}

/// Starts a fake endpoint. A request takes it 10 ms, so that the reads are spread over all endpoints.
fn start_endpoint(replica_set: &FakeReplicaSet, number: usize) -> FakeEndpoint {
    FakeEndpoint::start_in_replica_set(
        replica_set,
        &format!("s-{number}"),
        ([127, 0, 0, 1], 0).into(),
        Duration::from_millis(10),
        false,
    )
}

/// Returns the DNS records of an endpoint, with a time to live of 0 s.
fn instance_record(number: usize, endpoint: &FakeEndpoint) -> dns::ServiceInstance {
    dns::ServiceInstance {
        ttl: 0,
        ..dns::ServiceInstance::new(&format!("s-{number}"), endpoint.address, 2)
    }
}

impl Setup {
    /// Starts all of them and waits until the router has responded to a client.
    fn start(program: &str) -> Setup {
        let replica_set = FakeReplicaSet::new("s-0", Duration::ZERO, Duration::from_secs(2));
        let endpoints: Vec<FakeEndpoint> = (0..6)
            .map(|number| start_endpoint(&replica_set, number))
            .collect();
        let records = endpoints
            .iter()
            .enumerate()
            .map(|(number, endpoint)| (format!("db-{number}"), instance_record(number, endpoint)));
        let dns_server = FakeDnsServer::start(DnsZone {
            instances: records.collect(),
            ..DnsZone::default()
        });
        let discovery = FakeDiscovery::start(None);
        let extensions = format!(
            "discovery:\n  dns_sd: {{servers: [\"{}\"], services: [\"{}\"], domain: \"{}\", ttl_floor_ms: {}}}\n",
            dns_server.address,
            dns::SERVICE,
            dns::DOMAIN,
            TTL_FLOOR.as_millis()
        );
        let router = RouterProcess::start(
            program,
            &discovery,
            &[],
            1024,
            base_settings(),
            Some(&extensions),
        );
        let setup = Setup {
            replica_set,
            endpoints,
            dns_server,
            discovery,
            router,
        };
        setup.publish(None);
        let mut client = setup.router.connect_client();
        client.simple_query("");
        setup
    }

    /// Publishes the endpoint list through the discovery service, where one endpoint may be draining.
    fn publish(&self, draining: Option<usize>) {
        let entry = |(number, endpoint): (usize, &FakeEndpoint)| {
            let state = if Some(number) == draining {
                "draining"
            } else {
                "ready"
            };
            reelrill_test_support::list_entry(&format!("s-{number}"), endpoint.address, state)
        };
        self.discovery
            .publish(self.endpoints.iter().enumerate().map(entry).collect());
    }

    /// Returns the number of requests that an endpoint has received so far.
    fn request_count(&self, number: usize) -> usize {
        self.endpoints[number]
            .activity
            .with(|activity| activity.queries.len())
    }

    /// Waits until the router queries the DNS records once more, and returns the time.
    fn wait_for_record_query(&self) -> anyhow::Result<Instant> {
        ensure!(
            self.dns_server.wait_for_queries(1),
            "the router did not query the DNS records again"
        );
        Ok(Instant::now())
    }
}

/// Measures how the router serves reads while endpoints change. In each round one endpoint drains, the records of
/// another are removed, and a new one is added. In the first half of the run, the endpoint list and the DNS records
/// report the drains in turn; in the second half, the discovery service is unavailable and DNS records report all.
fn measure_reads_under_changes(
    program: &str,
    run_time: Duration,
    report: &mut Report,
) -> anyhow::Result<()> {
    const CLIENTS: usize = 24;
    let unchanged_share = {
        let setup = Setup::start(program);
        let load = ReadLoad::start(&setup.router, CLIENTS);
        std::thread::sleep(run_time / 2);
        load.stop()
    };
    let setup = Setup::start(program);
    let load = ReadLoad::start(&setup.router, CLIENTS);
    let started_at = Instant::now();
    let (mut late_requests, mut drain_count, mut first_use_ms, mut boot_ms) =
        (0, 0, Vec::new(), 1u64);
    let pause = Duration::from_secs(2).min(run_time / 8);
    for round in 0usize.. {
        let elapsed = started_at.elapsed();
        if elapsed >= run_time {
            break;
        }
        // The discovery service is unavailable in the second half.
        let is_reported_by_list = round % 2 == 0 && elapsed < run_time / 2;
        if elapsed >= run_time / 2 {
            setup.discovery.list.with(|list| list.1 = None);
        }
        let draining = round % 6;
        let label = format!("db-{draining}");
        let reported_at = if is_reported_by_list {
            let poll_count = setup.discovery.requested_paths.with(|paths| paths.len());
            setup.publish(Some(draining));
            // The open list watch gets its response at once; the next poll shows that the router has received the list.
            let has_new_poll = |paths: &mut Vec<String>| (paths.len() > poll_count).then_some(());
            ensure!(
                setup
                    .discovery
                    .requested_paths
                    .wait_for(Duration::from_secs(10), has_new_poll)
                    .is_some(),
                "the router did not request the endpoint list again within 10 s"
            );
            Instant::now()
        } else {
            let draining_record = instance_record(draining, &setup.endpoints[draining])
                .with_txt("state", Some("draining"))
                .with_txt("boot_ms", Some(&boot_ms.to_string()));
            setup
                .dns_server
                .zone
                .with(|zone| zone.instances.insert(label.clone(), draining_record));
            setup.wait_for_record_query()?
        };
        drain_count += 1;
        // Meanwhile the records of another, healthy endpoint are removed: the router must not remove the endpoint.
        let removed_label = format!("db-{}", (draining + 1) % 6);
        let removed_record = setup
            .dns_server
            .zone
            .with(|zone| zone.instances.remove(&removed_label));
        std::thread::sleep(
            (reported_at + DRAIN_REACTION_TIME).saturating_duration_since(Instant::now()),
        );
        let requests_before = setup.request_count(draining);
        // Adds the records of a new endpoint and waits for its first request.
        let number = 6 + round;
        let (new_endpoint, added_at) = (start_endpoint(&setup.replica_set, number), Instant::now());
        let new_label = format!("db-{number}");
        setup.dns_server.zone.with(|zone| {
            zone.instances
                .insert(new_label.clone(), instance_record(number, &new_endpoint))
        });
        let has_request = |activity: &mut reelrill_test_support::EndpointActivity| {
            (!activity.queries.is_empty()).then_some(())
        };
        let was_used = new_endpoint
            .activity
            .wait_for(Duration::from_secs(10), has_request)
            .is_some();
        ensure!(
            was_used,
            "endpoint s-{number} received no request within 10 s; end of the router's log:\n{}",
            setup
                .router
                .log
                .with(|lines| lines[lines.len() - 12..].join("\n"))
        );
        first_use_ms.push(added_at.elapsed().as_secs_f64() * 1000.0);
        std::thread::sleep((reported_at + pause).saturating_duration_since(Instant::now()));
        late_requests += setup.request_count(draining) - requests_before;
        // The endpoint restarts: records with a newer start time end the drain.
        boot_ms += 1;
        let restarted_record = instance_record(draining, &setup.endpoints[draining])
            .with_txt("boot_ms", Some(&boot_ms.to_string()));
        setup.dns_server.zone.with(|zone| {
            zone.instances.insert(label, restarted_record);
            zone.instances
                .extend(removed_record.map(|record| (removed_label, record)));
            zone.instances.remove(&new_label);
        });
        if setup.discovery.list.with(|list| list.1.is_some()) {
            setup.publish(None);
        }
        setup.wait_for_record_query()?;
    }
    let share_under_changes = load.stop();
    let removed_endpoints = setup.router.log.with(|lines| {
        let is_healthy =
            |line: &&String| (0..6).any(|number| line.contains(&format!("member: s-{number},")));
        lines
            .iter()
            .filter(|line| line.contains("endpoint removed"))
            .filter(is_healthy)
            .count()
    });
    first_use_ms.sort_by(f64::total_cmp);
    let p99 = first_use_ms[(first_use_ms.len() * 99).div_ceil(100).saturating_sub(1)];
    report.add(
        "drains told",
        "",
        &[f64::from(drain_count)],
        Target::AtLeast(4.0),
    );
    report.add(
        "sends after told + 250 ms",
        "",
        &[late_requests as f64],
        Target::AtMost(0.0),
    );
    report.add(
        "healthy members forgotten",
        "",
        &[removed_endpoints as f64],
        Target::AtMost(0.0),
    );
    report.add(
        "record to first use, median",
        "ms",
        &first_use_ms,
        Target::None,
    );
    report.add(
        "record to first use, p99",
        "ms",
        &[p99],
        Target::AtMost(TTL_FLOOR.as_secs_f64() * 1000.0 + 200.0),
    );
    report.add(
        "served, quiet run",
        "%",
        &[unchanged_share * 100.0],
        Target::None,
    );
    report.add(
        "served, with flips",
        "%",
        &[share_under_changes * 100.0],
        Target::AtLeast(unchanged_share * 100.0 - 1.0),
    );
    Ok(())
}
