//! Tests of the router process with each value of each setting that changes its behaviour. The table in
//! `docs/design/edges.md` gives the test of each value; this file covers the values that no other test uses.

mod common;

use common::*;
use reelrill_test_support::client::query_message;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const NANOS_PER_SECOND: u64 = 1_000_000_000;
/// Replication lag of the replicas, unless a test sets another one.
const REPLICATION_LAG: Duration = Duration::from_secs(60);

/// Returns the base settings with the field at each path, such as `ceilings/probes`, set to its value (a JSON null
/// included).
fn settings_with(changes: &[(&str, Value)]) -> Value {
    let mut settings = base_settings();
    for (path, value) in changes {
        set_field(&mut settings, path, value.clone());
    }
    settings
}

/// Sets the field at a path; a number in the path is an index into a list.
fn set_field(settings: &mut Value, path: &str, value: Value) {
    let mut field = settings;
    for key in path.split('/') {
        field = match key.parse::<usize>() {
            Ok(index) => &mut field[index],
            Err(_) => &mut field[key],
        };
    }
    *field = value;
}

/// Removes the field at a path.
fn remove_field(settings: &mut Value, path: &str) {
    let (parent, key) = path.rsplit_once('/').unwrap_or(("", path));
    let parent = match parent {
        "" => settings,
        parent => settings.pointer_mut(&format!("/{parent}")).unwrap(),
    };
    parent.as_object_mut().unwrap().remove(key).unwrap();
}

/// Ready endpoints with the ids `s-1`, `s-2` and so on, and a router whose list names them.
struct Fixture {
    endpoints: Vec<FakeEndpoint>,
    discovery: FakeDiscovery,
    router: RouterProcess,
}

impl Fixture {
    fn start(endpoints: Vec<FakeEndpoint>, settings: Value) -> Fixture {
        Fixture::start_with_entries(endpoints, settings, |_, _| {})
    }

    /// Starts with list entries that `change_entry` has changed; its first argument is the endpoint's index.
    fn start_with_entries(
        endpoints: Vec<FakeEndpoint>,
        settings: Value,
        change_entry: impl Fn(usize, &mut Value),
    ) -> Fixture {
        let mut list: Vec<Value> = Vec::new();
        for (index, endpoint) in endpoints.iter().enumerate() {
            let mut entry = list_entry(&endpoint_id(index), endpoint.address, "ready");
            change_entry(index, &mut entry);
            list.push(entry);
        }
        let discovery = FakeDiscovery::start(Some(list.clone()));
        let router = start_router_with(&discovery, &list, 1024, settings, None);
        Fixture {
            endpoints,
            discovery,
            router,
        }
    }

