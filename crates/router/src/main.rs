//! The reelrill router: wires the actors together on one thread and minds the signals.
#![forbid(unsafe_code)]

mod cli;
mod client;
mod config;
mod discovery;
mod dispatcher;
mod extensions;
mod messages;
mod observability;
mod runtime;
mod upstream;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use clap::Parser as _;
use futures_lite::StreamExt as _;
use futures_lite::future::or;
use runtime::shared::Shared;
use slog::{Logger, error, info, warn};
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Requests count as taken from the kernel's backlog on, so it must hold a burst.
const BACKLOG: i32 = 4096;
const MAILBOX: usize = 1024;
/// After SIGTERM, the time without an arrival after which the process ends, if nobody is connected.
const QUIESCENCE: Duration = Duration::from_millis(500);

#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("settings: {0}")]
    Settings(#[from] reelrill_routing::SettingsError),
    #[error("{0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error(transparent)]
    EndpointRegistryTask(#[from] discovery::registry::RegistryError),
    #[error("signals: {0}")]
    Signals(std::io::Error),
}

/// The exit code of a file that makes no sense.
const WRONG: u8 = 2;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let wrong = |e: &dyn std::fmt::Display, code| {
        eprintln!("reelrill: {e}");
        code
    };
    match cli.command() {
        cli::Command::Serve => serve(&cli).unwrap_or_else(|e| wrong(&e, ExitCode::FAILURE)),
        cli::Command::Check { file } => match cli::check(&file) {
            Ok(what) => {
                println!("{}: {what}, nothing wrong with it", file.display());
                ExitCode::SUCCESS
            }
            Err(e) => wrong(&e, ExitCode::from(WRONG)),
        },
        cli::Command::Members { socket } => match discovery::admin_socket::print(&socket) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => wrong(
                &format_args!("{}: {e}", socket.display()),
                ExitCode::FAILURE,
            ),
        },
        cli::Command::Version => {
            println!("reelrill {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

/// Serves until the router is told to end. An error comes before anything has been served.
fn serve(cli: &cli::Cli) -> Result<ExitCode, cli::CheckError> {
    let config = config::Config::load(cli.settings()?, cli.edge.clone())?;
    let (log, _flush) = observability::log::start(&config.name);
    Ok(match start(config, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(log, "cannot start"; "error" => %e);
            ExitCode::FAILURE
        }
    })
}

fn listener(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // A restart must not wait for the old connections' addresses.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

fn start(config: config::Config, log: &Logger) -> Result<(), StartError> {
    let address = config.listen;
    let executor = Rc::new(LocalExecutor::new());
    let (dispatcher, inbox) = dispatcher::mailbox::mailbox();
    let (calls, asked) = async_channel::bounded(4);
    let (told, news) = async_channel::bounded(MAILBOX);
    let told = config.edge.discovery.dns_sd.is_some().then_some(told);
    let shared = Shared::new(config, log.clone(), dispatcher, told);
    // Room for the newest alone: what a later configuration says goes before what an earlier one said.
    let (place, places) = async_channel::bounded(1);
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup]);
    let signals = signals.map_err(StartError::Signals)?;
    let dispatcher = dispatcher::Dispatcher::new(shared.clone(), executor.clone(), calls.clone())?;
    let directory =
        discovery::registry::EndpointRegistryTask::new(&shared, &executor, calls, news)?;
    let listener = listener(address).map_err(|e| StartError::Listen(address, e))?;
    let bound = listener.get_ref().local_addr().unwrap_or(address);
    info!(log, "listening"; "address" => %bound, "instances" => shared.config.known.1.len());
    executor.spawn(dispatcher.run(inbox)).detach();
    if let Some(directory) = directory {
        executor.spawn(directory.run()).detach();
    }
    if shared.config.edge.discovery.roster {
        executor
            .spawn(discovery::client::run(shared.clone(), asked, places))
            .detach();
    }
    executor
        .spawn(client::listen(shared.clone(), executor.clone(), listener))
        .detach();
    async_io::block_on(executor.run(or(mind(&shared, signals, place), until_ended(&shared))));
    info!(log, "counters"; "all" => %shared.counters);
    Ok(())
}

/// Minds the signals, also while the router is ending.
async fn mind(shared: &Shared, mut signals: Signals, place: Sender<SocketAddr>) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => info!(shared.log, "counters"; "all" => %shared.counters),
            Ok(Signal::Hup) => reload(shared, &place).await,
            Ok(_) if shared.draining.is_raised() => info!(shared.log, "already ending"),
            Ok(_) => {
                shared.ended_at.set(Some(shared.clock.now()));
                shared.draining.raise();
                // The decider ends last.
                let _ = shared
                    .dispatcher
                    .send(messages::Message::ShutdownStarted)
                    .await;
            }
            Err(e) => error!(shared.log, "signals"; "error" => %e),
        }
        // A flood of signals is always ready: without a pause it would keep all other tasks from running.
        futures_lite::future::yield_now().await;
    }
    futures_lite::future::pending().await
}

/// Reads the configuration again. A file that makes no sense changes nothing.
async fn reload(shared: &Shared, place: &Sender<SocketAddr>) {
    let new = match shared.config.reload() {
        Ok(new) => new,
        Err(e) => {
            return error!(shared.log, "the new configuration is wrong, the old one stays"; "error" => %e);
        }
    };
    info!(shared.log, "configuration read again"; "discovery" => %new.discovery);
    let kept = shared.config.needs_restart(&new);
    if !kept.is_empty() {
        warn!(shared.log, "a change takes effect at the next start"; "of" => kept.join(", "));
    }
    // Without a roster there is nobody to tell.
    let _ = place.force_send(new.discovery);
    if new.edge.extended != shared.config.edge.extended {
        warn!(shared.log, "a change takes effect at the next start"; "of" => "extended");
    }
    match &shared.directory {
        Some(directory) => drop(
            directory
                .send(messages::News::Settings(new.edge.discovery))
                .await,
        ),
        None if new.edge.discovery != shared.config.edge.discovery => {
            warn!(shared.log, "a change takes effect at the next start"; "of" => "discovery");
        }
        None => {}
    }
}

/// Waits for SIGTERM, and then until the router may end.
async fn until_ended(shared: &Shared) {
    shared.draining.wait().await;
    info!(shared.log, "ending");
    let began = shared.ended_at.get().unwrap_or_else(|| shared.clock.now());
    // Clients keep coming for a while, by the listener and by the connections that they still hold.
    loop {
        Timer::after(Duration::from_millis(20)).await;
        let now = shared.clock.now();
        let spent = now.saturating_sub(began);
        let is_quiet = now.saturating_sub(shared.last_arrival.get()) > QUIESCENCE.as_nanos() as u64;
        let is_drained =
            spent > shared.shutdown.min_drain && is_quiet || spent > shared.shutdown.last_read;
        // The listener holds one slot for the connection that it waits for.
        if is_drained && shared.clients.used() <= 1 {
            return;
        }
    }
}
