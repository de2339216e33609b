//! SIGHUP: reads the configuration again and hands on what may change while the router runs.
//!
//! Must never replace a valid configuration by one that is not, and names in the log whatever needs a restart.

use crate::discovery::messages::RegistryEvent;
use crate::runtime::shared::Shared;
use async_channel::Sender;
use slog::{error, info, warn};
use std::net::SocketAddr;

/// Reads the configuration and the extensions again, and tells discovery what has changed. A file that is not valid
/// changes nothing.
pub async fn reload(shared: &Shared, discovery_address: &Sender<SocketAddr>) {
    let new = match shared.config.reload() {
        Ok(new) => new,
        Err(e) => {
            return error!(shared.log, "the new configuration is wrong, the old one stays"; "error" => %e);
        }
    };
    info!(shared.log, "configuration read again"; "discovery" => %new.discovery_address);
    let kept = shared.config.keys_needing_restart(&new);
    if !kept.is_empty() {
        warn!(shared.log, "a change takes effect at the next start"; "of" => kept.join(", "));
    }
    // Fails only where discovery is not used.
    let _ = discovery_address.force_send(new.discovery_address);
    if new.extensions.extended != shared.config.extensions.extended {
        warn!(shared.log, "a change takes effect at the next start"; "of" => "extended");
    }
    match &shared.registry {
        Some(directory) => drop(
            directory
                .send(RegistryEvent::SettingsReloaded(new.extensions.discovery))
                .await,
        ),
        None if new.extensions.discovery != shared.config.extensions.discovery => {
            warn!(shared.log, "a change takes effect at the next start"; "of" => "discovery");
        }
        None => {}
    }
}
