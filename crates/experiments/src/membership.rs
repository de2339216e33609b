//! What several sources of endpoints cost and keep.

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

/// The floor of TTLs in these runs.
const FLOOR: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_millis(250);

pub fn measure(program: &str, quick: bool) -> anyhow::Result<Report> {
    let mut report = Report::new("membership", quick);
    wheel(if quick { 3 } else { 9 }, &mut report);
    changes(if quick { 5 } else { 15 }, &mut report)?;
    memory(&mut report)?;
    flips(
        program,
        Duration::from_secs(if quick { 10 } else { 60 }),
        &mut report,
    )?;
    Ok(report)
}

/// The same work for each kind of timers: 100,000 records, each refreshed five times, then all due.
fn wheel(rounds: usize, report: &mut Report) {
    const RECORDS: u64 = 100_000;
    const REFRESHES: u64 = 5 * RECORDS;
    const SECOND: u64 = 1_000_000_000;
    let mut random = StdRng::seed_from_u64(1);
    let spans: Vec<u64> = (0..RECORDS)
        .map(|_| random.random_range(SECOND..60 * SECOND))
        .collect();
    let order: Vec<usize> = (0..REFRESHES)
        .map(|_| random.random_range(0..RECORDS as usize))
        .collect();
    let mut results: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let mut note = |name, began: Instant, n: u64| {
        results
            .entry(name)
            .or_default()
            .push(began.elapsed().as_nanos() as f64 / n as f64);
    };
    let at = |step: usize| step as u64 * 20_000;
    let end = 200 * SECOND;
    for _ in 0..rounds {
        let began = Instant::now();
        let mut wheel = TimerWheel::new(0);
        let handles: Vec<TimerHandle> = spans
            .iter()
            .enumerate()
            .map(|(i, s)| wheel.insert(*s, i))
            .collect();
        note("wheel, insert", began, RECORDS);
        let began = Instant::now();
        for (step, i) in order.iter().enumerate() {
            wheel.reset(handles[*i], at(step) + spans[*i] + 60 * SECOND);
        }
        note("wheel, refresh", began, REFRESHES);
        let (began, mut due) = (Instant::now(), Vec::new());
        for now in (0..=end).step_by(SECOND as usize / 20) {
            wheel.expire(now, &mut due);
        }
        note("wheel, expire", began, RECORDS);
        assert_eq!(due.len(), RECORDS as usize);

        // A heap can't move what is in it: what was refreshed stays, and is passed over when it comes up.
        let began = Instant::now();
        let mut heap: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        let mut current: Vec<u64> = spans.clone();
        heap.extend(spans.iter().enumerate().map(|(i, s)| Reverse((*s, i))));
        note("heap, insert", began, RECORDS);
        let began = Instant::now();
        for (step, i) in order.iter().enumerate() {
            current[*i] = at(step) + spans[*i] + 60 * SECOND;
            heap.push(Reverse((current[*i], *i)));
        }
        note("heap, refresh", began, REFRESHES);
        let (began, mut due) = (Instant::now(), 0);
        for now in (0..=end).step_by(SECOND as usize / 20) {
            while let Some(Reverse((at, i))) = heap.peek().copied().filter(|top| top.0.0 <= now) {
                heap.pop();
                due += u64::from(current[i] == at);
            }
        }
        note("heap, expire", began, RECORDS);
        assert_eq!(due, RECORDS);

        let began = Instant::now();
        let mut tree: BTreeMap<(u64, usize), ()> = BTreeMap::new();
        let mut current: Vec<u64> = spans.clone();
        for (i, span) in spans.iter().enumerate() {
            tree.insert((*span, i), ());
        }
        note("tree, insert", began, RECORDS);
        let began = Instant::now();
        for (step, i) in order.iter().enumerate() {
            tree.remove(&(current[*i], *i));
            current[*i] = at(step) + spans[*i] + 60 * SECOND;
            tree.insert((current[*i], *i), ());
        }
        note("tree, refresh", began, REFRESHES);
        let (began, mut due) = (Instant::now(), 0);
        for now in (0..=end).step_by(SECOND as usize / 20) {
            while tree.first_key_value().is_some_and(|(k, ())| k.0 <= now) {
                tree.pop_first();
                due += 1;
            }
        }
        note("tree, expire", began, RECORDS);
        assert_eq!(due, RECORDS);
    }
    for (name, values) in results {
        report.add(name, "ns", &values, Target::None);
    }
}

