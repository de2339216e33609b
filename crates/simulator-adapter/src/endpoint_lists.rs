//! Endpoint lists, which come once and are then named by their number, and the names of endpoints.

use crate::error::LineError;
use crate::fields::{Fields, unknown_word};
use reelrill_routing::{EndpointEntry, EndpointId, EndpointState, Event, ListKind};
use std::collections::HashMap;
use std::sync::Arc;

/// One id for each endpoint's name, shared by all that name it.
#[derive(Default)]
pub struct EndpointNames(HashMap<String, EndpointId>);

impl EndpointNames {
    /// The id of this name.
    pub fn id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.0.get(name) {
            return id.clone();
        }
        let id: EndpointId = Arc::from(name);
        self.0.insert(name.to_owned(), id.clone());
        id
    }
}

/// The lists so far, by number.
#[derive(Default)]
pub struct EndpointLists {
    lists: HashMap<u64, Vec<EndpointEntry>>,
    /// The list whose rows are being read, and how many are still to come (never 0).
    open: Option<(u64, usize)>,
}

impl EndpointLists {
    /// How many rows have to come before any other line; none: no list is open.
    pub fn rows_expected(&self) -> Option<usize> {
        self.open.map(|(_, left)| left)
    }

    /// `CATALOG`: a list begins, in place of any of its number.
    pub fn begin(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let list = fields.number("sheet")?;
        let rows = fields.number("membersList")?;
        self.lists.insert(list, Vec::new());
        self.open = (rows > 0).then_some((list, rows));
        Ok(())
    }

    /// `ROW`: one entry of the open list.
    pub fn add_row(
        &mut self,
        fields: &mut Fields<'_>,
        names: &mut EndpointNames,
    ) -> Result<(), LineError> {
        let entry = entry(fields, names)?;
        if let Some((list, left)) = self.open {
            self.lists.entry(list).or_default().push(entry);
            self.open = (left > 1).then_some((list, left - 1));
        }
        Ok(())
    }

    /// `VIEW`: a router is given a list.
    pub fn event(&self, fields: &mut Fields<'_>) -> Result<Event, LineError> {
        let kind = match fields.text("kind")? {
            "diff" => ListKind::Changes,
            "snapshot" => ListKind::Full,
            "disk" => ListKind::Cached,
            "error" => ListKind::Failed,
            other => return unknown_word("kind", other),
        };
        fields.optional_number::<u64>("epoch")?;
        let list: Option<u64> = fields.optional_number("sheet")?;
        let entries = if kind == ListKind::Failed {
            Vec::new()
        } else {
            let known = list.and_then(|list| self.lists.get(&list));
            known.cloned().ok_or(LineError::UnknownList)?
        };
        Ok(Event::List { kind, entries })
    }
}

fn entry(fields: &mut Fields<'_>, names: &mut EndpointNames) -> Result<EndpointEntry, LineError> {
    let endpoint = names.id(fields.text("member")?);
    let started = fields.optional_number("startTime")?.unwrap_or(0);
    let leads: Option<f64> = fields.optional_number("leads")?;
    let state = match fields.text("condition")? {
        "SERVING" => EndpointState::Serving,
        "DRAINING" => EndpointState::Draining,
        "DELETED" => EndpointState::Removed,
        other => return unknown_word("condition", other),
    };
    let weight = fields.optional_number("capacityHint")?.unwrap_or(1.0);
    let replica_set = fields.number("db")?;
    fields.optional_number::<u32>("model")?;
    let zone = fields.optional_number("failureDomain")?.unwrap_or(0);
    Ok(EndpointEntry {
        endpoint,
        started,
        is_primary: leads == Some(1.0),
        state,
        weight,
        replica_set,
        zone,
    })
}
