//! Lists that are pushed: discovery's address is an agent on the router's own machine, which is called from the start
//! and always. Whatever it holds counts as told, whether or not it is being watched.

mod common;

use common::*;
use reelrill_test_support::client::query_message;
use rstest::rstest;
use serde_json::Value;
use std::io::Write;
use std::time::{Duration, Instant};

/// Within this time of its return, what an agent holds has to be known: the usual grace of a drain, less what a
/// process may be held up. The limit is wider by what a busy test machine may take.
const KNOWN_WITHIN: Duration = Duration::from_millis(600);

fn pushed() -> Value {
    let mut settings = base_settings();
    settings["registryMode"] = "automatic".into();
    settings
}

struct Site {
    old: FakeEndpoint,
    new: FakeEndpoint,
    agent: FakeDiscovery,
    router: RouterProcess,
}

impl Site {
    /// Two endpoints, of which the list at hand names the first.
    fn start() -> Site {
        let (old, new) = (
            FakeEndpoint::start("master", ScriptedResponse::Serve),
            FakeEndpoint::start("master", ScriptedResponse::Serve),
        );
        let known = vec![list_entry("s-old", old.address, "ready")];
        let agent = FakeDiscovery::start(Some(known.clone()));
        let router = start_router_with(&agent, &known, 1024, pushed(), None);
        Site {
            old,
            new,
            agent,
            router,
        }
    }

    /// The list after the first one's replacement.
    fn replaced(&self) -> Vec<Value> {
        vec![
            list_entry("s-old", self.old.address, "draining"),
            list_entry("s-new", self.new.address, "ready"),
        ]
    }

    fn calls(&self) -> usize {
        self.agent.requested_paths.with(|c| c.len())
    }

    /// Waits for the call that follows an answer with this version; says when it came.
    fn until_known(&self, agent: &FakeDiscovery, version: u64) -> Instant {
        let since = format!("since={version}&");
        let told = |c: &mut Vec<String>| c.iter().any(|p| p.contains(&since)).then(Instant::now);
        agent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, told)
            .expect("the list was not read")
    }

    fn assert_only_new_is_sent_to(&self) {
        let before = self.old.activity.with(|s| s.queries.len());
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
            before,
            "sent to a draining instance"
        );
        assert_eq!(self.new.activity.with(|s| s.queries.len()), 5);
    }
}

#[test]
fn an_agent_is_watched_from_the_start() {
    let site = Site::start();
    let first = site
        .agent
        .requested_paths
        .wait_for(WAIT_TIMEOUT, |c| c.first().cloned())
        .expect("no call");
    assert!(first.contains("since=1&"), "{first}");
    site.agent.publish(site.replaced());
    site.until_known(&site.agent, 2);
    site.assert_only_new_is_sent_to();
    let whole = site
        .agent
        .requested_paths
        .with(|c| c.iter().filter(|p| *p == "/api/targets").count());
    assert_eq!(whole, 0, "the whole list was asked for");
}

#[test]
fn what_the_agent_holds_at_the_start_is_known_before_the_first_requests() {
    let site = Site::start();
    let agent = FakeDiscovery::start(None);
    agent.list.with(|l| *l = (9, Some(site.replaced())));
    let known = vec![list_entry("s-old", site.old.address, "ready")];
    let router = start_router_with(&agent, &known, 1024, pushed(), None);
    site.until_known(&agent, 9);
    assert_eq!(
        router
            .connect_client()
            .simple_query(&select_query(1, 5000))
            .value,
        "0000000000000001"
    );
    assert_eq!(site.old.activity.with(|s| s.queries.len()), 0);
}

#[test]
fn a_router_with_no_list_is_ready_from_the_first_answer() {
    let instance = FakeEndpoint::start("master", ScriptedResponse::Serve);
    let agent = FakeDiscovery::start(None);
    let router = start_router_with(&agent, &[], 1024, pushed(), None);
    let mut client = router.connect_client();
    client.stream.write_all(&query_message("")).unwrap();
    assert!(
        agent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() > 4).then_some(()))
            .is_some()
    );
    agent.publish(vec![list_entry("s-1", instance.address, "ready")]);
    assert_eq!(client.read_response().unwrap().tags, "IZ");
    assert_eq!(
        client.simple_query(&select_query(1, 5000)).value,
        "0000000000000001"
    );
}

