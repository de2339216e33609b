//! The reelrill router: runs the commands of the command line, and starts the router's tasks on one thread.
//!
//! This module must hold no state of its own: the state that tasks share is in [`runtime::shared::Shared`].
#![forbid(unsafe_code)]

mod cli;
mod client;
mod config;
mod discovery;
mod dispatcher;
mod drain;
mod extensions;
mod messages;
mod observability;
mod reload;
mod runtime;
mod signals;
mod upstream;
mod write_permit;

use async_executor::LocalExecutor;
use async_io::Async;
use clap::Parser as _;
use futures_lite::future::or;
use runtime::shared::Shared;
use runtime::turn::{self, TaskKind};
use slog::{Logger, error, info};
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;

/// The length of the kernel's backlog of client connections. A request whose connection is in the backlog counts as
/// accepted, so the backlog must hold a burst.
const LISTEN_BACKLOG: i32 = 4096;
/// The capacity of the channel for events to the endpoint registry.
const REGISTRY_EVENT_CAPACITY: usize = 1024;
/// The capacity of the channel for requests for the endpoint list.
const LIST_REQUEST_CAPACITY: usize = 4;

/// The reason for which the router cannot start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("settings: {0}")]
    Settings(#[from] reelrill_routing::SettingsError),
    #[error("cannot listen on client address {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error(transparent)]
    Registry(#[from] discovery::registry::RegistryError),
    #[error("cannot install the signal handlers: {0}")]
    Signals(std::io::Error),
}

/// The exit code of the `check` command for an invalid file.
const INVALID_FILE: u8 = 2;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let fail = |error: &dyn std::fmt::Display, code| {
        eprintln!("reelrill: {error}");
        code
    };
    match cli.command() {
        cli::Command::Serve => serve(&cli).unwrap_or_else(|e| fail(&e, ExitCode::FAILURE)),
        cli::Command::Check { file } => match cli::check(&file) {
            Ok(file_kind) => {
                println!("{}: {file_kind}, no errors found", file.display());
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e, ExitCode::from(INVALID_FILE)),
        },
        cli::Command::Members { socket } => match discovery::admin_socket::print_status(&socket) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(
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

/// Runs the router until it has shut down.
///
/// # Errors
/// Fails if the project's own settings or the configuration cannot be read. The router has then served no client.
fn serve(cli: &cli::Cli) -> Result<ExitCode, cli::CheckError> {
    let config = config::Config::load(cli.load_extensions()?, cli.extensions_path.clone())?;
    let (log, _flush) = observability::logging::start(&config.name);
    Ok(match start(config, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(log, "router failed to start"; "error" => %e);
            ExitCode::FAILURE
        }
    })
}

/// Creates the listener for client connections.
fn listener(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    use socket2::{Domain, Protocol, Socket, Type};
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    // A restarted router must be able to bind while connections of the previous process are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Async::new(socket.into())
}

/// Starts all tasks, and runs them until the graceful shutdown is complete.
fn start(config: config::Config, log: &Logger) -> Result<(), StartError> {
    let address = config.listen_address;
    let executor = Rc::new(LocalExecutor::new());
    let (dispatcher_sender, mailbox) = dispatcher::mailbox::mailbox();
    let (list_request_sender, list_requests) = async_channel::bounded(LIST_REQUEST_CAPACITY);
    let (registry_sender, registry_events) = async_channel::bounded(REGISTRY_EVENT_CAPACITY);
    let registry_sender = config
        .extensions
        .discovery
        .dns_sd
        .is_some()
        .then_some(registry_sender);
    let shared = Shared::new(config, log.clone(), dispatcher_sender, registry_sender);
    // This channel holds only the newest address: a later configuration replaces an earlier one.
    let (discovery_address_sender, discovery_addresses) = async_channel::bounded(1);
    let signals = signals::listen().map_err(StartError::Signals)?;
    let dispatcher = dispatcher::Dispatcher::new(
        shared.clone(),
        executor.clone(),
        list_request_sender.clone(),
    )?;
    let registry = discovery::registry::EndpointRegistryTask::new(
        &shared,
        &executor,
        list_request_sender,
        registry_events,
    )?;
    let listener = listener(address).map_err(|e| StartError::Listen(address, e))?;
    let bound_address = listener.get_ref().local_addr().unwrap_or(address);
    info!(log, "listening on client address"; "address" => %bound_address,
          "instances" => shared.config.known_list.1.len());
    let run_dispatcher = dispatcher.run(mailbox);
    turn::spawn(&shared, &executor, TaskKind::Dispatcher, run_dispatcher);
    if let Some(registry) = registry {
        turn::spawn(&shared, &executor, TaskKind::Discovery, registry.run());
    }
    if shared.config.extensions.discovery.roster {
        let watch = discovery::list_watch::run(shared.clone(), list_requests, discovery_addresses);
        turn::spawn(&shared, &executor, TaskKind::Discovery, watch);
    }
    let accept = client::accept_connections(shared.clone(), executor.clone(), listener);
    turn::spawn(&shared, &executor, TaskKind::Accept, accept);
    let handle_signals = signals::handle(&shared, signals, discovery_address_sender);
    async_io::block_on(executor.run(or(handle_signals, drain::until_drained(&shared))));
    info!(log, "counters"; "all" => %shared.counters);
    Ok(())
}
