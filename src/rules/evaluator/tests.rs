use super::super::definitions::Definitions;
use super::super::program::Type;
use super::super::type_check::MAX_STR_BYTES;
use super::*;
use proptest::prelude::*;

fn request(target: &str, headers: &[(&str, &str)]) -> HttpRequest {
    let headers = headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
    HttpRequest { method: "GET".into(), target: target.into(), headers, ..HttpRequest::default() }
}

fn evaluate_text(text: &str, expected: Type) -> Result<String, EvaluationError> {
    let definitions = Definitions::parse(&[
        "slice(s: str) = int(strip(s, \"slice-\"))".to_string(),
        "twice(n: int, m: int) = let n = n + n in n + m".to_string(),
    ])
    .unwrap();
    let program = definitions.compile(text, expected, u64::MAX).unwrap();
    let request =
        request("/ops/clip/7f3a9c21e0b4d655/slice-3?a=1", &[("x-set", "17"), ("x-two", "1"), ("x-two", "2")]);
    let mut steps = 0;
    let value = evaluate(&program, &request, &mut steps);
    assert!(steps <= program.max_cost, "{text}: {steps} steps of {}", program.max_cost);
    value.map(|v| format!("{v:?}"))
}

#[test]
fn expressions_evaluate_to_the_expected_values_or_fail() {
    for (text, expected_value) in [
        (r#"seg(path, 2) == "clip" && segs(path) == 4 && query == "a=1" && method == "GET""#, true),
        (r#"slice(seg(path, 4)) == 3 && int(header("x-set")) == 17 && !has("x-none")"#, true),
        (r#"header("x-none") == "" && default(header("x-none"), "d") == "d""#, true),
        (r#"let n = 5 in twice(n, 1) + n == 16"#, true),
        (r#"try(int(seg(path, 2)), 0 - 1) == -1 && try(int(header("x-two")), 9) == 9"#, true),
        (r#"hex(seg(path, 3)) == hex(lower("7F3A9C21E0B4D655"))"#, true),
        (r#"between(slice(seg(path, 4)), 0, 2) || seg(path, 9) + seg(path, 0) != """#, false),
        (r#"if contains(path, "clip") then ends(path, "-3") else false"#, true),
    ] {
        assert_eq!(evaluate_text(text, Type::Bool), Ok(format!("Bool({expected_value})")), "{text}");
    }
    for failing in [
        r#"int("x") == 1"#,
        r#"int(header("x-two")) == 1"#,
        r#"strip(path, "/no") == "" "#,
        "9223372036854775807 + 1 == 0",
    ] {
        assert_eq!(evaluate_text(failing, Type::Bool), Err(EvaluationError), "{failing}");
    }
    assert_eq!(evaluate_text(r#"hash("")"#, Type::Key), Ok(format!("Key({})", 0xe3b0_c442_98fc_1c14u64)));
}

#[test]
fn recursion_unbounded_growth_and_type_errors_are_rejected_at_compilation() {
    let no_definitions = Definitions::default();
    for invalid in [
        "1",
        "path",
        "method && true",
        "1 < true",
        "path < query",
        "path - path",
        "!1",
        "-path",
        "seg(path)",
        "seg(path, path) == path",
        "header(path) == path",
        "header(\"X-Set\") == path",
        "none",
        "none()",
        "if 1 then true else false",
        "if true then 1 else path",
        "try(1, path) == 1",
        "let x = 1 in y",
        "x",
    ] {
        assert!(no_definitions.compile(invalid, Type::Bool, u64::MAX).is_err(), "{invalid}");
    }
    // A string that doubles with each `let` exceeds the length limit at compilation.
    let bindings = (0..40).map(|k| format!("let a{} = a{k} + a{k} in ", k + 1)).collect::<String>();
    let text = format!("let a0 = path in {bindings} a40 == path");
    let error = no_definitions.compile(&text, Type::Bool, u64::MAX).unwrap_err().to_string();
    assert!(error.contains("length") && error.contains(&MAX_STR_BYTES.to_string()), "{error}");
    // Definitions are rejected if they are recursive, directly or through others, or if their inlining grows
    // exponentially.
    let parse_definitions =
        |lines: &[&str]| Definitions::parse(&lines.iter().map(|l| l.to_string()).collect::<Vec<_>>());
    let error = parse_definitions(&["f(n: int) = g(n)", "g(n: int) = f(n) + 1"]).unwrap_err().to_string();
    assert!(error.contains("calls itself"), "{error}");
    assert!(parse_definitions(&["f(n: int) = f(n)"]).is_err());
    let exponential: Vec<String> = (0..30)
        .map(|k| {
            if k == 0 {
                "f0(n: int) = n + 1".into()
            } else {
                format!("f{k}(n: int) = f{0}(n) + f{0}(n)", k - 1)
            }
        })
        .collect();
    let error = Definitions::parse(&exponential).unwrap_err().to_string();
    assert!(error.contains("nodes"), "{error}");
    for invalid in [
        "f",
        "f(x) = 1",
        "f(x: text) = 1",
        "f(x: int, x: int) = 1",
        "seg(x: int) = 1",
        "f(x: int) = y",
        "1f() = 1",
    ] {
        assert!(parse_definitions(&[invalid]).is_err(), "{invalid}");
    }
    assert!(parse_definitions(&["f() = 1", "f() = 2"]).is_err());
    let costly = no_definitions.compile(r#"contains(path, "a") && contains(path, "b")"#, Type::Bool, 20_000);
    assert!(costly.unwrap_err().to_string().contains("cost"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// The cost computed at compilation bounds the cost of evaluation for every request.
    #[test]
    fn evaluation_cost_never_exceeds_the_maximum(target in "/[a-z0-9/?-]{0,300}", set in "[0-9a-z]{0,40}") {
        let definitions = Definitions::parse(&["last(p: str) = seg(p, segs(p))".to_string()]).unwrap();
        let text = r#"let x = lower(path) + header("x-set") in
            if contains(x, "clip") then hash(x + last(path)) else try(hex(seg(path, 2)), hash(query + x))"#;
        let program = definitions.compile(text, Type::Key, u64::MAX).unwrap();
        let request = request(&target, &[("x-set", &set)]);
        let mut steps = 0;
        prop_assert!(evaluate(&program, &request, &mut steps).is_ok());
        prop_assert!(steps <= program.max_cost, "{} steps, expected at most {}", steps, program.max_cost);
    }
}
