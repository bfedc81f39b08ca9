//! Checks `docs/ARCHITECTURE.md` against the source: all paths and identifiers in it exist, and modules
//! import only lower layers.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const ROOT: &str = env!("CARGO_MANIFEST_DIR");
const ARCHITECTURE: &str = include_str!("../docs/ARCHITECTURE.md");

/// All Rust files below a folder of the repository.
fn rust_files(folder: &str) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut folders = vec![Path::new(ROOT).join(folder)];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("the folder is readable") {
            let path = entry.expect("the folder entry is readable").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                files.push(path);
            }
        }
    }
    files
}

/// The text of all source files.
fn source_text() -> String {
    let texts = rust_files("src")
        .into_iter()
        .map(|path| std::fs::read_to_string(path).expect("the file is readable UTF-8 text"));
    texts.collect::<Vec<_>>().join("\n")
}

/// The code spans of a Markdown text.
fn code_spans(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// The section of `docs/ARCHITECTURE.md` below a heading.
fn section(heading: &str) -> &'static str {
    let (_, rest) =
        ARCHITECTURE.split_once(&format!("## {heading}\n")).expect("docs/ARCHITECTURE.md has the heading");
    rest.split("\n## ").next().expect("the section is not empty")
}

/// Whether a text contains an identifier as a whole word.
fn has_word(text: &str, word: &str) -> bool {
    let is_identifier_char = |c: char| c.is_alphanumeric() || c == '_';
    text.match_indices(word).any(|(at, _)| {
        let before = text[..at].chars().next_back();
        let after = text[at + word.len()..].chars().next();
        !before.is_some_and(is_identifier_char) && !after.is_some_and(is_identifier_char)
    })
}

/// Whether a code span is a path in the repository.
fn is_path(span: &str) -> bool {
    ["src/", "tests/", "docs/", "deploy/"].iter().any(|folder| span.starts_with(folder))
}

/// Whether a code span is an identifier or a `::` path.
fn is_identifier(span: &str) -> bool {
    !span.is_empty()
        && span.split("::").all(|part| {
            part.starts_with(|c: char| c.is_ascii_alphabetic())
                && part.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
        })
}

#[test]
fn every_path_in_architecture_md_exists() {
    let paths: Vec<&str> = code_spans(ARCHITECTURE).filter(|span| is_path(span)).collect();
    assert!(paths.len() > 20, "expected more than 20 paths in docs/ARCHITECTURE.md, found {paths:?}");
    for path in paths {
        assert!(Path::new(ROOT).join(path).exists(), "{path} in docs/ARCHITECTURE.md does not exist");
    }
}

#[test]
fn every_identifier_in_architecture_md_exists() {
    // Metric names are assembled at run time, so they are looked up in the operator documentation.
    let source = source_text() + include_str!("../docs/second-address.md");
    // The glossary also lists names that no longer exist.
    let page = ARCHITECTURE.split("## Glossary").next().expect("docs/ARCHITECTURE.md has text");
    let identifiers: Vec<&str> = code_spans(page).filter(|span| is_identifier(span)).collect();
    assert!(
        identifiers.len() > 40,
        "expected more than 40 identifiers in docs/ARCHITECTURE.md, found {identifiers:?}"
    );
    for identifier in identifiers {
        for part in identifier.split("::").filter(|part| !["edge_proxy", "state"].contains(part)) {
            let is_module = Path::new(ROOT).join("src").join(part).exists()
                || Path::new(ROOT).join("src").join(format!("{part}.rs")).exists();
            assert!(
                is_module || has_word(&source, part),
                "{identifier} in docs/ARCHITECTURE.md does not exist"
            );
        }
    }
}

/// The row number of each module in the table of layers; higher layers come first.
fn layers() -> BTreeMap<&'static str, usize> {
    let rows = section("Layers").lines().filter(|line| line.starts_with("| ")).skip(2);
    let modules = rows.enumerate().flat_map(|(row, line)| {
        let cell = line.split('|').nth(2).expect("the row has a cell of modules");
        code_spans(cell).map(move |module| (module, row)).collect::<Vec<_>>()
    });
    modules.collect()
}

/// The library module of a file below `src/`; `None` for the programs and the library root.
fn module_of(path: &Path) -> Option<String> {
    let path = path.strip_prefix(Path::new(ROOT).join("src")).expect("the file is below src");
    let first = path.iter().next()?.to_str()?;
    let module = first.strip_suffix(".rs").unwrap_or(first);
    (!["main", "lib", "bin", "cli"].contains(&module)).then(|| module.to_string())
}

/// The modules that a file imports by `crate::MODULE`.
fn imports(text: &str) -> Vec<String> {
    let names = text.split("crate::").skip(1).map(|rest| {
        let end = rest.find(|c: char| !(c.is_ascii_lowercase() || c == '_' || c.is_ascii_digit()));
        rest[..end.unwrap_or(rest.len())].to_string()
    });
    names.filter(|name| !name.is_empty()).collect()
}

#[test]
fn modules_import_only_lower_layers() {
    let layers = layers();
    let mut checked = 0;
    for path in rust_files("src").iter().filter(|path| !path.ends_with("tests.rs")) {
        let Some(module) = module_of(path) else { continue };
        let layer =
            layers.get(module.as_str()).unwrap_or_else(|| panic!("{module} is not in the table of layers"));
        let text = std::fs::read_to_string(path).expect("the file is readable UTF-8 text");
        for import in imports(&text).iter().filter(|import| **import != module) {
            let Some(imported_layer) = layers.get(import.as_str()) else { continue };
            assert!(
                imported_layer > layer,
                "{}: `{module}` imports `{import}`, which is not in a lower layer",
                path.display()
            );
            checked += 1;
        }
    }
    assert!(checked > 200, "expected more than 200 imports, checked {checked}");
}

#[test]
fn every_module_in_the_layer_table_exists() {
    for module in layers().keys() {
        let folder = Path::new(ROOT).join("src").join(module);
        assert!(
            folder.exists() || folder.with_extension("rs").exists(),
            "{module} in docs/ARCHITECTURE.md does not exist"
        );
    }
}
