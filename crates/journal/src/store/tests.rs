//! Unit tests of `store` that access private items.

use super::*;

#[test]
fn corrupted_record_decodes_as_an_order_that_may_have_run() {
    let order = Order { client_id: Some("c".into()), customer: "m".into(), ..Order::default() };
    let value = encode("o", &order);
    assert_eq!(
        (decode("o", &value), decode_or_unknown("o", &value).state()),
        (Some(order), State::NeverSent)
    );
    for bit in 0..8 * value.len() {
        let mut flipped = value.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(decode_or_unknown("o", &flipped).state(), State::Unknown, "bit {bit}");
    }
    for length in 0..value.len() {
        assert_eq!(decode_or_unknown("o", &value[..length]).state(), State::Unknown, "{length} bytes");
    }
    let twice = [&value[..], &value[..]].concat();
    assert_eq!(decode_or_unknown("o", &twice).state(), State::Unknown);
    assert_eq!(decode_or_unknown("other", &value).state(), State::Unknown, "the record of another order");
}
