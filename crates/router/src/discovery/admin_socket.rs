//! What an operator sees of the endpoints: a Unix socket that tells, and the command that asks.

use crate::runtime::accept;
use crate::runtime::shared::Shared;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt as _;
use futures_lite::future::or;
use reelrill_routing::Timestamp;
use reelrill_service_discovery::{ClaimedState, EndpointRegistry, SourceId};
use slog::warn;
use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::os::unix::fs::PermissionsExt as _;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A query for the endpoints' status: where the table goes.
pub type StatusQuery = Sender<String>;

/// How long one that asks may take to read.
const READING: Duration = Duration::from_secs(5);

/// Listens on the socket of the settings; without one nobody ever asks. It is made under another name and with its
/// mode before it gets its own, so that nobody else can connect in between.
pub fn listen(
    shared: &Rc<Shared>,
    executor: &Rc<LocalExecutor<'static>>,
) -> std::io::Result<Receiver<StatusQuery>> {
    let (ask, questions) = async_channel::bounded(4);
    let Some(path) = &shared.config.edge.members_socket else {
        return Ok(questions);
    };
    let mut making = path.clone().into_os_string();
    making.push(".new");
    let _ = std::fs::remove_file(&making);
    let listener = Async::<UnixListener>::bind(&making)?;
    std::fs::set_permissions(&making, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&making, path)?;
    let log = shared.log.clone();
    let serve = async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => tell(stream, &ask).await,
                Err(e) => {
                    warn!(log, "accept failed"; "socket" => "members", "error" => %e);
                    if let Some(pause) = accept::pause_after(&e) {
                        Timer::after(pause).await;
                    }
                }
            }
        }
    };
    executor.spawn(serve).detach();
    Ok(questions)
}

/// Writes the table to one that asks, if it reads in time.
async fn tell(mut stream: Async<UnixStream>, ask: &Sender<StatusQuery>) {
    let (question, answer) = async_channel::bounded(1);
    let tell = async {
        if ask.send(question).await.is_ok()
            && let Ok(table) = answer.recv().await
        {
            let _ = stream.write_all(table.as_bytes()).await;
        }
    };
    let late = async {
        Timer::after(READING).await;
    };
    or(tell, late).await;
}

fn age(now: Timestamp, at: Timestamp) -> String {
    format!("{:.1}s", now.saturating_sub(at) as f64 / 1e9)
}

/// One line for each endpoint, and one below it for each claim.
pub fn table(
    endpoints: &EndpointRegistry,
    now: Timestamp,
    name: impl Fn(SourceId) -> String,
) -> String {
    let mut out = String::new();
    for m in endpoints.status() {
        let state = m.listed.as_ref().map_or("-", |v| {
            if v.state == ClaimedState::Ready {
                "ready"
            } else {
                "draining"
            }
        });
        let place = m.listed.as_ref().map_or_else(String::new, |v| {
            format!(
                " {} group {} zone {} weight {}",
                v.address, v.replica_set, v.zone, v.weight
            )
        });
        let answered = m
            .answered
            .map_or_else(|| "never".to_owned(), |at| age(now, at) + " ago");
        let _ = writeln!(
            out,
            "{} {state}{place} rule {:?} answered {answered}",
            m.endpoint, m.rule
        );
        for h in &m.claims {
            let stale = if h.is_stale { " stale" } else { "" };
            let silent = endpoints
                .silent_since(h.source)
                .map_or_else(String::new, |at| format!(" silent {}", age(now, at)));
            let _ = writeln!(
                out,
                "    {} says {:?} {} start {} told {} ago, the same for {}{stale}{silent}",
                name(h.source),
                h.claim.state,
                h.claim.address,
                h.claim.started / 1_000_000,
                age(now, h.told),
                age(now, h.since),
            );
        }
    }
    let counts = endpoints.counts();
    let _ = writeln!(
        out,
        "{} members, {} contradicted, {} ambiguous, {} refused",
        endpoints.len(),
        counts.contradictions,
        counts.ambiguous_names,
        counts.rejected_claims
    );
    out
}

/// Asks a running router and prints what it says.
pub fn print(socket: &Path) -> std::io::Result<()> {
    let mut text = String::new();
    UnixStream::connect(socket)?.read_to_string(&mut text)?;
    std::io::stdout().write_all(text.as_bytes())
}
