//! Parses quantities with units.

/// Reason for which a quantity cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuantityError {
    /// The text does not begin with a number.
    NotANumber,
    /// The unit is missing.
    NoUnit,
    /// The unit does not belong to this kind of quantity.
    WrongUnit(String),
}

fn split(text: &str) -> Result<(f64, &str), QuantityError> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let number = text[..end].parse().map_err(|_| QuantityError::NotANumber)?;
    Ok((number, &text[end..]))
}

fn scaled(text: &str, units: &[(&str, f64)]) -> Result<f64, QuantityError> {
    let (number, unit) = split(text)?;
    if unit.is_empty() {
        return Err(QuantityError::NoUnit);
    }
    let known = units.iter().find(|(name, _)| *name == unit);
    known.map(|(_, factor)| number * factor).ok_or_else(|| QuantityError::WrongUnit(unit.to_owned()))
}

/// Parses a duration such as `15s`, `250ms`, `2m`, `1h`, `30d` or `500us` into milliseconds.
pub fn duration(text: &str) -> Result<f64, QuantityError> {
    scaled(text, &[("us", 0.001), ("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6), ("d", 8.64e7)])
}

/// Parses a size such as `64KiB`, `1MiB` or `512B` into bytes.
pub fn size(text: &str) -> Result<f64, QuantityError> {
    scaled(
        text,
        &[
            ("B", 1.0),
            ("KiB", 1024.0),
            ("MiB", 1_048_576.0),
            ("GiB", 1_073_741_824.0),
            ("kB", 1e3),
            ("MB", 1e6),
        ],
    )
}

/// Parses a rate such as `20/s`, `300/m` or `5/h` into events per second.
pub fn rate(text: &str) -> Result<f64, QuantityError> {
    scaled(text, &[("/s", 1.0), ("/m", 1.0 / 60.0), ("/h", 1.0 / 3600.0)])
}

/// Parses a number without a unit.
pub fn plain(text: &str) -> Result<f64, QuantityError> {
    match split(text)? {
        (number, "") => Ok(number),
        (_, unit) => Err(QuantityError::WrongUnit(unit.to_owned())),
    }
}

#[cfg(test)]
mod tests;
