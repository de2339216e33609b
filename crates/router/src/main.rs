//! The reelrill router: command line, and the wiring of its tasks on one thread.
//!
//! Must never hold state of its own: what tasks share is in [`runtime::shared::Shared`].
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

use async_executor::LocalExecutor;
use async_io::Async;
use clap::Parser as _;
use futures_lite::future::or;
use runtime::shared::Shared;
use slog::{Logger, error, info};
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;

/// Requests count as taken from the kernel's backlog on, so it must hold a burst.
const BACKLOG: i32 = 4096;
const MAILBOX: usize = 1024;
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

/// The exit code of `check` for a file that is not valid.
const INVALID_FILE: u8 = 2;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let fail = |e: &dyn std::fmt::Display, code| {
        eprintln!("reelrill: {e}");
        code
    };
    match cli.command() {
        cli::Command::Serve => serve(&cli).unwrap_or_else(|e| fail(&e, ExitCode::FAILURE)),
        cli::Command::Check { file } => match cli::check(&file) {
            Ok(what) => {
                println!("{}: {what}, nothing wrong with it", file.display());
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

/// Serves until the router is told to end. An error comes before anything has been served.
fn serve(cli: &cli::Cli) -> Result<ExitCode, cli::CheckError> {
    let config = config::Config::load(cli.load_extensions()?, cli.extensions_path.clone())?;
    let (log, _flush) = observability::logging::start(&config.name);
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
    let address = config.listen_address;
    let executor = Rc::new(LocalExecutor::new());
    let (dispatcher, inbox) = dispatcher::mailbox::mailbox();
    let (calls, asked) = async_channel::bounded(4);
    let (told, news) = async_channel::bounded(MAILBOX);
    let told = config.extensions.discovery.dns_sd.is_some().then_some(told);
    let shared = Shared::new(config, log.clone(), dispatcher, told);
    // Room for the newest alone: what a later configuration says goes before what an earlier one said.
    let (discovery_address, discovery_addresses) = async_channel::bounded(1);
    let signals = signals::listen().map_err(StartError::Signals)?;
    let dispatcher = dispatcher::Dispatcher::new(shared.clone(), executor.clone(), calls.clone())?;
    let directory =
        discovery::registry::EndpointRegistryTask::new(&shared, &executor, calls, news)?;
    let listener = listener(address).map_err(|e| StartError::Listen(address, e))?;
    let bound = listener.get_ref().local_addr().unwrap_or(address);
    info!(log, "listening"; "address" => %bound, "instances" => shared.config.known_list.1.len());
    executor.spawn(dispatcher.run(inbox)).detach();
    if let Some(directory) = directory {
        executor.spawn(directory.run()).detach();
    }
    if shared.config.extensions.discovery.roster {
        executor
            .spawn(discovery::list_watch::run(
                shared.clone(),
                asked,
                discovery_addresses,
            ))
            .detach();
    }
    executor
        .spawn(client::accept_connections(
            shared.clone(),
            executor.clone(),
            listener,
        ))
        .detach();
    let handle_signals = signals::handle(&shared, signals, discovery_address);
    async_io::block_on(executor.run(or(handle_signals, drain::until_drained(&shared))));
    info!(log, "counters"; "all" => %shared.counters);
    Ok(())
}
