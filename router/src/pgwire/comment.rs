//! The comment that closes a client's statement: names and values that say what the request is.

use crate::exchange::Statement;
use reelrill::Time;
use std::ops::Range;
use std::str::FromStr;

const READ: &str = "SELECT data FROM facts WHERE code = ";
/// Around the two literals of a write.
const WRITE: [&str; 3] = ["INSERT INTO facts (code, data) VALUES (", ", ", ") RETURNING data"];
/// The largest value, in bytes.
const LARGEST_VALUE: usize = 64 * 1024;

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum CommentError {
    #[error("neither the read nor the write that is spoken here")]
    Form,
    #[error("no comment at the end of the statement")]
    Missing,
    #[error("{0}: missing or wrong")]
    Field(&'static str),
    #[error("a name without a value, or twice")]
    Pair,
    #[error("a value that is no hexadecimal text, or too large")]
    Value,
}

/// A statement's words, borrowed from it.
#[derive(Debug, PartialEq, Eq)]
pub struct Comment<'a> {
    pub id: u64,
    pub class: &'a str,
    pub group: u32,
    pub wait_ms: u64,
    pub after_ms: Option<u64>,
    pub is_retry: bool,
    pub is_write: bool,
    /// There is an idempotency key.
    pub has_key: bool,
    /// The quoted key of the statement.
    pub key: &'a str,
    wait_digits: Range<usize>,
}

/// Splits off a quoted literal; a quote inside it is doubled.
fn literal(text: &str) -> Option<(&str, &str)> {
    let inside = text.strip_prefix('\'')?;
    let mut from = 0;
    loop {
        let end = from + inside[from..].find('\'')?;
        if !inside[end + 1..].starts_with('\'') {
            return Some((&inside[..end], &inside[end + 1..]));
        }
        from = end + 2;
    }
}

/// The key, the value of a write, and what follows the statement proper.
fn form(text: &str) -> Option<(&str, Option<&str>, &str)> {
    if let Some(rest) = text.strip_prefix(READ) {
        let (key, rest) = literal(rest)?;
        return Some((key, None, rest));
    }
    let (key, rest) = literal(text.strip_prefix(WRITE[0])?)?;
    let (value, rest) = literal(rest.strip_prefix(WRITE[1])?)?;
    Some((key, Some(value), rest.strip_prefix(WRITE[2])?))
}

fn is_value(value: &str) -> bool {
    match value.strip_prefix("\\x") {
        Some(digits) => {
            let all_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
            digits.len() % 2 == 0 && digits.len() / 2 <= LARGEST_VALUE && all_hex
        }
        None => value.len() <= LARGEST_VALUE,
    }
}

/// Digits and nothing else: the standard library's own reading also takes a sign.
fn number<T: FromStr>(value: &str) -> Option<T> {
    value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse().ok())?
}

impl<'a> Comment<'a> {
    /// Reads the whole statement. What is passed on must be what instances take: one that they turn away, or
    /// take otherwise than it was meant, costs them work and others their time.
    pub fn read(statement: &'a str) -> Result<Comment<'a>, CommentError> {
        let (key, value, rest) = form(statement).ok_or(CommentError::Form)?;
        if !value.is_none_or(is_value) {
            return Err(CommentError::Value);
        }
        let ending = |c: char| c.is_ascii_whitespace() || c == ';';
        let inside = rest.trim_start().strip_prefix("/*").ok_or(CommentError::Missing)?;
        let start = statement.len() - inside.len();
        let inside = inside.trim_end_matches(ending).strip_suffix("*/").ok_or(CommentError::Missing)?;
        if inside.contains("*/") || inside.contains("/*") {
            return Err(CommentError::Missing);
        }
        let (mut id, mut class, mut group, mut wait) = (None, None, None, None);
        let (mut after_ms, mut is_retry, mut has_key) = (None, false, false);
        let (mut at, mut seen) = (start, Vec::new());
        for part in inside.split(',') {
            let pair = part.trim();
            let (name, value) = pair.split_once('=').filter(|p| !p.1.is_empty()).ok_or(CommentError::Pair)?;
            if seen.contains(&name) {
                return Err(CommentError::Pair);
            }
            seen.push(name);
            let begin = at + (part.len() - part.trim_start().len()) + name.len() + 1;
            match name {
                "id" if value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit()) => {
                    id = u64::from_str_radix(value, 16).ok();
                }
                "c" => class = Some(value),
                "cluster" => group = number(value),
                "d" => wait = number(value).map(|ms| (ms, begin..begin + value.len())),
                "after" => after_ms = Some(number::<u64>(value).ok_or(CommentError::Field("after"))?),
                "k" => has_key = true,
                "r" => is_retry = value == "1",
                _ => {}
            }
            at += part.len() + 1;
        }
        let (wait_ms, wait_digits) = wait.ok_or(CommentError::Field("d"))?;
        Ok(Comment {
            id: id.ok_or(CommentError::Field("id"))?,
            class: class.ok_or(CommentError::Field("c"))?,
            group: group.ok_or(CommentError::Field("cluster"))?,
            wait_ms,
            after_ms,
            is_retry,
            is_write: value.is_some(),
            has_key,
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

    #[test]
    fn a_quote_inside_a_literal_ends_nothing() {
        let text = READ.replace("'7f3a'", "'a''b /* c=x */'");
        assert_eq!(Comment::read(&text).unwrap().key, "a''b /* c=x */");
    }

    #[rstest]
    #[case("7f3a'", "7f3a' OR 'a' = 'a'", CommentError::Missing)]
    #[case("'7f3a'", "x", CommentError::Form)]
    #[case("SELECT", "DELETE", CommentError::Form)]
    #[case(" */", "", CommentError::Missing)]
    #[case(" */", " */ DROP TABLE facts", CommentError::Missing)]
    #[case(" */", " */ /* c=x */", CommentError::Missing)]
    #[case("9b1f03aa5c7e2d41", "zz", CommentError::Field("id"))]
    #[case("9b1f03aa5c7e2d41", "+b1f03aa5c7e2d41", CommentError::Field("id"))]
    #[case("id=9b1f03aa5c7e2d41,", "", CommentError::Field("id"))]
    #[case("d=480", "d=-1", CommentError::Field("d"))]
    #[case("d=480", "d=+1", CommentError::Field("d"))]
    #[case("d=480", "d=480,d=480", CommentError::Pair)]
    #[case("d=480", "d=", CommentError::Pair)]
    #[case("after=1", "after=x", CommentError::Field("after"))]
    fn what_is_wrong_is_named(#[case] part: &str, #[case] other: &str, #[case] wanted: CommentError) {
        assert_eq!(Comment::read(&READ.replacen(part, other, 1)), Err(wanted));
    }

    #[rstest]
    #[case("\\x9f03", true)]
    #[case("lane 3", true)]
    #[case("\\x9f0", false)]
    #[case("\\xzz", false)]
    #[case(&format!("\\x{}", "00".repeat(LARGEST_VALUE)), true)]
    #[case(&format!("\\x{}", "00".repeat(LARGEST_VALUE + 1)), false)]
    fn a_value_is_text_or_whole_bytes_of_64_kib_at_most(#[case] value: &str, #[case] good: bool) {
        let text = format!(
            "INSERT INTO facts (code, data) VALUES ('k', '{value}') RETURNING data \
             /* id=9b1f03aa5c7e2d41,c=order,d=480,k=5c0f,cluster=2 */"
        );
        let read = Comment::read(&text);
        assert_eq!(read.is_ok_and(|c| c.is_write && c.has_key), good);
    }
}
