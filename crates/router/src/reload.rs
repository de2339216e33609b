//! Reloads the configuration on SIGHUP: reads the files again and applies the settings that can change at run time.
//!
//! An invalid configuration must never replace a valid one. Changed settings that require a restart are logged.

use crate::discovery::messages::RegistryEvent;
use crate::runtime::shared::Shared;
use async_channel::Sender;
use slog::{error, info, warn};
use std::net::SocketAddr;

/// Reads the configuration and the extensions again, and passes the changes to discovery. If a file is invalid, nothing
/// changes.
pub async fn reload(shared: &Shared, discovery_addresses: &Sender<SocketAddr>) {
    let new = match shared.config.reload() {
        Ok(new) => new,
        Err(e) => {
            return error!(shared.log, "configuration reload failed, keeping the current configuration"; "error" => %e);
        }
    };
    info!(shared.log, "configuration reloaded"; "discovery" => %new.discovery_address);
    let unapplied = shared.config.keys_needing_restart(&new);
    if !unapplied.is_empty() {
        warn!(shared.log, "changed setting takes effect after a restart"; "of" => unapplied.join(", "));
    }
    // Fails only if the endpoint list is not polled.
    let _ = discovery_addresses.force_send(new.discovery_address);
    if new.extensions.extended != shared.config.extensions.extended {
        warn!(shared.log, "changed setting takes effect after a restart"; "of" => "extended");
    }
    match &shared.registry {
        Some(registry) => drop(
            registry
                .send(RegistryEvent::SettingsReloaded(new.extensions.discovery))
                .await,
        ),
        None if new.extensions.discovery != shared.config.extensions.discovery => {
            warn!(shared.log, "changed setting takes effect after a restart"; "of" => "discovery");
        }
        None => {}
    }
}