    /// Starts one endpoint per role; each response has the request's id as its value.
    fn with_roles(roles: &[&'static str], response: ScriptedResponse, settings: Value) -> Fixture {
        let start = |role: &&'static str| FakeEndpoint::start(role, response);
        Fixture::start(roles.iter().map(start).collect(), settings)
    }

    /// Starts `count` endpoints of the replica set.
    fn with_replica_set(count: usize, replica_set: &FakeReplicaSet, settings: Value) -> Fixture {
        let any_port = ([127, 0, 0, 1], 0).into();
        let join = |index| {
            FakeEndpoint::start_in_replica_set(
                replica_set,
                &endpoint_id(index),
                any_port,
                Duration::ZERO,
                false,
            )
        };
        Fixture::start((0..count).map(join).collect(), settings)
    }

    fn entry(&self, index: usize, state: &str) -> Value {
        list_entry(&endpoint_id(index), self.endpoints[index].address, state)
    }

    /// Returns the number of queries that the endpoint has received.
    fn query_count(&self, index: usize) -> usize {
        self.endpoints[index].activity.with(|s| s.queries.len())
    }

    /// Returns the texts of all requests and health checks that the endpoints have received.
    fn all_queries(&self) -> Vec<String> {
        let queries = |e: &FakeEndpoint| e.activity.with(|s| s.queries.clone());
        self.endpoints.iter().flat_map(queries).collect()
    }
}

fn endpoint_id(index: usize) -> String {
    format!("s-{}", index + 1)
}

/// Returns a write of the class `book`.
fn write_query(id: u64, session: &str, wait_ms: u64) -> String {
    format!(
        "INSERT INTO facts (code, data) VALUES ('{session}', '\\x{id:016x}') RETURNING data \
         /* id={id:016x},c=book,d={wait_ms},k={id:016x},cluster=2 */"
    )
}

/// Returns a read of the class `own`; `after` is the position that the data must include.
fn session_read(id: u64, session: &str, after: Option<u64>) -> String {
    let after = after.map_or(String::new(), |position| format!(",after={position}"));
    format!(
        "SELECT data FROM facts WHERE code = '{session}' \
         /* id={id:016x},c=own,d=8000,cluster=2{after} */"
    )
}

fn now_ms() -> u64 {
    reelrill_test_support::replica_set::now_ms()
}

/// Value of the setting `familyInfo.guards` with the stale read policy that the fake endpoints then follow.
#[derive(Clone, Copy, Debug)]
enum StaleReadSetting {
    Silent,
    Bounce,
    Await,
    /// `await` without `holdsFor`; the endpoints reject a stale read at once.
    AwaitZero,
}

impl StaleReadSetting {
    fn apply(self, settings: &mut Value, replica_set: &FakeReplicaSet) {
        let max_wait = Duration::from_millis(50);
        let (guards, holds_for, stale_reads) = match self {
            StaleReadSetting::Silent => ("silent", None, StaleReadPolicy::Serve),
            StaleReadSetting::Bounce => ("bounce", None, StaleReadPolicy::Reject),
            StaleReadSetting::Await => ("await", Some(max_wait), StaleReadPolicy::Wait(max_wait)),
            StaleReadSetting::AwaitZero => ("await", None, StaleReadPolicy::Wait(Duration::ZERO)),
        };
        settings["familyInfo"]["guards"] = guards.into();
        if let Some(max_wait) = holds_for {
            settings["familyInfo"]["holdsFor"] = (max_wait.as_nanos() as u64).into();
        }
        replica_set.set_stale_read_policy(stale_reads);
    }
}

/// Sets the source of load reports; returns whether responses then carry one.
fn set_report_source(settings: &mut Value, source: &str, columns: &[&str]) -> bool {
    settings["report"] = json!({"source": source, "columns": columns});
    source == "piggyback" && !columns.is_empty()
}

/// Guards against a session that reads data older than its own write from a lagging replica: with positions tracked by
/// the client or the router, each stale read policy, and with or without positions and load reports in responses.
#[rstest]
fn session_reads_its_own_writes_with_each_consistency_setting(
    #[values(
        StaleReadSetting::Silent,
        StaleReadSetting::Bounce,
        StaleReadSetting::Await,
        StaleReadSetting::AwaitZero
    )]
    stale_reads: StaleReadSetting,
    #[values("brought", "kept")] session_marks: &str,
    #[values("piggyback", "pull", "silent")] source: &str,
    #[values(false, true)] has_positions: bool,
) {
    let replica_set = FakeReplicaSet::new("s-1", REPLICATION_LAG, Duration::from_secs(2));
    replica_set.require_freshness("own", Freshness::LastWrite);
    let mut settings = settings_with(&[
        ("familyInfo/sessionMarks", session_marks.into()),
        ("familyInfo/stamps", has_positions.into()),
    ]);
    stale_reads.apply(&mut settings, &replica_set);
    let has_load_report = set_report_source(&mut settings, source, &["x0", "x1"]);
    let fixture = Fixture::with_replica_set(3, &replica_set, settings);
    for endpoint in &fixture.endpoints {
        endpoint.set_status_content(StatusContent {
            has_position: has_positions,
            has_load_report,
        });
    }
    let mut client = fixture.router.connect_client();
    for id in (0x10..0x40).step_by(0x10) {
        let write_response = client.simple_query(&write_query(id, "s", 8000));
        assert_eq!(
            write_response.value,
            format!("\\x{id:016x}"),
            "{write_response:?}"
        );
        for offset in 1..=3 {
            let after = (session_marks == "brought").then(now_ms);
            let response = client.simple_query(&session_read(id + offset, "s", after));
            assert_eq!(response.value, format!("\\x{id:016x}"), "{response:?}");
        }
    }
}