fn address(n: usize) -> SocketAddr {
    ([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 5432).into()
}

/// An endpoint's names, and what both sources say of it.
struct Names {
    ids: Vec<Arc<str>>,
    records: Vec<Arc<str>>,
}

fn names(n: usize) -> Names {
    let ids = (0..n).map(|i| format!("s-{i:08x}").into()).collect();
    Names {
        ids,
        records: (0..n)
            .map(|i| format!("db-{i}._postgresql._tcp.example.org.").into())
            .collect(),
    }
}

fn filled(names: &Names) -> EndpointRegistry {
    let mut endpoints = EndpointRegistry::new(
        RegistrySettings {
            max_endpoints: 1 << 20,
            ..RegistrySettings::default()
        },
        0,
    );
    let mut out = Vec::new();
    for (source, kind) in [(0, SourceKind::EndpointList), (1, SourceKind::DnsRecords)] {
        endpoints.handle(0, RegistryInput::SourceAdded { source, kind }, &mut out);
    }
    for (n, id) in names.ids.iter().enumerate() {
        let claim = Claim {
            uid: Some(id.clone()),
            version: 1,
            ..Claim::new("", address(n), n as u32 / 5)
        };
        endpoints.handle(
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
        endpoints.handle(
            0,
            RegistryInput::Claimed {
                source: 1,
                name: names.records[n].clone(),
                claim,
            },
            &mut out,
        );
        out.clear();
    }
    endpoints
}

/// The plain way: the list made anew from all claims after each change, and compared with the one before.
struct Plain {
    claims: HashMap<Arc<str>, [Claim; 2]>,
    list: HashMap<Arc<str>, (SocketAddr, ClaimedState, u32)>,
}

impl Plain {
    fn change(&mut self, id: &Arc<str>, claim: Claim) -> usize {
        if let Some(claims) = self.claims.get_mut(id) {
            claims[0] = claim;
        }
        let mut list = HashMap::with_capacity(self.claims.len());
        for (id, [a, b]) in &self.claims {
            let best = if b.started_at > a.started_at { b } else { a };
            let drains = a.state == ClaimedState::Draining || b.state == ClaimedState::Draining;
            let state = if drains {
                ClaimedState::Draining
            } else {
                ClaimedState::Ready
            };
            list.insert(id.clone(), (best.address, state, best.replica_set));
        }
        let changed = list
            .iter()
            .filter(|(id, view)| self.list.get(*id) != Some(*view))
            .count();
        self.list = list;
        changed
    }
}

/// Processor time a change of one endpoint's state, told by the roster.
fn changes(rounds: usize, report: &mut Report) -> anyhow::Result<()> {
    let took = |n: usize, rounds: usize, changes: usize| -> anyhow::Result<Vec<f64>> {
        let names = names(n);
        let (mut endpoints, mut random) = (filled(&names), StdRng::seed_from_u64(2));
        let (mut out, mut version, mut all) = (Vec::new(), 1, Vec::new());
        for round in 0..=rounds {
            let mut inputs = Vec::with_capacity(changes);
            for _ in 0..changes {
                version += 1;
                let n = random.random_range(0..n);
                let state = if random.random() {
                    ClaimedState::Ready
                } else {
                    ClaimedState::Draining
                };
                let claim = Claim {
                    state,
                    version,
                    ..Claim::new(&names.ids[n], address(n), n as u32 / 5)
                };
                inputs.push(RegistryInput::Claimed {
                    source: 0,
                    name: names.ids[n].clone(),
                    claim,
                });
            }
            out.clear();
            let began = Instant::now();
            for input in inputs {
                endpoints.handle(version, input, &mut out);
            }
            // The first round warms up.
            if round > 0 {
                all.push(began.elapsed().as_nanos() as f64 / changes as f64 / 1000.0);
            }
            ensure!(
                out.len() > changes / 4,
                "{} changes of the list for {changes}",
                out.len()
            );
        }
        Ok(all)
    };
    let (mut small, mut large, mut flat, mut over) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let names = names(10_000);
    let claims = |n: usize, id: &Arc<str>| Claim::new(id, address(n), n as u32 / 5);
    let all = names
        .ids
        .iter()
        .enumerate()
        .map(|(n, id)| (id.clone(), [claims(n, id), claims(n, id)]));
    let mut plain = Plain {
        claims: all.collect(),
        list: HashMap::new(),
    };
    let mut rebuilt = Vec::new();
    for round in 0..rounds {
        small.push(median(&took(1_000, 3, 5_000)?));
        large.push(median(&took(10_000, 3, 5_000)?));
        let began = Instant::now();
        for n in 0..20 {
            let n = (round * 20 + n) * 7 % 10_000;
            let claim = Claim {
                state: ClaimedState::Draining,
                ..claims(n, &names.ids[n])
            };
            ensure!(
                plain.change(&names.ids[n], claim) > 0,
                "the plain list did not change"
            );
        }
        rebuilt.push(began.elapsed().as_nanos() as f64 / 20.0 / 1000.0);
        flat.push(large[round] / small[round]);
        over.push(rebuilt[round] / large[round]);
    }
    report.add("a change, 1,000 members", "us", &small, Target::None);
    report.add("a change, 10,000 members", "us", &large, Target::None);
    report.add("the same, list made anew", "us", &rebuilt, Target::None);
    report.add("made anew / by changes", "", &over, Target::AtLeast(20.0));
    report.add("10,000 / 1,000 members", "", &flat, Target::AtMost(1.5));
    let share = median(&large) * 1000.0 / 1e6 * 100.0;
    report.add(
        "processor for 1,000 changes a second",
        "%",
        &[share],
        Target::None,
    );
    Ok(())
}

fn resident() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    Ok(text
        .split(' ')
        .nth(1)
        .context("no resident pages")?
        .parse::<f64>()?
        * 4096.0)
}

/// Memory of endpoints with two sources each, names and all.
fn memory(report: &mut Report) -> anyhow::Result<()> {
    const MEMBERS: usize = 100_000;
    let before = resident()?;
    let endpoints = filled(&names(MEMBERS));
    let bytes = (resident()? - before) / MEMBERS as f64;
    ensure!(endpoints.len() == MEMBERS, "{} members", endpoints.len());
    report.add(
        "memory a member, two sources",
        "bytes",
        &[bytes],
        Target::AtMost(1024.0),
    );
    Ok(())
}

/// Clients that ask as fast as they are answered, until told to end. Counts what they asked and got.
struct Load {
    ended: Arc<AtomicBool>,
    asked: Arc<AtomicU64>,
    served: Arc<AtomicU64>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn start(router: &RouterProcess, clients: usize) -> Load {
        let (ended, asked, served) = (Arc::default(), Arc::default(), Arc::default());
        let load = Load {
            ended,
            asked,
            served,
            threads: Vec::new(),
        };
        let next = Arc::new(AtomicU64::new(1));
        let address = router.address;
        let threads = (0..clients).map(|_| {
            let (ended, asked, served) = (load.ended.clone(), load.asked.clone(), load.served.clone());
            let next: Arc<AtomicU64> = next.clone();
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                client.complete_startup();
                while !ended.load(Ordering::Relaxed) {
                    let id = next.fetch_add(1, Ordering::Relaxed);
                    let text = format!(
                        "SELECT data FROM facts WHERE code = 'k' /* id={id:016x},c=board,d=1000,cluster=2 */"
                    );
                    let answer = client.simple_query(&text);
                    asked.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(u64::from(answer.sqlstate.is_empty()), Ordering::Relaxed);
                }
            })
        });
        let threads = threads.collect();
        Load { threads, ..load }
    }

    /// The share that was served.
    fn end(self) -> f64 {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.served.load(Ordering::Relaxed) as f64
            / self.asked.load(Ordering::Relaxed).max(1) as f64
    }
}

