use super::super::lexer::MAX_EXPRESSION_BYTES;
use super::*;

#[test]
fn operators_parse_by_precedence() {
    fn show(expression: &Expression) -> String {
        match &expression.kind {
            ExpressionKind::Not(a) => format!("(! {})", show(a)),
            ExpressionKind::Neg(a) => format!("(- {})", show(a)),
            ExpressionKind::Binary(op, a, b) => format!("({op:?} {} {})", show(a), show(b)),
            ExpressionKind::If(a, b, c) => format!("(if {} {} {})", show(a), show(b), show(c)),
            ExpressionKind::Let(name, a, b) => format!("(let {name} {} {})", show(a), show(b)),
            other => format!("{other:?}"),
        }
    }
    let shape = |text: &str| show(&parse(text).unwrap());
    assert_eq!(shape("a || b && c == d"), shape("a || (b && (c == d))"));
    assert_eq!(shape("!a && -1 + 2 < 3"), shape("(!a) && (((-1) + 2) < 3)"));
    assert_eq!(shape("if a then b else c || d"), shape("if a then b else (c || d)"));
    assert_eq!(shape("let x = 1 in x + x"), shape("let x = (1) in (x + x)"));
    assert!(
        matches!(parse(r#"f("a\"\\é", g())"#).unwrap().kind, ExpressionKind::Call(_, args) if args.len() == 2)
    );
}

#[test]
fn syntax_errors_report_an_offset_near_the_error_and_limits_are_enforced() {
    for (text, offset) in [
        ("", 0),
        ("a b", 2),
        ("a ==", 4),
        ("a == b == c", 10),
        ("f(a", 3),
        ("f(a,)", 4),
        ("\"a", 0),
        (r#""a\n""#, 0),
        ("a & b", 2),
        ("a # b", 2),
        ("12x", 0),
        ("99999999999999999999", 0),
        ("if a then b", 11),
        ("let 1 = 2 in 3", 5),
        ("then", 0),
    ] {
        let error = parse(text).expect_err(text);
        assert!(error.offset.abs_diff(offset) <= 2, "{text:?}: {error}");
    }
    for deep in [
        "(".repeat(5_000),
        "!".repeat(4_000),
        "if a then ".repeat(300),
        "1".to_string() + &"+1".repeat(1_000),
    ] {
        assert!(parse(&deep).is_err(), "{}", &deep[..20]);
    }
    assert!(parse(&"a".repeat(MAX_EXPRESSION_BYTES + 1)).is_err());
}
