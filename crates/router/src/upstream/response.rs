//! Assembles one response of an endpoint from the messages received on its connection.
//!
//! Each message is accepted only in its place: one description, one row of one column and one completion, or one error
//! before any of these. This module never reads from the connection.

use super::fault::sqlstate_outcome;
use super::load_report::parse_load_report;
use crate::messages::{QueryResult, ResultColumn};
use reelrill_pg_protocol::{backend, split_cstring, sqlstate};
use reelrill_routing::{AttemptOutcome, ReplicationStatus, Role};

const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// A response that is being received.
#[derive(Debug, Default)]
pub struct Response {
    /// The tags of the messages that must still confirm the steps of a prepared statement, in order, before the row.
    /// Such a response has no description, and its value has the requested format.
    confirmations: &'static [u8],
    is_prepared: bool,
    column: Option<ResultColumn>,
    value: Option<Vec<u8>>,
    command_tag: Option<Box<str>>,
    error_code: Option<String>,
    /// The role and position in the endpoint's parameters.
    pub replication: ReplicationStatus,
    /// The role and position in the endpoint's load report.
    pub report: ReplicationStatus,
    /// Whether ReadyForQuery was received: the connection can be used for another request.
    pub is_ready: bool,
}

/// The progress of a response after a message.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseProgress {
    /// More messages must follow.
    Incomplete,
    /// The message was the last one.
    Ready,
    /// The message is invalid or not allowed at this point.
    Unexpected,
}

impl Response {
    /// Creates an empty response to a prepared statement whose steps are confirmed by messages with these tags.
    pub fn for_prepared(confirmations: &'static [u8]) -> Response {
        Response {
            confirmations,
            is_prepared: true,
            ..Response::default()
        }
    }

    /// Returns the outcome, and the result if the response is complete.
    pub fn into_outcome(self) -> (AttemptOutcome, Option<QueryResult>) {
        if let Some(error_code) = &self.error_code {
            return (sqlstate_outcome(error_code), None);
        }
        match (self.value, self.command_tag) {
            (Some(value), Some(command_tag)) => {
                let result = QueryResult {
                    column: self.column,
                    value,
                    command_tag,
                };
                (AttemptOutcome::Served, Some(result))
            }
            _ => (AttemptOutcome::MalformedResponse, None),
        }
    }

    /// Returns whether the outcome is known.
    pub fn is_complete(&self) -> bool {
        self.command_tag.is_some() || self.error_code.is_some()
    }

    /// Returns whether a description, row, completion or error was received.
    pub fn has_started(&self) -> bool {
        self.column.is_some() || self.value.is_some() || self.is_complete()
    }

    /// Returns the number of confirmations that have not been received.
    pub fn missing_confirmations(&self) -> usize {
        self.confirmations.len()
    }

    /// Returns whether the endpoint rejected the request because it does not have the prepared statement.
    pub fn has_unknown_statement(&self) -> bool {
        self.error_code.as_deref() == Some(sqlstate::INVALID_SQL_STATEMENT_NAME)
    }

    /// Returns whether the endpoint rejected the request because it is draining.
    pub fn has_draining_error(&self) -> bool {
        self.error_code.as_deref() == Some(sqlstate::CANNOT_CONNECT_NOW)
    }

    /// Returns the value as text, such as a load report, or `None` if there is no value or it is not valid UTF-8.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(self.value.as_deref()?).ok()
    }

    /// Adds one message. A message out of place is rejected, because a client could otherwise receive a result that no
    /// endpoint computed for it.
    pub fn add_message(&mut self, tag: u8, body: &[u8]) -> ResponseProgress {
        let accepted = match tag {
            b'T' if !self.is_prepared && !self.has_started() => self.add_description(body),
            b'D' if self.is_row_expected() => self.add_row(body),
            b'C' if self.value.is_some() && !self.is_complete() => self.add_command_tag(body),
            b'E' if !self.has_started() => self.add_error(body),
            b'S' => {
                self.add_parameter(body);
                Some(())
            }
            b'N' => Some(()),
            b'Z' if self.is_complete() && body.len() == 1 => {
                self.is_ready = true;
                return ResponseProgress::Ready;
            }
            _ => self.add_confirmation(tag, body),
        };
        match accepted {
            Some(()) => ResponseProgress::Incomplete,
            None => ResponseProgress::Unexpected,
        }
    }

    fn is_row_expected(&self) -> bool {
        let has_preamble = if self.is_prepared {
            self.confirmations.is_empty()
        } else {
            self.column.is_some()
        };
        has_preamble && self.value.is_none() && !self.is_complete()
    }

    fn add_description(&mut self, body: &[u8]) -> Option<()> {
        let column = backend::parse_single_column(body)?;
        self.column = Some(ResultColumn {
            name: column.name.into(),
            origin_and_type: column.type_info,
            format: column.format,
        });
        Some(())
    }

    fn add_row(&mut self, body: &[u8]) -> Option<()> {
        self.value = Some(backend::parse_single_value(body)?.to_vec());
        Some(())
    }

    fn add_command_tag(&mut self, body: &[u8]) -> Option<()> {
        self.command_tag = Some(backend::parse_single_string(body)?.into());
        Some(())
    }

    fn add_error(&mut self, body: &[u8]) -> Option<()> {
        self.error_code = Some(backend::error_sqlstate(body)?.to_owned());
        Some(())
    }

    fn add_confirmation(&mut self, tag: u8, body: &[u8]) -> Option<()> {
        let (expected, rest) = self.confirmations.split_first()?;
        let is_expected = *expected == tag && body.is_empty() && !self.has_started();
        is_expected.then(|| self.confirmations = rest)
    }

    /// Reads the endpoint's role, position or load report from a parameter. Other parameters are ignored.
    fn add_parameter(&mut self, body: &[u8]) {
        let Some((name, rest)) = split_cstring(body) else {
            return;
        };
        let Some((value, _)) = split_cstring(rest) else {
            return;
        };
        match name {
            "part" if value == "master" => self.replication.role = Some(Role::Primary),
            "part" if value == "replica" => self.replication.role = Some(Role::Replica),
            "caught_up_to" => {
                let milliseconds: Option<u64> = value.parse().ok().filter(|ms| *ms > 0);
                self.replication.applied_position =
                    milliseconds.map(|ms| ms.saturating_mul(NANOS_PER_MILLISECOND));
            }
            "gauges" => self.report = parse_load_report(value),
            _ => {}
        }
    }
}
