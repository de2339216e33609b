//! Tests with a router clock that is behind the platform's clock.

use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;
const NOW: Timestamp = 1_767_225_600 * SECOND;

fn endpoint(name: &str) -> EndpointId {
    name.into()
}

/// Guards against a correction when both clocks agree or the router's clock is ahead. A position or start time in the
/// past is then normal.
#[test]
fn positions_and_start_times_in_the_past_change_nothing() {
    let mut clock = PlatformClock::default();
    for lag in [0, SECOND, HOUR] {
        assert_eq!(
            clock.on_position(NOW, &endpoint("a"), NOW - lag, true),
            Some(NOW - lag)
        );
        clock.on_start_time(NOW, NOW - lag);
    }
    assert_eq!(
        (clock.to_platform_time(NOW), clock.to_router_time(NOW)),
        (NOW, NOW)
    );
}

/// Guards against reads with bounded staleness for which no endpoint's lag is known, because the router's clock is an
/// hour behind and every position is ahead of the estimate. Two endpoints ahead of the estimate correct it.
#[test]
fn raises_the_estimate_when_two_endpoints_are_ahead() {
    let mut clock = PlatformClock::default();
    let (primary, replica) = (NOW + HOUR, NOW + HOUR - 2 * SECOND);
    assert_eq!(
        clock.on_position(NOW, &endpoint("replica"), replica, false),
        None
    );
    assert_eq!(
        clock.on_position(NOW, &endpoint("replica"), replica, false),
        None
    );
    assert_eq!(
        clock.on_position(NOW, &endpoint("primary"), primary, false),
        None
    );
    assert_eq!(clock.to_platform_time(NOW), replica);
    assert_eq!(
        clock.on_position(NOW, &endpoint("other"), primary, false),
        Some(primary)
    );
    assert_eq!(
        (clock.to_platform_time(NOW), clock.to_router_time(primary)),
        (primary, NOW)
    );
    assert_eq!(
        clock.on_position(NOW, &endpoint("replica"), replica, false),
        Some(replica)
    );
}

/// Guards against endpoints that all look stale because one of them reports a position far in the future.
#[test]
fn ignores_one_endpoint_that_is_ahead_alone() {
    let mut clock = PlatformClock::default();
    for _ in 0..3 {
        assert_eq!(
            clock.on_position(NOW, &endpoint("a"), NOW + 1000 * HOUR, false),
            None
        );
        assert_eq!(
            clock.on_position(NOW, &endpoint("b"), NOW - SECOND, false),
            Some(NOW - SECOND)
        );
    }
    assert_eq!(clock.to_platform_time(NOW), NOW);
    // After a confirmation the smaller of the two offsets counts.
    clock.on_position(NOW, &endpoint("b"), NOW + HOUR, false);
    assert_eq!(clock.to_platform_time(NOW), NOW + HOUR);
}

/// Guards against an estimate that is never corrected if there is only one endpoint, which no other can confirm.
#[test]
fn accepts_the_position_of_the_only_endpoint() {
    let mut clock = PlatformClock::default();
    assert_eq!(
        clock.on_position(NOW, &endpoint("a"), NOW + HOUR, true),
        Some(NOW + HOUR)
    );
    assert_eq!(clock.to_platform_time(NOW), NOW + HOUR);
}

/// Guards against a wrong slow start because the router's clock is behind. The latest start time that the discovery
/// service reports is in the past, so the estimate must be at least that time.
#[test]
fn raises_the_estimate_when_a_start_time_is_ahead() {
    let mut clock = PlatformClock::default();
    for started in [NOW + HOUR - 30 * SECOND, NOW + HOUR, 0] {
        clock.on_start_time(NOW, started);
    }
    assert_eq!(clock.to_platform_time(NOW), NOW + HOUR);
}

/// Guards against an estimate that is raised by malformed responses, which several endpoints may send.
#[test]
fn plausibility_check_does_not_raise_the_estimate() {
    let clock = PlatformClock::default();
    assert_eq!(clock.plausible_position(NOW, NOW + HOUR), None);
    assert_eq!(clock.plausible_position(NOW, NOW - HOUR), Some(NOW - HOUR));
    assert_eq!(clock.to_platform_time(NOW), NOW);
}
