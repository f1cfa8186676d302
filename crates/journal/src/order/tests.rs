//! Tests of `order` that need its private state.

use super::*;

fn attempt() -> Update {
    numbered(0)
}

fn numbered(number: u32) -> Update {
    let server = SocketAddr::from(([127, 0, 0, 1], 9301));
    Update::AttemptStarted(Attempt { number, server, sent_at: 1.0, outcome: AttemptOutcome::Unknown })
}

fn after(updates: Vec<Update>) -> State {
    let mut order = Order::default();
    updates.into_iter().for_each(|update| order.apply(update));
    order.state()
}

#[test]
fn an_order_is_never_called_unsent_while_one_attempt_may_have_run() {
    assert_eq!(after(vec![]), State::NeverSent);
    assert_eq!(after(vec![attempt()]), State::Unknown);
    assert_eq!(after(vec![attempt(), Update::AttemptEnded(0, AttemptOutcome::NotRun)]), State::NeverSent);
    assert_eq!(
        after(vec![attempt(), Update::AttemptEnded(0, AttemptOutcome::NotRun), numbered(1)]),
        State::Unknown
    );
    assert_eq!(
        after(vec![attempt(), Update::AttemptEnded(0, AttemptOutcome::Answer(500))]),
        State::Answered(500)
    );
}

#[test]
fn what_is_known_is_never_made_less_and_what_names_no_attempt_changes_nothing() {
    let answered = vec![
        attempt(),
        Update::AttemptEnded(0, AttemptOutcome::Answer(200)),
        Update::AttemptEnded(0, AttemptOutcome::Unknown),
    ];
    assert_eq!(after(answered), State::Answered(200));
    let proved = vec![
        attempt(),
        Update::AttemptEnded(0, AttemptOutcome::NotRun),
        Update::AttemptEnded(0, AttemptOutcome::Answer(200)),
    ];
    assert_eq!(after(proved), State::NeverSent);
    assert_eq!(after(vec![Update::AttemptEnded(7, AttemptOutcome::Answer(200))]), State::NeverSent);
    assert_eq!(after(vec![attempt(), Update::Accepted(Order::default())]), State::Unknown);
}
