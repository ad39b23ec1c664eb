//! Checks that paths, types and constants named on the pages of docs/ exist in the sources.
//!
//! The measurement log and the incident pages describe the sources at an earlier time, and the questions page
//! describes the users' pages; they are excluded.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Pages of docs/ that do not describe the current sources.
const EXCLUDED_PAGES: [&str; 2] = ["measurements.md", "questions.md"];

/// Root directory of the workspace.
fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .expect("crates/fleet-core is two levels deep")
        .to_owned()
}

/// Collects all files below a directory, and the directory with its subdirectories.
fn walk(directory: &Path, files: &mut Vec<PathBuf>, directories: &mut Vec<PathBuf>) {
    directories.push(directory.to_owned());
    for entry in fs::read_dir(directory).expect("a readable directory") {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() {
            walk(&path, files, directories);
        } else {
            files.push(path);
        }
    }
}

/// The pages that describe the current sources.
fn pages(root: &Path) -> Vec<PathBuf> {
    let mut pages = vec![root.join("README.md"), root.join("CONTRIBUTING.md")];
    for entry in fs::read_dir(root.join("docs")).expect("a docs directory") {
        let path = entry.expect("a readable entry").path();
        let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
        if name.ends_with(".md") && !EXCLUDED_PAGES.contains(&name) {
            pages.push(path);
        }
    }
    pages
}

/// The texts between backticks on a line.
fn spans(line: &str) -> impl Iterator<Item = &str> {
    line.split('`').skip(1).step_by(2)
}

/// Whether a code span is a path in the sources.
fn is_path(span: &str) -> bool {
    let is_part = |c: char| c.is_alphanumeric() || "_-./".contains(c);
    span.chars().all(is_part) && (span.ends_with(".rs") || span.ends_with('/'))
}

/// The last segment of a code span that names a type (`module::TypeName`) or a constant (`SOME_LIMIT`).
fn name(span: &str) -> Option<&str> {
    if !span.chars().all(|c| c.is_ascii_alphanumeric() || c == '_' || c == ':') {
        return None;
    }
    let last = span.rsplit("::").next()?;
    let starts_upper = last.starts_with(|c: char| c.is_ascii_uppercase());
    let has_lower = last.contains(|c: char| c.is_ascii_lowercase());
    let is_type = has_lower
        && !last.contains('_')
        && last.chars().filter(char::is_ascii_uppercase).count() > 1;
    let is_constant = !has_lower && last.contains('_');
    (starts_upper && (is_type || is_constant)).then_some(last)
}

/// All words of the sources, including strings and comments, because settings and messages are named there.
fn words(files: &[PathBuf]) -> HashSet<String> {
    let mut words = HashSet::new();
    for file in
        files.iter().filter(|file| file.extension().is_some_and(|e| e == "rs" || e == "toml"))
    {
        let text = fs::read_to_string(file).expect("a readable source");
        let separator = |c: char| !c.is_ascii_alphanumeric() && c != '_';
        words.extend(text.split(separator).filter(|word| !word.is_empty()).map(str::to_owned));
    }
    words
}

#[test]
fn code_span_is_classified_as_path_name_or_neither() {
    assert!(is_path("consensus/acceptor.rs") && is_path("tests/harness/"));
    assert!(!is_path("config") && !is_path("fleetctl check FILE"));
    assert_eq!(name("wire::RingHead"), Some("RingHead"));
    assert_eq!(name("RING_BATCH"), Some("RING_BATCH"));
    assert_eq!(name("Config.Replace"), None);
    assert_eq!(name("maxBodyBytes"), None);
    assert_eq!(spans("a `b` c `d`.").collect::<Vec<_>>(), ["b", "d"]);
}

#[test]
fn every_path_and_name_of_the_pages_exists() {
    let root = workspace();
    let (mut files, mut directories) = (Vec::new(), vec![root.clone(), root.join("docs")]);
    walk(&root.join("crates"), &mut files, &mut directories);
    let words = words(&files);
    let (mut missing, mut seen) = (Vec::new(), 0);
    for page in pages(&root) {
        let text = fs::read_to_string(&page).expect("a readable page");
        for (number, line) in text.lines().enumerate() {
            for span in spans(line) {
                let known_path = !is_path(span)
                    || directories.iter().any(|directory| directory.join(span).exists());
                let known_name = name(span).is_none_or(|name| words.contains(name));
                seen += usize::from(is_path(span) || name(span).is_some());
                if !known_path || !known_name {
                    missing.push(format!("{}:{}: {span}", page.display(), number + 1));
                }
            }
        }
    }
    assert!(seen > 50, "only {seen} paths and names were found on the pages");
    assert!(
        missing.is_empty(),
        "named on the pages, but missing from the sources:\n{}",
        missing.join("\n")
    );
}
