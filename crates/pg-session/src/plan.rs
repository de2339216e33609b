//! A client's names and its pipeline: what may start, what is answered, what is skipped.
//!
//! Commands are taken in as they come and answered in their order. Each Execute of a request is a part with one
//! final answer. Parts behind one that has not ended are planned as if it were served; if it is not, what was
//! planned behind it in its segment is taken back, as if those commands had never been read:
//!
//! - a read may start while others are out, but not while a write ahead of it has not ended;
//! - a write starts only when all parts ahead of it have ended, and those of its segment have been served;
//! - a statement that was prepared or closed behind a part that then failed is as it was before.
//!
//! Commands of the next segment are not taken while such a change could still be taken back.

use crate::Wrong;
use crate::account::{Accounts, Limits, Share};
use crate::admit::{Admitted, Catalog};
use crate::bound::{Ask, Bound};
use crate::template::{Kind, Template, Templates, Utility};
use reelrill_pg_protocol::Format;
use reelrill_pg_protocol::frontend::{Bind, Command, Object};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// What all clients' plans share.
#[derive(Debug)]
pub struct Common {
    /// The prepared statements.
    pub templates: Templates,
    /// The bounds, and what is in use of those that all clients share.
    pub limits: Limits,
    /// In use.
    pub accounts: Accounts,
    /// The classes.
    pub catalog: Catalog,
    /// Instances are only asked in simple queries: values become literals.
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
    /// What the decider is told.
    pub admitted: Rc<Admitted>,
    /// What endpoints are asked.
    pub ask: Rc<Ask>,
    /// The format that the client wants its value in.
    pub result: Format,
}

/// A name of a statement, and its share of the bound.
struct Held {
    template: Rc<Template>,
    _share: Share,
}

#[derive(Clone)]
enum Runs {
    Request {
        ask: Rc<Ask>,
        admitted: Rc<Admitted>,
    },
    Utility(Rc<Template>),
    Empty,
}

struct Portal {
    runs: Runs,
    result: Format,
    /// It has run; with a row limit it was left suspended.
    done: Option<Suspended>,
}

type Suspended = bool;

enum State<A> {
    Waiting,
    Running,
    Done(A),
}

enum Item<A> {
    Said(Output<A>),
    Part {
        state: State<A>,
        ask: Rc<Ask>,
        admitted: Rc<Admitted>,
        result: Format,
        suspended: bool,
    },
}

/// One client's names and pipeline; `A` is whatever its host takes for a final answer.
pub struct Plan<A> {
    common: Rc<Common>,
    statements: HashMap<Box<str>, Rc<Held>>,
    portals: HashMap<Box<str>, Portal>,
    items: VecDeque<(u64, Item<A>)>,
    next: u64,
    running: usize,
    /// The commands of the open segment, and the number of its first item.
    segment: (usize, u64),
    /// The last command was a Sync, or there was none.
    is_closed: bool,
    /// Up to the Sync, commands are passed over.
    is_skipping: bool,
    /// Changes of statements behind a part that has not ended, and what was there before.
    undo: Vec<(u64, Box<str>, Option<Rc<Held>>)>,
}

impl<A> Plan<A> {
    /// The plan of a client that has said nothing yet.
    pub fn new(common: Rc<Common>) -> Plan<A> {
        Plan {
            common,
            statements: HashMap::new(),
            portals: HashMap::new(),
            items: VecDeque::new(),
            next: 0,
            running: 0,
            segment: (0, 0),
            is_closed: true,
            is_skipping: false,
            undo: Vec::new(),
        }
    }

    /// Nothing waits for its turn or its answer.
    pub fn is_idle(&self) -> bool {
        self.items.is_empty()
    }

    /// A segment is open: a simple query would end it.
    pub fn is_open(&self) -> bool {
        !self.is_closed
    }

    /// No further command may be given now: too many wait, or a change could still be taken back.
    pub fn is_full(&self) -> bool {
        self.items.len() >= self.common.limits.commands || (self.is_closed && !self.undo.is_empty())
    }

