use super::*;

#[test]
fn selectors_round_trip_and_invalid_ones_are_rejected() {
    for text in ["object:7f3a9c21e0b4d655", "group:17", "tag:seller-77", "pattern:/a/*", "everything"] {
        let selector: Selector = text.parse().unwrap();
        assert_eq!(selector.to_string(), text);
    }
    let errors = [
        ("", SelectorError::Empty),
        ("tag:", SelectorError::Empty),
        ("colour:red", SelectorError::UnknownKind("colour".into())),
        ("object:7F3A", SelectorError::Object("7F3A".into())),
        ("group:-1", SelectorError::Group("-1".into())),
        ("group:99999", SelectorError::Group("99999".into())),
        ("tag:a+b", SelectorError::SurrogateKey(SurrogateKeyError { text: "a+b".into() })),
    ];
    for (text, error) in errors {
        assert_eq!(text.parse::<Selector>(), Err(error), "{text}");
    }
}
