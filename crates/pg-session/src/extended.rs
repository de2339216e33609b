//! A client's session in the extended query protocol: its prepared statements, portals and pipeline.
//!
//! Determines the effect of each command, which requests may start, and which commands are skipped. Owns one client's
//! prepared statements (module `statements`), its portals (`portal`), its queue of requests and responses (`pipeline`)
//! and the segment that is being received (`segment`). Must never do I/O, nor release responses out of order.
//!
//! Commands are processed as they are received, and their responses are released in the same order. Each Execute of a
//! request has one final response. Commands after a request without a response are processed as if it had succeeded. If
//! it fails, the commands after it in its segment are rolled back, as if they had never been received:
//!
//! - a read may start while other reads run, but not while an earlier write has no response;
//! - a write starts only when all earlier requests have a response, and those of its segment have succeeded;
//! - a statement that was prepared or closed after a request that fails is restored to its previous state.
//!
//! Commands of the next segment are not accepted while such a change could still be rolled back.

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
pub use pipeline::RESERVED_RESPONSE_BYTES;
use portal::{Execution, Portal};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::{Bind, Command, ObjectKind};
use segment::Segment;
use statements::{PreparedStatement, Statements};
use std::collections::HashMap;
use std::rc::Rc;

/// The resources shared by the sessions of all clients.
#[derive(Debug)]
pub struct SharedResources {
    /// The prepared statements of all clients.
    pub templates: TemplateStore,
    /// The limits on each client and on all clients together.
    pub limits: Limits,
    /// The usage of the limits that all clients share.
    pub budgets: SharedBudgets,
    /// The classes of requests.
    pub classes: ClassCatalog,
    /// Whether bound statements are sent to endpoints as simple queries, with values as literals.
    pub should_translate: bool,
}

/// The next message for a client, or a request to flush.
#[derive(Debug, PartialEq)]
pub enum Output<R> {
    /// The response to a Parse.
    ParseComplete,
    /// The response to a Bind.
    BindComplete,
    /// The response to a Close.
    CloseComplete,
    /// The first response to a Describe of a statement: the type OIDs of its parameters.
    ParameterDescription(Vec<u32>),
    /// A response to a Describe: the one column, whose values have this format.
    RowDescription(Format),
    /// A response to a Describe: the statement or portal returns no rows.
    NoData,
    /// The response to the Execute of an empty statement.
    EmptyQueryResponse,
    /// The response, with its command tag, to an Execute that was not sent to an endpoint.
    CommandComplete(&'static str),
    /// The final response to a request.
    Response {
        /// The response as passed to [`ExtendedSession::finish`].
        response: R,
        /// Whether the Execute's row limit suspended the portal: a served response then ends with PortalSuspended.
        is_suspended: bool,
    },
    /// An error. All later commands up to the Sync are skipped.
    Error(SessionError),
    /// The rejection of a command. All later commands up to the Sync are skipped.
    Rejection,
    /// The messages so far must be sent to the client now.
    Flush,
    /// The response to a Sync.
    ReadyForQuery,
}

impl<R> Output<R> {
    /// Returns the number of bytes that an output of the session itself holds besides its fixed size.
    fn local_bytes(&self) -> usize {
        match self {
            Output::ParameterDescription(types) => size_of_val(types.as_slice()),
            Output::Error(error) => error.text_bytes(),
            _ => 0,
        }
    }
}

/// A request that the caller starts now.
#[derive(Debug)]
pub struct StartedRequest {
    /// The request's number, for [`ExtendedSession::finish`].
    pub number: u64,
    /// The request as passed to the dispatcher.
    pub request: Rc<ValidatedRequest>,
    /// The query that endpoints receive.
    pub query: Rc<EndpointQuery>,
    /// The format of the result column that the client requested.
    pub result_format: Format,
}

/// One client's session. `R` is the type of final responses.
pub struct ExtendedSession<R> {
    shared: Rc<SharedResources>,
    statements: Statements,
    portals: HashMap<Box<str>, Portal>,
    pipeline: Pipeline<R>,
    segment: Segment,
}

impl<R> ExtendedSession<R> {
    /// Creates the session of a client that has sent nothing yet.
    pub fn new(shared: Rc<SharedResources>) -> ExtendedSession<R> {
        let pipeline = Pipeline::new(shared.budgets.pipeline_bytes.clone());
        ExtendedSession {
            shared,
            statements: Statements::default(),
            portals: HashMap::new(),
            pipeline,
            segment: Segment::new(0),
        }
    }

