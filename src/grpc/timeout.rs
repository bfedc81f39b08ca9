//! The header `grpc-timeout` (gRPC over HTTP/2, "Request-Headers"): 1 to 8 digits and a unit.

/// Parses a timeout to milliseconds. Returns `None` if the text is invalid.
pub fn parse(text: &str) -> Option<f64> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !(1..=8).contains(&digits.len()) || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let value: u32 = digits.parse().ok()?;
    let ms = match unit {
        "H" => 3_600_000.0,
        "M" => 60_000.0,
        "S" => 1_000.0,
        "m" => 1.0,
        "u" => 1e-3,
        "n" => 1e-6,
        _ => return None,
    };
    Some(f64::from(value) * ms)
}

/// Formats a timeout in the finest unit that fits into 8 digits. Rounds down, so that a backend never gets
/// more time than remains. A negative timeout becomes `0n`.
pub fn format(ms: f64) -> String {
    let ms = ms.max(0.0);
    for (unit, unit_ms) in [('n', 1e-6), ('u', 1e-3), ('m', 1.0), ('S', 1_000.0), ('M', 60_000.0)] {
        // The quotient may be rounded up to the next integer; the factor compensates for that.
        let value = (ms / unit_ms * (1.0 - 1e-12)).floor();
        if value <= 99_999_999.0 {
            return format!("{}{unit}", value as u32);
        }
    }
    format!("{}H", ((ms / 3_600_000.0).floor()).min(99_999_999.0) as u32)
}

#[cfg(test)]
mod tests;