struct Site {
    replica_set: FakeReplicaSet,
    instances: Vec<FakeEndpoint>,
    server: FakeDnsServer,
    discovery: FakeDiscovery,
    router: RouterProcess,
}

/// A request takes it 10 ms, so that clients spread.
fn endpoint(replica_set: &FakeReplicaSet, n: usize) -> FakeEndpoint {
    FakeEndpoint::start_in_replica_set(
        replica_set,
        &format!("s-{n}"),
        ([127, 0, 0, 1], 0).into(),
        Duration::from_millis(10),
        false,
    )
}

fn record(n: usize, instance: &FakeEndpoint) -> dns::ServiceInstance {
    dns::ServiceInstance {
        ttl: 0,
        ..dns::ServiceInstance::new(&format!("s-{n}"), instance.address, 2)
    }
}

impl Site {
    fn start(program: &str) -> Site {
        let replica_set = FakeReplicaSet::new("s-0", Duration::ZERO, Duration::from_secs(2));
        let instances: Vec<FakeEndpoint> = (0..6).map(|n| endpoint(&replica_set, n)).collect();
        let records = instances
            .iter()
            .enumerate()
            .map(|(n, i)| (format!("db-{n}"), record(n, i)));
        let server = FakeDnsServer::start(DnsZone {
            instances: records.collect(),
            ..DnsZone::default()
        });
        let discovery = FakeDiscovery::start(None);
        let edge = format!(
            "discovery:\n  dns_sd: {{servers: [\"{}\"], services: [\"{}\"], domain: \"{}\", ttl_floor_ms: {}}}\n",
            server.address,
            dns::SERVICE,
            dns::DOMAIN,
            FLOOR.as_millis()
        );
        let router =
            RouterProcess::start(program, &discovery, &[], 1024, base_settings(), Some(&edge));
        let site = Site {
            replica_set,
            instances,
            server,
            discovery,
            router,
        };
        site.publish(None);
        let mut client = site.router.connect_client();
        client.simple_query("");
        site
    }

