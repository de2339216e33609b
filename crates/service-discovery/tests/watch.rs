//! The deadlines by which a change of the list counts as notified, on a simulated clock.

use reelrill_routing::Timestamp;
use reelrill_service_discovery::watch::{
    LOCAL_LONG_POLL_WAIT, LOCAL_RESPONSE_GRACE, LOCAL_RETRY_DELAY, ListRequest, ListService,
    ListWatch, LongPoll, NOTIFICATION_DEADLINE, NOTIFICATION_GRACE_AFTER_WAIT, NextStep,
    PollOutcome, PollRequest, RESPONSE_GRACE,
};
use rstest::rstest;

const MILLISECOND: Timestamp = 1_000_000;

fn open(version: u64) -> (ListWatch, PollRequest) {
    let mut watch = ListWatch::new(ListService::Shared, Some(version));
    watch.request(0, ListRequest::Changes);
    let NextStep::Poll { request, .. } = watch.complete_poll(
        0,
        PollOutcome::Updated {
            version,
            has_changes: true,
        },
    ) else {
        panic!()
    };
    (watch, request)
}

/// Guards the clock of a silent watch: whenever in its wait it falls silent, it is open again before what it misses
/// counts as told, also if the new call takes half a second.
#[test]
fn a_silent_watch_is_reopened_before_missed_changes_count_as_notified() {
    let (_, request) = open(7);
    let wait = request.long_poll.expect("a watch").wait;
    for silent_at in (0..wait).step_by(50_000_000) {
        let (mut watch, request) = open(7);
        let notified_by =
            (silent_at + NOTIFICATION_DEADLINE).max(wait + NOTIFICATION_GRACE_AFTER_WAIT);
        let NextStep::Poll {
            request: next,
            delay,
            should_suppress_report: true,
        } = watch.complete_poll(request.response_timeout, PollOutcome::TimedOut)
        else {
            panic!("it is not opened anew")
        };
        assert_eq!(next.long_poll.map(|since| since.version), Some(7));
        assert!(
            request.response_timeout + delay + RESPONSE_GRACE < notified_by,
            "silent at {silent_at}"
        );
    }
}

/// Guards a service that stays silent: the second silence in a row is told, and called anew all the same; a call that
/// falls silent is made again before its news count as told.
#[test]
fn a_second_timeout_in_a_row_is_reported_and_polled_again() {
    let (mut watch, request) = open(7);
    let mut now = request.response_timeout;
    assert!(matches!(
        watch.complete_poll(now, PollOutcome::TimedOut),
        NextStep::Poll {
            should_suppress_report: true,
            ..
        }
    ));
    for _ in 0..3 {
        let NextStep::Poll {
            request,
            delay: 0,
            should_suppress_report: false,
        } = watch.complete_poll(now, PollOutcome::TimedOut)
        else {
            panic!()
        };
        assert!(request.response_timeout + RESPONSE_GRACE < NOTIFICATION_DEADLINE);
        assert!(!watch.is_open());
        now += request.response_timeout;
    }
}

/// Guards a busy service: a call that may still wait for its turn there is not given up.
#[rstest]
#[case(Some(7), ListRequest::Changes)]
#[case(Some(7), ListRequest::Snapshot)]
#[case(None, ListRequest::Changes)]
fn a_first_poll_may_queue_at_a_busy_service(
    #[case] version: Option<u64>,
    #[case] wanted: ListRequest,
) {
    let request = ListWatch::new(ListService::Shared, version).request(0, wanted);
    let waits = request.long_poll.map_or(0, |since| since.wait);
    assert!(
        request.response_timeout > waits + 2000 * MILLISECOND
            && request.response_timeout < NOTIFICATION_DEADLINE - 2000 * MILLISECOND,
        "{request:?}"
    );
    assert_eq!(
        request.long_poll.is_some(),
        version.is_some() && wanted == ListRequest::Changes
    );
}

/// Guards a busy service against calls that only wait: for a while after it has turned one away there are as few as
/// keep the clock of silence, and the first call is the watch already.
#[test]
fn a_service_that_rejected_a_poll_gets_fewer_polls() {
    let (mut watch, usual) = open(7);
    assert_eq!(
        watch.complete_poll(MILLISECOND, PollOutcome::Rejected),
        NextStep::Idle
    );
    let request = watch.request(2 * MILLISECOND, ListRequest::Changes);
    let wait = request.long_poll.expect("a watch").wait;
    assert!(wait > 2 * usual.long_poll.expect("a watch").wait);
    for silent_at in (0..wait).step_by(50_000_000) {
        assert!(
            request.response_timeout + RESPONSE_GRACE
                < (silent_at + NOTIFICATION_DEADLINE).max(wait + NOTIFICATION_GRACE_AFTER_WAIT),
            "silent at {silent_at}"
        );
    }
    let NextStep::Poll { request, .. } = watch.complete_poll(
        30_000 * MILLISECOND,
        PollOutcome::Updated {
            version: 7,
            has_changes: false,
        },
    ) else {
        panic!("an answer ended the watch")
    };
    assert_eq!(request, usual);
}

