//! The comment that closes a client's statement: names and values that say what the request is.

use crate::exchange::Statement;
use reelrill::{RequestId, Time};
use std::ops::Range;

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CommentError {
    #[error("no comment at the end of the statement")]
    Missing,
    #[error("{0}: missing or wrong")]
    Field(&'static str),
    #[error("no quoted key")]
    Key,
}

/// A statement's words, borrowed from it.
#[derive(Debug, PartialEq, Eq)]
pub struct Comment<'a> {
    pub id: RequestId,
    pub class: &'a str,
    pub group: u32,
    pub wait_ms: u64,
    pub after_ms: Option<u64>,
    pub is_retry: bool,
    /// The quoted key of the statement.
    pub key: &'a str,
    wait_digits: Range<usize>,
}

impl<'a> Comment<'a> {
    pub fn read(statement: &'a str) -> Result<Comment<'a>, CommentError> {
        let start = statement.rfind("/*").ok_or(CommentError::Missing)?;
        let inside = &statement[start + 2..];
        let inside = &inside[..inside.find("*/").ok_or(CommentError::Missing)?];
        let (mut id, mut class, mut group, mut wait) = (None, None, None, None);
        let (mut after_ms, mut is_retry) = (None, false);
        let mut at = start + 2;
        for part in inside.split(',') {
            let pair = part.trim();
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let begin = at + (part.len() - part.trim_start().len()) + name.len() + 1;
            match name {
                "id" if value.len() == 16 => id = u64::from_str_radix(value, 16).ok(),
                "c" => class = Some(value),
                "cluster" => group = value.parse().ok(),
                "d" => wait = value.parse().ok().map(|ms| (ms, begin..begin + value.len())),
                "after" => {
                    after_ms = Some(value.parse::<u64>().map_err(|_| CommentError::Field("after"))?);
                }
                "r" => is_retry = value == "1",
                _ => {}
            }
            at += part.len() + 1;
        }
        let (wait_ms, wait_digits) = wait.ok_or(CommentError::Field("d"))?;
        let key = statement[..start].split('\'').nth(1).ok_or(CommentError::Key)?;
        Ok(Comment {
            id: id.ok_or(CommentError::Field("id"))?,
            class: class.ok_or(CommentError::Field("c"))?,
            group: group.ok_or(CommentError::Field("cluster"))?,
            wait_ms,
            after_ms,
            is_retry,
            key,
            wait_digits,
        })
    }

    /// The position that must be seen, on the router's clock.
    pub fn after(&self) -> Option<Time> {
        self.after_ms.filter(|ms| *ms > 0).map(|ms| ms.saturating_mul(1_000_000))
    }

    /// What goes to instances.
    pub fn statement(&self, text: &str) -> Statement {
        Statement::new(text.as_bytes().to_vec(), self.wait_digits.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const READ: &str = "SELECT data FROM facts WHERE code = '7f3a' \
                        /* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */";

    #[test]
    fn a_statement_is_read_and_only_its_wait_changes() {
        let c = Comment::read(READ).unwrap();
        assert_eq!((c.id, c.class, c.group, c.wait_ms), (0x9b1f_03aa_5c7e_2d41, "basket", 2, 480));
        assert_eq!((c.key, c.after(), c.is_retry), ("7f3a", Some(1_767_225_600_123_000_000), false));
        let sent = c.statement(READ).with_wait(77_900_000);
        assert_eq!(String::from_utf8(sent).unwrap(), READ.replace("d=480", "d=77"));
    }

    #[rstest]
    #[case("SELECT 1", CommentError::Missing)]
    #[case("SELECT 'x' /* id=zz,c=a,d=1,cluster=1 */", CommentError::Field("id"))]
    #[case("SELECT 'x' /* id=9b1f03aa5c7e2d41,c=a,d=-1,cluster=1 */", CommentError::Field("d"))]
    #[case("SELECT x /* id=9b1f03aa5c7e2d41,c=a,d=1,cluster=1 */", CommentError::Key)]
    fn what_is_wrong_is_named(#[case] text: &str, #[case] wanted: CommentError) {
        assert_eq!(Comment::read(text), Err(wanted));
    }
}