    /// Returns whether no command is queued and no response is outstanding.
    pub fn is_idle(&self) -> bool {
        self.pipeline.is_empty()
    }

    /// Returns whether a command has been received since the last Sync. A simple query would end that segment.
    pub fn has_open_segment(&self) -> bool {
        !self.segment.is_closed
    }

    /// Returns whether the client is in the middle of a request: it has sent commands since the last Sync, and the last of
    /// them was not a Flush.
    pub fn has_unfinished_request(&self) -> bool {
        self.has_open_segment() && !self.segment.is_flushed
    }

    /// Returns whether no further command may be passed now: too many are queued, no memory is left, or a change of the
    /// last segment could still be rolled back.
    pub fn is_full(&self) -> bool {
        let is_pipeline_full = self.pipeline.is_full(self.shared.limits.commands);
        is_pipeline_full || (self.segment.is_closed && self.statements.has_uncommitted())
    }

    /// Returns whether the last call of [`start_next`](Self::start_next) left a request waiting because the memory
    /// budget is exhausted.
    pub fn is_waiting_for_memory(&self) -> bool {
        self.pipeline.is_waiting_for_memory()
    }

    /// Returns the number of statements that the client has prepared.
    pub fn statement_count(&self) -> usize {
        self.statements.len()
    }

    /// Processes a command of an extended query. `generated_id` is its request's id if the client sends none. An error
    /// in the command becomes an [`Output::Error`].
    pub fn on_command(&mut self, command: &Command, generated_id: u64) {
        if let Command::Sync = command {
            self.sync();
            return;
        }
        self.segment.is_closed = false;
        self.segment.is_flushed = matches!(command, Command::Flush);
        if self.segment.is_skipping {
            return;
        }
        let limit = self.shared.limits.segment;
        let result = self
            .segment
            .count_command(limit)
            .and_then(|()| self.process(command, generated_id));
        if let Err(error) = result {
            self.pipeline.push_response(Output::Error(error));
            self.segment.is_skipping = true;
        }
    }

    /// Rejects a command without processing it. The first one of a segment gets a rejection, and the others up to the Sync
    /// are skipped, as after an error. Any number of segments that are rejected as a whole takes little memory, so that
    /// they may also be passed while the session is full. Returns whether the command gets a rejection.
    pub fn reject_command(&mut self) -> bool {
        if self.segment.is_skipping {
            return false;
        }
        self.segment.is_skipping = true;
        if self.segment.is_closed {
            self.segment.is_closed = false;
            self.segment.is_rejected = true;
            self.pipeline.push_rejected_segment();
        } else {
            self.pipeline.push_response(Output::Rejection);
        }
        true
    }

    /// Handles the Sync of a segment while commands are rejected. Returns `false`, and does nothing, if the session is
    /// full and the response would take further memory.
    pub fn reject_until_sync(&mut self) -> bool {
        if self.segment.is_rejected {
            self.pipeline.push_rejected_sync();
            self.segment = Segment::new(self.pipeline.next_number());
            return true;
        }
        if self.segment.is_closed && self.is_full() {
            return false;
        }
        self.sync();
        true
    }

    /// Ends the segment and closes its portals.
    fn sync(&mut self) {
        self.portals.clear();
        self.pipeline.push_response(Output::ReadyForQuery);
        self.segment = Segment::new(self.pipeline.next_number());
        self.commit_if_complete();
    }

    /// Commits the changes of statements if no earlier request could still fail.
    fn commit_if_complete(&mut self) {
        if !self.pipeline.has_pending_request() {
            self.statements.commit();
        }
    }

    /// Processes one command and queues its response.
    fn process(&mut self, command: &Command, generated_id: u64) -> Result<(), SessionError> {
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
            // A Sync is processed before, and the others are no commands of an extended query.
            Command::Sync | Command::Terminate | Command::Query(_) => return Ok(()),
        };
        self.pipeline.push_response(response);
        Ok(())
    }

    /// Sets or removes the statement of a name. The change can be rolled back if an earlier request of the segment
    /// fails.
    fn set_statement(&mut self, name: &str, statement: Option<PreparedStatement>) {
        let has_pending_request = self
            .pipeline
            .has_pending_request_since(self.segment.first_item);
        let rollback_item = has_pending_request.then(|| self.pipeline.next_number());
        self.statements.set(name, statement, rollback_item);
    }

