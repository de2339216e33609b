//! Each value of each setting that decides behaviour, on the real program. The table of all settings with the test of
//! each value is in `docs/design/edges.md`; this file has those that no other test runs under.

mod common;

use common::*;
use reelrill_test_support::client::query_message;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const SECOND_NS: u64 = 1_000_000_000;
/// How far the replicas of these tests are behind, unless a test says otherwise.
const LAG: Duration = Duration::from_secs(60);

/// The usual settings with one field at a path such as `ceilings/probes` set; null stands for the value null.
fn with(changes: &[(&str, Value)]) -> Value {
    let mut settings = base_settings();
    for (path, value) in changes {
        set(&mut settings, path, value.clone());
    }
    settings
}

/// Sets the field at a path; numbers in it count the items of a list.
fn set(settings: &mut Value, path: &str, value: Value) {
    let mut place = settings;
    for key in path.split('/') {
        place = match key.parse::<usize>() {
            Ok(index) => &mut place[index],
            Err(_) => &mut place[key],
        };
    }
    *place = value;
}

/// Takes the field at a path out.
fn remove(settings: &mut Value, path: &str) {
    let (parent, key) = path.rsplit_once('/').unwrap_or(("", path));
    let parent = match parent {
        "" => settings,
        parent => settings.pointer_mut(&format!("/{parent}")).unwrap(),
    };
    parent.as_object_mut().unwrap().remove(key).unwrap();
}

/// Endpoints `s-1`, `s-2` and so on, all ready, and a router that knows them.
struct Site {
    endpoints: Vec<FakeEndpoint>,
    discovery: FakeDiscovery,
    router: RouterProcess,
}

impl Site {
    fn start(endpoints: Vec<FakeEndpoint>, settings: Value) -> Site {
        Site::start_listed(endpoints, settings, |_, _| {})
    }

    /// `amend` changes an endpoint's line of the list, counted from 0.
    fn start_listed(
        endpoints: Vec<FakeEndpoint>,
        settings: Value,
        amend: impl Fn(usize, &mut Value),
    ) -> Site {
        let mut list: Vec<Value> = Vec::new();
        for (index, endpoint) in endpoints.iter().enumerate() {
            let mut line = list_entry(&name(index), endpoint.address, "ready");
            amend(index, &mut line);
            list.push(line);
        }
        let discovery = FakeDiscovery::start(Some(list.clone()));
        let router = start_router_with(&discovery, &list, 1024, settings, None);
        Site {
            endpoints,
            discovery,
            router,
        }
    }

    /// Endpoints that answer each request with its name.
    fn of_echoes(roles: &[&'static str], act: ScriptedResponse, settings: Value) -> Site {
        let start = |role: &&'static str| FakeEndpoint::start(role, act);
        Site::start(roles.iter().map(start).collect(), settings)
    }

    /// Endpoints of a replica set that `s-1` leads.
    fn of_replica_set(count: usize, replica_set: &FakeReplicaSet, settings: Value) -> Site {
        let any_port = ([127, 0, 0, 1], 0).into();
        let join = |index| {
            FakeEndpoint::start_in_replica_set(
                replica_set,
                &name(index),
                any_port,
                Duration::ZERO,
                false,
            )
        };
        Site::start((0..count).map(join).collect(), settings)
    }

    fn line(&self, index: usize, state: &str) -> Value {
        list_entry(&name(index), self.endpoints[index].address, state)
    }

    fn asked(&self, index: usize) -> usize {
        self.endpoints[index].activity.with(|s| s.queries.len())
    }

    /// The texts of all requests and probes that the endpoints have read.
    fn all_asked(&self) -> Vec<String> {
        let queries = |i: &FakeEndpoint| i.activity.with(|s| s.queries.clone());
        self.endpoints.iter().flat_map(queries).collect()
    }
}

fn name(index: usize) -> String {
    format!("s-{}", index + 1)
}

fn write(id: u64, session: &str, wait_ms: u64) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('{session}', '\\x{id:016x}') RETURNING data \
         /* id={id:016x},c=book,d={wait_ms},k={id:016x},cluster=2 */"
    )
}