/// Guards against session reads that are all sent to the primary although the replicas have caught up with the
/// session's last write.
#[rstest]
fn session_reads_are_sent_to_replicas_that_have_caught_up(
    #[values("brought", "kept")] session_marks: &str,
) {
    let replica_set = FakeReplicaSet::new("s-1", Duration::ZERO, Duration::from_secs(2));
    let settings = settings_with(&[("familyInfo/sessionMarks", session_marks.into())]);
    let fixture = Fixture::with_replica_set(3, &replica_set, settings);
    let mut client = fixture.router.connect_client();
    assert_eq!(
        client.simple_query(&write_query(1, "s", 8000)).value,
        format!("\\x{:016x}", 1)
    );
    let after = (session_marks == "brought").then(now_ms);
    for id in 2..=30 {
        let response = client.simple_query(&session_read(id, "s", after));
        assert_eq!(response.value, format!("\\x{:016x}", 1), "{response:?}");
    }
    assert!(fixture.query_count(1) > 0 && fixture.query_count(2) > 0);
}

/// Guards against data older than the class's staleness bound from a lagging replica, with each stale read policy and
/// each source of load reports.
#[rstest]
fn bounded_staleness_read_returns_data_within_its_bound(
    #[values(
        StaleReadSetting::Silent,
        StaleReadSetting::Bounce,
        StaleReadSetting::Await
    )]
    stale_reads: StaleReadSetting,
    #[values("piggyback", "pull", "silent")] source: &str,
    #[values(true, false)] has_columns: bool,
) {
    const BOUND: Duration = Duration::from_millis(500);
    let replica_set = FakeReplicaSet::new("s-1", REPLICATION_LAG, Duration::from_secs(2));
    replica_set.require_freshness("own", Freshness::MaxAge(BOUND));
    let mut settings = settings_with(&[
        ("familyInfo/freshness/1", "lag_bound".into()),
        ("familyInfo/maxAge/1", (BOUND.as_nanos() as u64).into()),
    ]);
    stale_reads.apply(&mut settings, &replica_set);
    let columns: &[&str] = if has_columns { &["x0", "x1"] } else { &[] };
    let has_load_report = set_report_source(&mut settings, source, columns);
    let fixture = Fixture::with_replica_set(3, &replica_set, settings);
    for endpoint in &fixture.endpoints {
        endpoint.set_status_content(StatusContent {
            has_position: true,
            has_load_report,
        });
    }
    let mut client = fixture.router.connect_client();
    assert_eq!(
        client.simple_query(&write_query(1, "s", 8000)).value,
        format!("\\x{:016x}", 1)
    );
    std::thread::sleep(BOUND + Duration::from_millis(100));
    for id in 2..=8 {
        // Reads of eventual consistency reach the replicas, whose responses carry their positions.
        client.simple_query(&select_query(0x100 + id, 8000));
        let response = client.simple_query(&session_read(id, "s", None));
        assert_eq!(response.value, format!("\\x{:016x}", 1), "{response:?}");
    }
}

/// Guards against strong reads that are sent to a replica, which may lack the last write, with each stale read policy.
#[rstest]
fn strong_reads_are_sent_only_to_the_primary(
    #[values(
        StaleReadSetting::Silent,
        StaleReadSetting::Bounce,
        StaleReadSetting::Await
    )]
    stale_reads: StaleReadSetting,
) {
    let replica_set = FakeReplicaSet::new("s-1", REPLICATION_LAG, Duration::from_secs(2));
    replica_set.require_freshness("own", Freshness::LastWrite);
    let mut settings = settings_with(&[("familyInfo/freshness/1", "strong".into())]);
    stale_reads.apply(&mut settings, &replica_set);
    let fixture = Fixture::with_replica_set(3, &replica_set, settings);
    let mut client = fixture.router.connect_client();
    for id in (0x10..0x30).step_by(0x10) {
        client.simple_query(&write_query(id, "s", 8000));
        for offset in 1..=3 {
            let response = client.simple_query(&session_read(id + offset, "s", None));
            assert_eq!(response.value, format!("\\x{id:016x}"), "{response:?}");
        }
    }
    assert_eq!((fixture.query_count(1), fixture.query_count(2)), (0, 0));
}

