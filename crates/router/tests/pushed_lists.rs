//! Endpoint lists in the registry mode `automatic`: the discovery address is that of an agent on the router's own
//! machine, which the router polls from its start on and without a break. The router counts as notified of any list
//! that the agent has, whether or not a list watch is open.

mod common;

use common::*;
use reelrill_test_support::client::query_message;
use rstest::rstest;
use serde_json::Value;
use std::io::Write;
use std::time::{Duration, Instant};

/// Maximum time from the recovery of an agent until the router has read its list: the usual drain grace, less the time
/// by which the router process may be delayed, plus the delays of a busy test machine.
const MAX_READ_DELAY: Duration = Duration::from_millis(600);

/// Returns the base settings with the registry mode `automatic`.
fn automatic_settings() -> Value {
    let mut settings = base_settings();
    settings["registryMode"] = "automatic".into();
    settings
}

/// A router with its agent, an endpoint of the first list and the endpoint that replaces it.
struct Fixture {
    old: FakeEndpoint,
    new: FakeEndpoint,
    agent: FakeDiscovery,
    router: RouterProcess,
}

impl Fixture {
    /// Starts two endpoints and a router whose initial list and agent name only the old one.
    fn start() -> Fixture {
        let (old, new) = (
            FakeEndpoint::start("master", ScriptedResponse::Serve),
            FakeEndpoint::start("master", ScriptedResponse::Serve),
        );
        let initial_list = vec![list_entry("s-old", old.address, "ready")];
        let agent = FakeDiscovery::start(Some(initial_list.clone()));
        let router = start_router_with(&agent, &initial_list, 1024, automatic_settings(), None);
        Fixture {
            old,
            new,
            agent,
            router,
        }
    }

    /// Returns the list in which the new endpoint replaces the old one, which is draining.
    fn replacement_list(&self) -> Vec<Value> {
        vec![
            list_entry("s-old", self.old.address, "draining"),
            list_entry("s-new", self.new.address, "ready"),
        ]
    }

    /// Returns the number of polls that the agent has received.
    fn poll_count(&self) -> usize {
        self.agent.requested_paths.with(|paths| paths.len())
    }

    /// Waits until the agent receives a poll that states this list version as known, and returns the time.
    fn wait_until_list_is_read(&self, agent: &FakeDiscovery, version: u64) -> Instant {
        let since = format!("since={version}&");
        let is_read = |p: &mut Vec<String>| p.iter().any(|p| p.contains(&since)).then(Instant::now);
        agent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, is_read)
            .expect("the router did not read the list")
    }

    /// Sends five reads and checks that all of them reach the new endpoint.
    fn assert_only_new_endpoint_gets_requests(&self) {
        let count_before = self.old.activity.with(|s| s.queries.len());
        for id in 1..=5 {
            assert_eq!(
                self.router
                    .connect_client()
                    .simple_query(&select_query(id, 5000))
                    .value,
                format!("{id:016x}")
            );
        }
        assert_eq!(
            self.old.activity.with(|s| s.queries.len()),
            count_before,
            "requests were sent to a draining endpoint"
        );
        assert_eq!(self.new.activity.with(|s| s.queries.len()), 5);
    }
}

/// Guards against a router that requests the whole list at its start although it knows version 1, or that does not
/// watch the agent for newer lists.
#[test]
fn agent_is_watched_from_the_start() {
    let fixture = Fixture::start();
    let first = fixture
        .agent
        .requested_paths
        .wait_for(WAIT_TIMEOUT, |paths| paths.first().cloned())
        .expect("the agent received no poll");
    assert!(first.contains("since=1&"), "{first}");
    fixture.agent.publish(fixture.replacement_list());
    fixture.wait_until_list_is_read(&fixture.agent, 2);
    fixture.assert_only_new_endpoint_gets_requests();
    let whole_list_polls = fixture
        .agent
        .requested_paths
        .with(|paths| paths.iter().filter(|path| *path == "/api/targets").count());
    assert_eq!(whole_list_polls, 0, "the router requested the whole list");
}