/// A read of the class `own`, that names the position it must see where `after` is given.
fn read_own(id: u64, session: &str, after: Option<u64>) -> String {
    let after = after.map_or(String::new(), |at| format!(",after={at}"));
    format!(
        "SELECT data FROM facts WHERE code = '{session}' \
         /* id={id:016x},c=own,d=8000,cluster=2{after} */"
    )
}

fn now_ms() -> u64 {
    reelrill_test_support::replica_set::now_ms()
}

/// What endpoints do with stale reads, in the settings' word and in the stand-ins' terms.
#[derive(Clone, Copy, Debug)]
enum Guards {
    Silent,
    Bounce,
    Await,
    AwaitNoTime,
}

impl Guards {
    fn apply(self, settings: &mut Value, replica_set: &FakeReplicaSet) {
        let hold = Duration::from_millis(50);
        let (word, holds_for, stale_reads) = match self {
            Guards::Silent => ("silent", None, StaleReadPolicy::Serve),
            Guards::Bounce => ("bounce", None, StaleReadPolicy::Reject),
            Guards::Await => ("await", Some(hold), StaleReadPolicy::Wait(hold)),
            Guards::AwaitNoTime => ("await", None, StaleReadPolicy::Wait(Duration::ZERO)),
        };
        settings["familyInfo"]["guards"] = word.into();
        if let Some(hold) = holds_for {
            settings["familyInfo"]["holdsFor"] = (hold.as_nanos() as u64).into();
        }
        replica_set.set_stale_read_policy(stale_reads);
    }
}

/// What the settings say of the endpoints' reports, and whether answers carry one.
fn report_settings(settings: &mut Value, source: &str, columns: &[&str]) -> bool {
    settings["report"] = json!({"source": source, "columns": columns});
    source == "piggyback" && !columns.is_empty()
}

/// A session sees its own writes, whoever keeps track of them, whatever endpoints do with a stale read, and whatever
/// they tell of themselves.
#[rstest]
fn a_session_sees_its_own_writes(
    #[values(Guards::Silent, Guards::Bounce, Guards::Await, Guards::AwaitNoTime)] guards: Guards,
    #[values("brought", "kept")] marks: &str,
    #[values("piggyback", "pull", "silent")] source: &str,
    #[values(false, true)] has_positions: bool,
) {
    let replica_set = FakeReplicaSet::new("s-1", LAG, Duration::from_secs(2));
    replica_set.require_freshness("own", Freshness::LastWrite);
    let mut settings = with(&[
        ("familyInfo/sessionMarks", marks.into()),
        ("familyInfo/stamps", has_positions.into()),
    ]);
    guards.apply(&mut settings, &replica_set);
    let report = report_settings(&mut settings, source, &["x0", "x1"]);
    let site = Site::of_replica_set(3, &replica_set, settings);
    for endpoint in &site.endpoints {
        endpoint.set_status_content(StatusContent {
            has_position: has_positions,
            has_load_report: report,
        });
    }
    let mut client = site.router.connect_client();
    for id in (0x10..0x40).step_by(0x10) {
        let written = client.simple_query(&write(id, "s", 8000));
        assert_eq!(written.value, format!("\\x{id:016x}"), "{written:?}");
        for n in 1..=3 {
            let after = (marks == "brought").then(now_ms);
            let seen = client.simple_query(&read_own(id + n, "s", after));
            assert_eq!(seen.value, format!("\\x{id:016x}"), "{seen:?}");
        }
    }
}

/// Replicas that have caught up take a session's reads; the primary is not the only one.
#[rstest]
fn a_session_reads_from_replicas_that_have_caught_up(#[values("brought", "kept")] marks: &str) {
    let replica_set = FakeReplicaSet::new("s-1", Duration::ZERO, Duration::from_secs(2));
    let settings = with(&[("familyInfo/sessionMarks", marks.into())]);
    let site = Site::of_replica_set(3, &replica_set, settings);
    let mut client = site.router.connect_client();
    assert_eq!(
        client.simple_query(&write(1, "s", 8000)).value,
        format!("\\x{:016x}", 1)
    );
    let after = (marks == "brought").then(now_ms);
    for id in 2..=30 {
        let seen = client.simple_query(&read_own(id, "s", after));
        assert_eq!(seen.value, format!("\\x{:016x}", 1), "{seen:?}");
    }
    assert!(site.asked(1) > 0 && site.asked(2) > 0);
}

