//! Stores the endpoint lists, which are defined once and then referred to by number, and the ids of endpoints.

use crate::error::LineError;
use crate::fields::{Fields, unknown_value};
use reelrill_routing::{EndpointEntry, EndpointId, EndpointState, Event, ListKind};
use std::collections::HashMap;
use std::sync::Arc;

/// Interns the names of endpoints: every use of a name shares one id.
#[derive(Default)]
pub struct EndpointIds(HashMap<String, EndpointId>);

impl EndpointIds {
    /// Returns the id of an endpoint by its name.
    pub fn id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.0.get(name) {
            return id.clone();
        }
        let id: EndpointId = Arc::from(name);
        self.0.insert(name.to_owned(), id.clone());
        id
    }
}

/// Stores the endpoint lists by number.
#[derive(Default)]
pub struct EndpointLists {
    lists: HashMap<u64, Vec<EndpointEntry>>,
    /// The number of the list whose rows are being read, and the number of its missing rows (never 0).
    open_list: Option<(u64, usize)>,
}

impl EndpointLists {
    /// Returns the number of rows that must precede any other line; `None` if all lists are complete.
    pub fn rows_expected(&self) -> Option<usize> {
        self.open_list.map(|(_, missing_rows)| missing_rows)
    }

    /// Processes `CATALOG`: begins a list, which replaces any earlier one of the same number.
    pub fn begin(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let list_number = fields.number("sheet")?;
        let rows = fields.number("membersList")?;
        self.lists.insert(list_number, Vec::new());
        self.open_list = (rows > 0).then_some((list_number, rows));
        Ok(())
    }

    /// Processes `ROW`: adds an entry to the open list.
    pub fn add_row(
        &mut self,
        fields: &mut Fields<'_>,
        endpoint_ids: &mut EndpointIds,
    ) -> Result<(), LineError> {
        let entry = parse_entry(fields, endpoint_ids)?;
        if let Some((list_number, missing_rows)) = self.open_list {
            self.lists.entry(list_number).or_default().push(entry);
            self.open_list = (missing_rows > 1).then_some((list_number, missing_rows - 1));
        }
        Ok(())
    }

    /// Processes `VIEW`: returns the event by which a router receives an endpoint list.
    pub fn list_event(&self, fields: &mut Fields<'_>) -> Result<Event, LineError> {
        let kind = match fields.text("kind")? {
            "diff" => ListKind::Changes,
            "snapshot" => ListKind::Full,
            "disk" => ListKind::Cached,
            "error" => ListKind::Failed,
            other => return unknown_value("kind", other),
        };
        fields.optional_number::<u64>("epoch")?;
        let list_number: Option<u64> = fields.optional_number("sheet")?;
        let entries = if kind == ListKind::Failed {
            Vec::new()
        } else {
            let known_list = list_number.and_then(|number| self.lists.get(&number));
            known_list.cloned().ok_or(LineError::UnknownList)?
        };
        Ok(Event::List { kind, entries })
    }
}

/// Parses the fields of `ROW`.
fn parse_entry(
    fields: &mut Fields<'_>,
    endpoint_ids: &mut EndpointIds,
) -> Result<EndpointEntry, LineError> {
    let endpoint = endpoint_ids.id(fields.text("member")?);
    let started = fields.optional_number("startTime")?.unwrap_or(0);
    let primary_flag: Option<f64> = fields.optional_number("leads")?;
    let state = match fields.text("condition")? {
        "SERVING" => EndpointState::Serving,
        "DRAINING" => EndpointState::Draining,
        "DELETED" => EndpointState::Removed,
        other => return unknown_value("condition", other),
    };
    let weight = fields.optional_number("capacityHint")?.unwrap_or(1.0);
    let replica_set = fields.number("db")?;
    fields.optional_number::<u32>("model")?;
    let zone = fields.optional_number("failureDomain")?.unwrap_or(0);
    Ok(EndpointEntry {
        endpoint,
        started,
        is_primary: primary_flag == Some(1.0),
        state,
        weight,
        replica_set,
        zone,
    })
}
