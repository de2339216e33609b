//! A portal: a prepared statement bound to its values, with its progress.
//!
//! Responsible for the effect of an Execute. Owns the bound request. Must never run a write twice.

use super::SharedResources;
use super::pipeline::PlannedRequest;
use crate::SessionError;
use crate::endpoint_query::{BoundStatement, EndpointQuery};
use crate::request::ValidatedRequest;
use crate::template::{StatementKind, Template};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::Bind;
use std::rc::Rc;

/// The number of rows that each request returns. An Execute with this row limit suspends the portal.
const ROWS_PER_REQUEST: u32 = 1;

/// The statement that a portal executes.
enum Content {
    Request {
        query: Rc<EndpointQuery>,
        validated: Rc<ValidatedRequest>,
    },
    Utility(Rc<Template>),
    Empty,
}

/// The progress of a portal.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    NotRun,
    /// The portal has returned its row and is suspended by a row limit.
    Suspended,
    Complete,
}

/// The effect of an Execute.
pub(super) enum Execution {
    /// Sends a request to an endpoint.
    Request(PlannedRequest),
    /// Executes the utility statement of this template.
    Utility(Rc<Template>),
    /// Returns no further row; holds the command tag.
    Exhausted(&'static str),
    /// Executes an empty statement.
    Empty,
}

/// A portal of one client.
pub(super) struct Portal {
    content: Content,
    result_format: Format,
    progress: Progress,
}

impl Portal {
    /// Binds a prepared statement. `generated_id` is the request's id if the client sent none.
    pub(super) fn new(
        template: &Rc<Template>,
        bind: &Bind,
        generated_id: u64,
        shared: &SharedResources,
    ) -> Result<Portal, SessionError> {
        let bound = BoundStatement::new(template, bind, generated_id, &shared.budgets)?;
        let content = match &template.kind {
            StatementKind::Request(_) => Content::request(bound, shared)?,
            StatementKind::Utility(_) => Content::Utility(template.clone()),
            StatementKind::Empty => Content::Empty,
        };
        Ok(Portal {
            content,
            result_format: bind.result_format(0),
            progress: Progress::NotRun,
        })
    }

    /// Returns the format of the one column; `None` if the portal returns no rows.
    pub(super) fn column(&self) -> Option<Format> {
        match self.content {
            Content::Request { .. } => Some(self.result_format),
            Content::Utility(_) | Content::Empty => None,
        }
    }

    /// Executes the portal with a row limit (0: none) and returns the effect. `name` is the portal's name.
    pub(super) fn execute(
        &mut self,
        name: &str,
        row_limit: u32,
    ) -> Result<Execution, SessionError> {
        let previous = self.progress;
        // With a row limit of 1, the portal is suspended after its one row, and the next Execute reports the end of the
        // rows. With any other limit, the first Execute completes it.
        let is_suspended = row_limit == ROWS_PER_REQUEST;
        self.progress = if is_suspended && previous == Progress::NotRun {
            Progress::Suspended
        } else {
            Progress::Complete
        };
        match &self.content {
            Content::Empty => Ok(Execution::Empty),
            Content::Utility(template) => Ok(Execution::Utility(template.clone())),
            Content::Request { validated, .. } if previous != Progress::NotRun => {
                execute_again(name, validated.is_write, previous)
            }
            Content::Request { query, validated } => Ok(Execution::Request(PlannedRequest {
                query: query.clone(),
                validated: validated.clone(),
                result_format: self.result_format,
                is_suspended,
            })),
        }
    }
}

impl Content {
    fn request(bound: BoundStatement, shared: &SharedResources) -> Result<Content, SessionError> {
        let validated = bound.with_fields(|fields| shared.classes.validate(fields))?;
        let query = if shared.should_translate {
            EndpointQuery::Simple(bound.to_simple_query(&shared.budgets)?)
        } else {
            EndpointQuery::Bound(bound)
        };
        Ok(Content::Request {
            query: Rc::new(query),
            validated: Rc::new(validated),
        })
    }
}

/// Returns the effect of an Execute of a request that has run: there is no further row, and a completed write is an
/// error.
fn execute_again(
    name: &str,
    is_write: bool,
    previous: Progress,
) -> Result<Execution, SessionError> {
    match (is_write, previous) {
        (false, _) => Ok(Execution::Exhausted("SELECT 0")),
        (true, Progress::Suspended) => Ok(Execution::Exhausted("INSERT 0 1")),
        (true, _) => Err(SessionError::PortalAlreadyRun(name.to_owned())),
    }
}