/// Data is no older than the class's bound, whatever endpoints do with a stale read, and wherever reports come from.
#[rstest]
fn a_bounded_read_is_no_older_than_its_bound(
    #[values(Guards::Silent, Guards::Bounce, Guards::Await)] guards: Guards,
    #[values("piggyback", "pull", "silent")] source: &str,
    #[values(true, false)] has_columns: bool,
) {
    const BOUND: Duration = Duration::from_millis(500);
    let replica_set = FakeReplicaSet::new("s-1", LAG, Duration::from_secs(2));
    replica_set.require_freshness("own", Freshness::MaxAge(BOUND));
    let mut settings = with(&[
        ("familyInfo/freshness/1", "lag_bound".into()),
        ("familyInfo/maxAge/1", (BOUND.as_nanos() as u64).into()),
    ]);
    guards.apply(&mut settings, &replica_set);
    let columns: &[&str] = if has_columns { &["x0", "x1"] } else { &[] };
    let report = report_settings(&mut settings, source, columns);
    let site = Site::of_replica_set(3, &replica_set, settings);
    for endpoint in &site.endpoints {
        endpoint.set_status_content(StatusContent {
            has_position: true,
            has_load_report: report,
        });
    }
    let mut client = site.router.connect_client();
    assert_eq!(
        client.simple_query(&write(1, "s", 8000)).value,
        format!("\\x{:016x}", 1)
    );
    std::thread::sleep(BOUND + Duration::from_millis(100));
    for id in 2..=8 {
        // Reads that any data may answer reach the replicas, which tell how far they are.
        client.simple_query(&select_query(0x100 + id, 8000));
        let seen = client.simple_query(&read_own(id, "s", None));
        assert_eq!(seen.value, format!("\\x{:016x}", 1), "{seen:?}");
    }
}

/// A read that must be current is answered by the primary alone, whatever endpoints do with a stale read.
#[rstest]
fn a_strong_read_is_answered_by_the_primary(
    #[values(Guards::Silent, Guards::Bounce, Guards::Await)] guards: Guards,
) {
    let replica_set = FakeReplicaSet::new("s-1", LAG, Duration::from_secs(2));
    replica_set.require_freshness("own", Freshness::LastWrite);
    let mut settings = with(&[("familyInfo/freshness/1", "strong".into())]);
    guards.apply(&mut settings, &replica_set);
    let site = Site::of_replica_set(3, &replica_set, settings);
    let mut client = site.router.connect_client();
    for id in (0x10..0x30).step_by(0x10) {
        client.simple_query(&write(id, "s", 8000));
        for n in 1..=3 {
            let seen = client.simple_query(&read_own(id + n, "s", None));
            assert_eq!(seen.value, format!("\\x{id:016x}"), "{seen:?}");
        }
    }
    assert_eq!((site.asked(1), site.asked(2)), (0, 0));
}

/// Where the list names the primary, the first write goes there; where its word is old, the answers' word counts.
#[rstest]
fn the_first_write_goes_where_the_list_names_the_primary(
    #[values("trailing", "static")] role: &str,
    #[values(false, true)] is_old: bool,
) {
    let replica_set = FakeReplicaSet::new(if is_old { "s-1" } else { "s-2" }, LAG, LAG);
    let any_port = ([127, 0, 0, 1], 0).into();
    let join = |index| {
        FakeEndpoint::start_in_replica_set(
            &replica_set,
            &name(index),
            any_port,
            Duration::ZERO,
            false,
        )
    };
    let settings = with(&[("familyInfo/listRole", role.into())]);
    let site = Site::start_listed((0..3).map(join).collect(), settings, |index, line| {
        line["part"] = if index == 1 { "master" } else { "replica" }.into();
    });
    let mut client = site.router.connect_client();
    for id in 1..=3 {
        let written = client.simple_query(&write(id, "s", 8000));
        assert_eq!(written.value, format!("\\x{id:016x}"), "{written:?}");
    }
    // A list that is old costs attempts that are turned away without effect, and none after the primary is known.
    let turned_away = site.asked(1) + site.asked(2);
    if is_old {
        assert!((1..=4).contains(&turned_away), "{turned_away}");
        assert_eq!(site.asked(0), 3);
    } else {
        assert_eq!((site.asked(0), site.asked(1), site.asked(2)), (0, 3, 0));
    }
}

