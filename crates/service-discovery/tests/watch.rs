//! Tests on simulated time that the list watch meets the deadlines at which a change counts as notified.

use reelrill_routing::Timestamp;
use reelrill_service_discovery::watch::{
    LOCAL_LONG_POLL_WAIT, LOCAL_RESPONSE_GRACE, LOCAL_RETRY_DELAY, ListRequest, ListService,
    ListWatch, LongPoll, NOTIFICATION_DEADLINE, NOTIFICATION_GRACE_AFTER_WAIT, NextStep,
    PollOutcome, PollRequest, RESPONSE_GRACE,
};
use rstest::rstest;

const MILLISECOND: Timestamp = 1_000_000;

/// Returns an open watch of a shared service, and its poll in progress.
fn open_watch(version: u64) -> (ListWatch, PollRequest) {
    let mut watch = ListWatch::new(ListService::Shared, Some(version));
    watch.request(0, ListRequest::Changes);
    let NextStep::Poll { request, .. } = watch.complete_poll(
        0,
        PollOutcome::Updated {
            version,
            has_changes: true,
        },
    ) else {
        panic!("expected another poll")
    };
    (watch, request)
}

/// Guards against changes missed by a watch whose service stops responding at any time during the wait: the watch must
/// be open again before they count as notified, even if the next poll takes half a second.
#[test]
fn reopens_before_missed_changes_count_as_notified_when_service_stops_responding() {
    let (_, request) = open_watch(7);
    let wait = request.long_poll.expect("expected a long poll").wait;
    for unresponsive_since in (0..wait).step_by(50_000_000) {
        let (mut watch, request) = open_watch(7);
        let notified_by =
            (unresponsive_since + NOTIFICATION_DEADLINE).max(wait + NOTIFICATION_GRACE_AFTER_WAIT);
        let NextStep::Poll {
            request: next,
            delay,
            should_suppress_report: true,
        } = watch.complete_poll(request.response_timeout, PollOutcome::TimedOut)
        else {
            panic!("expected an unreported poll that reopens the watch")
        };
        assert_eq!(next.long_poll.map(|long_poll| long_poll.version), Some(7));
        assert!(
            request.response_timeout + delay + RESPONSE_GRACE < notified_by,
            "unresponsive since {unresponsive_since}"
        );
    }
}

/// Guards against a watch that ends, or failures that stay unreported, while the service remains unresponsive: from the
/// second timeout in a row on, each is reported and polled again before a missed change counts as notified.
#[test]
fn reports_and_polls_again_when_polls_time_out_in_a_row() {
    let (mut watch, request) = open_watch(7);
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
            panic!("expected another poll")
        };
        assert!(request.response_timeout + RESPONSE_GRACE < NOTIFICATION_DEADLINE);
        assert!(!watch.is_open());
        now += request.response_timeout;
    }
}

/// Guards against abandoning a first poll while it may still be queued at a busy service, which would have to process
/// it twice.
#[rstest]
#[case(Some(7), ListRequest::Changes)]
#[case(Some(7), ListRequest::Snapshot)]
#[case(None, ListRequest::Changes)]
fn first_poll_timeout_covers_the_queue_of_a_busy_service(
    #[case] version: Option<u64>,
    #[case] requested: ListRequest,
) {
    let request = ListWatch::new(ListService::Shared, version).request(0, requested);
    let wait = request.long_poll.map_or(0, |long_poll| long_poll.wait);
    assert!(
        request.response_timeout > wait + 2000 * MILLISECOND
            && request.response_timeout < NOTIFICATION_DEADLINE - 2000 * MILLISECOND,
        "{request:?}"
    );
    assert_eq!(
        request.long_poll.is_some(),
        version.is_some() && requested == ListRequest::Changes
    );
}

/// Guards a busy service against needless polls: for a while after a rejection the polls are as rare as the
/// notification deadline allows, and the first poll already has the long wait.
#[test]
fn polls_less_often_after_a_rejection() {
    let (mut watch, usual) = open_watch(7);
    assert_eq!(
        watch.complete_poll(MILLISECOND, PollOutcome::Rejected),
        NextStep::Idle
    );
    let request = watch.request(2 * MILLISECOND, ListRequest::Changes);
    let wait = request.long_poll.expect("expected a long poll").wait;
    assert!(wait > 2 * usual.long_poll.expect("expected a long poll").wait);
    for unresponsive_since in (0..wait).step_by(50_000_000) {
        assert!(
            request.response_timeout + RESPONSE_GRACE
                < (unresponsive_since + NOTIFICATION_DEADLINE)
                    .max(wait + NOTIFICATION_GRACE_AFTER_WAIT),
            "unresponsive since {unresponsive_since}"
        );
    }
    let NextStep::Poll { request, .. } = watch.complete_poll(
        30_000 * MILLISECOND,
        PollOutcome::Updated {
            version: 7,
            has_changes: false,
        },
    ) else {
        panic!("expected another poll after a response")
    };
    assert_eq!(request, usual);
}

