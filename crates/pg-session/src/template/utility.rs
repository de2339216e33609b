//! Utility statements: session settings and the removal of prepared statements, which are never sent to an endpoint.
//!
//! Responsible for recognizing such a statement and for its command tag. Owns no state: the client's session executes
//! the statement. Must never accept a statement that would have an effect on an endpoint.

use crate::SessionError;

/// Commands that are recognized and rejected: each needs state that one connection keeps between statements.
const UNSUPPORTED: [&str; 18] = [
    "BEGIN",
    "START",
    "COMMIT",
    "END",
    "ROLLBACK",
    "ABORT",
    "SAVEPOINT",
    "RELEASE",
    "COPY",
    "DECLARE",
    "FETCH",
    "MOVE",
    "CLOSE",
    "PREPARE",
    "EXECUTE",
    "LISTEN",
    "NOTIFY",
    "LOCK",
];

/// A statement that has no effect on endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UtilityStatement {
    /// `SET` or `RESET`: accepted, without effect; holds the command tag.
    Setting(&'static str),
    /// `DISCARD ALL`: removes all prepared statements of the client.
    DiscardAll,
    /// `DEALLOCATE`: removes the named prepared statement, or all if `None`.
    Deallocate(Option<Box<str>>),
}

impl UtilityStatement {
    /// Parses a utility statement; returns `None` if the text is another statement.
    ///
    /// # Errors
    ///
    /// [`SessionError::Unsupported`] with the command's name for a known command that is not supported.
    pub fn parse(text: &str) -> Option<Result<UtilityStatement, SessionError>> {
        let mut words = trim_statement(text).split_whitespace();
        let command = words.next()?.to_ascii_uppercase();
        let arguments: Vec<&str> = words.collect();
        match &*command {
            "SET" => Some(Ok(UtilityStatement::Setting("SET"))),
            "RESET" => Some(Ok(UtilityStatement::Setting("RESET"))),
            "DISCARD" if is_all(&arguments) => Some(Ok(UtilityStatement::DiscardAll)),
            "DISCARD" => Some(Err(SessionError::Unsupported(command))),
            "DEALLOCATE" => parse_deallocate(&arguments).map(Ok),
            other if UNSUPPORTED.contains(&other) => Some(Err(SessionError::Unsupported(command))),
            _ => None,
        }
    }

    /// Returns the command tag for the CommandComplete message.
    pub fn command_tag(&self) -> &'static str {
        match self {
            UtilityStatement::Setting(tag) => tag,
            UtilityStatement::DiscardAll => "DISCARD ALL",
            UtilityStatement::Deallocate(None) => "DEALLOCATE ALL",
            UtilityStatement::Deallocate(Some(_)) => "DEALLOCATE",
        }
    }
}

/// Removes white space and semicolons around a statement.
pub(super) fn trim_statement(text: &str) -> &str {
    text.trim_matches(|c: char| c.is_whitespace() || c == ';')
}

fn is_all(arguments: &[&str]) -> bool {
    matches!(arguments, [word] if word.eq_ignore_ascii_case("all"))
}

/// Parses what follows `DEALLOCATE`: an optional `PREPARE`, then `ALL` or one name.
fn parse_deallocate(arguments: &[&str]) -> Option<UtilityStatement> {
    let target = match arguments {
        [first, rest @ ..] if first.eq_ignore_ascii_case("prepare") => rest,
        _ => arguments,
    };
    match target {
        _ if is_all(target) => Some(UtilityStatement::Deallocate(None)),
        [name] => Some(UtilityStatement::Deallocate(Some(fold_identifier(name)?))),
        _ => None,
    }
}

/// Folds an identifier as PostgreSQL does: to lower case unless quoted. Returns `None` if the closing quote is missing.
fn fold_identifier(identifier: &str) -> Option<Box<str>> {
    let Some(quoted) = identifier.strip_prefix('"') else {
        return Some(identifier.to_ascii_lowercase().into());
    };
    let inside = quoted.strip_suffix('"')?;
    Some(inside.replace("\"\"", "\"").into())
}
