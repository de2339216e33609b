//! The lab: experiments with the real router as a process, against stand-ins on loopback.
//!
//! `reelrill-experiments measure NAME` prints a table with each figure beside its aim, the same as one JSON object on its
//! last line, and exits 1 if an aim is missed.
#![forbid(unsafe_code)]

mod extended;
mod figures;
mod fleet;
mod membership;

use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "reelrill-experiments", version, about)]
struct Cli {
    /// The router's program; by default the one beside this program
    #[arg(long, global = true, value_name = "FILE")]
    router: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures a subsystem against its aims
    Measure {
        /// The subsystem
        name: Subsystem,
        /// Fewer rounds, under 40 s
        #[arg(long)]
        quick: bool,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Subsystem {
    /// Extended queries
    Extended,
    /// Endpoints from service records and the roster together
    Membership,
    /// What a router needs as the fleet grows
    Fleet,
}

fn main() -> anyhow::Result<ExitCode> {
    let cli = Cli::parse();
    let router = match cli.router {
        Some(path) => path,
        None => std::env::current_exe()?.with_file_name("reelrill"),
    };
    anyhow::ensure!(
        router.exists(),
        "{}: no such program; build it, or name it by --router",
        router.display()
    );
    let Command::Measure { name, quick } = cli.command;
    let report = match name {
        Subsystem::Extended => extended::measure(&router.display().to_string(), quick)?,
        Subsystem::Membership => membership::measure(&router.display().to_string(), quick)?,
        Subsystem::Fleet => fleet::measure(&router.display().to_string(), quick)?,
    };
    print!("{report}");
    println!("{}", serde_json::to_string(&report)?);
    Ok(if report.is_met() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