/// Where the list does not tell roles, what it says there is not believed.
#[test]
fn a_list_that_tells_no_roles_is_not_asked_for_the_primary() {
    let replica_set = FakeReplicaSet::new("s-1", LAG, LAG);
    let any_port = ([127, 0, 0, 1], 0).into();
    let join = |index| {
        FakeEndpoint::start_in_replica_set(
            &replica_set,
            &name(index),
            any_port,
            Duration::ZERO,
            false,
        )
    };
    let site = Site::start_listed(
        (0..2).map(join).collect(),
        base_settings(),
        |index, line| {
            line["part"] = if index == 1 { "master" } else { "replica" }.into();
        },
    );
    let written = site
        .router
        .connect_client()
        .simple_query(&write(1, "s", 8000));
    assert_eq!(written.value, format!("\\x{:016x}", 1), "{written:?}");
    assert!(site.router.wait_for_counter("attempts_misrouted=0"));
}

/// Endpoints are probed where the settings allow it at most, and never where they don't.
#[rstest]
fn no_probe_is_sent_where_probes_are_off(
    #[values("piggyback", "pull", "silent")] source: &str,
    #[values(ScriptedResponse::Serve, ScriptedResponse::Error("53300"))] act: ScriptedResponse,
) {
    let mut settings = with(&[("ceilings/probes", false.into())]);
    report_settings(&mut settings, source, &["x0", "x1"]);
    let site = Site::of_echoes(&["master", "replica"], act, settings);
    let mut client = site.router.connect_client();
    for id in 1..=5 {
        client.simple_query(&select_query(id, 300));
    }
    assert!(site.router.wait_for_counter("health_checks=0"));
    let is_probe = |text: &String| !text.contains("/*");
    assert_eq!(site.all_asked().iter().filter(|t| is_probe(t)).count(), 0);
}

/// With second copies off no two attempts of a request are out together; with them on there are two at the most.
#[rstest]
#[case(false, 1)]
#[case(true, 2)]
fn attempts_that_are_out_together_are_bounded(#[case] second_copies: bool, #[case] most: usize) {
    let settings = with(&[("ceilings/secondCopies", second_copies.into())]);
    let site = Site::of_echoes(
        &["master", "replica", "replica"],
        ScriptedResponse::NoResponse,
        settings,
    );
    let answer = site
        .router
        .connect_client()
        .simple_query(&select_query(1, 2000));
    assert_eq!(answer.sqlstate, "53300", "{answer:?}");
    let asked = site.all_asked().len();
    assert!((1..=most).contains(&asked), "{asked}");
}

/// What a client leaves behind is cancelled at the endpoint where the settings allow that, and else runs to its end.
#[rstest]
fn what_a_client_leaves_is_cancelled_where_allowed(#[values(false, true)] may_cancel: bool) {
    let settings = with(&[("ceilings/mayCancel", may_cancel.into())]);
    let site = Site::of_echoes(&["master"], ScriptedResponse::NoResponse, settings);
    let mut client = site.router.connect_client();
    client.send(&query_message(&select_query(1, 20_000)));
    let is_asked = |s: &mut EndpointActivity| (s.queries.len() == 1).then_some(());
    let seen = &site.endpoints[0].activity;
    assert!(seen.wait_for(WAIT_TIMEOUT, is_asked).is_some());
    drop(client);
    assert!(site.router.wait_for_counter("client_left=1"));
    if may_cancel {
        assert!(site.router.wait_for_counter("attempts_cancelled=1"));
    } else {
        // Its answer still comes, on a connection that is kept for the next request.
        site.endpoints[0]
            .response
            .with(|a| *a = ScriptedResponse::Serve);
        assert!(
            site.router.wait_for_counter("attempts_served=1")
                && site.router.wait_for_counter("attempts_cancelled=0")
        );
        assert_eq!(
            site.router
                .connect_client()
                .simple_query(&select_query(2, 5000))
                .value,
            format!("{:016x}", 2)
        );
        assert_eq!(seen.with(|s| s.accepted_connections), 1);
    }
}

