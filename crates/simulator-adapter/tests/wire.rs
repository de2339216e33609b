//! The adapter as a process: replies, bad lines, end of input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"az":0,"ceilings":{"maxAttempts":3,"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfter":5,"secondCopies":true},"classes":[{"credit":1.0,"group":"all","hardLimit":2000000000,"name":"r","onTime":300000000,"repeat":"retryable"}],"familyInfo":{"freshness":["eventual"],"guards":"silent","listRole":"trailing","maxAge":[0],"originTime":0,"sessionMarks":"kept","stamps":true},"registryMode":"automatic","report":{"columns":[],"source":"silent"},"rules":{"coldFrom":0.2,"drainGrace":1,"fall":1,"fallMultiple":2.0,"warmAfter":5},"unheardOf":1}"#;

fn run(input: &str) -> Output {
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

fn start(settings: &str) -> String {
    format!(
        "MARK\t1000\t1\nUP\t3\t42\t{settings}\nCATALOG\t0\t1\nROW\t10.0.0.1:80\t-\t1\tSERVING\t1\t7\t0\t0\n\
         VIEW\t3\tdisk\t1\t0\nEND\n"
    )
}

#[test]
fn a_request_is_relayed_and_the_end_of_input_is_a_clean_exit() {
    let order = "MARK\t2000\t2\nORDER\t3\tb3a4f6ba5d3a91c4\t-\t-\t7\t-\t-\t0\t0\t900000000\nEND\n";
    let out = run(&(start(SETTINGS) + order));
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success());
    assert!(
        text.contains("RELAY\t3\tb3a4f6ba5d3a91c4\t10.0.0.1:80\t"),
        "{text}"
    );
    assert!(text.ends_with("READY\t2\n"), "{text}");
}

#[test]
fn bad_lines_name_the_line_and_the_field() {
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
    for (input, line, field) in cases {
        let out = run(input);
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success(), "{input}");
        assert!(
            text.contains(line) && text.contains(field),
            "{input}: {text}"
        );
        assert!(out.stdout.is_empty());
    }
}

#[test]
fn a_missing_necessary_setting_is_named() {
    let out = run(&start(&SETTINGS.replace("\"guards\":\"silent\",", "")));
    let text = String::from_utf8(out.stderr).unwrap();
    assert!(
        !out.status.success() && text.contains("familyInfo.guards is missing"),
        "{text}"
    );
}
