//! Text representations of ids, shared by protocols, operators' files and log lines.

use crate::EndpointId;

/// Formats an endpoint id as `s-` and eight hex digits.
pub fn format_endpoint_id(id: EndpointId) -> String {
    format!("s-{id:08x}")
}

/// Parses an endpoint id of the form that [`format_endpoint_id`] produces.
pub fn parse_endpoint_id(text: &str) -> Option<EndpointId> {
    let digits = text.strip_prefix("s-")?;
    (digits.len() == 8 && digits.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| EndpointId::from_str_radix(digits, 16).ok())?
}

/// Parses a number of exactly 16 hex digits.
pub fn parse_hex16(text: &str) -> Option<u64> {
    (text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit()))
        .then(|| u64::from_str_radix(text, 16).ok())?
}

/// Whether a string is a valid field value of the cache protocol: visible ASCII without `,` and `=`.
pub fn is_field_value(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=')
}

#[cfg(test)]
mod tests;
