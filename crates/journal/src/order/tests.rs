//! Unit tests of `order`.

use super::*;

fn first_attempt() -> Update {
    attempt(0)
}

fn attempt(number: u32) -> Update {
    let server = SocketAddr::from(([127, 0, 0, 1], 9301));
    Update::AttemptStarted(Attempt { number, server, sent_at: 1.0, outcome: AttemptOutcome::Unknown })
}

fn state_after(updates: Vec<Update>) -> State {
    let mut order = Order::default();
    updates.into_iter().for_each(|update| order.apply(update));
    order.state()
}

#[test]
fn order_is_not_never_sent_while_an_attempt_may_have_run() {
    assert_eq!(state_after(vec![]), State::NeverSent);
    assert_eq!(state_after(vec![first_attempt()]), State::Unknown);
    assert_eq!(
        state_after(vec![first_attempt(), Update::AttemptEnded(0, AttemptOutcome::NotRun)]),
        State::NeverSent
    );
    assert_eq!(
        state_after(vec![first_attempt(), Update::AttemptEnded(0, AttemptOutcome::NotRun), attempt(1)]),
        State::Unknown
    );
    assert_eq!(
        state_after(vec![first_attempt(), Update::AttemptEnded(0, AttemptOutcome::Answer(500))]),
        State::Answered(500)
    );
}

#[test]
fn known_outcomes_are_kept_and_unknown_attempt_numbers_are_ignored() {
    let answered = vec![
        first_attempt(),
        Update::AttemptEnded(0, AttemptOutcome::Answer(200)),
        Update::AttemptEnded(0, AttemptOutcome::Unknown),
    ];
    assert_eq!(state_after(answered), State::Answered(200));
    let proved = vec![
        first_attempt(),
        Update::AttemptEnded(0, AttemptOutcome::NotRun),
        Update::AttemptEnded(0, AttemptOutcome::Answer(200)),
    ];
    assert_eq!(state_after(proved), State::NeverSent);
    assert_eq!(state_after(vec![Update::AttemptEnded(7, AttemptOutcome::Answer(200))]), State::NeverSent);
    assert_eq!(state_after(vec![first_attempt(), Update::Accepted(Order::default())]), State::Unknown);
}
