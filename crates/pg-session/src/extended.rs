//! A client's session in the extended query protocol: its prepared statements, portals and pipeline.
//!
//! Responsible for what each command does, what may start and what is answered or skipped. Composes `statements`
//! (names, with undo), `portal` (what an Execute does) and `pipeline` (order) and
//! `segment` (what a Sync ends), and owns those of one client.
//! Must never do I/O, nor answer out of order.
//!
//! Commands are taken in as they come and answered in their order. Each Execute of a request is a part with one
//! final answer. Parts behind one without an answer are planned as if it were served; if it fails, what was
//! planned behind it in its segment is undone, as if those commands had never been read:
//!
//! - a read may start while others are running, but not while a write ahead of it has no answer;
//! - a write starts only when all parts ahead of it have ended, and those of its segment have been served;
//! - a statement that was prepared or closed behind a part that then failed is as it was before.
//!
//! Commands of the next segment are not taken while such a change could still be undone.

mod pipeline;
mod portal;
mod segment;
mod statements;

use crate::SessionError;
use crate::endpoint_query::EndpointQuery;
use crate::limits::{Limits, SharedBudgets};
use crate::request::{ClassCatalog, ValidatedRequest};
use crate::template::{StatementKind, TemplateStore, UtilityStatement};
use pipeline::Pipeline;
use portal::{Execution, Portal};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::{Bind, Command, ObjectKind};
use segment::Segment;
use statements::{PreparedStatement, Statements};
use std::collections::HashMap;
use std::rc::Rc;

/// What all clients' sessions share.
#[derive(Debug)]
pub struct SharedResources {
    /// The prepared statements.
    pub templates: TemplateStore,
    /// The bounds, in the units that [`Limits`] names.
    pub limits: Limits,
    /// What is in use of the bounds that all clients share.
    pub budgets: SharedBudgets,
    /// The classes of requests that are served.
    pub classes: ClassCatalog,
    /// Whether endpoints get simple queries only: values become literals.
    pub should_translate: bool,
}

/// What a client gets next.
#[derive(Debug, PartialEq)]
pub enum Output<A> {
    /// ParseComplete.
    ParseComplete,
    /// BindComplete.
    BindComplete,
    /// CloseComplete.
    CloseComplete,
    /// ParameterDescription of a statement.
    ParameterDescription(Vec<u32>),
    /// RowDescription of the one column, in this format.
    RowDescription(Format),
    /// NoData.
    NoData,
    /// EmptyQueryResponse.
    EmptyQueryResponse,
    /// CommandComplete of something that went to no endpoint.
    CommandComplete(&'static str),
    /// The final answer of a part.
    Response {
        /// As it was given to [`ExtendedSession::finish`].
        response: A,
        /// The portal had a row limit and is not done: a served answer ends with PortalSuspended.
        is_suspended: bool,
    },
    /// An error: all that follows is skipped up to the Sync.
    Error(SessionError),
    /// What has been said so far is to reach the client now.
    Flush,
    /// ReadyForQuery.
    ReadyForQuery,
}

/// A part that is to start now.
#[derive(Debug)]
pub struct StartedRequest {
    /// Its number, for [`ExtendedSession::finish`].
    pub number: u64,
    /// What the dispatcher is told.
    pub request: Rc<ValidatedRequest>,
    /// What endpoints are asked.
    pub query: Rc<EndpointQuery>,
    /// The format that the client wants its value in.
    pub result_format: Format,
}

/// One client's session; `A` is the type of its host's final answers.
pub struct ExtendedSession<A> {
    common: Rc<SharedResources>,
    statements: Statements,
    portals: HashMap<Box<str>, Portal>,
    pipeline: Pipeline<A>,
    segment: Segment,
}

impl<A> ExtendedSession<A> {
    /// The session of a client that has sent nothing yet.
    pub fn new(common: Rc<SharedResources>) -> ExtendedSession<A> {
        ExtendedSession {
            common,
            statements: Statements::default(),
            portals: HashMap::new(),
            pipeline: Pipeline::new(),
            segment: Segment::new(0),
        }
    }

    /// Whether nothing waits for its turn or its answer.
    pub fn is_idle(&self) -> bool {
        self.pipeline.is_empty()
    }

    /// Whether a segment is open: a simple query would end it.
    pub fn has_open_segment(&self) -> bool {
        !self.segment.is_closed
    }

    /// Whether no further command may be given now: too many wait, or a change could still be undone.
    pub fn is_full(&self) -> bool {
        let is_pipeline_full = self.pipeline.len() >= self.common.limits.commands;
        is_pipeline_full || (self.segment.is_closed && self.statements.has_uncommitted())
    }