/// Guards against a first request that is sent to an endpoint of the outdated list with which the router starts,
/// although the agent already has a newer list.
#[test]
fn newer_list_of_the_agent_is_applied_before_the_first_request() {
    let fixture = Fixture::start();
    let agent = FakeDiscovery::start(None);
    agent
        .list
        .with(|list| *list = (9, Some(fixture.replacement_list())));
    let initial_list = vec![list_entry("s-old", fixture.old.address, "ready")];
    let router = start_router_with(&agent, &initial_list, 1024, automatic_settings(), None);
    fixture.wait_until_list_is_read(&agent, 9);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    assert_eq!(fixture.old.activity.with(|s| s.queries.len()), 0);
}

/// Guards against a router without a list that rejects its first client, or leaves it waiting, when the agent has no
/// list for the first polls and then responds.
#[test]
fn router_without_a_list_is_ready_after_the_first_response_of_the_agent() {
    let endpoint = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let agent = FakeDiscovery::start(None);
    let router = start_router_with(&agent, &[], 1024, automatic_settings(), None);
    let mut client = router.connect_client();
    client.stream.write_all(&query_message("")).unwrap();
    assert!(
        agent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (paths.len() > 4).then_some(()))
            .is_some()
    );
    agent.publish(vec![list_entry("s-1", endpoint.address, "ready")]);
    assert_eq!(client.read_response().unwrap().tags, "IZ");
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
}

/// Guards against a backoff that grows with the failures of an agent, so that the router reads a new list only long
/// after the agent has recovered and sends requests to a draining endpoint meanwhile.
#[rstest]
fn new_list_is_read_without_delay_after_the_agent_recovers(
    #[values(DiscoveryFaultMode::NoResponse, DiscoveryFaultMode::ResetMidBody)]
    fault_mode: DiscoveryFaultMode,
) {
    let fixture = Fixture::start();
    fixture.wait_until_list_is_read(&fixture.agent, 1);
    fixture.agent.fault_mode.with(|mode| *mode = fault_mode);
    let count_before = fixture.poll_count();
    // Enough failed polls for an increasing backoff to reach a long delay.
    assert!(
        fixture
            .agent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (paths.len() > count_before + 12)
                .then_some(()))
            .is_some()
    );
    assert_eq!(
        fixture
            .router
            .connect_client()
            .simple_query(&select_query(99, 5000))
            .value,
        format!("{:016x}", 99)
    );
    let recovered_at = Instant::now();
    fixture
        .agent
        .list
        .with(|list| *list = (2, Some(fixture.replacement_list())));
    fixture
        .agent
        .fault_mode
        .with(|mode| *mode = DiscoveryFaultMode::Normal);
    let read_at = fixture.wait_until_list_is_read(&fixture.agent, 2);
    assert!(
        read_at - recovered_at < MAX_READ_DELAY,
        "{:?}",
        read_at - recovered_at
    );
    fixture.assert_only_new_endpoint_gets_requests();
}

/// Guards against a busy loop of polls to an agent that responds to each of them with status 503 at once, and against
/// pauses between polls so long that the next list is read late.
#[test]
fn agent_that_responds_with_503_is_polled_at_a_bounded_rate() {
    let fixture = Fixture::start();
    fixture.wait_until_list_is_read(&fixture.agent, 1);
    fixture.agent.list.with(|list| list.1 = None);
    let before = fixture.poll_count();
    let wait_for_polls = |further: usize| {
        let is_reached = |p: &mut Vec<String>| (p.len() >= before + further).then(Instant::now);
        fixture
            .agent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, is_reached)
            .expect("the agent received no further poll")
    };
    let (second_poll_at, twelfth_poll_at) = (wait_for_polls(2), wait_for_polls(12));
    assert!(
        twelfth_poll_at - second_poll_at >= Duration::from_millis(450),
        "{:?}",
        twelfth_poll_at - second_poll_at
    );
    fixture.agent.publish(fixture.replacement_list());
    let published_at = Instant::now();
    let read_at = fixture.wait_until_list_is_read(&fixture.agent, 2);
    assert!(
        read_at - published_at < MAX_READ_DELAY,
        "{:?}",
        read_at - published_at
    );
}

