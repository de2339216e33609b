//! Serves the admin socket, a Unix socket from which operators read the endpoints of a running router, and implements
//! the command that reads it.
//!
//! The module owns the socket's path. It never changes an endpoint, and only the router's own operating-system user may
//! connect.

mod status_table;

pub use status_table::format_table;

use crate::runtime::accept;
use crate::runtime::shared::Shared;
use crate::runtime::turn::{self, TaskKind};
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

/// A query for the status of all endpoints: the channel on which the formatted table is returned.
pub type StatusQuery = Sender<String>;

/// The maximum time to write the table to a client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of queries that may wait for the registry.
const MAX_QUEUED_QUERIES: usize = 4;
/// The socket's file mode: only the router's own user may connect.
const SOCKET_MODE: u32 = 0o600;

/// Listens on the configured socket and returns the receiver of its queries. If no socket is configured, the receiver
/// gets no queries.
///
/// # Errors
/// Fails if the socket can't be created.
pub fn listen(
    shared: &Rc<Shared>,
    executor: &Rc<LocalExecutor<'static>>,
) -> std::io::Result<Receiver<StatusQuery>> {
    let (queries, received) = async_channel::bounded(MAX_QUEUED_QUERIES);
    if let Some(path) = &shared.config.extensions.members_socket {
        let listener = bind(path)?;
        let log = shared.log.clone();
        let serve = serve(listener, queries, log);
        turn::spawn(shared, executor, TaskKind::Discovery, serve);
    }
    Ok(received)
}

/// Creates the socket under a temporary name, sets its mode and then renames it, so that no other user can connect
/// before the mode is set.
fn bind(path: &Path) -> std::io::Result<Async<UnixListener>> {
    let mut temporary_path = path.as_os_str().to_owned();
    temporary_path.push(".new");
    let _ = std::fs::remove_file(&temporary_path);
    let listener = Async::<UnixListener>::bind(&temporary_path)?;
    std::fs::set_permissions(
        &temporary_path,
        std::fs::Permissions::from_mode(SOCKET_MODE),
    )?;
    std::fs::rename(&temporary_path, path)?;
    Ok(listener)
}

/// Accepts clients and serves them one at a time.
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

/// Requests the table from the registry and writes it to a client, within [`WRITE_TIMEOUT`].
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

/// Connects to a running router's socket and prints the table to standard output.
///
/// # Errors
/// Fails if the socket can't be connected to or read, or standard output can't be written.
pub fn print_status(socket: &Path) -> std::io::Result<()> {
    let mut table = String::new();
    UnixStream::connect(socket)?.read_to_string(&mut table)?;
    std::io::stdout().write_all(table.as_bytes())
}