    fn parse(&mut self, name: &str, text: &str, types: &[u32]) -> Result<(), SessionError> {
        let exists = self.statements.contains(name);
        if exists && !name.is_empty() {
            return Err(SessionError::DuplicateStatement(name.to_owned()));
        }
        let limits = &self.shared.limits;
        if !exists && self.statements.retained() >= limits.statements {
            return Err(SessionError::LimitExceeded {
                what: "prepared statements of one client",
                most: limits.statements,
            });
        }
        let reservation = self.shared.budgets.statements.reserve(1);
        let statement = PreparedStatement {
            _reservation: reservation.ok_or(SessionError::LimitExceeded {
                what: "prepared statements of all clients",
                most: limits.all_statements,
            })?,
            template: self.shared.templates.get_or_insert(text, types)?,
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
        let portal = Portal::new(template, bind, generated_id, &self.shared)?;
        self.portals.insert(bind.portal.into(), portal);
        Ok(())
    }

    /// Checks whether a Bind may create a portal of this name. The unnamed portal is replaced.
    fn check_portal_name(&self, name: &str) -> Result<(), SessionError> {
        let exists = self.portals.contains_key(name);
        if exists && !name.is_empty() {
            return Err(SessionError::DuplicatePortal(name.to_owned()));
        }
        let most = self.shared.limits.portals;
        if !exists && self.portals.len() >= most {
            return Err(SessionError::LimitExceeded {
                what: "portals of one client",
                most,
            });
        }
        Ok(())
    }

    /// Queues the ParameterDescription and returns the description of the rows.
    fn describe_statement(&mut self, name: &str) -> Result<Output<R>, SessionError> {
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

    fn describe_portal(&self, name: &str) -> Result<Output<R>, SessionError> {
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

    /// Executes a simple query that is a utility statement and returns its command tag; returns `None` if it is another
    /// statement. Must only be called while the session is idle.
    ///
    /// # Errors
    ///
    /// [`SessionError::Unsupported`], or [`SessionError::UnknownStatement`] for a statement that the client has not
    /// prepared.
    pub fn run_utility_query(&mut self, text: &str) -> Option<Result<&'static str, SessionError>> {
        let utility = match UtilityStatement::parse(text)? {
            Ok(utility) => utility,
            Err(error) => return Some(Err(error)),
        };
        Some(self.run_utility(&utility).map(|()| utility.command_tag()))
    }

    /// Handles the receipt of a simple query: it removes the unnamed statement and all portals, and ends the skipping
    /// of commands.
    pub fn on_simple_query(&mut self) {
        self.portals.clear();
        self.statements.set("", None, None);
        self.segment = Segment::new(self.pipeline.next_number());
        self.statements.commit();
    }

    /// Returns the next request that may start, and marks it as running.
    pub fn start_next(&mut self) -> Option<StartedRequest> {
        self.pipeline.start(self.shared.limits.reads.max(1))
    }

    /// Stores the final response of `bytes` bytes to a request. Returns the numbers of the later requests that were
    /// running and are cancelled. Does nothing if the number is unknown, for example because the request was rolled
    /// back.
    pub fn finish(&mut self, number: u64, response: R, is_served: bool, bytes: usize) -> Vec<u64> {
        let Some(position) = self.pipeline.complete(number, response, bytes) else {
            return Vec::new();
        };
        let cancelled = if is_served {
            Vec::new()
        } else {
            self.roll_back_after(number, position)
        };
        self.commit_if_complete();
        cancelled
    }

    /// Rolls back the commands after a failed request in its segment. Returns the numbers of the requests that were
    /// running.
    fn roll_back_after(&mut self, number: u64, position: usize) -> Vec<u64> {
        let discarded = self.pipeline.discard_after(position);
        self.segment.is_skipping |= discarded.sync.is_none();
        self.statements
            .roll_back(number, discarded.sync.unwrap_or(u64::MAX));
        discarded.cancelled
    }

    /// Returns the number of the first request without a response, which a CancelRequest cancels, and whether it is
    /// running.
    pub fn first_pending(&self) -> Option<(u64, bool)> {
        self.pipeline.first_pending()
    }

    /// Removes and returns the next output, if it is available. Its memory stays reserved until
    /// [`on_written`](Self::on_written).
    pub fn pop_output(&mut self) -> Option<Output<R>> {
        self.pipeline.pop_ready()
    }

    /// Releases the memory of the outputs that were returned by [`pop_output`](Self::pop_output), which have been
    /// written to the client.
    pub fn on_written(&mut self) {
        self.pipeline.on_written();
    }

    /// Discards all queued commands and responses, and releases their memory: the client's connection has ended.
    pub fn clear(&mut self) {
        self.pipeline.clear();
    }
}