    /// The roster's list, with one that drains.
    fn publish(&self, draining: Option<usize>) {
        let line = |(n, i): (usize, &FakeEndpoint)| {
            let state = if Some(n) == draining {
                "draining"
            } else {
                "ready"
            };
            reelrill_test_support::list_entry(&format!("s-{n}"), i.address, state)
        };
        self.discovery
            .publish(self.instances.iter().enumerate().map(line).collect());
    }

    fn asked(&self, n: usize) -> usize {
        self.instances[n].activity.with(|s| s.queries.len())
    }

    /// Waits until the records have been asked for once more, and says when that was.
    fn told_by_records(&self) -> anyhow::Result<Instant> {
        ensure!(
            self.server.wait_for_queries(1),
            "nobody asks for the records"
        );
        Ok(Instant::now())
    }
}

/// Drains, vanished records and new endpoints in turns, by one source or the other, while clients ask.
fn flips(program: &str, span: Duration, report: &mut Report) -> anyhow::Result<()> {
    const CLIENTS: usize = 24;
    let quiet = {
        let site = Site::start(program);
        let load = Load::start(&site.router, CLIENTS);
        std::thread::sleep(span / 2);
        load.end()
    };
    let site = Site::start(program);
    let load = Load::start(&site.router, CLIENTS);
    let began = Instant::now();
    let (mut late, mut drains, mut first_use, mut boot) = (0, 0, Vec::new(), 1u64);
    let pause = Duration::from_secs(2).min(span / 8);
    for round in 0usize.. {
        let since = began.elapsed();
        if since >= span {
            break;
        }
        // The roster is out for the second half.
        let by_roster = round % 2 == 0 && since < span / 2;
        if since >= span / 2 {
            site.discovery.list.with(|l| l.1 = None);
        }
        let n = round % 6;
        let label = format!("db-{n}");
        let told = if by_roster {
            let calls = site.discovery.requested_paths.with(|c| c.len());
            site.publish(Some(n));
            // The watch is answered at once; its next call shows that it was read.
            let read = |c: &mut Vec<String>| (c.len() > calls).then_some(());
            ensure!(
                site.discovery
                    .requested_paths
                    .wait_for(Duration::from_secs(10), read)
                    .is_some(),
                "no watch"
            );
            Instant::now()
        } else {
            let drains = record(n, &site.instances[n])
                .with_txt("state", Some("draining"))
                .with_txt("boot_ms", Some(&boot.to_string()));
            site.server
                .zone
                .with(|z| z.instances.insert(label.clone(), drains));
            site.told_by_records()?
        };
        drains += 1;
        // The records of another go on pointing at it, and one of them vanishes meanwhile.
        let other = format!("db-{}", (n + 1) % 6);
        let gone = site.server.zone.with(|z| z.instances.remove(&other));
        std::thread::sleep((told + GRACE).saturating_duration_since(Instant::now()));
        let before = site.asked(n);
        // A new endpoint comes in the meantime.
        let number = 6 + round;
        let (new, came) = (endpoint(&site.replica_set, number), Instant::now());
        let at = format!("db-{number}");
        site.server
            .zone
            .with(|z| z.instances.insert(at.clone(), record(number, &new)));
        let used =
            |s: &mut reelrill_test_support::EndpointActivity| (!s.queries.is_empty()).then_some(());
        let was_used = new
            .activity
            .wait_for(Duration::from_secs(10), used)
            .is_some();
        ensure!(
            was_used,
            "s-{number} was never used; {}",
            site.router.log.with(|l| l[l.len() - 12..].join("\n"))
        );
        first_use.push(came.elapsed().as_secs_f64() * 1000.0);
        std::thread::sleep((told + pause).saturating_duration_since(Instant::now()));
        late += site.asked(n) - before;
        // It starts again: newer word lifts the drain.
        boot += 1;
        let again = record(n, &site.instances[n]).with_txt("boot_ms", Some(&boot.to_string()));
        site.server.zone.with(|z| {
            z.instances.insert(label, again);
            z.instances.extend(gone.map(|record| (other, record)));
            z.instances.remove(&at);
        });
        if site.discovery.list.with(|l| l.1.is_some()) {
            site.publish(None);
        }
        site.told_by_records()?;
    }
    let share = load.end();
    let forgotten = site.router.log.with(|l| {
        let healthy = |l: &&String| (0..6).any(|n| l.contains(&format!("member: s-{n},")));
        l.iter()
            .filter(|l| l.contains("endpoint removed"))
            .filter(healthy)
            .count()
    });
    first_use.sort_by(f64::total_cmp);
    let p99 = first_use[(first_use.len() * 99).div_ceil(100).saturating_sub(1)];
    report.add(
        "drains told",
        "",
        &[f64::from(drains)],
        Target::AtLeast(4.0),
    );
    report.add(
        "sends after told + 250 ms",
        "",
        &[late as f64],
        Target::AtMost(0.0),
    );
    report.add(
        "healthy members forgotten",
        "",
        &[forgotten as f64],
        Target::AtMost(0.0),
    );
    report.add(
        "record to first use, median",
        "ms",
        &first_use,
        Target::None,
    );
    report.add(
        "record to first use, p99",
        "ms",
        &[p99],
        Target::AtMost(FLOOR.as_secs_f64() * 1000.0 + 200.0),
    );
    report.add("served, quiet run", "%", &[quiet * 100.0], Target::None);
    report.add(
        "served, with flips",
        "%",
        &[share * 100.0],
        Target::AtLeast(quiet * 100.0 - 1.0),
    );
    Ok(())
}