/// Guards against a first write that is tried at other endpoints although the list names the primary; and, if that
/// entry is outdated, against writes that are still sent there after responses have shown which one is the primary.
#[rstest]
fn first_write_is_sent_to_the_primary_of_the_list(
    #[values("trailing", "static")] role: &str,
    #[values(false, true)] is_outdated: bool,
) {
    let replica_set = FakeReplicaSet::new(
        if is_outdated { "s-1" } else { "s-2" },
        REPLICATION_LAG,
        REPLICATION_LAG,
    );
    let any_port = ([127, 0, 0, 1], 0).into();
    let join = |index| {
        FakeEndpoint::start_in_replica_set(
            &replica_set,
            &endpoint_id(index),
            any_port,
            Duration::ZERO,
            false,
        )
    };
    let settings = settings_with(&[("familyInfo/listRole", role.into())]);
    let fixture =
        Fixture::start_with_entries((0..3).map(join).collect(), settings, |index, entry| {
            entry["part"] = if index == 1 { "master" } else { "replica" }.into();
        });
    let mut client = fixture.router.connect_client();
    for id in 1..=3 {
        let response = client.simple_query(&write_query(id, "s", 8000));
        assert_eq!(response.value, format!("\\x{id:016x}"), "{response:?}");
    }
    // An outdated list costs attempts that endpoints reject without executing them, and none once the primary is known.
    let rejected_attempts = fixture.query_count(1) + fixture.query_count(2);
    if is_outdated {
        assert!((1..=4).contains(&rejected_attempts), "{rejected_attempts}");
        assert_eq!(fixture.query_count(0), 3);
    } else {
        assert_eq!(
            (
                fixture.query_count(0),
                fixture.query_count(1),
                fixture.query_count(2)
            ),
            (0, 3, 0)
        );
    }
}

/// Guards against a write that is sent to a replica because the router uses the roles in the list although the setting
/// `familyInfo.listRole` is `silent`.
#[test]
fn roles_in_the_list_are_ignored_when_list_role_is_silent() {
    let replica_set = FakeReplicaSet::new("s-1", REPLICATION_LAG, REPLICATION_LAG);
    let any_port = ([127, 0, 0, 1], 0).into();
    let join = |index| {
        FakeEndpoint::start_in_replica_set(
            &replica_set,
            &endpoint_id(index),
            any_port,
            Duration::ZERO,
            false,
        )
    };
    let fixture = Fixture::start_with_entries(
        (0..2).map(join).collect(),
        base_settings(),
        |index, entry| {
            entry["part"] = if index == 1 { "master" } else { "replica" }.into();
        },
    );
    let response = fixture
        .router
        .connect_client()
        .simple_query(&write_query(1, "s", 8000));
    assert_eq!(response.value, format!("\\x{:016x}", 1), "{response:?}");
    assert!(fixture.router.wait_for_counter("attempts_misrouted=0"));
}

/// Guards against health checks despite `ceilings.probes` being off, with each source of load reports and with
/// endpoints that fail.
#[rstest]
fn no_health_check_is_sent_when_probes_are_off(
    #[values("piggyback", "pull", "silent")] source: &str,
    #[values(ScriptedResponse::Serve, ScriptedResponse::Error("53300"))]
    scripted_response: ScriptedResponse,
) {
    let mut settings = settings_with(&[("ceilings/probes", false.into())]);
    set_report_source(&mut settings, source, &["x0", "x1"]);
    let fixture = Fixture::with_roles(&["master", "replica"], scripted_response, settings);
    let mut client = fixture.router.connect_client();
    for id in 1..=5 {
        client.simple_query(&select_query(id, 300));
    }
    assert!(fixture.router.wait_for_counter("health_checks=0"));
    let is_health_check = |text: &String| !text.contains("/*");
    assert_eq!(
        fixture
            .all_queries()
            .iter()
            .filter(|t| is_health_check(t))
            .count(),
        0
    );
}