/// Guards both sides against a service that answers at once without changes, and the watch against a pause that makes
/// it a new one.
#[test]
fn an_early_response_without_changes_is_followed_after_a_delay() {
    let (_, request) = open(7);
    let delay_after = |now, has_changes| match open(7).0.complete_poll(
        now,
        PollOutcome::Updated {
            version: 7,
            has_changes,
        },
    ) {
        NextStep::Poll { delay, .. } => delay,
        NextStep::Idle => panic!("an answer ended the watch"),
    };
    assert_eq!(delay_after(10 * MILLISECOND, false), 100 * MILLISECOND);
    assert_eq!(delay_after(10 * MILLISECOND, true), 0);
    assert_eq!(delay_after(request.long_poll.unwrap().wait, false), 0);
}

/// Guards against versions of another service: after a move the whole list is asked for.
#[test]
fn after_the_service_is_replaced_a_snapshot_is_requested() {
    let (mut watch, _) = open(7);
    watch.on_service_replaced();
    assert_eq!(watch.request(0, ListRequest::Changes).long_poll, None);
}

/// Guards the owner's own rule for failures: what breaks is told at once.
#[test]
fn a_failed_poll_is_reported_and_ends_the_watch() {
    let (mut watch, _) = open(7);
    assert_eq!(
        watch.complete_poll(MILLISECOND, PollOutcome::Failed),
        NextStep::Idle
    );
    assert!(!watch.is_open());
}

fn open_at_agent(version: u64) -> (ListWatch, PollRequest) {
    let mut watch = ListWatch::new(ListService::LocalAgent, Some(version));
    watch.initial_poll(0).expect("a call at the start");
    let NextStep::Poll { request, .. } = watch.complete_poll(
        0,
        PollOutcome::Updated {
            version,
            has_changes: true,
        },
    ) else {
        panic!()
    };
    (watch, request)
}

/// A local agent is called at the start without being asked for; a service of all routers is not.
#[test]
fn only_a_local_agent_is_polled_at_the_start() {
    for version in [None, Some(7)] {
        let request = ListWatch::new(ListService::LocalAgent, version)
            .initial_poll(0)
            .expect("a call");
        assert_eq!(request.long_poll.map(|since| since.version), version);
        assert_eq!(
            ListWatch::new(ListService::Shared, version).initial_poll(0),
            None
        );
    }
}

/// A call that fails at a local agent, in whatever way, is followed by another within 0.1 s, without being asked for,
/// and never for the whole list again.
#[rstest]
#[case(PollOutcome::Failed)]
#[case(PollOutcome::Rejected)]
#[case(PollOutcome::TimedOut)]
fn a_local_agent_is_polled_for_changes_within_a_tenth_of_a_second_of_any_failure(
    #[case] outcome: PollOutcome,
) {
    let (mut watch, request) = open_at_agent(7);
    assert_eq!(
        request.long_poll,
        Some(LongPoll {
            version: 7,
            wait: LOCAL_LONG_POLL_WAIT
        })
    );
    let mut now = request.response_timeout;
    for _ in 0..100 {
        let NextStep::Poll { request, delay, .. } = watch.complete_poll(now, outcome) else {
            panic!("it rests")
        };
        assert!(
            delay <= LOCAL_RETRY_DELAY
                && request.response_timeout <= 100 * MILLISECOND
                && request.connect_timeout <= LOCAL_RESPONSE_GRACE
        );
        assert_eq!(request.long_poll.map(|since| since.version), Some(7));
        now += delay + request.response_timeout;
    }
}

/// A watch of a local agent that falls silent is open again long before what it misses counts as told.
#[test]
fn a_silent_watch_of_a_local_agent_is_reopened_within_half_a_second() {
    let (mut watch, request) = open_at_agent(7);
    let NextStep::Poll {
        request: next,
        delay: 0,
        ..
    } = watch.complete_poll(request.response_timeout, PollOutcome::TimedOut)
    else {
        panic!()
    };
    assert!(
        request.response_timeout + next.connect_timeout + next.response_timeout < 500 * MILLISECOND
    );
}