    /// How many statements this client has prepared.
    pub fn statement_count(&self) -> usize {
        self.statements.len()
    }

    /// Takes a command of an extended query. `generated_id` is its request's id where the client brings none. What is
    /// wrong with it is an [`Output::Error`].
    pub fn on_command(&mut self, command: &Command, generated_id: u64) {
        if let Command::Sync = command {
            self.sync();
            return;
        }
        self.segment.is_closed = false;
        if self.segment.is_skipping {
            return;
        }
        let most = self.common.limits.segment;
        let done = self
            .segment
            .count_command(most)
            .and_then(|()| self.take(command, generated_id));
        if let Err(wrong) = done {
            self.pipeline.push_response(Output::Error(wrong));
            self.segment.is_skipping = true;
        }
    }

    /// Ends the segment and its portals.
    fn sync(&mut self) {
        self.portals.clear();
        self.pipeline.push_response(Output::ReadyForQuery);
        self.segment = Segment::new(self.pipeline.next_number());
        self.commit_if_answered();
    }

    /// Makes the changes of statements final if no request could still fail ahead of them.
    fn commit_if_answered(&mut self) {
        if !self.pipeline.has_open_part() {
            self.statements.commit();
        }
    }

    fn take(&mut self, command: &Command, generated_id: u64) -> Result<(), SessionError> {
        let response = match command {
            Command::Parse { name, text, types } => {
                self.parse(name, text, types)?;
                Output::ParseComplete
            }
            Command::Bind(bind) => {
                self.bind(bind, generated_id)?;
                Output::BindComplete
            }
            Command::Describe(ObjectKind::Statement, name) => self.describe_statement(name)?,
            Command::Describe(ObjectKind::Portal, name) => self.describe_portal(name)?,
            Command::Execute { portal, row_limit } => return self.execute(portal, *row_limit),
            Command::Close(ObjectKind::Statement, name) => {
                self.set_statement(name, None);
                Output::CloseComplete
            }
            Command::Close(ObjectKind::Portal, name) => {
                self.portals.remove(*name);
                Output::CloseComplete
            }
            Command::Flush => Output::Flush,
            Command::Sync | Command::Terminate | Command::Query(_) => return Ok(()),
        };
        self.pipeline.push_response(response);
        Ok(())
    }

    /// Changes what a name stands for, so that it can be undone if a part ahead of it fails.
    fn set_statement(&mut self, name: &str, statement: Option<PreparedStatement>) {
        let may_fail = self.pipeline.has_open_part_since(self.segment.first_item);
        let undo_item = may_fail.then(|| self.pipeline.next_number());
        self.statements.set(name, statement, undo_item);
    }

    fn parse(&mut self, name: &str, text: &str, types: &[u32]) -> Result<(), SessionError> {
        let is_known = self.statements.contains(name);
        if is_known && !name.is_empty() {
            return Err(SessionError::DuplicateStatement(name.to_owned()));
        }
        let limits = &self.common.limits;
        if !is_known && self.statements.kept() >= limits.statements {
            return Err(SessionError::LimitExceeded {
                what: "prepared statements of one client",
                most: limits.statements,
            });
        }
        let share = self.common.budgets.statements.reserve(1);
        let statement = PreparedStatement {
            _share: share.ok_or(SessionError::LimitExceeded {
                what: "prepared statements of all clients",
                most: limits.all_statements,
            })?,
            template: self.common.templates.get_or_insert(text, types)?,
        };
        self.set_statement(name, Some(statement));
        Ok(())
    }

    fn bind(&mut self, bind: &Bind, generated_id: u64) -> Result<(), SessionError> {
        let template = self
            .statements
            .template(bind.statement)
            .ok_or_else(|| SessionError::UnknownStatement(bind.statement.to_owned()))?;
        self.check_portal_name(bind.portal)?;
        let portal = Portal::new(template, bind, generated_id, &self.common)?;
        self.portals.insert(bind.portal.into(), portal);
        Ok(())
    }

    /// Whether a Bind may make a portal of this name; the unnamed one is replaced.
    fn check_portal_name(&self, name: &str) -> Result<(), SessionError> {
        let is_known = self.portals.contains_key(name);
        if is_known && !name.is_empty() {
            return Err(SessionError::DuplicatePortal(name.to_owned()));
        }
        let most = self.common.limits.portals;
        if !is_known && self.portals.len() >= most {
            return Err(SessionError::LimitExceeded {
                what: "portals of one client",
                most,
            });
        }
        Ok(())
    }