/// Guards against hedged requests although `ceilings.secondCopies` is off, and against more than two concurrent
/// attempts of a request if it is on.
#[rstest]
#[case(false, 1)]
#[case(true, 2)]
fn concurrent_attempts_are_bounded_when_no_endpoint_responds(
    #[case] allows_hedging: bool,
    #[case] max_attempts: usize,
) {
    let settings = settings_with(&[("ceilings/secondCopies", allows_hedging.into())]);
    let fixture = Fixture::with_roles(
        &["master", "replica", "replica"],
        ScriptedResponse::NoResponse,
        settings,
    );
    let response = fixture
        .router
        .connect_client()
        .simple_query(&select_query(1, 2000));
    assert_eq!(response.sqlstate, "53300", "{response:?}");
    let attempts = fixture.all_queries().len();
    assert!((1..=max_attempts).contains(&attempts), "{attempts}");
}

/// Guards against an attempt that keeps running after its client disconnected although the router may cancel it. If the
/// router may not, guards against an attempt that is cancelled or whose upstream connection is not kept.
#[rstest]
fn attempt_of_a_disconnected_client_is_cancelled_only_if_allowed(
    #[values(false, true)] allows_cancel: bool,
) {
    let settings = settings_with(&[("ceilings/mayCancel", allows_cancel.into())]);
    let fixture = Fixture::with_roles(&["master"], ScriptedResponse::NoResponse, settings);
    let mut client = fixture.router.connect_client();
    client.send(&query_message(&select_query(1, 20_000)));
    let is_received = |a: &mut EndpointActivity| (a.queries.len() == 1).then_some(());
    let activity = &fixture.endpoints[0].activity;
    assert!(activity.wait_for(WAIT_TIMEOUT, is_received).is_some());
    drop(client);
    assert!(fixture.router.wait_for_counter("client_left=1"));
    if allows_cancel {
        assert!(fixture.router.wait_for_counter("attempts_cancelled=1"));
    } else {
        // The response still arrives, and its connection is kept for the next request.
        fixture.endpoints[0]
            .response
            .with(|r| *r = ScriptedResponse::Serve);
        assert!(
            fixture.router.wait_for_counter("attempts_served=1")
                && fixture.router.wait_for_counter("attempts_cancelled=0")
        );
        assert_eq!(
            fixture
                .router
                .connect_client()
                .simple_query(&select_query(2, 5000))
                .value,
            format!("{:016x}", 2)
        );
        assert_eq!(activity.with(|a| a.accepted_connections), 1);
    }
}

/// Guards against a retry delay in a rejection although `ceilings.retryAfter` is off, and against one above
/// `ceilings.maxRetryAfter`.
#[rstest]
#[case::off(false, Some(NANOS_PER_SECOND), None)]
#[case::one_second(true, Some(NANOS_PER_SECOND), Some(1000))]
#[case::zero(true, Some(0), Some(0))]
#[case::absent(true, None, Some(0))]
fn rejection_has_a_retry_delay_only_if_enabled_and_up_to_its_maximum(
    #[case] is_enabled: bool,
    #[case] max_delay_ns: Option<u64>,
    #[case] max_delay_ms: Option<u64>,
) {
    let mut settings = settings_with(&[("ceilings/retryAfter", is_enabled.into())]);
    match max_delay_ns {
        Some(delay_ns) => set_field(&mut settings, "ceilings/maxRetryAfter", delay_ns.into()),
        None => remove_field(&mut settings, "ceilings/maxRetryAfter"),
    }
    let fixture = Fixture::with_roles(&["master"], ScriptedResponse::Error("53300"), settings);
    let response = fixture
        .router
        .connect_client()
        .simple_query(&select_query(1, 300));
    assert_eq!(response.sqlstate, "53300", "{response:?}");
    let delay_ms = response.detail.map(|d| d.parse::<u64>().unwrap());
    match (delay_ms, max_delay_ms) {
        (Some(delay), Some(max)) => assert!(delay <= max.max(1), "{delay}"),
        (delay, max) => assert!(delay.is_none() && max.is_none_or(|ms| ms == 0)),
    }
}

