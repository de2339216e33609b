//! Parses the command line: the command to run, and the path of the project's own settings.

use crate::config::{Config, ConfigError};
use crate::extensions::{Extensions, ExtensionsError};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};

/// A router for replicated database clusters.
#[derive(Debug, Parser)]
#[command(name = "reelrill", version, about, disable_version_flag = true)]
pub struct Cli {
    /// The file of the project's own settings (YAML); see deploy/edge.example.yaml
    #[arg(long = "edge", env = "RELAY_EDGE", global = true, value_name = "FILE")]
    pub extensions_path: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

/// A command of the program; the doc comments are its help texts.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Serves clients as configured by RELAY_CONFIG and the other environment variables (the default)
    Serve,
    /// Checks a file: the platform's configuration (.json) or the project's own settings (any other name)
    Check {
        /// The file to check
        file: PathBuf,
    },
    /// Prints the endpoints of a running router with the claims of each discovery source
    Members {
        /// The router's admin socket: `members_socket` in its settings
        #[arg(long, value_name = "PATH")]
        socket: PathBuf,
    },
    /// Prints the version
    Version,
}

impl Cli {
    /// Returns the command, or [`Command::Serve`] if none is named.
    pub fn command(&self) -> Command {
        self.command.clone().unwrap_or(Command::Serve)
    }

    /// Reads the project's own settings, or returns their defaults if no file is named.
    ///
    /// # Errors
    /// Fails if the file can't be read, or is not valid.
    pub fn load_extensions(&self) -> Result<Extensions, ExtensionsError> {
        self.extensions_path
            .as_deref()
            .map_or_else(|| Ok(Extensions::default()), Extensions::load)
    }
}

/// The error of a file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The file is not a valid platform configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The file is not a valid file of the project's own settings.
    #[error(transparent)]
    Extensions(#[from] ExtensionsError),
    /// A value of the platform's settings is out of its range.
    #[error("{path}: settings: {source}")]
    Settings {
        /// The file.
        path: String,
        /// The setting at fault.
        source: reelrill_routing::SettingsError,
    },
}

/// Reads a file as `serve` would: a file whose name ends in `.json` as the platform's configuration, any other as the
/// project's own settings. Returns the kind of the file, as text for the operator.
///
/// # Errors
/// Fails if `serve` could not use the file.
pub fn check(file: &Path) -> Result<&'static str, CheckError> {
    if file.extension().is_some_and(|e| e == "json") {
        let config = Config::check(&file.display().to_string())?;
        let settings = &config.routing.settings;
        settings.validate().map_err(|source| CheckError::Settings {
            path: file.display().to_string(),
            source,
        })?;
        return Ok("platform configuration");
    }
    Extensions::load(file)?;
    Ok("project settings")
}
