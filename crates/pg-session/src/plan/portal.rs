//! A portal: a prepared statement bound to its values, and how far it has run.
//!
//! Responsible for what an Execute of it does. Owns the bound request. Must never run a write twice.

use super::Common;
use super::pipeline::PlannedRequest;
use crate::Wrong;
use crate::admit::Admitted;
use crate::bound::{Ask, Bound};
use crate::template::{Kind, Template};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::Bind;
use std::rc::Rc;

/// The row limit that is reached with the one row that each request returns.
const ROWS_OF_A_REQUEST: u32 = 1;

/// What a portal runs.
enum Content {
    Request {
        ask: Rc<Ask>,
        admitted: Rc<Admitted>,
    },
    Utility(Rc<Template>),
    Empty,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    NotRun,
    /// It has returned its row, and a row limit kept it open.
    Suspended,
    Complete,
}

/// What an Execute does.
pub(super) enum Execution {
    /// Sends a request to an endpoint.
    Request(PlannedRequest),
    /// Runs the utility statement of this template.
    Utility(Rc<Template>),
    /// Returns no further row, with this command tag.
    Exhausted(&'static str),
    /// Runs an empty statement.
    Empty,
}

/// A portal of one client.
pub(super) struct Portal {
    content: Content,
    result: Format,
    progress: Progress,
}

impl Portal {
    /// Binds a prepared statement. `drawn_id` names the request where the client does not.
    pub(super) fn new(
        template: &Rc<Template>,
        bind: &Bind,
        drawn_id: u64,
        common: &Common,
    ) -> Result<Portal, Wrong> {
        let bound = Bound::new(template, bind, drawn_id, &common.accounts)?;
        let content = match &template.kind {
            Kind::Request(_) => Content::request(bound, common)?,
            Kind::Utility(_) => Content::Utility(template.clone()),
            Kind::Empty => Content::Empty,
        };
        Ok(Portal {
            content,
            result: bind.result_format(0),
            progress: Progress::NotRun,
        })
    }

    /// The format of the one column; `None` if the portal returns no rows.
    pub(super) fn column(&self) -> Option<Format> {
        match self.content {
            Content::Request { .. } => Some(self.result),
            Content::Utility(_) | Content::Empty => None,
        }
    }

    /// Counts an Execute with a row limit (0: none) and says what it does; `name` is the portal's.
    pub(super) fn execute(&mut self, name: &str, row_limit: u32) -> Result<Execution, Wrong> {
        let before = self.progress;
        // Only the Execute after a limit of one row finds that there is no further row.
        let is_suspended = row_limit == ROWS_OF_A_REQUEST;
        self.progress = if is_suspended && before == Progress::NotRun {
            Progress::Suspended
        } else {
            Progress::Complete
        };
        match &self.content {
            Content::Empty => Ok(Execution::Empty),
            Content::Utility(template) => Ok(Execution::Utility(template.clone())),
            Content::Request { admitted, .. } if before != Progress::NotRun => {
                execute_again(name, admitted.is_write, before)
            }
            Content::Request { ask, admitted } => Ok(Execution::Request(PlannedRequest {
                ask: ask.clone(),
                admitted: admitted.clone(),
                result: self.result,
                is_suspended,
            })),
        }
    }
}

impl Content {
    fn request(bound: Bound, common: &Common) -> Result<Content, Wrong> {
        let admitted = bound.named(|named| common.catalog.admit(named))?;
        let ask = if common.translate {
            Ask::Simple(bound.literally(&common.accounts)?)
        } else {
            Ask::Bound(bound)
        };
        Ok(Content::Request {
            ask: Rc::new(ask),
            admitted: Rc::new(admitted),
        })
    }
}

/// An Execute of a request that has run: there is no further row, and a complete write is refused.
fn execute_again(name: &str, is_write: bool, before: Progress) -> Result<Execution, Wrong> {
    match (is_write, before) {
        (false, _) => Ok(Execution::Exhausted("SELECT 0")),
        (true, Progress::Suspended) => Ok(Execution::Exhausted("INSERT 0 1")),
        (true, _) => Err(Wrong::PortalDone(name.to_owned())),
    }
}
