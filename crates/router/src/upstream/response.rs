//! One response of an endpoint, put together from the messages that come on its connection.
//!
//! Owns what has come so far, and accepts each message only in its place: one description, one row of one column, one
//! end; or one error before any of these. It never reads from the connection.

use super::fault::sqlstate_outcome;
use super::load_report::parse_load_report;
use crate::messages::{QueryResult, ResultColumn};
use reelrill_pg_protocol::{backend, split_cstring, sqlstate};
use reelrill_routing::{AttemptOutcome, ReplicationStatus, Role};

const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// What has come of a response.
#[derive(Debug, Default)]
pub struct Response {
    /// The kinds of messages that must still confirm the steps of a prepared statement, in order, before a row may
    /// come. There is no description then; the value is in the format that was asked for.
    confirmations: &'static [u8],
    is_prepared: bool,
    column: Option<ResultColumn>,
    value: Option<Vec<u8>>,
    command_tag: Option<Box<str>>,
    error_code: Option<String>,
    /// What the endpoint said of its role and position.
    pub replication: ReplicationStatus,
    /// What its load report said of them.
    pub report: ReplicationStatus,
    /// The connection is ready for another request.
    pub is_ready: bool,
}

/// What a message means for the response that it belongs to.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseProgress {
    /// More has to come.
    Incomplete,
    /// It was the last.
    Ready,
    /// It may not come here.
    Unexpected,
}

impl Response {
    /// The response to a prepared statement, whose steps are confirmed by messages of these kinds.
    pub fn of_prepared(confirmations: &'static [u8]) -> Response {
        Response {
            confirmations,
            is_prepared: true,
            ..Response::default()
        }
    }

    /// The outcome, and the answer if it is complete.
    pub fn into_outcome(self) -> (AttemptOutcome, Option<QueryResult>) {
        if let Some(code) = &self.error_code {
            return (sqlstate_outcome(code), None);
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

    /// Nothing more is needed for its outcome.
    pub fn is_complete(&self) -> bool {
        self.command_tag.is_some() || self.error_code.is_some()
    }

    /// Its first message has come.
    pub fn has_begun(&self) -> bool {
        self.column.is_some() || self.value.is_some() || self.is_complete()
    }

    /// How many of the confirmations have not come.
    pub fn missing_confirmations(&self) -> usize {
        self.confirmations.len()
    }

    /// The endpoint does not know the prepared statement that it was asked to run.
    pub fn has_unknown_statement(&self) -> bool {
        self.error_code.as_deref() == Some(sqlstate::INVALID_SQL_STATEMENT_NAME)
    }

    /// The endpoint says that it is draining.
    pub fn says_draining(&self) -> bool {
        self.error_code.as_deref() == Some(sqlstate::CANNOT_CONNECT_NOW)
    }

    /// The one value as text, such as a load report.
    pub fn text(&self) -> Option<&str> {
        std::str::from_utf8(self.value.as_deref()?).ok()
    }

    /// Takes one message. Serving one that is out of place would hand a client what no endpoint made for it.
    pub fn take(&mut self, kind: u8, body: &[u8]) -> ResponseProgress {
        let accepted = match kind {
            b'T' if !self.is_prepared && !self.has_begun() => self.take_description(body),
            b'D' if self.may_have_row() => self.take_row(body),
            b'C' if self.value.is_some() && !self.is_complete() => self.take_command_tag(body),
            b'E' if !self.has_begun() => self.take_error(body),
            b'S' => {
                self.take_parameter(body);
                Some(())
            }
            b'N' => Some(()),
            b'Z' if self.is_complete() && body.len() == 1 => {
                self.is_ready = true;
                return ResponseProgress::Ready;
            }
            _ => self.take_confirmation(kind, body),
        };
        match accepted {
            Some(()) => ResponseProgress::Incomplete,
            None => ResponseProgress::Unexpected,
        }
    }

    fn may_have_row(&self) -> bool {
        let is_announced = if self.is_prepared {
            self.confirmations.is_empty()
        } else {
            self.column.is_some()
        };
        is_announced && self.value.is_none() && !self.is_complete()
    }

    fn take_description(&mut self, body: &[u8]) -> Option<()> {
        let column = backend::parse_single_column(body)?;
        self.column = Some(ResultColumn {
            name: column.name.into(),
            origin_and_type: column.type_info,
            format: column.format,
        });
        Some(())
    }

    fn take_row(&mut self, body: &[u8]) -> Option<()> {
        self.value = Some(backend::parse_single_value(body)?.to_vec());
        Some(())
    }

    fn take_command_tag(&mut self, body: &[u8]) -> Option<()> {
        self.command_tag = Some(backend::parse_single_string(body)?.into());
        Some(())
    }

    fn take_error(&mut self, body: &[u8]) -> Option<()> {
        self.error_code = Some(backend::error_sqlstate(body)?.to_owned());
        Some(())
    }

    fn take_confirmation(&mut self, kind: u8, body: &[u8]) -> Option<()> {
        let (expected, rest) = self.confirmations.split_first()?;
        let is_expected = *expected == kind && body.is_empty() && !self.has_begun();
        is_expected.then(|| self.confirmations = rest)
    }

    /// Reads what the endpoint says of itself in a parameter; others are left out.
    fn take_parameter(&mut self, body: &[u8]) {
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