/// Guards against a list watch that stays open on a connection without any further response, as after an agent has
/// stalled: the router would miss every later list. The new watch must not request the whole list.
#[test]
fn stalled_watch_of_an_agent_is_replaced_by_one_for_newer_lists() {
    let fixture = Fixture::start();
    fixture.wait_until_list_is_read(&fixture.agent, 1);
    fixture.agent.stall_open_connections();
    let stalled_at = Instant::now();
    fixture.agent.publish(fixture.replacement_list());
    let read_at = fixture.wait_until_list_is_read(&fixture.agent, 2);
    assert!(
        read_at - stalled_at < Duration::from_secs(2),
        "{:?}",
        read_at - stalled_at
    );
    fixture.assert_only_new_endpoint_gets_requests();
    let whole_list_polls = fixture
        .agent
        .requested_paths
        .with(|paths| paths.iter().filter(|path| *path == "/api/targets").count());
    assert_eq!(whole_list_polls, 0, "the router requested the whole list");
}

/// Guards against a reload with another discovery address after which the router still watches the former agent, or
/// requests from the new one only what is newer than the former agent's version instead of the whole list.
#[test]
fn new_agent_is_watched_when_a_reload_changes_the_discovery_address() {
    let fixture = Fixture::start();
    fixture.wait_until_list_is_read(&fixture.agent, 1);
    let new_agent = FakeDiscovery::start(Some(fixture.replacement_list()));
    fixture
        .router
        .reload_config("discovery", new_agent.address.to_string().into());
    fixture.wait_until_list_is_read(&new_agent, 1);
    fixture.assert_only_new_endpoint_gets_requests();
    let paths = new_agent.requested_paths.with(|paths| paths.clone());
    assert_eq!(
        paths.iter().filter(|path| *path == "/api/targets").count(),
        1
    );
}

/// Guards against requests for the whole list after a list watch that got status 503 (`Normal`, without a list) or
/// whose connection was reset, with an agent and with one discovery service for all routers. A whole list that the
/// service returns to a request for newer ones must still be applied.
#[rstest]
#[case::agent(automatic_settings())]
#[case::shared_service(base_settings())]
fn only_newer_lists_are_requested_after_a_failed_watch(
    #[case] settings: Value,
    #[values(DiscoveryFaultMode::Normal, DiscoveryFaultMode::ResetMidBody)]
    fault_mode: DiscoveryFaultMode,
) {
    let (old, new) = (
        FakeEndpoint::start("master", ScriptedResponse::Serve),
        FakeEndpoint::start("master", ScriptedResponse::Serve),
    );
    let initial_list = vec![list_entry("s-old", old.address, "ready")];
    let discovery = FakeDiscovery::start(Some(initial_list.clone()));
    let router = start_router_with(&discovery, &initial_list, 1024, settings, None);
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| (!paths.is_empty()).then_some(()))
            .is_some()
    );
    discovery.fault_mode.with(|mode| *mode = fault_mode);
    discovery.list.with(|list| {
        *list = (
            2,
            (fault_mode == DiscoveryFaultMode::ResetMidBody).then(|| initial_list.clone()),
        )
    });
    assert!(router.wait_for_log("discovery poll failed"));
    discovery
        .fault_mode
        .with(|mode| *mode = DiscoveryFaultMode::Normal);
    discovery.publish(vec![list_entry("s-new", new.address, "ready")]);
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |paths| paths
                .iter()
                .any(|path| path.contains("since=3&"))
                .then_some(()))
            .is_some()
    );
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    assert_eq!(new.activity.with(|s| s.queries.len()), 1);
    assert!(
        discovery
            .requested_paths
            .with(|paths| paths.iter().all(|path| path.contains("since="))),
        "the router requested the whole list"
    );
}