    /// How many statements this client has prepared.
    pub fn statements(&self) -> usize {
        self.statements.len()
    }

    fn push(&mut self, item: Item<A>) {
        self.items.push_back((self.next, item));
        self.next += 1;
    }

    fn has_open_part(&self) -> bool {
        let is_open = |i: &Item<A>| {
            matches!(
                i,
                Item::Part {
                    state: State::Waiting | State::Running,
                    ..
                }
            )
        };
        self.items
            .iter()
            .rev()
            .take_while(|(n, _)| *n >= self.segment.1)
            .any(|(_, i)| is_open(i))
    }

    /// Takes a command of an extended query. `drawn` names its request, should the client leave that open.
    pub fn command(&mut self, command: &Command, drawn: u64) {
        if let Command::Sync = command {
            // What the names point at is gone with the segment, but for statements.
            self.portals.clear();
            self.push(Item::Said(Output::Ready));
            (self.is_skipping, self.is_closed, self.segment) = (false, true, (0, self.next));
            if !self
                .items
                .iter()
                .any(|(_, i)| matches!(i, Item::Part { state, .. } if !is_done(state)))
            {
                self.undo.clear();
            }
            return;
        }
        self.is_closed = false;
        if self.is_skipping {
            return;
        }
        self.segment.0 += 1;
        let most = self.common.limits.segment;
        let done = if self.segment.0 > most {
            Err(Wrong::Limit {
                what: "commands in a segment",
                most,
            })
        } else {
            self.take(command, drawn)
        };
        if let Err(wrong) = done {
            self.push(Item::Said(Output::Wrong(wrong)));
            self.is_skipping = true;
        }
    }

    fn take(&mut self, command: &Command, drawn: u64) -> Result<(), Wrong> {
        let said = match command {
            Command::Parse { name, text, types } => {
                self.parse(name, text, types)?;
                Output::Parsed
            }
            Command::Bind(bind) => {
                self.bind(bind, drawn)?;
                Output::Bound
            }
            Command::Describe(Object::Statement, name) => {
                let held = self
                    .statements
                    .get(*name)
                    .ok_or_else(|| Wrong::NoStatement((*name).to_owned()))?;
                let template = held.template.clone();
                self.push(Item::Said(Output::Parameters(template.types().to_vec())));
                match template.kind {
                    Kind::Request(_) => Output::Column(Format::Text),
                    _ => Output::NoData,
                }
            }
            Command::Describe(Object::Portal, name) => {
                let portal = self
                    .portals
                    .get(*name)
                    .ok_or_else(|| Wrong::NoPortal((*name).to_owned()))?;
                match portal.runs {
                    Runs::Request { .. } => Output::Column(portal.result),
                    _ => Output::NoData,
                }
            }
            Command::Execute { portal, rows } => return self.execute(portal, *rows),
            Command::Close(Object::Statement, name) => {
                self.set(name, None);
                Output::Closed
            }
            Command::Close(Object::Portal, name) => {
                self.portals.remove(*name);
                Output::Closed
            }
            Command::Flush => Output::Flush,
            Command::Sync | Command::Terminate | Command::Query(_) => return Ok(()),
        };
        self.push(Item::Said(said));
        Ok(())
    }

    /// Changes what a name stands for, so that it can be taken back if a part ahead of it fails.
    fn set(&mut self, name: &str, to: Option<Rc<Held>>) {
        let before = match to {
            Some(to) => self.statements.insert(name.into(), to),
            None => self.statements.remove(name),
        };
        if self.has_open_part() {
            self.undo.push((self.next, name.into(), before));
        }
    }

    fn parse(&mut self, name: &str, text: &str, types: &[u32]) -> Result<(), Wrong> {
        if !name.is_empty() && self.statements.contains_key(name) {
            return Err(Wrong::StatementExists(name.to_owned()));
        }
        let limits = &self.common.limits;
        if self.statements.len() + self.undo.len() >= limits.statements
            && !self.statements.contains_key(name)
        {
            return Err(Wrong::Limit {
                what: "prepared statements of one client",
                most: limits.statements,
            });
        }
        let most = limits.all_statements;
        let all = Wrong::Limit {
            what: "prepared statements of all clients",
            most,
        };
        let share = self.common.accounts.statements.take(1).ok_or(all)?;
        let template = self.common.templates.get(text, types)?;
        self.set(
            name,
            Some(Rc::new(Held {
                template,
                _share: share,
            })),
        );
        Ok(())
    }