/// Guards against a busy loop when the service responds at once without changes, and against a delay so long that the
/// service treats the next poll as a new watch.
#[test]
fn delays_next_poll_after_early_response_without_changes() {
    let (_, request) = open_watch(7);
    let delay_after = |now, has_changes| match open_watch(7).0.complete_poll(
        now,
        PollOutcome::Updated {
            version: 7,
            has_changes,
        },
    ) {
        NextStep::Poll { delay, .. } => delay,
        NextStep::Idle => panic!("expected another poll after a response"),
    };
    assert_eq!(delay_after(10 * MILLISECOND, false), 100 * MILLISECOND);
    assert_eq!(delay_after(10 * MILLISECOND, true), 0);
    assert_eq!(delay_after(request.long_poll.unwrap().wait, false), 0);
}

/// Guards against waiting for a version of the previous service, which is meaningless at its replacement.
#[test]
fn requests_complete_list_after_service_is_replaced() {
    let (mut watch, _) = open_watch(7);
    watch.on_service_replaced();
    assert_eq!(watch.request(0, ListRequest::Changes).long_poll, None);
}

/// Guards against a watch that hides a failed poll: the balancer must receive the failure at once.
#[test]
fn reports_failure_and_closes_watch_when_poll_fails() {
    let (mut watch, _) = open_watch(7);
    assert_eq!(
        watch.complete_poll(MILLISECOND, PollOutcome::Failed),
        NextStep::Idle
    );
    assert!(!watch.is_open());
}

/// Returns an open watch of a local agent, and its poll in progress.
fn open_agent_watch(version: u64) -> (ListWatch, PollRequest) {
    let mut watch = ListWatch::new(ListService::LocalAgent, Some(version));
    watch.initial_poll(0).expect("expected an initial poll");
    let NextStep::Poll { request, .. } = watch.complete_poll(
        0,
        PollOutcome::Updated {
            version,
            has_changes: true,
        },
    ) else {
        panic!("expected another poll")
    };
    (watch, request)
}

/// Guards against a router that starts without a watch of its local agent, and against unrequested polls that add to
/// the load of a shared service.
#[test]
fn only_a_local_agent_is_polled_at_start() {
    for version in [None, Some(7)] {
        let request = ListWatch::new(ListService::LocalAgent, version)
            .initial_poll(0)
            .expect("expected an initial poll");
        assert_eq!(
            request.long_poll.map(|long_poll| long_poll.version),
            version
        );
        assert_eq!(
            ListWatch::new(ListService::Shared, version).initial_poll(0),
            None
        );
    }
}

/// Guards against a watch of a local agent that ends after a failed poll, is resumed too late, or requests the complete
/// list again: the next poll must follow within 0.1 s without a request.
#[rstest]
#[case(PollOutcome::Failed)]
#[case(PollOutcome::Rejected)]
#[case(PollOutcome::TimedOut)]
fn polls_local_agent_for_changes_within_100_ms_after_any_failure(#[case] outcome: PollOutcome) {
    let (mut watch, request) = open_agent_watch(7);
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
            panic!("expected another poll after {outcome:?}")
        };
        assert!(
            delay <= LOCAL_RETRY_DELAY
                && request.response_timeout <= 100 * MILLISECOND
                && request.connect_timeout <= LOCAL_RESPONSE_GRACE
        );
        assert_eq!(
            request.long_poll.map(|long_poll| long_poll.version),
            Some(7)
        );
        now += delay + request.response_timeout;
    }
}

/// Guards against changes missed while a local agent does not respond: the watch must be open again long before they
/// count as notified.
#[test]
fn reopens_within_500_ms_when_local_agent_stops_responding() {
    let (mut watch, request) = open_agent_watch(7);
    let NextStep::Poll {
        request: next,
        delay: 0,
        ..
    } = watch.complete_poll(request.response_timeout, PollOutcome::TimedOut)
    else {
        panic!("expected another poll")
    };
    assert!(
        request.response_timeout + next.connect_timeout + next.response_timeout < 500 * MILLISECOND
    );
}
