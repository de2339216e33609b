use super::*;
use rstest::rstest;

fn load(text: &str) -> Result<Extensions, String> {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    Extensions::load(file.path()).map_err(|e| {
        let said = e.to_string();
        let path = file.path().display().to_string();
        assert!(said.starts_with(&path), "{said}");
        said[path.len() + 2..].to_owned()
    })
}

#[test]
fn what_is_left_out_has_its_default() {
    let edge = load("extended: {mode: translate, limits: {reads: 4}}").unwrap();
    assert_eq!(
        (edge.extended.mode, edge.extended.limits.reads),
        (ExtendedQueryMode::Translate, 4)
    );
    assert_eq!(
        edge.extended.limits,
        Limits {
            reads: 4,
            ..Limits::default()
        }
    );
    assert_eq!(load("extended:\n  mode: off\n"), Ok(Extensions::default()));
    assert_eq!(load("{}"), Ok(Extensions::default()));
}

/// Guards the person who edits the file: an error names the line and the field.
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
fn what_is_wrong_is_named(#[case] text: &str, #[case] wanted: &[&str]) {
    let said = load(text).unwrap_err();
    assert!(wanted.iter().all(|w| said.contains(w)), "{said}");
}

#[test]
fn the_example_shows_every_setting_with_its_default() {
    let path = Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/edge.example.yaml"
    ));
    assert_eq!(Extensions::load(path).unwrap(), Extensions::default());
    let text = std::fs::read_to_string(path).unwrap();
    for name in format!("{:?}", Extensions::default())
        .split([' ', '{'])
        .filter_map(|w| w.strip_suffix(':'))
    {
        assert!(text.contains(&format!("{name}:")), "{name}");
    }
}
