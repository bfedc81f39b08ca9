//! The text forms of identifiers that the platform's protocols share. It imports nothing of the crate.

/// The text of an endpoint's id.
pub fn format_endpoint_id(id: u32) -> String {
    format!("s-{id:08x}")
}

/// An endpoint's id from its text.
pub fn parse_endpoint_id(text: &str) -> Option<u32> {
    let digits = text.strip_prefix("s-")?;
    (digits.len() == 8 && digits.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u32::from_str_radix(digits, 16).ok())?
}

/// A number of exactly 16 hex digits.
pub fn parse_hex16(text: &str) -> Option<u64> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(text, 16).ok())?
}

/// Whether a text can stand as a field's value.
pub fn is_field_value(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=')
}

#[cfg(test)]
mod tests;