/// A rejection tells when to come again only where clients heed it, and never more than they heed.
#[rstest]
#[case::off(false, Some(SECOND_NS), None)]
#[case::one_second(true, Some(SECOND_NS), Some(1000))]
#[case::zero(true, Some(0), Some(0))]
#[case::absent(true, None, Some(0))]
fn retry_advice_follows_the_settings(
    #[case] is_on: bool,
    #[case] longest: Option<u64>,
    #[case] most_ms: Option<u64>,
) {
    let mut settings = with(&[("ceilings/retryAfter", is_on.into())]);
    match longest {
        Some(longest) => set(&mut settings, "ceilings/maxRetryAfter", longest.into()),
        None => remove(&mut settings, "ceilings/maxRetryAfter"),
    }
    let site = Site::of_echoes(&["master"], ScriptedResponse::Error("53300"), settings);
    let answer = site
        .router
        .connect_client()
        .simple_query(&select_query(1, 300));
    assert_eq!(answer.sqlstate, "53300", "{answer:?}");
    let advice = answer.detail.map(|d| d.parse::<u64>().unwrap());
    match (advice, most_ms) {
        (Some(advice), Some(most)) => assert!(advice <= most.max(1), "{advice}"),
        (advice, most) => assert!(advice.is_none() && most.is_none_or(|ms| ms == 0)),
    }
}

/// An endpoint that the list no longer names stays in use where only the word "draining" binds, and else gets nothing
/// more; one that drains gets nothing more in either case.
#[rstest]
fn dropped_entries_stay_open_where_only_draining_binds(
    #[values(None, Some(false), Some(true))] stay_open: Option<bool>,
    #[values(false, true)] is_told_gone: bool,
) {
    let mut settings = base_settings();
    if let Some(stay_open) = stay_open {
        set(&mut settings, "rules/droppedStayOpen", stay_open.into());
    }
    let site = Site::of_echoes(&["replica", "replica"], ScriptedResponse::Serve, settings);
    let mut client = site.router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        format!("{:016x}", 1)
    );
    let mut list = vec![site.line(1, "draining")];
    if is_told_gone {
        list.push(site.line(0, "gone"));
    }
    site.discovery.publish(list);
    let is_read = |c: &mut Vec<String>| c.iter().any(|p| p.contains("since=2&")).then_some(());
    assert!(
        site.discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, is_read)
            .is_some()
    );
    // The grace of a drain.
    std::thread::sleep(Duration::from_millis(300));
    let before = (site.asked(0), site.asked(1));
    let stays = stay_open == Some(true);
    for id in 2..=5 {
        let answer = client.simple_query(&select_query(id, 500));
        assert_eq!(answer.sqlstate.is_empty(), stays, "{answer:?}");
    }
    let sent = if stays { 4 } else { 0 };
    assert_eq!(
        (site.asked(0) - before.0, site.asked(1) - before.1),
        (sent, 0)
    );
}

/// What a possibly executed write may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    IsSentAgain,
    Fails,
}

/// A write whose endpoint dies after it may have run is sent to another endpoint only if the class says that running
/// twice does no harm, or if that endpoint shares the record of keys; else its client is told that nobody knows.
#[rstest]
#[case::idempotent("retryable", "cell", "b", Then::IsSentAgain)]
#[case::not_idempotent("fragile", "all", "a", Then::Fails)]
#[case::key_of_all_in_another_zone("dedup", "all", "b", Then::IsSentAgain)]
#[case::key_of_replica_set_in_another_zone("dedup", "cell", "b", Then::IsSentAgain)]
#[case::key_of_zone_in_the_same_zone("dedup", "zone", "a", Then::IsSentAgain)]
#[case::key_of_zone_in_another_zone("dedup", "zone", "b", Then::Fails)]
#[case::key_of_zone_in_an_unknown_zone("dedup", "zone", "c", Then::Fails)]
fn a_possibly_executed_write_is_sent_again_as_its_class_allows(
    #[case] repeat: &str,
    #[case] group: &str,
    #[case] other_zone: &str,
    #[case] then: Then,
) {
    let settings = with(&[
        ("classes/2/repeat", repeat.into()),
        ("classes/2/group", group.into()),
        ("classes/2/window", (20 * SECOND_NS).into()),
        // Nothing is rejected for what the death took.
        ("classes/2/onTime", (4 * SECOND_NS).into()),
    ]);
    assert_eq!(outcome_after_death(settings, other_zone), then);
}

