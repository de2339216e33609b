//! A router's clock that is behind the platform's.

use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;
const NOW: Timestamp = 1_767_225_600 * SECOND;

fn address(name: &str) -> EndpointId {
    name.into()
}

/// Guards against a correction where both clocks agree, or where the router's is ahead.
#[test]
fn what_lies_in_the_past_changes_nothing() {
    let mut clock = PlatformClock::default();
    for lag in [0, SECOND, HOUR] {
        assert_eq!(
            clock.on_position(NOW, &address("a"), NOW - lag, true),
            Some(NOW - lag)
        );
        clock.on_start(NOW, NOW - lag);
    }
    assert_eq!((clock.platform(NOW), clock.own(NOW)), (NOW, NOW));
}

/// Guards bounded reads: with the clock an hour behind, two endpoints suffice to tell a lag again.
#[test]
fn two_endpoints_ahead_raise_the_estimate() {
    let mut clock = PlatformClock::default();
    let (primary, replica) = (NOW + HOUR, NOW + HOUR - 2 * SECOND);
    assert_eq!(
        clock.on_position(NOW, &address("replica"), replica, false),
        None
    );
    assert_eq!(
        clock.on_position(NOW, &address("replica"), replica, false),
        None
    );
    assert_eq!(
        clock.on_position(NOW, &address("primary"), primary, false),
        None
    );
    assert_eq!(clock.platform(NOW), replica);
    assert_eq!(
        clock.on_position(NOW, &address("other"), primary, false),
        Some(primary)
    );
    assert_eq!((clock.platform(NOW), clock.own(primary)), (primary, NOW));
    assert_eq!(
        clock.on_position(NOW, &address("replica"), replica, false),
        Some(replica)
    );
}

/// Guards all endpoints against nonsense that one of them tells.
#[test]
fn one_endpoint_alone_raises_nothing() {
    let mut clock = PlatformClock::default();
    for _ in 0..3 {
        assert_eq!(
            clock.on_position(NOW, &address("a"), NOW + 1000 * HOUR, false),
            None
        );
        assert_eq!(
            clock.on_position(NOW, &address("b"), NOW - SECOND, false),
            Some(NOW - SECOND)
        );
    }
    assert_eq!(clock.platform(NOW), NOW);
    // Where it is confirmed, the nearer of the two counts.
    clock.on_position(NOW, &address("b"), NOW + HOUR, false);
    assert_eq!(clock.platform(NOW), NOW + HOUR);
}

/// Guards a fleet of one endpoint, which nobody can confirm.
#[test]
fn the_only_endpoint_is_believed() {
    let mut clock = PlatformClock::default();
    assert_eq!(
        clock.on_position(NOW, &address("a"), NOW + HOUR, true),
        Some(NOW + HOUR)
    );
    assert_eq!(clock.platform(NOW), NOW + HOUR);
}

/// Guards slow start: the latest start that discovery tells lies in the past, and the others count from it.
#[test]
fn a_start_ahead_raises_the_estimate() {
    let mut clock = PlatformClock::default();
    for started in [NOW + HOUR - 30 * SECOND, NOW + HOUR, 0] {
        clock.on_start(NOW, started);
    }
    assert_eq!(clock.platform(NOW), NOW + HOUR);
}

/// Guards the estimate against malformed answers, of which many may come from several endpoints.
#[test]
fn what_proves_nothing_raises_nothing() {
    let clock = PlatformClock::default();
    assert_eq!(clock.plausible(NOW, NOW + HOUR), None);
    assert_eq!(clock.plausible(NOW, NOW - HOUR), Some(NOW - HOUR));
    assert_eq!(clock.platform(NOW), NOW);
}