/// Guards against new requests to an endpoint that the list no longer names, or lists as gone, unless the rule
/// `droppedStayOpen` allows them; if it does, against an endpoint that gets none. A draining endpoint never gets new
/// requests.
#[rstest]
fn unlisted_endpoint_gets_requests_only_if_the_rules_allow_it(
    #[values(None, Some(false), Some(true))] allows_unlisted_endpoints: Option<bool>,
    #[values(false, true)] is_listed_as_gone: bool,
) {
    let mut settings = base_settings();
    if let Some(is_allowed) = allows_unlisted_endpoints {
        set_field(&mut settings, "rules/droppedStayOpen", is_allowed.into());
    }
    let fixture = Fixture::with_roles(&["replica", "replica"], ScriptedResponse::Serve, settings);
    let mut client = fixture.router.connect_client();
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        format!("{:016x}", 1)
    );
    let mut list = vec![fixture.entry(1, "draining")];
    if is_listed_as_gone {
        list.push(fixture.entry(0, "gone"));
    }
    fixture.discovery.publish(list);
    let is_read =
        |paths: &mut Vec<String>| paths.iter().any(|p| p.contains("since=2&")).then_some(());
    assert!(
        fixture
            .discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, is_read)
            .is_some()
    );
    // Longer than the drain grace, 250 ms in the base settings.
    std::thread::sleep(Duration::from_millis(300));
    let counts_before = (fixture.query_count(0), fixture.query_count(1));
    let is_eligible = allows_unlisted_endpoints == Some(true);
    for id in 2..=5 {
        let response = client.simple_query(&select_query(id, 500));
        assert_eq!(response.sqlstate.is_empty(), is_eligible, "{response:?}");
    }
    let expected_count = if is_eligible { 4 } else { 0 };
    assert_eq!(
        (
            fixture.query_count(0) - counts_before.0,
            fixture.query_count(1) - counts_before.1
        ),
        (expected_count, 0)
    );
}

/// Outcome of a possibly executed write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    Retried,
    Failed,
}

/// Guards against a write that is executed twice: its endpoint is killed before it responds, and the write is retried
/// although its class is not idempotent and the other endpoint does not share the idempotency keys. Where a retry is
/// safe, the write must not fail; otherwise its client must get the error for an unknown outcome.
#[rstest]
#[case::idempotent("retryable", "cell", "b", WriteOutcome::Retried)]
#[case::not_idempotent("fragile", "all", "a", WriteOutcome::Failed)]
#[case::key_of_all_in_another_zone("dedup", "all", "b", WriteOutcome::Retried)]
#[case::key_of_replica_set_in_another_zone("dedup", "cell", "b", WriteOutcome::Retried)]
#[case::key_of_zone_in_the_same_zone("dedup", "zone", "a", WriteOutcome::Retried)]
#[case::key_of_zone_in_another_zone("dedup", "zone", "b", WriteOutcome::Failed)]
#[case::key_of_zone_in_an_unknown_zone("dedup", "zone", "c", WriteOutcome::Failed)]
fn possibly_executed_write_is_retried_only_if_its_class_allows_it(
    #[case] idempotency: &str,
    #[case] key_scope: &str,
    #[case] other_zone: &str,
    #[case] expected_outcome: WriteOutcome,
) {
    let settings = settings_with(&[
        ("classes/2/repeat", idempotency.into()),
        ("classes/2/group", key_scope.into()),
        ("classes/2/window", (20 * NANOS_PER_SECOND).into()),
        // The objective is long enough that the time lost with the killed endpoint causes no rejection.
        ("classes/2/onTime", (4 * NANOS_PER_SECOND).into()),
    ]);
    assert_eq!(outcome_after_kill(settings, other_zone), expected_outcome);
}

/// Guards against a write that is executed twice because it has an idempotency key, although the class has no
/// deduplication window and endpoints therefore do not remember keys.
#[rstest]
fn keyed_write_is_not_retried_without_a_deduplication_window(
    #[values("all", "zone", "cell")] key_scope: &str,
    #[values(false, true)] is_absent: bool,
) {
    let mut settings = settings_with(&[
        ("classes/2/group", key_scope.into()),
        ("classes/2/window", 0.into()),
        ("classes/2/onTime", (4 * NANOS_PER_SECOND).into()),
    ]);
    if is_absent {
        remove_field(&mut settings, "classes/2/window");
    }
    assert_eq!(outcome_after_kill(settings, "a"), WriteOutcome::Failed);
}

