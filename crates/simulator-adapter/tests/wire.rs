//! Tests of the adapter as a process: replies, errors of invalid lines, and the end of the input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"az":0,"ceilings":{"maxAttempts":3,"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfter":5,"secondCopies":true},"classes":[{"credit":1.0,"group":"all","hardLimit":2000000000,"name":"r","onTime":300000000,"repeat":"retryable"}],"familyInfo":{"freshness":["eventual"],"guards":"silent","listRole":"trailing","maxAge":[0],"originTime":0,"sessionMarks":"kept","stamps":true},"registryMode":"automatic","report":{"columns":[],"source":"silent"},"rules":{"coldFrom":0.2,"drainGrace":1,"fall":1,"fallMultiple":2.0,"warmAfter":5},"unknownKey":1}"#;

/// Runs the adapter with `input` on standard input, and returns its output and exit status.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_reelrill-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

/// Returns the lines of a batch that starts router 3 with these settings and a list of one endpoint.
fn start_batch(settings: &str) -> String {
    format!(
        "MARK\t1000\t1\nUP\t3\t42\t{settings}\nCATALOG\t0\t1\nROW\t10.0.0.1:80\t-\t1\tSERVING\t1\t7\t0\t0\n\
         VIEW\t3\tdisk\t1\t0\nEND\n"
    )
}

/// Guards against a reply in another format, which the simulator can't parse, and against an exit code other than 0 when
/// the simulation ends.
#[test]
fn relays_request_and_exits_with_success_when_input_ends() {
    let request_batch =
        "MARK\t2000\t2\nORDER\t3\tb3a4f6ba5d3a91c4\t-\t-\t7\t-\t-\t0\t0\t900000000\nEND\n";
    let output = run_adapter(&(start_batch(SETTINGS) + request_batch));
    let reply = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(
        reply.contains("RELAY\t3\tb3a4f6ba5d3a91c4\t10.0.0.1:80\t"),
        "{reply}"
    );
    assert!(reply.ends_with("READY\t2\n"), "{reply}");
}

/// Guards against an adapter that continues after an invalid line with a wrong state, or whose error does not identify
/// the line and the field.
#[test]
fn names_line_and_field_when_input_is_invalid() {
    let cases = [
        ("MARK\tx\t1\n", "line 1", "clock"),
        ("END\n", "line 1", "outside a batch"),
        ("MARK\t1\t1\nORDER\t3\tzz\n", "line 2", "call"),
        ("MARK\t1\t1\nCLIENT_LEFT\t3\n", "line 2", "call"),
        ("MARK\t1\t1\nNEWS\t3\n", "line 2", "message"),
        ("MARK\t1\t1\nCATALOG\t0\t2\nEND\n", "line 3", "ROW"),
        ("MARK\t1\t1\nHEARD\t3\t1\t%%\n", "line 2", "payload"),
        ("MARK\t1\t1\n", "line 2", "input ends inside a batch"),
    ];
    for (input, line, expected_text) in cases {
        let output = run_adapter(input);
        let error_text = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{input}");
        assert!(
            error_text.contains(line) && error_text.contains(expected_text),
            "{input}: {error_text}"
        );
        assert!(output.stdout.is_empty());
    }
}

/// Guards against a router that starts without a required setting, or an error that does not name it.
#[test]
fn names_required_setting_when_it_is_missing() {
    let output = run_adapter(&start_batch(
        &SETTINGS.replace("\"guards\":\"silent\",", ""),
    ));
    let error_text = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && error_text.contains("familyInfo.guards is missing"),
        "{error_text}"
    );
}
