//! Tests of `evidence` that need its private state.

use super::*;

/// Signs a millisecond apart: server, customer, observation.
fn told(signs: &[(ServerId, u64, Observation)]) -> Assessment {
    let mut evidence = Evidence::default();
    for (number, (server, customer, observation)) in signs.iter().enumerate() {
        evidence.handle_observation(
            Timestamp::from_millis(number as f64),
            number as u64,
            *server,
            *customer,
            *observation,
        );
    }
    evidence.assess(Timestamp::from_millis(signs.len() as f64), 4, false, (10, 0))
}

#[test]
fn one_server_or_one_customer_is_no_domain() {
    use Observation::{NoResponse, Reset, Success};
    let lost: Vec<_> = (0..4).map(|n| (n % 2, u64::from(n), NoResponse)).collect();
    assert!(told(&lost).is_failed, "two servers, four customers, nothing but silence");
    assert!(told(&lost[..2]).is_suspect && !told(&lost[..3]).is_failed);
    let one_server: Vec<_> =
        (0..40).map(|n| if n % 4 == 1 { (1, n, Reset) } else { (n as u32 % 4, n, Success) }).collect();
    assert!(!told(&one_server).is_failed && !told(&one_server).is_suspect);
    let only_one_asked: Vec<_> = (0..40).map(|n| (1, n, Reset)).collect();
    assert!(told(&only_one_asked).score > ALARM_SCORE && !told(&only_one_asked).is_failed);
    let one_customer: Vec<_> = (0..40).map(|n| (n % 4, 7, Reset)).collect();
    assert!(told(&one_customer).score > ALARM_SCORE && !told(&one_customer).is_suspect);
}

#[test]
fn a_third_lost_is_found_and_a_hundredth_is_not() {
    let lossy = |one_in: u32| -> Vec<_> {
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
    assert!(told(&lossy(3)).is_failed);
    assert!(!told(&lossy(20)).is_suspect);
}

#[test]
fn what_answers_late_is_slow_and_what_is_old_is_forgotten() {
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
    let told =
        |evidence: &Evidence, now: Millis| evidence.assess(Timestamp::from_millis(now), 3, false, (10, 0));
    assert!(!told(&evidence, 6.0).is_slow);
    (0..6).for_each(|n| evidence.handle_late_response(n));
    let slow = told(&evidence, 6.0);
    assert!(slow.is_slow && slow.is_failed && slow.main_failure == Some(Observation::Slow));
    assert_eq!(told(&evidence, SIGN_LIFETIME + 6.0), Assessment::default());
}

#[test]
fn what_is_as_bad_elsewhere_is_no_fault_of_the_domain() {
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
    assert!(score((60, 0)) > 6.0, "a fifth is bad here and nothing elsewhere: {}", score((60, 0)));
    assert!(score((48, 12)) < 3.0, "a fifth is bad everywhere: {}", score((48, 12)));
}