    fn bind(&mut self, bind: &Bind, drawn: u64) -> Result<(), Wrong> {
        let held = self.statements.get(bind.statement);
        let held = held.ok_or_else(|| Wrong::NoStatement(bind.statement.to_owned()))?;
        if !bind.portal.is_empty() && self.portals.contains_key(bind.portal) {
            return Err(Wrong::PortalExists(bind.portal.to_owned()));
        }
        let most = self.common.limits.portals;
        if self.portals.len() >= most && !self.portals.contains_key(bind.portal) {
            return Err(Wrong::Limit {
                what: "portals of one client",
                most,
            });
        }
        let bound = Bound::new(&held.template, bind, drawn, &self.common.accounts)?;
        let runs = match &held.template.kind {
            Kind::Request(_) => {
                let admitted = Rc::new(bound.named(|named| self.common.catalog.admit(named))?);
                let ask = if self.common.translate {
                    Ask::Simple(bound.literally(&self.common.accounts)?)
                } else {
                    Ask::Bound(bound)
                };
                Runs::Request {
                    ask: Rc::new(ask),
                    admitted,
                }
            }
            Kind::Utility(_) => Runs::Utility(held.template.clone()),
            Kind::Empty => Runs::Empty,
        };
        self.portals.insert(
            bind.portal.into(),
            Portal {
                runs,
                result: bind.result(0),
                done: None,
            },
        );
        Ok(())
    }

    fn execute(&mut self, name: &str, rows: u32) -> Result<(), Wrong> {
        let portal = self
            .portals
            .get_mut(name)
            .ok_or_else(|| Wrong::NoPortal(name.to_owned()))?;
        let runs = portal.runs.clone();
        let before = portal.done;
        // There is one row: a limit of one is reached with it, and only the next Execute finds that it was the last.
        let suspended = rows == 1;
        portal.done = Some(before.is_none() && suspended);
        let item = match (runs, before) {
            (Runs::Empty, _) => Item::Said(Output::Empty),
            (Runs::Utility(template), _) => {
                let Kind::Utility(utility) = &template.kind else {
                    return Ok(());
                };
                self.run(utility)?;
                Item::Said(Output::Complete(utility.tag()))
            }
            (Runs::Request { ask, admitted }, None) => Item::Part {
                state: State::Waiting,
                ask,
                admitted,
                result: portal.result,
                suspended,
            },
            (Runs::Request { admitted, .. }, Some(true)) if admitted.is_write => {
                Item::Said(Output::Complete("INSERT 0 1"))
            }
            (Runs::Request { admitted, .. }, _) if admitted.is_write => {
                return Err(Wrong::PortalDone(name.to_owned()));
            }
            (Runs::Request { .. }, _) => Item::Said(Output::Complete("SELECT 0")),
        };
        self.push(item);
        Ok(())
    }

    /// A statement without effect on endpoints.
    fn run(&mut self, utility: &Utility) -> Result<(), Wrong> {
        match utility {
            Utility::Setting(_) => {}
            Utility::Deallocate(Some(name)) => {
                if !self.statements.contains_key(name) {
                    return Err(Wrong::NoStatement(name.to_string()));
                }
                self.set(name, None);
            }
            Utility::DiscardAll | Utility::Deallocate(None) => {
                let names: Vec<Box<str>> = self.statements.keys().cloned().collect();
                names.iter().for_each(|name| self.set(name, None));
            }
        }
        Ok(())
    }

