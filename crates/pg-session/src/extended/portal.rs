//! A portal: a prepared statement bound to its values, and how far it has run.
//!
//! Responsible for what an Execute of it does. Owns the bound request. Must never run a write twice.

use super::SharedResources;
use super::pipeline::PlannedRequest;
use crate::SessionError;
use crate::endpoint_query::{BoundStatement, EndpointQuery};
use crate::request::ValidatedRequest;
use crate::template::{StatementKind, Template};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::Bind;
use std::rc::Rc;

/// The row limit that is reached with the one row that each request returns.
const ROWS_OF_A_REQUEST: u32 = 1;

/// What a portal runs.
enum Content {
    Request {
        query: Rc<EndpointQuery>,
        admitted: Rc<ValidatedRequest>,
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
    /// Binds a prepared statement. `generated_id` names the request where the client does not.
    pub(super) fn new(
        template: &Rc<Template>,
        bind: &Bind,
        generated_id: u64,
        common: &SharedResources,
    ) -> Result<Portal, SessionError> {
        let bound = BoundStatement::new(template, bind, generated_id, &common.budgets)?;
        let content = match &template.kind {
            StatementKind::Request(_) => Content::request(bound, common)?,
            StatementKind::Utility(_) => Content::Utility(template.clone()),
            StatementKind::Empty => Content::Empty,
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
    pub(super) fn execute(
        &mut self,
        name: &str,
        row_limit: u32,
    ) -> Result<Execution, SessionError> {
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
            Content::Request { query, admitted } => Ok(Execution::Request(PlannedRequest {
                query: query.clone(),
                admitted: admitted.clone(),
                result: self.result,
                is_suspended,
            })),
        }
    }
}

impl Content {
    fn request(bound: BoundStatement, common: &SharedResources) -> Result<Content, SessionError> {
        let admitted = bound.with_fields(|named| common.classes.validate(named))?;
        let query = if common.should_translate {
            EndpointQuery::Simple(bound.to_simple_query(&common.budgets)?)
        } else {
            EndpointQuery::Bound(bound)
        };
        Ok(Content::Request {
            query: Rc::new(query),
            admitted: Rc::new(admitted),
        })
    }
}

/// An Execute of a request that has run: there is no further row, and a complete write is refused.
fn execute_again(name: &str, is_write: bool, before: Progress) -> Result<Execution, SessionError> {
    match (is_write, before) {
        (false, _) => Ok(Execution::Exhausted("SELECT 0")),
        (true, Progress::Suspended) => Ok(Execution::Exhausted("INSERT 0 1")),
        (true, _) => Err(SessionError::PortalAlreadyRun(name.to_owned())),
    }
}
