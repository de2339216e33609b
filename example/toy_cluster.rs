//! A toy cluster to try the router with: discovery on 127.0.0.1:8500, and one group of three instances on
//! 127.0.0.1:7001 (the primary) to 7003. Replicas lag a quarter of a second behind. Standard library only.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const LAG_MS: u64 = 250;

/// Each value and when it was committed, in Unix milliseconds.
type Store = Arc<RwLock<HashMap<String, (String, u64)>>>;

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

fn read_body(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut len = [0; 4];
    stream.read_exact(&mut len)?;
    let mut body = vec![0; (u32::from_be_bytes(len) as usize).saturating_sub(4).min(1 << 20)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// What an instance answers, and the position that it names.
fn answer(query: &str, primary: bool, store: &Store) -> (Vec<u8>, u64) {
    let now = now_ms();
    let position = if primary { now } else { now - LAG_MS };
    let mut quoted = query.split('\'').skip(1).step_by(2);
    let Some(key) = quoted.next() else { return (error("08P01", "no quoted key"), position) };
    let after = query.split("after=").nth(1).and_then(|t| t.split([',', ' ', '*']).next()?.parse().ok());
    let (value, tag) = if query.starts_with("INSERT") {
        let Some(value) = quoted.next().filter(|_| primary) else {
            return (error("25006", "this is not the primary"), position);
        };
        let Ok(mut store) = store.write() else { return (error("XX000", "the store is broken"), position) };
        store.insert(key.to_owned(), (value.to_owned(), now));
        (value.to_owned(), "INSERT 0 1")
    } else if after.is_some_and(|after: u64| after > position) {
        return (error("72000", "too far behind"), position);
    } else {
        let Ok(store) = store.read() else { return (error("XX000", "the store is broken"), position) };
        let seen = store.get(key).filter(|(_, at)| *at <= position);
        (seen.map_or_else(|| "(nothing)".to_owned(), |(value, _)| value.clone()), "SELECT 1")
    };
    let column = b"\0\x01data\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0";
    let row = [&b"\0\x01"[..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    let parts = [message(b'T', column), message(b'D', &row), message(b'C', format!("{tag}\0").as_bytes())];
    (parts.concat(), position)
}

fn serve_instance(mut stream: TcpStream, port: u16, primary: bool, store: &Store) -> std::io::Result<()> {
    read_body(&mut stream)?;
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    loop {
        let mut tag = [0];
        stream.read_exact(&mut tag)?;
        let body = read_body(&mut stream)?;
        if tag[0] != b'Q' {
            return Ok(());
        }
        let query = String::from_utf8_lossy(&body);
        println!("{port}: {}", query.trim_end_matches('\0'));
        thread::sleep(Duration::from_millis(20));
        let (mut out, position) = answer(&query, primary, store);
        let role = if primary { "master" } else { "replica" };
        let (seconds, leads) = (position as f64 / 1e3, u8::from(primary));
        for status in [
            format!("part\0{role}\0"),
            format!("caught_up_to\0{position}\0"),
            format!("gauges\0x0={seconds},x1={leads},inflight=0,util=0.1\0"),
        ] {
            out.extend(message(b'S', status.as_bytes()));
        }
        out.extend(message(b'Z', b"I"));
        stream.write_all(&out)?;
    }
}

/// The list never changes here: a watch waits for its time and tells of nothing.
fn serve_discovery(mut stream: TcpStream) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    loop {
        let Some(request) = lines.next() else { return Ok(()) };
        let request = request?;
        while lines.next().is_some_and(|line| line.is_ok_and(|l| !l.is_empty())) {}
        let wait = request.split("timeout_ms=").nth(1).and_then(|t| t.split([' ', '&']).next()?.parse().ok());
        let body = if let Some(wait) = wait {
            thread::sleep(Duration::from_millis(wait));
            r#"{"rev":1,"all":false,"targets":[]}"#.to_owned()
        } else {
            let target = |port: u16| {
                format!(
                    r#"{{"uid":"s-{port}","endpoint":"127.0.0.1:{port}","az":"a","model":"toy","pod_group":1,"state":"ready","capacity_hint":1.0,"boot_ms":0}}"#
                )
            };
            let all = [7001, 7002, 7003].map(target).join(",");
            format!(r#"{{"rev":1,"all":true,"targets":[{all}]}}"#)
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes())?;
    }
}

fn main() -> std::io::Result<()> {
    let store = Store::default();
    for port in [7001, 7002, 7003] {
        let (listener, store) = (TcpListener::bind(("127.0.0.1", port))?, store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || serve_instance(stream, port, port == 7001, &store));
            }
        });
    }
    let listener = TcpListener::bind("127.0.0.1:8500")?;
    println!("discovery on 127.0.0.1:8500, instances on 7001 (the primary), 7002 and 7003");
    for stream in listener.incoming().flatten() {
        thread::spawn(move || serve_discovery(stream));
    }
    Ok(())
}