/// A key that is remembered for no time is no key: a write that may have run is not sent again.
#[rstest]
fn a_key_without_a_window_is_never_sent_again(
    #[values("all", "zone", "cell")] group: &str,
    #[values(false, true)] is_absent: bool,
) {
    let mut settings = with(&[
        ("classes/2/group", group.into()),
        ("classes/2/window", 0.into()),
        ("classes/2/onTime", (4 * SECOND_NS).into()),
    ]);
    if is_absent {
        remove(&mut settings, "classes/2/window");
    }
    assert_eq!(outcome_after_death(settings, "a"), Then::Fails);
}

/// A write runs at `s-1` in zone `a`, which dies before it answers; `s-2` in `other_zone` would take it.
fn outcome_after_death(settings: Value, other_zone: &str) -> Then {
    let endpoints =
        ["master", "master"].map(|role| FakeEndpoint::start(role, ScriptedResponse::Serve));
    let dies = (RequestStage::BeforeResponse, Fault::Kill);
    endpoints[0].faults.with(|f| f.push_back(dies));
    let site = Site::start_listed(endpoints.to_vec(), settings, |index, line| {
        line["az"] = if index == 0 { "a" } else { other_zone }.into();
    });
    let answer = site
        .router
        .connect_client()
        .simple_query(&write(1, "s", 8000));
    assert_eq!(site.asked(0), 1);
    match site.asked(1) {
        0 => {
            assert_eq!(answer.sqlstate, "58000", "{answer:?}");
            Then::Fails
        }
        sent => {
            assert_eq!((sent, &*answer.value), (1, "0000000000000001"));
            Then::IsSentAgain
        }
    }
}

/// One attempt where one is allowed, and as many as are allowed at an endpoint that goes on failing.
#[rstest]
#[case(1)]
#[case(3)]
fn attempts_are_bounded(#[case] most: usize) {
    let settings = with(&[("ceilings/maxAttempts", most.into())]);
    let site = Site::of_echoes(
        &["replica", "replica"],
        ScriptedResponse::Error("72000"),
        settings,
    );
    let answer = site
        .router
        .connect_client()
        .simple_query(&select_query(1, 2000));
    assert_eq!(answer.sqlstate, "53300", "{answer:?}");
    assert_eq!(site.all_asked().len(), most);
}

/// Without an idle limit a connection is kept all the same.
#[rstest]
fn a_connection_is_kept_without_an_idle_limit(#[values(false, true)] is_absent: bool) {
    let mut settings = with(&[("ceilings/idleClose", 0.into())]);
    if is_absent {
        remove(&mut settings, "ceilings/idleClose");
    }
    let site = Site::of_echoes(&["master"], ScriptedResponse::Serve, settings);
    let mut client = site.router.connect_client();
    for id in 1..=5 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(
        site.endpoints[0].activity.with(|s| s.accepted_connections),
        1
    );
}

/// A connection that never comes up has failed after the limit; after one second where none is told.
#[rstest]
#[case::told(Some(400_000_000), 400)]
#[case::zero(Some(0), 1000)]
#[case::absent(None, 1000)]
fn a_connection_that_never_comes_up_fails_in_time(
    #[case] limit: Option<u64>,
    #[case] expected_ms: u64,
) {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = base_settings();
    match limit {
        Some(limit) => set(&mut settings, "ceilings/connectTimeout", limit.into()),
        None => remove(&mut settings, "ceilings/connectTimeout"),
    }
    let list = vec![list_entry("s-1", silent.local_addr().unwrap(), "ready")];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    let mut client = router.connect_client();
    let begun = Instant::now();
    client.send(&query_message(&select_query(1, 5000)));
    assert!(router.wait_for_log("reason: dial_failed"));
    let took = begun.elapsed();
    let expected = Duration::from_millis(expected_ms);
    assert!(
        took >= expected - Duration::from_millis(20) && took < expected + Duration::from_secs(1),
        "{took:?}"
    );
}