/// Sends a write to `s-1` in zone `a`, which executes it and is killed before it responds, and returns the outcome;
/// `s-2` in `other_zone` would serve a retry.
fn outcome_after_kill(settings: Value, other_zone: &str) -> WriteOutcome {
    let endpoints =
        ["master", "master"].map(|role| FakeEndpoint::start(role, ScriptedResponse::Serve));
    let kill_before_response = (RequestStage::BeforeResponse, Fault::Kill);
    endpoints[0]
        .faults
        .with(|f| f.push_back(kill_before_response));
    let fixture = Fixture::start_with_entries(endpoints.to_vec(), settings, |index, entry| {
        entry["az"] = if index == 0 { "a" } else { other_zone }.into();
    });
    let response = fixture
        .router
        .connect_client()
        .simple_query(&write_query(1, "s", 8000));
    assert_eq!(fixture.query_count(0), 1);
    match fixture.query_count(1) {
        0 => {
            assert_eq!(response.sqlstate, "58000", "{response:?}");
            WriteOutcome::Failed
        }
        attempts => {
            assert_eq!((attempts, &*response.value), (1, "0000000000000001"));
            WriteOutcome::Retried
        }
    }
}

/// Guards against more attempts, or fewer, than `ceilings.maxAttempts` if the endpoints keep failing.
#[rstest]
#[case(1)]
#[case(3)]
fn attempts_are_bounded_when_endpoints_keep_failing(#[case] max_attempts: usize) {
    let settings = settings_with(&[("ceilings/maxAttempts", max_attempts.into())]);
    let fixture = Fixture::with_roles(
        &["replica", "replica"],
        ScriptedResponse::Error("72000"),
        settings,
    );
    let response = fixture
        .router
        .connect_client()
        .simple_query(&select_query(1, 2000));
    assert_eq!(response.sqlstate, "53300", "{response:?}");
    assert_eq!(fixture.all_queries().len(), max_attempts);
}

