//! Processes the simulator's input line by line, and holds the state between lines: the routers, the endpoint lists and
//! the open batch of events.

use crate::actions::ActionLine;
use crate::endpoint_lists::{EndpointIds, EndpointLists};
use crate::error::LineError;
use crate::events;
use crate::fields::{Fields, unknown_value};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use reelrill_routing::{Action, Balancer, Event, Timestamp};
use std::collections::HashMap;

/// A simulated router.
struct Router {
    balancer: Balancer,
    /// The clock time that replication positions in the input are relative to, in nanoseconds.
    position_origin: Timestamp,
}

/// A batch of events, from `MARK` to `END`: they occur at the same time and get one reply.
#[derive(Clone, Copy)]
struct Batch {
    now: Timestamp,
    /// The number of the batch, which the reply repeats.
    sequence: u64,
}

/// Holds the state of one simulation.
#[derive(Default)]
pub struct Adapter {
    routers: HashMap<u64, Router>,
    endpoint_ids: EndpointIds,
    lists: EndpointLists,
    batch: Option<Batch>,
    /// The reply to the open batch so far.
    reply: String,
    /// The actions of the event being handled; empty between events.
    actions: Vec<Action>,
}

impl Adapter {
    /// Returns whether a batch is open.
    pub fn is_in_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Processes one line, given without its line end. Returns the reply if the line ends a batch.
    ///
    /// # Errors
    /// Fails if a field is invalid, or the message is not allowed at this place.
    pub fn process_line(&mut self, line: &str) -> Result<Option<String>, LineError> {
        let mut fields = Fields::new(line);
        let message = fields.text("message")?;
        if let Some(missing_rows) = self.lists.rows_expected() {
            if message != "ROW" {
                return Err(LineError::RowExpected(missing_rows));
            }
            self.lists.add_row(&mut fields, &mut self.endpoint_ids)?;
            return Ok(None);
        }
        if message == "MARK" {
            self.begin_batch(&mut fields)?;
            return Ok(None);
        }
        let batch = self.batch.ok_or(LineError::OutsideBatch)?;
        if message == "END" {
            return Ok(Some(self.end_batch(batch)));
        }
        self.process_message(batch, message, &mut fields)?;
        Ok(None)
    }

    fn begin_batch(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        if self.batch.is_some() {
            return Err(LineError::BatchNotEnded);
        }
        let now = fields.number("clock")?;
        let sequence = fields.number("sequence")?;
        self.batch = Some(Batch { now, sequence });
        Ok(())
    }

    fn end_batch(&mut self, batch: Batch) -> String {
        self.batch = None;
        let mut reply = std::mem::take(&mut self.reply);
        reply.push_str(&format!("READY\t{}\n", batch.sequence));
        reply
    }

    /// Processes a message inside a batch.
    fn process_message(
        &mut self,
        batch: Batch,
        message: &str,
        fields: &mut Fields<'_>,
    ) -> Result<(), LineError> {
        match message {
            "CATALOG" => self.lists.begin(fields),
            "UP" => self.start_router(fields),
            "DESTROY" => {
                self.routers.remove(&fields.number("proxyId")?);
                Ok(())
            }
            "HEARD" => check_router_message(fields),
            "VIEW" | "ORDER" | "OUTCOME" | "SAMPLED" | "FLOWING" | "CLIENT_LEFT"
            | "DEADLINE_HIT" => {
                let router_id = fields.number("proxyId")?;
                let event = self.parse_event(router_id, message, fields)?;
                self.handle_event(batch.now, router_id, event)
            }
            other => unknown_value("message", other),
        }
    }

    /// Parses the fields after the router's id of a message that is an event.
    fn parse_event(
        &mut self,
        router_id: u64,
        message: &str,
        fields: &mut Fields<'_>,
    ) -> Result<Event, LineError> {
        let known_router = self.routers.get(&router_id);
        let position_origin = known_router
            .map(|router| router.position_origin)
            .ok_or(LineError::UnknownRouter(router_id));
        match message {
            "VIEW" => self.lists.list_event(fields),
            "ORDER" => events::request(fields),
            "OUTCOME" => events::attempt_ended(fields, &mut self.endpoint_ids, position_origin),
            "SAMPLED" => {
                events::health_check_ended(fields, &mut self.endpoint_ids, position_origin)
            }
            "FLOWING" => events::response_started(fields, &mut self.endpoint_ids),
            "CLIENT_LEFT" => events::client_disconnected(fields),
            _ => events::timer(fields),
        }
    }

    /// Processes `UP`: starts a router. The settings are JSON and extend to the end of the line.
    fn start_router(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let router_id = fields.number("proxyId")?;
        let seed = fields.number("rngSeed")?;
        let settings_text = fields.rest("bootInfo")?;
        let settings_json =
            serde_json::from_str(&settings_text).map_err(LineError::SettingsJson)?;
        let config =
            reelrill_routing_config::read(&settings_json).map_err(LineError::SettingsRead)?;
        let balancer = Balancer::new(seed, config.settings).map_err(LineError::InvalidSettings)?;
        let position_origin = config.position_origin;
        self.routers.insert(
            router_id,
            Router {
                balancer,
                position_origin,
            },
        );
        Ok(())
    }

    /// Passes an event to a router's balancer, and appends the resulting actions to the reply.
    fn handle_event(
        &mut self,
        now: Timestamp,
        router_id: u64,
        event: Event,
    ) -> Result<(), LineError> {
        let known_router = self.routers.get_mut(&router_id);
        let balancer = &mut known_router
            .ok_or(LineError::UnknownRouter(router_id))?
            .balancer;
        balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            let line = ActionLine {
                router_id,
                action: &action,
            };
            self.reply.push_str(&line.to_string());
        }
        Ok(())
    }
}

/// Processes `HEARD`: a message from another router. These routers exchange no state, so the fields are checked and
/// ignored.
fn check_router_message(fields: &mut Fields<'_>) -> Result<(), LineError> {
    fields.number::<u64>("proxyId")?;
    fields.number::<u64>("from")?;
    if let Some(payload) = fields.optional_text("payload")? {
        STANDARD
            .decode(payload)
            .map_err(LineError::InvalidPayload)?;
    }
    Ok(())
}