/// Optional settings: absent, null, and 0 where they are numbers. A read and a write are served, and discovery is
/// watched without a busy loop.
#[rstest]
#[case("az")]
#[case("zones")]
#[case("groupSize")]
#[case("period")]
#[case("overShareWorth")]
#[case("rules/askEvery")]
#[case("rules/droppedStayOpen")]
#[case("familyInfo/holdsFor")]
#[case("classes/0/window")]
#[case("classes/0/lateWorth")]
#[case("classes/0/aimStretch")]
#[case("ceilings/connectTimeout")]
#[case("ceilings/idleClose")]
#[case("ceilings/maxRetryAfter")]
#[case("realms")]
fn optional_settings_may_be_absent_null_or_zero(
    #[case] path: &str,
    #[values("absent", "null", "zero")] kind: &str,
) {
    let is_number = !["zones", "realms", "rules/droppedStayOpen"].contains(&path);
    let value = if kind == "zero" && is_number {
        json!(0)
    } else {
        Value::Null
    };
    let mut settings = with(&[(path, value)]);
    if kind == "absent" {
        remove(&mut settings, path);
    }
    let site = Site::of_echoes(&["master", "replica"], ScriptedResponse::Serve, settings);
    let mut client = site.router.connect_client();
    for id in (1..=9).step_by(2) {
        assert_eq!(
            client.simple_query(&write(id, "s", 5000)).value,
            format!("{id:016x}")
        );
        assert_eq!(
            client.simple_query(&select_query(id + 1, 5000)).value,
            format!("{:016x}", id + 1)
        );
    }
    std::thread::sleep(Duration::from_millis(500));
    let calls = site.discovery.requested_paths.with(|c| c.len());
    assert!(calls < 20, "{calls} calls");
}

/// Endpoints in a zone that the settings do not name, or in none, are served by like all others, wherever the router is.
#[rstest]
fn endpoints_of_any_zone_serve(
    #[values(0, 1, 7)] own_zone: u64,
    #[values(Some("a"), Some("nowhere"), None)] zone: Option<&str>,
) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let settings = with(&[("az", own_zone.into())]);
    let site = Site::start_listed(vec![endpoint], settings, |_, line| match zone {
        Some(zone) => line["az"] = zone.into(),
        None => remove(line, "az"),
    });
    let mut client = site.router.connect_client();
    assert_eq!(
        client.simple_query(&write(1, "s", 5000)).value,
        format!("{:016x}", 1)
    );
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        format!("{:016x}", 2)
    );
}

/// Where nothing is short, all tenants are served: those within their quota, beyond it, and ones never heard of.
#[rstest]
fn all_tenants_are_served_where_nothing_is_short(#[values("acme", "other", "")] tenant: &str) {
    let realms = json!([{"name": "acme", "quotaRps": 0.01}, {"name": "zeta", "quotaRps": 1e6}]);
    let settings = with(&[("realms", realms), ("overShareWorth", json!(0.2))]);
    let site = Site::of_echoes(&["master", "replica"], ScriptedResponse::Serve, settings);
    let mut client = site.router.connect_client();
    for id in 1..=20 {
        let text = match tenant {
            "" => select_query(id, 5000),
            tenant => select_query(id, 5000).replace("c=board", &format!("c=board,t={tenant}")),
        };
        let answer = client.simple_query(&text);
        assert_eq!(answer.value, format!("{id:016x}"), "{answer:?}");
    }
}

/// Where late answers are worth nothing, a request is not tried again once its objective has passed.
#[rstest]
#[case(Some(0.0), false)]
#[case(None, false)]
#[case(Some(0.5), true)]
fn a_late_request_is_tried_again_only_if_late_answers_count(
    #[case] late_weight: Option<f64>,
    #[case] is_served: bool,
) {
    let mut settings = with(&[("classes/0/onTime", 300_000_000.into())]);
    match late_weight {
        Some(weight) => set(&mut settings, "classes/0/lateWorth", weight.into()),
        None => remove(&mut settings, "classes/0/lateWorth"),
    }
    // It can't be reached for 0.8 s, which is beyond the objective and within the client's time.
    let site = Site::of_echoes(&["replica"], ScriptedResponse::Serve, settings);
    site.endpoints[0].kill();
    let mut client = site.router.connect_client();
    client.send(&query_message(&select_query(1, 5000)));
    std::thread::sleep(Duration::from_millis(800));
    site.endpoints[0].restart();
    let answer = client.read_response().unwrap();
    assert_eq!(answer.sqlstate.is_empty(), is_served, "{answer:?}");
}