#[rstest]
fn what_an_agent_brings_at_its_return_is_known_at_once(
    #[values(DiscoveryFaultMode::NoResponse, DiscoveryFaultMode::ResetMidBody)]
    down: DiscoveryFaultMode,
) {
    let site = Site::start();
    site.until_known(&site.agent, 1);
    site.agent.fault_mode.with(|m| *m = down);
    let before = site.calls();
    // Long enough for a pause that grows to have grown.
    assert!(
        site.agent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (c.len() > before + 12).then_some(()))
            .is_some()
    );
    assert_eq!(
        site.router
            .connect_client()
            .simple_query(&select_query(99, 5000))
            .value,
        format!("{:016x}", 99)
    );
    let back = Instant::now();
    site.agent.list.with(|l| *l = (2, Some(site.replaced())));
    site.agent
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::Normal);
    let known = site.until_known(&site.agent, 2);
    assert!(known - back < KNOWN_WITHIN, "{:?}", known - back);
    site.assert_only_new_is_sent_to();
}

/// An agent that ends each call with 503 is called at an even, bounded pace.
#[test]
fn an_agent_that_declines_is_called_again_soon_and_not_in_a_busy_loop() {
    let site = Site::start();
    site.until_known(&site.agent, 1);
    site.agent.list.with(|l| l.1 = None);
    let before = site.calls();
    let nth = |n: usize| {
        let reached = |c: &mut Vec<String>| (c.len() >= before + n).then(Instant::now);
        site.agent
            .requested_paths
            .wait_for(WAIT_TIMEOUT, reached)
            .expect("no further call")
    };
    let (first, last) = (nth(2), nth(12));
    assert!(
        last - first >= Duration::from_millis(450),
        "{:?}",
        last - first
    );
    site.agent.publish(site.replaced());
    let back = Instant::now();
    let known = site.until_known(&site.agent, 2);
    assert!(known - back < KNOWN_WITHIN, "{:?}", known - back);
}

#[test]
fn a_silent_watch_of_an_agent_is_opened_anew_for_what_is_newer() {
    let site = Site::start();
    site.until_known(&site.agent, 1);
    site.agent.stall_open_connections();
    let silent = Instant::now();
    site.agent.publish(site.replaced());
    let known = site.until_known(&site.agent, 2);
    assert!(
        known - silent < Duration::from_secs(2),
        "{:?}",
        known - silent
    );
    site.assert_only_new_is_sent_to();
    let whole = site
        .agent
        .requested_paths
        .with(|c| c.iter().filter(|p| *p == "/api/targets").count());
    assert_eq!(whole, 0, "the whole list was asked for");
}

#[test]
fn a_new_configuration_moves_the_watch_to_another_agent() {
    let site = Site::start();
    site.until_known(&site.agent, 1);
    let next = FakeDiscovery::start(Some(site.replaced()));
    site.router
        .reload_config("discovery", next.address.to_string().into());
    site.until_known(&next, 1);
    site.assert_only_new_is_sent_to();
    let paths = next.requested_paths.with(|c| c.clone());
    assert_eq!(paths.iter().filter(|p| *p == "/api/targets").count(), 1);
}

/// After a watch that broke, in whatever way, only what is newer is asked for, also where discovery is one service of
/// all routers; a whole list is taken where the service gives one.
#[rstest]
#[case::agent(pushed())]
#[case::shared_service(base_settings())]
fn after_a_broken_watch_only_what_is_newer_is_asked_for(
    #[case] settings: Value,
    #[values(DiscoveryFaultMode::Normal, DiscoveryFaultMode::ResetMidBody)]
    down: DiscoveryFaultMode,
) {
    let (old, new) = (
        FakeEndpoint::start("master", ScriptedResponse::Serve),
        FakeEndpoint::start("master", ScriptedResponse::Serve),
    );
    let known = vec![list_entry("s-old", old.address, "ready")];
    let discovery = FakeDiscovery::start(Some(known.clone()));
    let router = start_router_with(&discovery, &known, 1024, settings, None);
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| (!c.is_empty()).then_some(()))
            .is_some()
    );
    discovery.fault_mode.with(|m| *m = down);
    discovery.list.with(|l| {
        *l = (
            2,
            (down == DiscoveryFaultMode::ResetMidBody).then(|| known.clone()),
        )
    });
    assert!(router.wait_for_log("discovery poll failed"));
    discovery
        .fault_mode
        .with(|m| *m = DiscoveryFaultMode::Normal);
    discovery.publish(vec![list_entry("s-new", new.address, "ready")]);
    assert!(
        discovery
            .requested_paths
            .wait_for(WAIT_TIMEOUT, |c| c
                .iter()
                .any(|p| p.contains("since=3&"))
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
            .with(|c| c.iter().all(|p| p.contains("since="))),
        "the whole list was asked for"
    );
}
