//! Tests of `store` that need its private state.

use super::*;

#[test]
fn a_record_that_is_not_as_it_was_written_is_an_order_that_may_have_run() {
    let order = Order { client_id: Some("c".into()), customer: "m".into(), ..Order::default() };
    let value = written("o", &order);
    assert_eq!((whole("o", &value), read("o", &value).state()), (Some(order), State::NeverSent));
    for bit in 0..8 * value.len() {
        let mut flipped = value.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(read("o", &flipped).state(), State::Unknown, "bit {bit}");
    }
    for length in 0..value.len() {
        assert_eq!(read("o", &value[..length]).state(), State::Unknown, "{length} bytes");
    }
    let twice = [&value[..], &value[..]].concat();
    assert_eq!(read("o", &twice).state(), State::Unknown);
    assert_eq!(read("other", &value).state(), State::Unknown, "the record of another order");
}
