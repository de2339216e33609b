//! The fake discovery that tells changes.

use reelrill_test_support::{ChangeFeed, list_entry};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// One call on a connection of its own: the list, and the bytes of the whole answer.
fn call(feed: &ChangeFeed, query: &str) -> (Value, u64) {
    let mut stream = TcpStream::connect(feed.address).expect("a connection");
    write!(stream, "GET /targets?{query} HTTP/1.1\r\n\r\n").expect("a request written");
    let mut reader = BufReader::new(stream);
    let (mut length, mut bytes) = (0, 0);
    loop {
        let mut line = String::new();
        bytes += reader.read_line(&mut line).expect("a line");
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().expect("a length");
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    (
        serde_json::from_slice(&body).expect("a list"),
        (bytes + length) as u64,
    )
}

#[test]
fn a_caller_that_knows_a_version_gets_only_what_changed_since() {
    let line = |n: u16, state: &str| {
        list_entry(&format!("s-{n}"), ([127, 0, 0, 1], 1000 + n).into(), state)
    };
    let feed = ChangeFeed::start(&[line(1, "ready"), line(2, "ready")]);
    let (whole, first_bytes) = call(&feed, "since=0");
    assert_eq!((&whole["rev"], &whole["all"]), (&1.into(), &true.into()));
    assert_eq!(whole["targets"].as_array().map(Vec::len), Some(2));
    feed.publish(line(2, "draining"));
    let (changes, second_bytes) = call(&feed, "since=1&timeout_ms=5000");
    assert_eq!(
        (&changes["rev"], &changes["all"]),
        (&2.into(), &false.into())
    );
    assert_eq!(changes["targets"], Value::from(vec![line(2, "draining")]));
    let (nothing, third_bytes) = call(&feed, "since=2&timeout_ms=1");
    assert_eq!(nothing["targets"], Value::from(Vec::<Value>::new()));
    assert_eq!(
        feed.bytes_sent.with(|bytes| *bytes),
        first_bytes + second_bytes + third_bytes
    );
}
