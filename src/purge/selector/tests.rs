use super::*;

#[test]
fn globs_match_within_steps_and_the_rest_only_at_the_end() {
    let glob = Glob::new("/video-part/7f3a*/*").unwrap();
    assert!(glob.matches("/video-part/7f3a9c21e0b4d655/3"));
    assert!(!glob.matches("/video-part/8f3a9c21e0b4d655/3"));
    assert!(!glob.matches("/video-part/7f3a9c21e0b4d655/3/4"));
    assert_eq!(glob.stem(), "/video-part/7f3a");
    let rest = Glob::new("/small-object/**").unwrap();
    assert!(rest.matches("/small-object/00000000000000aa/0"));
    assert!(!rest.matches("/video-part/00000000000000aa/0"));
    let ends = Glob::new("/*/*a?/1").unwrap();
    assert!(ends.matches("/x/0000ab/1") && !ends.matches("/x/0000a/1") && !ends.matches("/x/00ab/2"));
    assert!(Glob::new("/a/b/c").unwrap().is_exact());
    assert!(wild_match(b"*a*b*c", b"xxaxxbxxc") && !wild_match(b"*a*b*c", b"xxaxxcxxb"));
}

#[test]
fn unbounded_or_unknown_patterns_are_refused_at_once() {
    let refused = ["", "video/*", "/a/**/b", "/a**", "/[ab]", "/{a,b}", "/a b", "/a//b", "/a\\*"];
    for text in refused {
        assert!(Glob::new(text).is_err(), "{text:?} was taken");
    }
    assert!(Glob::new(&format!("/{}", "a".repeat(MAX_PATTERN))).is_err());
    assert!(Glob::new("/*/*/*/*/*/*/*/*/*").is_err());
    assert!(Glob::new("/*/*/*/*/*/*/*/*").is_ok());
}

#[test]
fn selectors_read_and_write_one_spelling() {
    for text in ["object:7f3a9c21e0b4d655", "group:17", "tag:seller-77", "pattern:/a/*", "everything"] {
        let selector: Selector = text.parse().unwrap();
        assert_eq!(selector.to_string(), text);
    }
    let faults = [
        ("", SelectorError::Empty),
        ("tag:", SelectorError::Empty),
        ("colour:red", SelectorError::Kind("colour".into())),
        ("object:7F3A", SelectorError::Object("7F3A".into())),
        ("group:-1", SelectorError::Group("-1".into())),
        ("group:99999", SelectorError::Group("99999".into())),
        ("tag:a+b", SelectorError::Tag("a+b".into())),
    ];
    for (text, fault) in faults {
        assert_eq!(text.parse::<Selector>(), Err(fault), "{text}");
    }
}