/// Guards against a connection that is closed after each request because an idle timeout of 0, or none, counts as
/// already expired.
#[rstest]
fn idle_connection_is_kept_without_an_idle_timeout(#[values(false, true)] is_absent: bool) {
    let mut settings = settings_with(&[("ceilings/idleClose", 0.into())]);
    if is_absent {
        remove_field(&mut settings, "ceilings/idleClose");
    }
    let fixture = Fixture::with_roles(&["master"], ScriptedResponse::Serve, settings);
    let mut client = fixture.router.connect_client();
    for id in 1..=5 {
        assert_eq!(
            client.simple_query(&select_query(id, 5000)).value,
            format!("{id:016x}")
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(
        fixture.endpoints[0]
            .activity
            .with(|s| s.accepted_connections),
        1
    );
}

/// Guards against a connect that lasts longer, or fails sooner, than the connect timeout if the endpoint accepts the
/// connection and sends nothing; without a timeout in the settings the limit is one second.
#[rstest]
#[case::configured(Some(400_000_000), 400)]
#[case::zero(Some(0), 1000)]
#[case::absent(None, 1000)]
fn connect_fails_after_its_timeout_when_the_endpoint_is_silent(
    #[case] timeout_ns: Option<u64>,
    #[case] expected_ms: u64,
) {
    let silent_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = base_settings();
    match timeout_ns {
        Some(timeout) => set_field(&mut settings, "ceilings/connectTimeout", timeout.into()),
        None => remove_field(&mut settings, "ceilings/connectTimeout"),
    }
    let list = vec![list_entry(
        "s-1",
        silent_listener.local_addr().unwrap(),
        "ready",
    )];
    let discovery = FakeDiscovery::start(Some(list.clone()));
    let router = start_router_with(&discovery, &list, 1024, settings, None);
    let mut client = router.connect_client();
    let started = Instant::now();
    client.send(&query_message(&select_query(1, 5000)));
    assert!(router.wait_for_log("reason: dial_failed"));
    let elapsed = started.elapsed();
    let expected = Duration::from_millis(expected_ms);
    assert!(
        elapsed >= expected - Duration::from_millis(20)
            && elapsed < expected + Duration::from_secs(1),
        "{elapsed:?}"
    );
}

/// Guards against an optional setting that stops service, or makes the router poll discovery in a busy loop, when it is
/// absent, null or, if it is a number, 0.
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
fn requests_are_served_when_an_optional_setting_is_absent_null_or_zero(
    #[case] path: &str,
    #[values("absent", "null", "zero")] kind: &str,
) {
    let is_number = !["zones", "realms", "rules/droppedStayOpen"].contains(&path);
    let value = if kind == "zero" && is_number {
        json!(0)
    } else {
        Value::Null
    };
    let mut settings = settings_with(&[(path, value)]);
    if kind == "absent" {
        remove_field(&mut settings, path);
    }
    let fixture = Fixture::with_roles(&["master", "replica"], ScriptedResponse::Serve, settings);
    let mut client = fixture.router.connect_client();
    for id in (1..=9).step_by(2) {
        assert_eq!(
            client.simple_query(&write_query(id, "s", 5000)).value,
            format!("{id:016x}")
        );
        assert_eq!(
            client.simple_query(&select_query(id + 1, 5000)).value,
            format!("{:016x}", id + 1)
        );
    }
    std::thread::sleep(Duration::from_millis(500));
    let polls = fixture.discovery.requested_paths.with(|paths| paths.len());
    assert!(polls < 20, "{polls} polls");
}

/// Guards against endpoints that are never used because their entry has no zone or one that the settings do not name,
/// or because the router's own zone is not among those of the settings.
#[rstest]
fn endpoint_is_used_whatever_its_zone_and_that_of_the_router(
    #[values(0, 1, 7)] own_zone: u64,
    #[values(Some("a"), Some("nowhere"), None)] zone: Option<&str>,
) {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let settings = settings_with(&[("az", own_zone.into())]);
    let fixture = Fixture::start_with_entries(vec![endpoint], settings, |_, entry| match zone {
        Some(zone) => entry["az"] = zone.into(),
        None => remove_field(entry, "az"),
    });
    let mut client = fixture.router.connect_client();
    assert_eq!(
        client.simple_query(&write_query(1, "s", 5000)).value,
        format!("{:016x}", 1)
    );
    assert_eq!(
        client.simple_query(&select_query(2, 5000)).value,
        format!("{:016x}", 2)
    );
}

/// Guards against requests that are rejected because of their tenant although there is no overload: requests of a
/// tenant above its quota, of an unknown tenant and without a tenant.
#[rstest]
fn every_tenant_is_served_when_there_is_no_overload(#[values("acme", "other", "")] tenant: &str) {
    let tenants = json!([{"name": "acme", "quotaRps": 0.01}, {"name": "zeta", "quotaRps": 1e6}]);
    let settings = settings_with(&[("realms", tenants), ("overShareWorth", json!(0.2))]);
    let fixture = Fixture::with_roles(&["master", "replica"], ScriptedResponse::Serve, settings);
    let mut client = fixture.router.connect_client();
    for id in 1..=20 {
        let text = match tenant {
            "" => select_query(id, 5000),
            tenant => select_query(id, 5000).replace("c=board", &format!("c=board,t={tenant}")),
        };
        let response = client.simple_query(&text);
        assert_eq!(response.value, format!("{id:016x}"), "{response:?}");
    }
}

/// Guards against retries of a request whose latency objective has passed if late responses have no weight, and against
/// one that is not retried although they have some.
#[rstest]
#[case(Some(0.0), false)]
#[case(None, false)]
#[case(Some(0.5), true)]
fn late_request_is_retried_only_if_late_responses_have_weight(
    #[case] late_weight: Option<f64>,
    #[case] is_served: bool,
) {
    let mut settings = settings_with(&[("classes/0/onTime", 300_000_000.into())]);
    match late_weight {
        Some(weight) => set_field(&mut settings, "classes/0/lateWorth", weight.into()),
        None => remove_field(&mut settings, "classes/0/lateWorth"),
    }
    // The endpoint can't be reached for 0.8 s: longer than the objective, 0.3 s, and shorter than the deadline, 5 s.
    let fixture = Fixture::with_roles(&["replica"], ScriptedResponse::Serve, settings);
    fixture.endpoints[0].kill();
    let mut client = fixture.router.connect_client();
    client.send(&query_message(&select_query(1, 5000)));
    std::thread::sleep(Duration::from_millis(800));
    fixture.endpoints[0].restart();
    let response = client.read_response().unwrap();
    assert_eq!(response.sqlstate.is_empty(), is_served, "{response:?}");
}
