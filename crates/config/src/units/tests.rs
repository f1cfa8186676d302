//! Unit tests of the quantity parsers, which are private to the crate.

use super::*;

#[test]
fn units_are_read_and_demanded() {
    assert_eq!(duration("15s"), Ok(15_000.0));
    assert_eq!(duration("0.25s"), Ok(250.0));
    assert_eq!(duration("15"), Err(QuantityError::NoUnit));
    assert_eq!(duration("15KiB"), Err(QuantityError::WrongUnit("KiB".into())));
    assert_eq!(duration("s"), Err(QuantityError::NotANumber));
    assert_eq!(duration("-1s"), Err(QuantityError::NotANumber));
    assert_eq!(duration("1.2.3s"), Err(QuantityError::NotANumber));
    assert_eq!(size("64KiB"), Ok(65_536.0));
    assert_eq!(rate("300/m"), Ok(5.0));
    assert_eq!(plain("0.2"), Ok(0.2));
    assert_eq!(plain("20%"), Err(QuantityError::WrongUnit("%".into())));
}
