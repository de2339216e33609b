//! The command line: which command to run, and where the project's own settings are.

use crate::config::{Config, ConfigError};
use crate::extensions::{Extensions, ExtensionsError};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};

/// A router for replicated database clusters.
#[derive(Debug, Parser)]
#[command(name = "reelrill", version, about, disable_version_flag = true)]
pub struct Cli {
    /// The project's own settings (YAML); see deploy/edge.example.yaml
    #[arg(long = "edge", env = "RELAY_EDGE", global = true, value_name = "FILE")]
    pub extensions_path: Option<PathBuf>,
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
    /// The command, which is [`Command::Serve`] if none is named.
    pub fn command(&self) -> Command {
        self.command.clone().unwrap_or(Command::Serve)
    }

    /// Reads the project's own settings, or returns their defaults if no file is named.
    ///
    /// # Errors
    /// If the file can't be used.
    pub fn load_extensions(&self) -> Result<Extensions, ExtensionsError> {
        self.extensions_path
            .as_deref()
            .map_or_else(|| Ok(Extensions::default()), Extensions::load)
    }
}

/// Why a checked file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// As the platform's configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// As the project's own settings.
    #[error(transparent)]
    Extensions(#[from] ExtensionsError),
    /// A value of the platform's settings is out of its range.
    #[error("{path}: settings: {source}")]
    Settings {
        /// The file.
        path: String,
        /// What is wrong.
        source: reelrill_routing::SettingsError,
    },
}

/// Reads a file as `serve` would: one that ends in `.json` as the platform's configuration, any other as the project's
/// settings. Returns which of the two it is.
///
/// # Errors
/// If `serve` could not use the file.
pub fn check(file: &Path) -> Result<&'static str, CheckError> {
    if file.extension().is_some_and(|e| e == "json") {
        let config = Config::check(&file.display().to_string())?;
        let settings = &config.site.settings;
        settings.validate().map_err(|source| CheckError::Settings {
            path: file.display().to_string(),
            source,
        })?;
        return Ok("a configuration of the platform");
    }
    Extensions::load(file)?;
    Ok("settings of the project")
}
