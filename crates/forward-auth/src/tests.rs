//! Unit tests of `forward-auth` that access private items.

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
fn first_event_determines_action_and_only_allow_or_fail_open_forwards() {
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
fn nothing_is_forwarded_at_or_after_the_deadline() {
    for failure_policy in [FailurePolicy::Closed, FailurePolicy::Open] {
        for now in [100.0, 100.1, 1e9] {
            for event in EVENTS {
                let action = AuthCheck::new(failure_policy, 100.0).handle(now, event);
                let expected =
                    if event == CheckEvent::ClientGone { CheckAction::Ignore } else { CheckAction::TimedOut };
                assert_eq!(action, expected, "{event:?}");
            }
        }
    }
}

#[test]
fn any_event_sequence_yields_at_most_one_action() {
    // All sequences of four events, each before and at the deadline.
    let all = EVENTS.len() * 2;
    for failure_policy in [FailurePolicy::Closed, FailurePolicy::Open] {
        for number in 0..all.pow(4) {
            let mut check = AuthCheck::new(failure_policy, 100.0);
            let (mut rest, mut actions, mut client_gone, mut denied) = (number, 0, false, false);
            for _ in 0..4 {
                let (event, late) = (EVENTS[rest % all / 2], rest % 2 == 1);
                rest /= all;
                let action = check.handle(if late { 100.0 } else { 0.0 }, event);
                let forwards = matches!(action, CheckAction::Forward { .. });
                assert!(!(forwards && (client_gone || denied || late)), "{number}");
                actions += usize::from(action != CheckAction::Ignore);
                client_gone |= event == CheckEvent::ClientGone;
                denied |= event == CheckEvent::Answered(Verdict::Denied);
            }
            assert!(actions <= 1, "{number}");
        }
    }
}

#[test]
fn check_time_limit_reserves_application_latency_or_half() {
    assert_eq!(check_time_limit(300.0, 2000.0, 500.0), 300.0);
    assert_eq!(check_time_limit(1900.0, 2000.0, 500.0), 1500.0);
    assert_eq!(check_time_limit(1900.0, 600.0, 500.0), 300.0);
    assert_eq!(check_time_limit(300.0, 0.0, 500.0), 0.0);
}

#[test]
fn statuses_map_to_verdicts() {
    for status in 100..600 {
        let verdict = Verdict::from_status(status);
        assert_eq!(verdict == Verdict::Allowed, (200..300).contains(&status));
        assert_eq!(verdict == Verdict::Denied, [401, 403].contains(&status) || (300..400).contains(&status));
    }
}

#[test]
fn header_name_variants_fold_to_one_name() {
    for spelling in ["X-User", "x-user", "X_User", "x_USER", "X-uSeR"] {
        assert_eq!(fold_header_name(spelling), "x-user");
    }
}
