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

use crate::Wrong;
use crate::account::{Accounts, Limits};
use crate::admit::{Admitted, Catalog};
use crate::bound::Ask;
use crate::template::{Kind, Templates, Utility};
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
pub struct Common {
    /// The prepared statements.
    pub templates: Templates,
    /// The bounds, in the units that [`Limits`] names.
    pub limits: Limits,
    /// What is in use of the bounds that all clients share.
    pub accounts: Accounts,
    /// The classes of requests that are served.
    pub catalog: Catalog,
    /// Whether endpoints get simple queries only: values become literals.
    pub translate: bool,
}

/// What a client gets next.
#[derive(Debug, PartialEq)]
pub enum Output<A> {
    /// ParseComplete.
    Parsed,
    /// BindComplete.
    Bound,
    /// CloseComplete.
    Closed,
    /// ParameterDescription of a statement.
    Parameters(Vec<u32>),
    /// RowDescription of the one column, in this format.
    Column(Format),
    /// NoData.
    NoData,
    /// EmptyQueryResponse.
    Empty,
    /// CommandComplete of something that went to no endpoint.
    Complete(&'static str),
    /// The final answer of a part.
    Answer {
        /// As it was given to [`Plan::finish`].
        answer: A,
        /// The portal had a row limit and is not done: a served answer ends with PortalSuspended.
        suspended: bool,
    },
    /// An error: all that follows is skipped up to the Sync.
    Wrong(Wrong),
    /// What has been said so far is to reach the client now.
    Flush,
    /// ReadyForQuery.
    Ready,
}

/// A part that is to start now.
#[derive(Debug)]
pub struct Start {
    /// Its number, for [`Plan::finish`].
    pub part: u64,
    /// What the dispatcher is told.
    pub admitted: Rc<Admitted>,
    /// What endpoints are asked.
    pub ask: Rc<Ask>,
    /// The format that the client wants its value in.
    pub result: Format,
}

/// One client's session; `A` is the type of its host's final answers.
pub struct Plan<A> {
    common: Rc<Common>,
    statements: Statements,
    portals: HashMap<Box<str>, Portal>,
    pipeline: Pipeline<A>,
    segment: Segment,
}

impl<A> Plan<A> {
    /// The session of a client that has sent nothing yet.
    pub fn new(common: Rc<Common>) -> Plan<A> {
        Plan {
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
    pub fn is_open(&self) -> bool {
        !self.segment.is_closed
    }

    /// Whether no further command may be given now: too many wait, or a change could still be undone.
    pub fn is_full(&self) -> bool {
        let is_pipeline_full = self.pipeline.len() >= self.common.limits.commands;
        is_pipeline_full || (self.segment.is_closed && self.statements.has_uncommitted())
    }

    /// How many statements this client has prepared.
    pub fn statements(&self) -> usize {
        self.statements.len()
    }

    /// Takes a command of an extended query. `drawn` is its request's id where the client brings none. What is
    /// wrong with it is an [`Output::Wrong`].
    pub fn command(&mut self, command: &Command, drawn: u64) {
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
            .and_then(|()| self.take(command, drawn));
        if let Err(wrong) = done {
            self.pipeline.push_response(Output::Wrong(wrong));
            self.segment.is_skipping = true;
        }
    }

    /// Ends the segment and its portals.
    fn sync(&mut self) {
        self.portals.clear();
        self.pipeline.push_response(Output::Ready);
        self.segment = Segment::new(self.pipeline.next_number());
        self.commit_if_answered();
    }

    /// Makes the changes of statements final if no request could still fail ahead of them.
    fn commit_if_answered(&mut self) {
        if !self.pipeline.has_open_part() {
            self.statements.commit();
        }
    }

    fn take(&mut self, command: &Command, drawn: u64) -> Result<(), Wrong> {
        let response = match command {
            Command::Parse { name, text, types } => {
                self.parse(name, text, types)?;
                Output::Parsed
            }
            Command::Bind(bind) => {
                self.bind(bind, drawn)?;
                Output::Bound
            }
            Command::Describe(ObjectKind::Statement, name) => self.describe_statement(name)?,
            Command::Describe(ObjectKind::Portal, name) => self.describe_portal(name)?,
            Command::Execute { portal, row_limit } => return self.execute(portal, *row_limit),
            Command::Close(ObjectKind::Statement, name) => {
                self.set_statement(name, None);
                Output::Closed
            }
            Command::Close(ObjectKind::Portal, name) => {
                self.portals.remove(*name);
                Output::Closed
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

    fn parse(&mut self, name: &str, text: &str, types: &[u32]) -> Result<(), Wrong> {
        let is_known = self.statements.contains(name);
        if is_known && !name.is_empty() {
            return Err(Wrong::StatementExists(name.to_owned()));
        }
        let limits = &self.common.limits;
        if !is_known && self.statements.kept() >= limits.statements {
            return Err(Wrong::Limit {
                what: "prepared statements of one client",
                most: limits.statements,
            });
        }
        let share = self.common.accounts.statements.take(1);
        let statement = PreparedStatement {
            _share: share.ok_or(Wrong::Limit {
                what: "prepared statements of all clients",
                most: limits.all_statements,
            })?,
            template: self.common.templates.get(text, types)?,
        };
        self.set_statement(name, Some(statement));
        Ok(())
    }

    fn bind(&mut self, bind: &Bind, drawn: u64) -> Result<(), Wrong> {
        let template = self
            .statements
            .template(bind.statement)
            .ok_or_else(|| Wrong::NoStatement(bind.statement.to_owned()))?;
        self.check_portal_name(bind.portal)?;
        let portal = Portal::new(template, bind, drawn, &self.common)?;
        self.portals.insert(bind.portal.into(), portal);
        Ok(())
    }

    /// Whether a Bind may make a portal of this name; the unnamed one is replaced.
    fn check_portal_name(&self, name: &str) -> Result<(), Wrong> {
        let is_known = self.portals.contains_key(name);
        if is_known && !name.is_empty() {
            return Err(Wrong::PortalExists(name.to_owned()));
        }
        let most = self.common.limits.portals;
        if !is_known && self.portals.len() >= most {
            return Err(Wrong::Limit {
                what: "portals of one client",
                most,
            });
        }
        Ok(())
    }

    /// Answers with the parameters, and returns the description of the rows.
    fn describe_statement(&mut self, name: &str) -> Result<Output<A>, Wrong> {
        let template = self
            .statements
            .template(name)
            .ok_or_else(|| Wrong::NoStatement(name.to_owned()))?;
        let parameters = Output::Parameters(template.types().to_vec());
        self.pipeline.push_response(parameters);
        Ok(match template.kind {
            Kind::Request(_) => Output::Column(Format::Text),
            Kind::Utility(_) | Kind::Empty => Output::NoData,
        })
    }

    fn describe_portal(&self, name: &str) -> Result<Output<A>, Wrong> {
        let portal = self
            .portals
            .get(name)
            .ok_or_else(|| Wrong::NoPortal(name.to_owned()))?;
        Ok(portal.column().map_or(Output::NoData, Output::Column))
    }

    fn execute(&mut self, name: &str, row_limit: u32) -> Result<(), Wrong> {
        let portal = self
            .portals
            .get_mut(name)
            .ok_or_else(|| Wrong::NoPortal(name.to_owned()))?;
        let response = match portal.execute(name, row_limit)? {
            Execution::Request(request) => {
                self.pipeline.push_request(request);
                return Ok(());
            }
            Execution::Utility(template) => {
                let Kind::Utility(utility) = &template.kind else {
                    return Ok(());
                };
                self.run_utility(utility)?;
                Output::Complete(utility.tag())
            }
            Execution::Exhausted(tag) => Output::Complete(tag),
            Execution::Empty => Output::Empty,
        };
        self.pipeline.push_response(response);
        Ok(())
    }

    fn run_utility(&mut self, utility: &Utility) -> Result<(), Wrong> {
        match utility {
            Utility::Setting(_) => {}
            Utility::Deallocate(Some(name)) => {
                if !self.statements.contains(name) {
                    return Err(Wrong::NoStatement(name.to_string()));
                }
                self.set_statement(name, None);
            }
            Utility::DiscardAll | Utility::Deallocate(None) => {
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
    /// [`Wrong::Unsupported`], or [`Wrong::NoStatement`] for a statement that the client has not prepared.
    pub fn simple(&mut self, text: &str) -> Option<Result<&'static str, Wrong>> {
        let utility = match Utility::read(text)? {
            Ok(utility) => utility,
            Err(wrong) => return Some(Err(wrong)),
        };
        Some(self.run_utility(&utility).map(|()| utility.tag()))
    }

    /// A simple query removes the unnamed statement and all portals, and ends the skipping of commands.
    pub fn on_simple(&mut self) {
        self.portals.clear();
        self.statements.set("", None, None);
        self.segment = Segment::new(self.pipeline.next_number());
        self.statements.commit();
    }

    /// The next part that may start now; it counts as started.
    pub fn start(&mut self) -> Option<Start> {
        self.pipeline.start(self.common.limits.reads.max(1))
    }

    /// A part has its final answer. Returns the numbers of the parts behind it that were running and whose answers
    /// are not wanted any more. A part that is not known, because it was undone, changes nothing.
    pub fn finish(&mut self, part: u64, answer: A, served: bool) -> Vec<u64> {
        let Some(position) = self.pipeline.answer(part, answer) else {
            return Vec::new();
        };
        let called_off = if served {
            Vec::new()
        } else {
            self.undo_behind(part, position)
        };
        self.commit_if_answered();
        called_off
    }

    /// Undoes what was planned behind a failed part in its segment; returns the parts that were running.
    fn undo_behind(&mut self, part: u64, position: usize) -> Vec<u64> {
        let discarded = self.pipeline.discard_behind(position);
        self.segment.is_skipping |= discarded.sync.is_none();
        self.statements
            .roll_back(part, discarded.sync.unwrap_or(u64::MAX));
        discarded.called_off
    }

    /// The first part without an answer, and whether it has been started: what a CancelRequest is about.
    pub fn first_open(&self) -> Option<(u64, bool)> {
        self.pipeline.first_open()
    }

    /// What the client gets next, if it can be said already.
    pub fn output(&mut self) -> Option<Output<A>> {
        self.pipeline.pop_ready()
    }
}
