//! A database node: it answers each query as the case's script says, and can die, restart and stop reading.

use crate::record::Record;
use crate::wire;
use crate::{now_ms, sleep_ms, socket};
use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A query that a node has received completely.
#[derive(Debug, Clone)]
pub struct Query {
    pub node: String,
    pub text: String,
    pub id: String,
    pub class: String,
    pub is_write: bool,
    /// The Unix time in milliseconds at which its last byte was read.
    pub at_ms: u64,
}

/// The answer to a query.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The time until the answer, in milliseconds.
    pub delay_ms: u64,
    /// The value, or the SQLSTATE of an error.
    pub content: Result<Vec<u8>, &'static str>,
    /// Whether the node is the primary.
    pub is_primary: bool,
    /// The node's position as a Unix time in milliseconds; for a served write, its commit.
    pub position_ms: u64,
}

impl Answer {
    /// Returns the answer of a sound node that is not behind: the row, or 25006 to a write at a replica.
    pub fn sound(query: &Query, is_primary: bool, delay_ms: u64) -> Answer {
        let is_misrouted = query.is_write && !is_primary;
        Answer {
            delay_ms,
            content: if is_misrouted {
                Err("25006")
            } else {
                Ok(b"x".to_vec())
            },
            is_primary,
            position_ms: now_ms(),
        }
    }
}

type Script = dyn Fn(&Query) -> Answer + Send + Sync;

struct Shared {
    name: String,
    script: Box<Script>,
    record: Record,
    is_up: AtomicBool,
    /// While set, the node reads nothing more.
    is_hanging: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    queries: Mutex<Vec<Query>>,
    receive_buffer: Option<i32>,
}

/// A node on a loopback address.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Endpoint {
    /// Starts a node. With `receive_buffer`, its sockets have buffers like those of a machine across a network.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(
        name: &str,
        record: &Record,
        receive_buffer: Option<i32>,
        script: impl Fn(&Query) -> Answer + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the address of a listener");
        let endpoint = Endpoint {
            address,
            shared: Arc::new(Shared {
                name: name.to_owned(),
                script: Box::new(script),
                record: record.clone(),
                is_up: AtomicBool::new(true),
                is_hanging: AtomicBool::new(false),
                connections: Mutex::default(),
                queries: Mutex::default(),
                receive_buffer,
            }),
        };
        endpoint.listen(listener);
        endpoint
    }

    fn listen(&self, listener: TcpListener) {
        if let Some(bytes) = self.shared.receive_buffer {
            socket::limit_buffers(&listener, bytes);
        }
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        let shared = self.shared.clone();
        std::thread::spawn(move || {
            while shared.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => accept(&shared, stream),
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }

    /// Ends the node's process: connections are reset or end, and new ones are refused.
    pub fn die(&self) {
        self.shared
            .record
            .line(format!("{} dies", self.shared.name));
        self.shared.is_up.store(false, Ordering::SeqCst);
        sleep_ms(20);
        let mut connections = self.shared.connections.lock().expect("connections");
        for stream in connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the node's process again at the same address.
    ///
    /// # Panics
    /// If the address is taken.
    pub fn restart(&self) {
        self.shared
            .record
            .line(format!("{} is up again", self.shared.name));
        self.shared.is_up.store(true, Ordering::SeqCst);
        self.listen(TcpListener::bind(self.address).expect("the node's own address"));
    }

    /// Makes the node hang, or go on: while it hangs it reads nothing.
    pub fn set_hanging(&self, is_hanging: bool) {
        let verb = if is_hanging { "hangs" } else { "goes on" };
        self.shared
            .record
            .line(format!("{} {verb}", self.shared.name));
        self.shared.is_hanging.store(is_hanging, Ordering::SeqCst);
    }

    /// Returns the queries received so far.
    pub fn queries(&self) -> Vec<Query> {
        self.shared.queries.lock().expect("queries").clone()
    }
}

fn accept(shared: &Arc<Shared>, stream: TcpStream) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    if let Ok(clone) = stream.try_clone() {
        shared.connections.lock().expect("connections").push(clone);
    }
    let shared = shared.clone();
    std::thread::spawn(move || {
        let _ = serve(&shared, stream);
    });
}

/// A reader that waits while the node hangs.
struct Reader<'a> {
    shared: &'a Shared,
    stream: &'a TcpStream,
    /// The bytes read since the last whole message.
    bytes: usize,
}

impl std::io::Read for Reader<'_> {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        while self.shared.is_hanging.load(Ordering::SeqCst) {
            sleep_ms(1);
        }
        let mut stream = self.stream;
        // Small reads, so that a hang stops the node in the middle of a long query.
        let length = bytes.len().min(4096);
        let read = stream.read(&mut bytes[..length]);
        self.bytes += *read.as_ref().unwrap_or(&0);
        read
    }
}

fn serve(shared: &Shared, stream: TcpStream) -> std::io::Result<()> {
    let mut reader = Reader {
        shared,
        stream: &stream,
        bytes: 0,
    };
    let mut length = [0; 4];
    std::io::Read::read_exact(&mut reader, &mut length)?;
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    std::io::Read::read_exact(&mut reader, &mut rest)?;
    let mut hello = Vec::new();
    wire::put(&mut hello, b'R', &[0, 0, 0, 0]);
    wire::put_ready(&mut hello);
    (&stream).write_all(&hello)?;
    loop {
        reader.bytes = 0;
        let (tag, body) = match wire::read_message(&mut reader) {
            Ok(message) => message,
            Err(error) => {
                if reader.bytes > 0 {
                    let bytes = reader.bytes;
                    shared.record.line(format!(
                        "{}: a connection ended after {bytes} bytes of a message",
                        shared.name
                    ));
                }
                return Err(error);
            }
        };
        if tag != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
        let mut out = Vec::new();
        if wire::annotation(&text, "id").is_none() {
            // A probe: it tells nothing, and neither does an empty query.
            if text.trim().is_empty() {
                wire::put(&mut out, b'I', &[]);
            } else {
                wire::put_error(&mut out, "42501", "no such thing here");
            }
        } else {
            let query = Query {
                node: shared.name.clone(),
                id: wire::annotation(&text, "id").unwrap_or_default(),
                class: wire::annotation(&text, "c").unwrap_or_default(),
                is_write: text.starts_with("INSERT"),
                text,
                at_ms: now_ms(),
            };
            shared.queries.lock().expect("queries").push(query.clone());
            let answer = (shared.script)(&query);
            sleep_ms(answer.delay_ms);
            put_answer(&mut out, &query, &answer);
            shared.record.line(format!(
                "{} ran {} of class {} ({} bytes, d={}) and answers {} part={} caught_up_to={} ({} ms ago)",
                shared.name,
                query.id,
                query.class,
                query.text.len(),
                wire::annotation(&query.text, "d").unwrap_or_default(),
                answer.content.as_ref().map_or_else(|code| (*code).to_owned(), |_| "the row".to_owned()),
                if answer.is_primary { "master" } else { "replica" },
                answer.position_ms,
                now_ms().saturating_sub(answer.position_ms),
            ));
        }
        wire::put_ready(&mut out);
        (&stream).write_all(&out)?;
    }
}

fn put_answer(out: &mut Vec<u8>, query: &Query, answer: &Answer) {
    match &answer.content {
        Ok(value) => wire::put_row(out, value, query.is_write),
        Err(code) => wire::put_error(out, code, "not here"),
    }
    wire::put_parameter(
        out,
        "part",
        if answer.is_primary {
            "master"
        } else {
            "replica"
        },
    );
    wire::put_parameter(out, "caught_up_to", &answer.position_ms.to_string());
}
