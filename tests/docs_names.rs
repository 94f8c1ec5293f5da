//! Checks that tests named in the documentation exist.

use std::{collections::BTreeSet, fs, path::Path};

/// Page that lists each guarantee with the tests that verify it.
const GUARANTEES: &str = "docs/GUARANTEES.md";

fn read(path: impl AsRef<Path>) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Folders of the test files of the product and of the platform adapter.
const TEST_FOLDERS: [&str; 2] = ["tests", "platform/tests"];

/// Returns the names of the test functions in the file of this name.
fn tests_of(file: &str) -> BTreeSet<String> {
    let texts = TEST_FOLDERS
        .map(|folder| Path::new(folder).join(format!("{file}.rs")))
        .into_iter()
        .filter(|path| Path::new(env!("CARGO_MANIFEST_DIR")).join(path).exists());
    let text: String = texts.map(read).collect();
    let mut names = BTreeSet::new();
    let mut is_test = false;
    for line in text.lines().map(str::trim) {
        if line.starts_with("#[test]") || line.starts_with("#[tokio::test") {
            is_test = true;
        } else if let Some(rest) = line.split("fn ").nth(1).filter(|_| is_test) {
            names.insert(rest.split('(').next().unwrap_or_default().to_owned());
            is_test = false;
        }
    }
    names
}

/// Returns the references of the form `file::test` in a text; code that begins with a capital letter is the
/// path of a type and is skipped.
fn references(text: &str) -> Vec<(String, String)> {
    text.split('`')
        .skip(1)
        .step_by(2)
        .filter(|code| code.starts_with(char::is_lowercase))
        .filter_map(|code| code.split_once("::"))
        .map(|(file, test)| (file.to_owned(), test.to_owned()))
        .collect()
}

/// Guards against a guarantee that refers to a test which was renamed or never existed.
#[test]
fn every_test_that_a_guarantee_names_exists() {
    let page = read(GUARANTEES);

    let missing: Vec<String> = references(&page)
        .into_iter()
        .filter(|(file, test)| !tests_of(file).contains(test))
        .map(|(file, test)| format!("{file}::{test}"))
        .collect();

    assert!(
        references(&page).len() > 20,
        "{GUARANTEES} refers to more than 20 tests"
    );
    assert!(
        missing.is_empty(),
        "{GUARANTEES} refers to tests that do not exist: {missing:?}"
    );
}
