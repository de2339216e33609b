//! The admin socket: a Unix socket on which a running router shows operators its endpoints, and the command that reads
//! it.
//!
//! It owns the socket's path. It never changes an endpoint, and only the router's own user may connect.

mod status_table;

pub use status_table::table;

use crate::runtime::accept;
use crate::runtime::shared::Shared;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt as _;
use futures_lite::future::or;
use slog::{Logger, warn};
use std::io::{Read as _, Write as _};
use std::os::unix::fs::PermissionsExt as _;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A query for the endpoints' status: where the table goes.
pub type StatusQuery = Sender<String>;

/// How long a client may take to read the table.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How many queries may wait for the registry.
const MAX_QUEUED_QUERIES: usize = 4;
/// Only the router's own user may connect.
const SOCKET_MODE: u32 = 0o600;

/// Listens on the socket of the settings, and returns the queries that come in; without a socket none ever comes.
///
/// # Errors
/// If the socket can't be made.
pub fn listen(
    shared: &Rc<Shared>,
    executor: &Rc<LocalExecutor<'static>>,
) -> std::io::Result<Receiver<StatusQuery>> {
    let (queries, received) = async_channel::bounded(MAX_QUEUED_QUERIES);
    if let Some(path) = &shared.config.extensions.members_socket {
        let listener = bind(path)?;
        let log = shared.log.clone();
        executor.spawn(serve(listener, queries, log)).detach();
    }
    Ok(received)
}

/// Makes the socket under another name and with its mode before it gets its own, so that nobody else can connect in
/// between.
fn bind(path: &Path) -> std::io::Result<Async<UnixListener>> {
    let mut unpublished = path.as_os_str().to_owned();
    unpublished.push(".new");
    let _ = std::fs::remove_file(&unpublished);
    let listener = Async::<UnixListener>::bind(&unpublished)?;
    std::fs::set_permissions(&unpublished, std::fs::Permissions::from_mode(SOCKET_MODE))?;
    std::fs::rename(&unpublished, path)?;
    Ok(listener)
}

/// Serves one client after the other.
async fn serve(listener: Async<UnixListener>, queries: Sender<StatusQuery>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => write_table(stream, &queries).await,
            Err(e) => {
                warn!(log, "accept failed"; "socket" => "members", "error" => %e);
                if let Some(pause) = accept::pause_after(&e) {
                    Timer::after(pause).await;
                }
            }
        }
    }
}

/// Writes the table to a client, if it reads in time.
async fn write_table(mut stream: Async<UnixStream>, queries: &Sender<StatusQuery>) {
    let (query, response) = async_channel::bounded(1);
    let write = async {
        if queries.send(query).await.is_ok()
            && let Ok(table) = response.recv().await
        {
            let _ = stream.write_all(table.as_bytes()).await;
        }
    };
    let timeout = async {
        Timer::after(WRITE_TIMEOUT).await;
    };
    or(write, timeout).await;
}

/// Connects to a running router's socket and prints the table.
///
/// # Errors
/// If the socket can't be read, or nothing can be printed.
pub fn print_status(socket: &Path) -> std::io::Result<()> {
    let mut table = String::new();
    UnixStream::connect(socket)?.read_to_string(&mut table)?;
    std::io::stdout().write_all(table.as_bytes())
}
