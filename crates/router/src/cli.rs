//! The command line.

use crate::config::{Config, ConfigError};
use crate::extensions::{Extensions, ExtensionsError};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};

/// A router for replicated database clusters.
#[derive(Debug, Parser)]
#[command(name = "reelrill", version, about, disable_version_flag = true)]
pub struct Cli {
    /// The project's own settings (YAML); see deploy/edge.example.yaml
    #[arg(long, env = "RELAY_EDGE", global = true, value_name = "FILE")]
    pub edge: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Serves clients, as RELAY_CONFIG and the other variables say (the default)
    Serve,
    /// Says what is wrong with a file: the platform's configuration (.json) or the project's settings (any other)
    Check {
        /// The file
        file: PathBuf,
    },
    /// Prints what a running router knows of its members, and who says so
    Members {
        /// Its socket, as `members_socket` in its settings names it
        #[arg(long, value_name = "PATH")]
        socket: PathBuf,
    },
    /// Prints the version
    Version,
}

impl Cli {
    pub fn command(&self) -> Command {
        self.command.clone().unwrap_or(Command::Serve)
    }

    /// The project's own settings; the defaults, if there is no file.
    pub fn settings(&self) -> Result<Extensions, ExtensionsError> {
        self.edge
            .as_deref()
            .map_or_else(|| Ok(Extensions::default()), Extensions::load)
    }
}

#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Extensions(#[from] ExtensionsError),
    #[error("{0}: settings: {1}")]
    Settings(String, reelrill_routing::SettingsError),
}

/// Reads a file as `serve` would. Returns what it is.
pub fn check(file: &Path) -> Result<&'static str, CheckError> {
    if file.extension().is_some_and(|e| e == "json") {
        let config = Config::check(&file.display().to_string())?;
        let settings = &config.site.settings;
        settings
            .check()
            .map_err(|e| CheckError::Settings(file.display().to_string(), e))?;
        return Ok("a configuration of the platform");
    }
    Extensions::load(file)?;
    Ok("settings of the project")
}
