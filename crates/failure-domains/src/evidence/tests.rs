//! Tests of `evidence` that need access to its private items.

use super::*;

/// Assesses observations one millisecond apart, each given as server, customer and observation.
fn assess(observations: &[(ServerId, u64, Observation)]) -> Assessment {
    let mut evidence = Evidence::default();
    for (number, (server, customer, observation)) in observations.iter().enumerate() {
        evidence.handle_observation(
            Timestamp::from_millis(number as f64),
            number as u64,
            *server,
            *customer,
            *observation,
        );
    }
    evidence.assess(Timestamp::from_millis(observations.len() as f64), 4, false, (10, 0))
}

#[test]
fn one_server_or_one_customer_does_not_fail_a_domain() {
    use Observation::{NoResponse, Reset, Success};
    let no_responses: Vec<_> = (0..4).map(|n| (n % 2, u64::from(n), NoResponse)).collect();
    assert!(assess(&no_responses).is_failed, "two servers, four customers, no responses");
    assert!(assess(&no_responses[..2]).is_suspect && !assess(&no_responses[..3]).is_failed);
    let one_server: Vec<_> =
        (0..40).map(|n| if n % 4 == 1 { (1, n, Reset) } else { (n as u32 % 4, n, Success) }).collect();
    assert!(!assess(&one_server).is_failed && !assess(&one_server).is_suspect);
    let single_server: Vec<_> = (0..40).map(|n| (1, n, Reset)).collect();
    assert!(assess(&single_server).score > FAILURE_SCORE && !assess(&single_server).is_failed);
    let one_customer: Vec<_> = (0..40).map(|n| (n % 4, 7, Reset)).collect();
    assert!(assess(&one_customer).score > FAILURE_SCORE && !assess(&one_customer).is_suspect);
}

#[test]
fn a_third_of_resets_is_a_failure_and_a_twentieth_is_not() {
    let with_resets = |one_in: u32| -> Vec<_> {
        (0..64)
            .map(|n| {
                (
                    n / 3 % 4,
                    u64::from(n),
                    if n % one_in == 0 { Observation::Reset } else { Observation::Success },
                )
            })
            .collect()
    };
    assert!(assess(&with_resets(3)).is_failed);
    assert!(!assess(&with_resets(20)).is_suspect);
}

#[test]
fn late_responses_mean_slow_and_old_observations_are_ignored() {
    let mut evidence = Evidence::default();
    for n in 0..6 {
        evidence.handle_observation(
            Timestamp::from_millis(f64::from(n)),
            u64::from(n),
            n % 3,
            u64::from(n),
            Observation::NoResponse,
        );
    }
    let assess =
        |evidence: &Evidence, now: Millis| evidence.assess(Timestamp::from_millis(now), 3, false, (10, 0));
    assert!(!assess(&evidence, 6.0).is_slow);
    (0..6).for_each(|n| evidence.handle_late_response(n));
    let slow = assess(&evidence, 6.0);
    assert!(slow.is_slow && slow.is_failed && slow.main_failure == Some(Observation::Slow));
    assert_eq!(assess(&evidence, OBSERVATION_LIFETIME + 6.0), Assessment::default());
}

#[test]
fn failures_as_frequent_elsewhere_are_no_failure_of_the_domain() {
    let mut evidence = Evidence::default();
    for n in 0..60_u32 {
        let observation = if n % 5 == 0 { Observation::Error } else { Observation::Success };
        evidence.handle_observation(
            Timestamp::from_millis(f64::from(n)),
            u64::from(n),
            n % 7,
            u64::from(n),
            observation,
        );
    }
    let score = |others| evidence.assess(Timestamp::from_millis(60.0), 7, false, others).score;
    assert!(score((60, 0)) > 6.0, "a fifth fails here and none elsewhere: {}", score((60, 0)));
    assert!(score((48, 12)) < 3.0, "a fifth fails everywhere: {}", score((48, 12)));
}
