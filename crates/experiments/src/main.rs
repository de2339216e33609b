//! Experiments that measure the router, started as a process, against fake endpoints and fake discovery on loopback.
//!
//! `reelrill-experiments measure NAME` prints a table of figures with their targets and, on the last line, the same
//! figures as one JSON object. It exits with status 1 if a figure misses its target.
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
    /// Path of the router's executable; by default `reelrill` in the directory of this program
    #[arg(long, global = true, value_name = "FILE")]
    router: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measures a subsystem and compares its figures with their targets
    Measure {
        /// Subsystem to measure
        name: Subsystem,
        /// Run fewer or shorter rounds, under 40 s
        #[arg(long)]
        quick: bool,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Subsystem {
    /// Cost and correctness of extended queries
    Extended,
    /// Discovery from DNS records and the endpoint list together
    Membership,
    /// Resources that one router uses as the fleet grows
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
        "router executable {} does not exist: build it, or set its path with --router",
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
