use super::*;

#[test]
fn wildcards_match_within_one_segment_and_a_final_double_star_matches_the_rest() {
    let glob = Glob::new("/video-part/7f3a*/*").unwrap();
    assert!(glob.matches("/video-part/7f3a9c21e0b4d655/3"));
    assert!(!glob.matches("/video-part/8f3a9c21e0b4d655/3"));
    assert!(!glob.matches("/video-part/7f3a9c21e0b4d655/3/4"));
    assert_eq!(glob.literal_prefix(), "/video-part/7f3a");
    let double_star = Glob::new("/small-object/**").unwrap();
    assert!(double_star.matches("/small-object/00000000000000aa/0"));
    assert!(!double_star.matches("/video-part/00000000000000aa/0"));
    let star_then_question_mark = Glob::new("/*/*a?/1").unwrap();
    assert!(
        star_then_question_mark.matches("/x/0000ab/1")
            && !star_then_question_mark.matches("/x/0000a/1")
            && !star_then_question_mark.matches("/x/00ab/2")
    );
    assert!(Glob::new("/a/b/c").unwrap().is_exact());
    assert!(wildcard_match(b"*a*b*c", b"xxaxxbxxc") && !wildcard_match(b"*a*b*c", b"xxaxxcxxb"));
}

#[test]
fn unbounded_or_unsupported_patterns_are_rejected() {
    let rejected = ["", "video/*", "/a/**/b", "/a**", "/[ab]", "/{a,b}", "/a b", "/a//b", "/a\\*"];
    for text in rejected {
        assert!(Glob::new(text).is_err(), "{text:?} was accepted");
    }
    assert!(Glob::new(&format!("/{}", "a".repeat(MAX_PATTERN_BYTES))).is_err());
    assert!(Glob::new("/*/*/*/*/*/*/*/*/*").is_err());
    assert!(Glob::new("/*/*/*/*/*/*/*/*").is_ok());
}
