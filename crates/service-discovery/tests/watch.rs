//! The clocks by which a change of the list counts as told, on made-up time.

use reelrill_routing::Timestamp;
use reelrill_service_discovery::watch::{
    Ask, Call, Ended, LATE, LOCAL_LATE, LOCAL_RETRY, LOCAL_WAIT, ListService, TOLD,
    TOLD_AFTER_WAIT, Then, Watch,
};
use rstest::rstest;

const MS: Timestamp = 1_000_000;

fn open(version: u64) -> (Watch, Call) {
    let mut watch = Watch::new(ListService::Shared, Some(version));
    watch.ask(0, Ask::Changes);
    let Then::Call { call, .. } = watch.ended(
        0,
        Ended::Answered {
            version,
            news: true,
        },
    ) else {
        panic!()
    };
    (watch, call)
}

/// Guards the clock of a silent watch: whenever in its wait it falls silent, it is open again before what it misses
/// counts as told, also if the new call takes half a second.
#[test]
fn a_watch_that_falls_silent_is_open_again_before_its_news_count_as_told() {
    let (_, call) = open(7);
    let (_, wait) = call.since.expect("a watch");
    for silent_at in (0..wait).step_by(50_000_000) {
        let (mut watch, call) = open(7);
        let told = (silent_at + TOLD).max(wait + TOLD_AFTER_WAIT);
        let Then::Call {
            call: next,
            after,
            quietly: true,
        } = watch.ended(call.patience, Ended::Silent)
        else {
            panic!("it is not opened anew")
        };
        assert_eq!(next.since.map(|s| s.0), Some(7));
        assert!(call.patience + after + LATE < told, "silent at {silent_at}");
    }
}

/// Guards a service that stays silent: the second silence in a row is told, and called anew all the same; a call that
/// falls silent is made again before its news count as told.
#[test]
fn a_second_silence_in_a_row_is_told_and_called_anew() {
    let (mut watch, call) = open(7);
    let mut now = call.patience;
    assert!(matches!(
        watch.ended(now, Ended::Silent),
        Then::Call { quietly: true, .. }
    ));
    for _ in 0..3 {
        let Then::Call {
            call,
            after: 0,
            quietly: false,
        } = watch.ended(now, Ended::Silent)
        else {
            panic!()
        };
        assert!(call.patience + LATE < TOLD);
        assert!(!watch.is_open());
        now += call.patience;
    }
}

/// Guards a busy service: a call that may still wait for its turn there is not given up.
#[rstest]
#[case(Some(7), Ask::Changes)]
#[case(Some(7), Ask::Whole)]
#[case(None, Ask::Changes)]
fn a_first_call_may_wait_for_its_turn(#[case] version: Option<u64>, #[case] ask: Ask) {
    let call = Watch::new(ListService::Shared, version).ask(0, ask);
    let waits = call.since.map_or(0, |s| s.1);
    assert!(
        call.patience > waits + 2000 * MS && call.patience < TOLD - 2000 * MS,
        "{call:?}"
    );
    assert_eq!(
        call.since.is_some(),
        version.is_some() && ask == Ask::Changes
    );
}

/// Guards a busy service against calls that only wait: for a while after it has turned one away there are as few as
/// keep the clock of silence, and the first call is the watch already.
#[test]
fn a_service_that_turned_a_call_away_gets_fewer() {
    let (mut watch, usual) = open(7);
    assert_eq!(watch.ended(MS, Ended::TurnedAway), Then::Rest);
    let call = watch.ask(2 * MS, Ask::Changes);
    let (_, wait) = call.since.expect("a watch");
    assert!(wait > 2 * usual.since.expect("a watch").1);
    for silent_at in (0..wait).step_by(50_000_000) {
        assert!(
            call.patience + LATE < (silent_at + TOLD).max(wait + TOLD_AFTER_WAIT),
            "silent at {silent_at}"
        );
    }
    let Then::Call { call, .. } = watch.ended(
        30_000 * MS,
        Ended::Answered {
            version: 7,
            news: false,
        },
    ) else {
        panic!("an answer ended the watch")
    };
    assert_eq!(call, usual);
}

/// Guards both sides against a service that answers at once without news, and the watch against a pause that makes
/// it a new one.
#[test]
fn an_early_answer_without_news_is_followed_after_a_pause() {
    let (_, call) = open(7);
    let after = |now, news| match open(7).0.ended(now, Ended::Answered { version: 7, news }) {
        Then::Call { after, .. } => after,
        Then::Rest => panic!("an answer ended the watch"),
    };
    assert_eq!(after(10 * MS, false), 100 * MS);
    assert_eq!(after(10 * MS, true), 0);
    assert_eq!(after(call.since.unwrap().1, false), 0);
}

/// Guards against versions of another service: after a move the whole list is asked for.
#[test]
fn after_a_move_the_whole_list_is_asked_for() {
    let (mut watch, _) = open(7);
    watch.moved();
    assert_eq!(watch.ask(0, Ask::Changes).since, None);
}

/// Guards the owner's own rule for failures: what breaks is told at once.
#[test]
fn a_broken_call_is_told_and_ends_the_watch() {
    let (mut watch, _) = open(7);
    assert_eq!(watch.ended(MS, Ended::Failed), Then::Rest);
    assert!(!watch.is_open());
}

fn open_at_agent(version: u64) -> (Watch, Call) {
    let mut watch = Watch::new(ListService::LocalAgent, Some(version));
    watch.first_call(0).expect("a call at the start");
    let Then::Call { call, .. } = watch.ended(
        0,
        Ended::Answered {
            version,
            news: true,
        },
    ) else {
        panic!()
    };
    (watch, call)
}

/// A local agent is called at the start without being asked for; a service of all routers is not.
#[test]
fn only_a_local_agent_is_called_at_the_start() {
    for version in [None, Some(7)] {
        let call = Watch::new(ListService::LocalAgent, version)
            .first_call(0)
            .expect("a call");
        assert_eq!(call.since.map(|s| s.0), version);
        assert_eq!(Watch::new(ListService::Shared, version).first_call(0), None);
    }
}

/// A call that fails at a local agent, in whatever way, is followed by another within 0.1 s, without being asked for,
/// and never for the whole list again.
#[rstest]
#[case(Ended::Failed)]
#[case(Ended::TurnedAway)]
#[case(Ended::Silent)]
fn a_local_agent_is_called_again_at_once_for_what_is_newer(#[case] how: Ended) {
    let (mut watch, call) = open_at_agent(7);
    assert_eq!(call.since, Some((7, LOCAL_WAIT)));
    let mut now = call.patience;
    for _ in 0..100 {
        let Then::Call { call, after, .. } = watch.ended(now, how) else {
            panic!("it rests")
        };
        assert!(after <= LOCAL_RETRY && call.patience <= 100 * MS && call.connect <= LOCAL_LATE);
        assert_eq!(call.since.map(|s| s.0), Some(7));
        now += after + call.patience;
    }
}

/// A watch of a local agent that falls silent is open again long before what it misses counts as told.
#[test]
fn a_silent_watch_of_a_local_agent_is_opened_anew_within_half_a_second() {
    let (mut watch, call) = open_at_agent(7);
    let Then::Call {
        call: next,
        after: 0,
        ..
    } = watch.ended(call.patience, Ended::Silent)
    else {
        panic!()
    };
    assert!(call.patience + next.connect + next.patience < 500 * MS);
}
