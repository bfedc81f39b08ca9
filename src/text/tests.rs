use super::*;

#[test]
fn ids_and_field_values_are_validated() {
    assert_eq!(parse_endpoint_id("s-00c41f7a"), Some(0xc41f7a));
    assert_eq!(parse_endpoint_id("s-0c41f7a"), None);
    assert_eq!(parse_hex16("+000000000000001"), None);
    assert!(
        is_field_value("4be0") && !is_field_value("a,b") && !is_field_value("a b") && !is_field_value("")
    );
}