    /// Runs a simple query that concerns names alone, while nothing else waits; none: it is something else.
    pub fn simple(&mut self, text: &str) -> Option<Result<&'static str, Wrong>> {
        let utility = match Utility::read(text)? {
            Ok(utility) => utility,
            Err(wrong) => return Some(Err(wrong)),
        };
        Some(self.run(&utility).map(|()| utility.tag()))
    }

    /// A simple query takes the unnamed statement and all portals with it, and ends what was being skipped.
    pub fn on_simple(&mut self) {
        self.portals.clear();
        self.statements.remove("");
        (self.is_skipping, self.is_closed, self.segment) = (false, true, (0, self.next));
        self.undo.clear();
    }

    /// The next part that may start now; it counts as started.
    pub fn start(&mut self) -> Option<Start> {
        let mut ahead = 0;
        for (part, item) in &mut self.items {
            let Item::Part {
                state,
                ask,
                admitted,
                result,
                ..
            } = item
            else {
                continue;
            };
            match state {
                State::Done(_) => {}
                State::Running if admitted.is_write => return None,
                State::Running => ahead += 1,
                State::Waiting if admitted.is_write && ahead > 0 => return None,
                State::Waiting if self.running >= self.common.limits.reads.max(1) => return None,
                State::Waiting => {
                    *state = State::Running;
                    self.running += 1;
                    let (admitted, ask) = (admitted.clone(), ask.clone());
                    return Some(Start {
                        part: *part,
                        admitted,
                        ask,
                        result: *result,
                    });
                }
            }
        }
        None
    }

    /// A part has its final answer. Returns the parts behind it that were out and are owed nothing any more; a
    /// part that is not known, because it was taken back, changes nothing.
    pub fn finish(&mut self, part: u64, answer: A, served: bool) -> Vec<u64> {
        let Ok(at) = self.items.binary_search_by_key(&part, |(n, _)| *n) else {
            return Vec::new();
        };
        let Item::Part { state, .. } = &mut self.items[at].1 else {
            return Vec::new();
        };
        if is_done(state) {
            return Vec::new();
        }
        if matches!(state, State::Running) {
            self.running -= 1;
        }
        *state = State::Done(answer);
        let mut called_off = Vec::new();
        if !served {
            let is_ready = |(_, i): &(u64, Item<A>)| matches!(i, Item::Said(Output::Ready));
            let end = self
                .items
                .iter()
                .skip(at)
                .position(is_ready)
                .map(|n| n + at);
            self.is_skipping |= end.is_none();
            let sync = end.map_or(u64::MAX, |at| self.items[at].0);
            for (n, item) in self.items.drain(at + 1..end.unwrap_or(self.items.len())) {
                if let Item::Part {
                    state: State::Running,
                    ..
                } = item
                {
                    self.running -= 1;
                    called_off.push(n);
                }
            }
            while let Some((_, name, before)) = self.undo.pop_if(|(n, ..)| *n > part && *n < sync) {
                match before {
                    Some(held) => self.statements.insert(name, held),
                    None => self.statements.remove(&name),
                };
            }
        }
        let is_open =
            |(_, i): &(u64, Item<A>)| matches!(i, Item::Part { state, .. } if !is_done(state));
        if !self.items.iter().any(is_open) {
            self.undo.clear();
        }
        called_off
    }

    /// The first part that has no answer yet, and whether it has been started: what a CancelRequest is about.
    pub fn first_open(&self) -> Option<(u64, bool)> {
        self.items.iter().find_map(|(n, item)| match item {
            Item::Part {
                state: State::Waiting,
                ..
            } => Some((*n, false)),
            Item::Part {
                state: State::Running,
                ..
            } => Some((*n, true)),
            _ => None,
        })
    }

    /// What the client gets next, if it can be said already.
    pub fn output(&mut self) -> Option<Output<A>> {
        if matches!(self.items.front()?.1, Item::Part { ref state, .. } if !is_done(state)) {
            return None;
        }
        Some(match self.items.pop_front()?.1 {
            Item::Said(said) => said,
            Item::Part {
                state: State::Done(answer),
                suspended,
                ..
            } => Output::Answer { answer, suspended },
            Item::Part { .. } => return None,
        })
    }
}

fn is_done<A>(state: &State<A>) -> bool {
    matches!(state, State::Done(_))
}
