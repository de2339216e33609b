//! Endpoints (db nodes), one thread for each connection.

use crate::pg::{self, Reader, Statement};
use crate::{Random, now_ms};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What an endpoint answers to a statement.
pub enum Reply {
    /// The row, with the position or the write's commit, in Unix milliseconds (0: none).
    Row { value: Vec<u8>, position: u64 },
    /// An error, with the position (0: none).
    Error { code: &'static str, position: u64 },
    /// Nothing, ever; the connection stays open.
    Silence,
    /// The connection is closed without an answer.
    Close,
}

/// The part of an endpoint that differs between cases. `arrived_ms` is the time at which the statement's last byte was
/// read.
pub trait Behaviour: Send + Sync + 'static {
    /// Returns how long a new connection takes to come up, on top of the time it takes anyway.
    fn connection_delay(&self) -> Duration {
        Duration::ZERO
    }
    /// Returns after how much idle time the endpoint closes a connection.
    fn idle_close(&self) -> Option<Duration> {
        None
    }
    fn is_primary(&self) -> bool;
    fn run(&self, statement: &Statement, text: &str, arrived_ms: f64) -> Reply;
    /// The load report, where there is one.
    fn report(&self) -> Option<String> {
        None
    }
}

/// An endpoint on its own port.
pub struct Endpoint {
    pub address: SocketAddr,
    /// Statements received that no client sends in this form.
    pub invalid: Arc<AtomicU64>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    is_dead: Arc<AtomicBool>,
}

impl Endpoint {
    pub fn start(behaviour: Arc<dyn Behaviour>) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port for an endpoint");
        let address = listener.local_addr().unwrap();
        let invalid = Arc::new(AtomicU64::new(0));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let is_dead = Arc::new(AtomicBool::new(false));
        let (counted, kept, dead) = (invalid.clone(), connections.clone(), is_dead.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if dead.load(Ordering::SeqCst) {
                    // The listener is dropped: new connections are refused.
                    return;
                }
                if let Ok(handle) = stream.try_clone() {
                    kept.lock().unwrap().push(handle);
                }
                let (behaviour, invalid) = (behaviour.clone(), counted.clone());
                std::thread::spawn(move || {
                    serve(&stream, &*behaviour, &invalid);
                    // The list of connections holds another handle, so dropping this one would not close.
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Endpoint { address, invalid, connections, is_dead }
    }

    /// The process dies: its connections end and new ones are refused.
    pub fn kill(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which drops the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.connections.lock().unwrap().len()
    }
}

fn serve(mut stream: &TcpStream, behaviour: &dyn Behaviour, invalid: &AtomicU64) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = Reader::new(stream.try_clone().ok()?);
    reader.startup().ok()?;
    std::thread::sleep(behaviour.connection_delay());
    let mut out = Vec::new();
    pg::put(&mut out, b'R', &[0; 4]);
    pg::put_ready(&mut out);
    stream.write_all(&out).ok()?;
    loop {
        stream.set_read_timeout(behaviour.idle_close()).ok()?;
        let (tag, body) = match reader.message() {
            Ok(message) => message,
            // Idle for too long, or closed by the router.
            Err(_) => return None,
        };
        let arrived_ms = now_ms();
        if tag != b'Q' {
            return None;
        }
        let text = std::str::from_utf8(body.strip_suffix(b"\0")?).ok()?.to_owned();
        let mut out = Vec::new();
        if text.trim().is_empty() {
            pg::put(&mut out, b'I', &[]);
        } else if text == "SELECT 1" {
            pg::put_row(&mut out, b"1", "SELECT 1");
        } else if text == "SHOW gauges" {
            match behaviour.report() {
                Some(report) => pg::put_row(&mut out, report.as_bytes(), "SHOW"),
                None => pg::put_error(&mut out, "42501", "no report"),
            }
        } else if let Some(statement) = pg::parse(&text) {
            let role = if behaviour.is_primary() { "master" } else { "replica" };
            let position = match behaviour.run(&statement, &text, arrived_ms) {
                Reply::Row { value, position } => {
                    let tag = if statement.is_write { "INSERT 0 1" } else { "SELECT 1" };
                    pg::put_row(&mut out, &value, tag);
                    position
                }
                Reply::Error { code, position } => {
                    pg::put_error(&mut out, code, "not served");
                    position
                }
                Reply::Silence => {
                    // Waits until the router closes.
                    stream.set_read_timeout(None).ok()?;
                    let _ = reader.message();
                    return None;
                }
                Reply::Close => return None,
            };
            pg::put_parameter(&mut out, "part", role);
            if position > 0 {
                pg::put_parameter(&mut out, "caught_up_to", &position.to_string());
            }
        } else {
            invalid.fetch_add(1, Ordering::Relaxed);
            pg::put_error(&mut out, "08P01", "no client sends this");
        }
        pg::put_ready(&mut out);
        stream.write_all(&out).ok()?;
    }
}

/// Returns a pause with a given mean, exponentially distributed and limited to four times the mean.
pub fn exponential(random: &mut Random, mean: Duration) -> Duration {
    let factor = -(1.0 - random.unit()).ln();
    mean.mul_f64(factor.min(4.0))
}
