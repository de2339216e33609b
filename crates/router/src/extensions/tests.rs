//! Tests of the parsing and checking of settings files.

use super::*;
use rstest::rstest;

fn load(text: &str) -> Result<Extensions, String> {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    Extensions::load(file.path()).map_err(|e| {
        let message = e.to_string();
        let path = file.path().display().to_string();
        assert!(message.starts_with(&path), "{message}");
        message[path.len() + 2..].to_owned()
    })
}

/// Guards against a file that sets one value and thereby loses the defaults of the others.
#[test]
fn absent_settings_have_their_defaults() {
    let extensions = load("extended: {mode: translate, limits: {reads: 4}}").unwrap();
    assert_eq!(
        (extensions.extended.mode, extensions.extended.limits.reads),
        (ExtendedQueryMode::Translate, 4)
    );
    assert_eq!(
        extensions.extended.limits,
        Limits {
            reads: 4,
            ..Limits::default()
        }
    );
    assert_eq!(load("extended:\n  mode: off\n"), Ok(Extensions::default()));
    assert_eq!(load("{}"), Ok(Extensions::default()));
}

/// Guards against an error message that does not name the line and the field at fault.
#[rstest]
#[case("extended:\n  mode: on\n  modes: off\n", &["extended.modes", "line 3"])]
#[case("extended:\n  mode: maybe\n", &["extended.mode", "maybe", "line 2"])]
#[case("extended:\n  limits:\n    reads: -1\n", &["extended.limits.reads", "line 3"])]
#[case("extended:\n  limits:\n    reads: 0\n", &["extended.limits.reads", "at least 1"])]
#[case("extended: [\n", &["line"])]
#[case("discovery: {dns_sd: {servers: [], services: [x], domain: x}}", &["discovery.dns_sd.servers"])]
#[case("discovery:\n  dns_sd:\n    servers: [x]\n", &["discovery.dns_sd.servers[0]", "line 3"])]
#[case("discovery: {roster: false}", &["needs a source"])]
#[case("members_socket: /x", &["members_socket", "needs discovery.dns_sd"])]
fn error_names_line_and_field(#[case] text: &str, #[case] expected: &[&str]) {
    let message = load(text).unwrap_err();
    assert!(
        expected.iter().all(|part| message.contains(part)),
        "{message}"
    );
}

/// Guards against an example file that lacks a new setting or shows an outdated default.
#[test]
fn example_file_shows_every_setting_with_its_default() {
    let path = Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/edge.example.yaml"
    ));
    assert_eq!(Extensions::load(path).unwrap(), Extensions::default());
    let text = std::fs::read_to_string(path).unwrap();
    for name in format!("{:?}", Extensions::default())
        .split([' ', '{'])
        .filter_map(|word| word.strip_suffix(':'))
    {
        assert!(text.contains(&format!("{name}:")), "{name}");
    }
}
