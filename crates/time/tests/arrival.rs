//! Lower bound of arrival times.

use ivygate_time::ArrivalClock;

const TURN_MS: f64 = 50.0;
const MAX_TURNS: usize = 64;

fn clock_with_turns(count: u32) -> ArrivalClock<f64> {
    let mut clock = ArrivalClock::new(0.0, MAX_TURNS);
    (1..count).for_each(|turn| clock.record_turn(TURN_MS * f64::from(turn)));
    clock
}

#[test]
fn input_arrived_after_the_turn_before_the_last_one() {
    let clock = clock_with_turns(5);
    assert_eq!(clock.earliest_arrival(220.0), Some(150.0));
    assert_eq!(clock.earliest_arrival(130.0), Some(50.0));
    assert_eq!(clock.earliest_arrival(10.0), Some(0.0), "nothing arrived before the process started");
}

/// Guards against counting input that waited while the process stood still as new, whichever of the two runs first.
#[test]
fn time_standing_still_counts_towards_the_age_of_input() {
    let mut clock = clock_with_turns(5);
    assert_eq!(clock.earliest_arrival(2_000.0), Some(150.0), "read before the first turn after the pause");
    clock.record_turn(2_000.0);
    assert_eq!(clock.earliest_arrival(2_001.0), Some(200.0), "read after the first turn after the pause");
    clock.record_turn(2_050.0);
    assert_eq!(clock.earliest_arrival(2_051.0), Some(2_000.0));
}

#[test]
fn long_history_is_bounded() {
    let clock = clock_with_turns(10_000);
    assert_eq!(clock.earliest_arrival(499_960.0), Some(499_900.0));
    assert!(clock.earliest_arrival(0.0).is_some_and(|oldest| oldest > 400_000.0));
}
