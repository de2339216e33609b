//! Tests of the fake discovery service with an incremental list watch.

use reelrill_test_support::{ChangeFeed, list_entry};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Sends one request on a new connection. Returns the list and the size of the whole response in bytes.
fn request_list(feed: &ChangeFeed, query: &str) -> (Value, u64) {
    let mut stream = TcpStream::connect(feed.address).expect("connect to the change feed");
    write!(stream, "GET /targets?{query} HTTP/1.1\r\n\r\n").expect("write the request");
    let mut reader = BufReader::new(stream);
    let (mut length, mut bytes) = (0, 0);
    loop {
        let mut line = String::new();
        bytes += reader.read_line(&mut line).expect("read a response line");
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().expect("parse Content-Length");
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    reader
        .read_exact(&mut body)
        .expect("read the response body");
    (
        serde_json::from_slice(&body).expect("parse the list"),
        (bytes + length) as u64,
    )
}

/// Guards the size comparisons of the experiments: whole lists instead of changes, or a wrong byte count, would distort
/// them without any other failure.
#[test]
fn serves_only_newer_entries_when_request_names_a_version() {
    let entry = |number: u16, state: &str| {
        list_entry(
            &format!("s-{number}"),
            ([127, 0, 0, 1], 1000 + number).into(),
            state,
        )
    };
    let feed = ChangeFeed::start(&[entry(1, "ready"), entry(2, "ready")]);
    let (whole, first_bytes) = request_list(&feed, "since=0");
    assert_eq!((&whole["rev"], &whole["all"]), (&1.into(), &true.into()));
    assert_eq!(whole["targets"].as_array().map(Vec::len), Some(2));
    feed.publish(entry(2, "draining"));
    let (changes, second_bytes) = request_list(&feed, "since=1&timeout_ms=5000");
    assert_eq!(
        (&changes["rev"], &changes["all"]),
        (&2.into(), &false.into())
    );
    assert_eq!(changes["targets"], Value::from(vec![entry(2, "draining")]));
    let (unchanged, third_bytes) = request_list(&feed, "since=2&timeout_ms=1");
    assert_eq!(unchanged["targets"], Value::from(Vec::<Value>::new()));
    assert_eq!(
        feed.bytes_sent.with(|bytes| *bytes),
        first_bytes + second_bytes + third_bytes
    );
}
