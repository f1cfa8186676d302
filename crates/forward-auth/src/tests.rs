//! Tests of `forward-auth` that need its private state.

use super::*;

const EVENTS: [CheckEvent; 8] = [
    CheckEvent::Answered(Verdict::Allowed),
    CheckEvent::Answered(Verdict::Denied),
    CheckEvent::Answered(Verdict::Unusable),
    CheckEvent::Rejected,
    CheckEvent::RateLimited,
    CheckEvent::NoAnswer,
    CheckEvent::ClientGone,
    CheckEvent::DeadlineExpired,
];

#[test]
fn every_first_input_has_its_step_and_only_a_yes_or_an_open_failure_goes_on() {
    use CheckAction::*;
    let closed = [
        Forward { checked: true },
        Relay,
        Unavailable,
        Overloaded,
        RateLimited,
        Unavailable,
        Ignore,
        TimedOut,
    ];
    let open = [
        Forward { checked: true },
        Relay,
        Forward { checked: false },
        Overloaded,
        RateLimited,
        Forward { checked: false },
        Ignore,
        TimedOut,
    ];
    for (failure_policy, actions) in [(FailurePolicy::Closed, closed), (FailurePolicy::Open, open)] {
        for (event, action) in EVENTS.into_iter().zip(actions) {
            assert_eq!(AuthCheck::new(failure_policy, 100.0).handle(99.9, event), action, "{event:?}");
        }
    }
}

#[test]
fn at_and_after_the_deadline_nothing_goes_on() {
    for failure_policy in [FailurePolicy::Closed, FailurePolicy::Open] {
        for now in [100.0, 100.1, 1e9] {
            for event in EVENTS {
                let action = AuthCheck::new(failure_policy, 100.0).handle(now, event);
                let wanted =
                    if event == CheckEvent::ClientGone { CheckAction::Ignore } else { CheckAction::TimedOut };
                assert_eq!(action, wanted, "{event:?}");
            }
        }
    }
}

#[test]
fn whatever_comes_in_whatever_order_a_request_gets_one_step() {
    // All sequences of four inputs, each before and at the deadline.
    let all = EVENTS.len() * 2;
    for failure_policy in [FailurePolicy::Closed, FailurePolicy::Open] {
        for number in 0..all.pow(4) {
            let mut check = AuthCheck::new(failure_policy, 100.0);
            let (mut rest, mut actions, mut gone, mut no) = (number, 0, false, false);
            for _ in 0..4 {
                let (event, late) = (EVENTS[rest % all / 2], rest % 2 == 1);
                rest /= all;
                let action = check.handle(if late { 100.0 } else { 0.0 }, event);
                let goes_on = matches!(action, CheckAction::Forward { .. });
                assert!(!(goes_on && (gone || no || late)), "{number}");
                actions += usize::from(action != CheckAction::Ignore);
                gone |= event == CheckEvent::ClientGone;
                no |= event == CheckEvent::Answered(Verdict::Denied);
            }
            assert!(actions <= 1, "{number}");
        }
    }
}

#[test]
fn a_check_leaves_the_application_its_usual_time_or_half() {
    assert_eq!(check_time_limit(300.0, 2000.0, 500.0), 300.0);
    assert_eq!(check_time_limit(1900.0, 2000.0, 500.0), 1500.0);
    assert_eq!(check_time_limit(1900.0, 600.0, 500.0), 300.0);
    assert_eq!(check_time_limit(300.0, 0.0, 500.0), 0.0);
}

#[test]
fn statuses_mean_what_proxies_agree_on() {
    for status in 100..600 {
        let said = Verdict::from_status(status);
        assert_eq!(said == Verdict::Allowed, (200..300).contains(&status));
        assert_eq!(said == Verdict::Denied, [401, 403].contains(&status) || (300..400).contains(&status));
    }
}

#[test]
fn spellings_of_a_name_fold_into_one() {
    for spelling in ["X-User", "x-user", "X_User", "x_USER", "X-uSeR"] {
        assert_eq!(fold_header_name(spelling), "x-user");
    }
}
