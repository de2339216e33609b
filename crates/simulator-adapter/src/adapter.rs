//! The adapter's state between lines: the routers, the lists, and the batch of events that is open.

use crate::actions::ActionLine;
use crate::endpoint_lists::{EndpointLists, EndpointNames};
use crate::error::LineError;
use crate::events;
use crate::fields::{Fields, unknown_word};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use reelrill_routing::{Action, Balancer, Event, Timestamp};
use std::collections::HashMap;

/// One simulated router.
struct Router {
    balancer: Balancer,
    /// The time from which positions are counted on the wire.
    origin: Timestamp,
}

/// Events up to the next `END` happen at one time and get one reply.
#[derive(Clone, Copy)]
struct Batch {
    now: Timestamp,
    sequence: u64,
}

/// All that one simulation has told so far.
#[derive(Default)]
pub struct Adapter {
    routers: HashMap<u64, Router>,
    names: EndpointNames,
    lists: EndpointLists,
    batch: Option<Batch>,
    /// The reply to the open batch so far.
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    /// Whether a batch is open.
    pub fn is_in_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Takes one line without its end; returns the reply where the line ends a batch.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, LineError> {
        let mut fields = Fields::new(line);
        let message = fields.text("message")?;
        if let Some(left) = self.lists.rows_expected() {
            if message != "ROW" {
                return Err(LineError::RowExpected(left));
            }
            self.lists.add_row(&mut fields, &mut self.names)?;
            return Ok(None);
        }
        if message == "MARK" {
            self.begin_batch(&mut fields)?;
            return Ok(None);
        }
        let batch = self.batch.ok_or(LineError::NoBatch)?;
        if message == "END" {
            return Ok(Some(self.end_batch(batch)));
        }
        self.message(batch, message, &mut fields)?;
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

    /// A message inside a batch.
    fn message(
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
            "HEARD" => check_gossip(fields),
            "VIEW" | "ORDER" | "OUTCOME" | "SAMPLED" | "FLOWING" | "CLIENT_LEFT"
            | "DEADLINE_HIT" => {
                let router = fields.number("proxyId")?;
                let event = self.event(router, message, fields)?;
                self.handle(batch.now, router, event)
            }
            other => unknown_word("message", other),
        }
    }

    fn event(
        &mut self,
        router: u64,
        message: &str,
        fields: &mut Fields<'_>,
    ) -> Result<Event, LineError> {
        let known = self.routers.get(&router);
        let origin = known
            .map(|router| router.origin)
            .ok_or(LineError::UnknownRouter(router));
        match message {
            "VIEW" => self.lists.event(fields),
            "ORDER" => events::request(fields),
            "OUTCOME" => events::attempt_ended(fields, &mut self.names, origin),
            "SAMPLED" => events::probe_ended(fields, &mut self.names, origin),
            "FLOWING" => events::response_started(fields, &mut self.names),
            "CLIENT_LEFT" => events::client_left(fields),
            _ => events::timer(fields),
        }
    }

    /// `UP`: a router starts, with the settings as JSON up to the line's end.
    fn start_router(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let router = fields.number("proxyId")?;
        let seed = fields.number("rngSeed")?;
        let text = fields.rest("bootInfo")?;
        let value = serde_json::from_str(&text).map_err(LineError::SettingsJson)?;
        let site = reelrill_routing_config::read(&value).map_err(LineError::SettingsRead)?;
        let balancer = Balancer::new(seed, site.settings).map_err(LineError::Settings)?;
        let origin = site.position_origin;
        self.routers.insert(router, Router { balancer, origin });
        Ok(())
    }

    /// Hands an event to a router's balancer, and adds what it does to the reply.
    fn handle(&mut self, now: Timestamp, router: u64, event: Event) -> Result<(), LineError> {
        let known = self.routers.get_mut(&router);
        let balancer = &mut known.ok_or(LineError::UnknownRouter(router))?.balancer;
        balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            let line = ActionLine {
                router,
                action: &action,
            };
            self.reply.push_str(&format!("{line}\n"));
        }
        Ok(())
    }
}

/// `HEARD`: what another router has said. Routers of this family share nothing: the line is checked and passed over.
fn check_gossip(fields: &mut Fields<'_>) -> Result<(), LineError> {
    fields.number::<u64>("proxyId")?;
    fields.number::<u64>("from")?;
    if let Some(payload) = fields.optional_text("payload")? {
        STANDARD.decode(payload).map_err(LineError::Payload)?;
    }
    Ok(())
}