    /// Answers with the parameters, and returns the description of the rows.
    fn describe_statement(&mut self, name: &str) -> Result<Output<A>, SessionError> {
        let template = self
            .statements
            .template(name)
            .ok_or_else(|| SessionError::UnknownStatement(name.to_owned()))?;
        let parameters = Output::ParameterDescription(template.client_parameter_types().to_vec());
        self.pipeline.push_response(parameters);
        Ok(match template.kind {
            StatementKind::Request(_) => Output::RowDescription(Format::Text),
            StatementKind::Utility(_) | StatementKind::Empty => Output::NoData,
        })
    }

    fn describe_portal(&self, name: &str) -> Result<Output<A>, SessionError> {
        let portal = self
            .portals
            .get(name)
            .ok_or_else(|| SessionError::UnknownPortal(name.to_owned()))?;
        Ok(portal
            .column()
            .map_or(Output::NoData, Output::RowDescription))
    }

    fn execute(&mut self, name: &str, row_limit: u32) -> Result<(), SessionError> {
        let portal = self
            .portals
            .get_mut(name)
            .ok_or_else(|| SessionError::UnknownPortal(name.to_owned()))?;
        let response = match portal.execute(name, row_limit)? {
            Execution::Request(request) => {
                self.pipeline.push_request(request);
                return Ok(());
            }
            Execution::Utility(template) => {
                let StatementKind::Utility(utility) = &template.kind else {
                    return Ok(());
                };
                self.run_utility(utility)?;
                Output::CommandComplete(utility.command_tag())
            }
            Execution::Exhausted(tag) => Output::CommandComplete(tag),
            Execution::Empty => Output::EmptyQueryResponse,
        };
        self.pipeline.push_response(response);
        Ok(())
    }

    fn run_utility(&mut self, utility: &UtilityStatement) -> Result<(), SessionError> {
        match utility {
            UtilityStatement::Setting(_) => {}
            UtilityStatement::Deallocate(Some(name)) => {
                if !self.statements.contains(name) {
                    return Err(SessionError::UnknownStatement(name.to_string()));
                }
                self.set_statement(name, None);
            }
            UtilityStatement::DiscardAll | UtilityStatement::Deallocate(None) => {
                for name in self.statements.names() {
                    self.set_statement(&name, None);
                }
            }
        }
        Ok(())
    }

    /// Runs a simple query that is a utility statement, while nothing else waits, and returns its command tag;
    /// `None` if it is another statement.
    ///
    /// # Errors
    ///
    /// [`SessionError::Unsupported`], or [`SessionError::UnknownStatement`] for a statement that the client has not prepared.
    pub fn run_utility_query(&mut self, text: &str) -> Option<Result<&'static str, SessionError>> {
        let utility = match UtilityStatement::parse(text)? {
            Ok(utility) => utility,
            Err(wrong) => return Some(Err(wrong)),
        };
        Some(self.run_utility(&utility).map(|()| utility.command_tag()))
    }

    /// A simple query removes the unnamed statement and all portals, and ends the skipping of commands.
    pub fn on_simple_query(&mut self) {
        self.portals.clear();
        self.statements.set("", None, None);
        self.segment = Segment::new(self.pipeline.next_number());
        self.statements.commit();
    }

    /// The next part that may start now; it counts as started.
    pub fn start_next(&mut self) -> Option<StartedRequest> {
        self.pipeline.start(self.common.limits.reads.max(1))
    }

    /// A part has its final answer. Returns the numbers of the parts behind it that were running and whose answers
    /// are not wanted any more. A part that is not known, because it was undone, changes nothing.
    pub fn finish(&mut self, number: u64, response: A, is_served: bool) -> Vec<u64> {
        let Some(position) = self.pipeline.answer(number, response) else {
            return Vec::new();
        };
        let cancelled = if is_served {
            Vec::new()
        } else {
            self.undo_behind(number, position)
        };
        self.commit_if_answered();
        cancelled
    }

    /// Undoes what was planned behind a failed part in its segment; returns the parts that were running.
    fn undo_behind(&mut self, number: u64, position: usize) -> Vec<u64> {
        let discarded = self.pipeline.discard_behind(position);
        self.segment.is_skipping |= discarded.sync.is_none();
        self.statements
            .roll_back(number, discarded.sync.unwrap_or(u64::MAX));
        discarded.cancelled
    }

    /// The first part without an answer, and whether it has been started: what a CancelRequest is about.
    pub fn first_pending(&self) -> Option<(u64, bool)> {
        self.pipeline.first_pending()
    }

    /// What the client gets next, if it can be said already.
    pub fn pop_output(&mut self) -> Option<Output<A>> {
        self.pipeline.pop_ready()
    }
}
