//! The form of a statement: one read, one write, and a comment that closes it and names the request. A word may be
//! a parameter (`$n`) where the statement is prepared.

use std::ops::Range;
use std::str::FromStr;

const READ: &str = "SELECT data FROM facts WHERE code = ";
/// Around the two values of a write.
const WRITE: [&str; 3] = [
    "INSERT INTO facts (code, data) VALUES (",
    ", ",
    ") RETURNING data",
];
/// The largest value, in bytes.
pub const LARGEST_VALUE: usize = 64 * 1024;
/// The most names that a comment may hold.
const MOST_NAMES: usize = 32;

/// Why a text is no statement of ours.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum FormError {
    /// Another statement.
    #[error("neither the read nor the write that is spoken here")]
    Form,
    /// Nothing names the request.
    #[error("no comment at the end of the statement")]
    Missing,
    /// A word of the comment.
    #[error("{0}: missing or wrong")]
    Field(&'static str),
    /// Words of the comment that are no pairs, or too many.
    #[error("a name without a value, or twice")]
    Pair,
    /// The value of a write.
    #[error("a value that is no hexadecimal text, or too large")]
    Value,
}

/// A word of a statement: as it stands there, or the number of a parameter, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word<'a> {
    /// Between its quotes, where it has them.
    Text(&'a str),
    /// `$n`.
    Param(u16),
}

/// Where a word stands, as the words that can be parameters go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The quoted key: names the session in classes that have sessions.
    Key,
    /// The value that a write writes.
    Value,
    /// `id`
    Id,
    /// `c`
    Class,
    /// `cluster`
    ReplicaSet,
    /// `d`
    Wait,
    /// `k`
    Idempotency,
    /// `after`
    After,
    /// `r`
    Retry,
    /// A name that the router passes on and does not read.
    Other,
}

impl Place {
    /// Its name in the comment, or its column.
    pub fn name(self) -> &'static str {
        match self {
            Place::Key => "code",
            Place::Value => "data",
            Place::Id => "id",
            Place::Class => "c",
            Place::ReplicaSet => "cluster",
            Place::Wait => "d",
            Place::Idempotency => "k",
            Place::After => "after",
            Place::Retry => "r",
            Place::Other => "a name that is only passed on",
        }
    }

    fn of(name: &str) -> Place {
        match name {
            "id" => Place::Id,
            "c" => Place::Class,
            "cluster" => Place::ReplicaSet,
            "d" => Place::Wait,
            "k" => Place::Idempotency,
            "after" => Place::After,
            "r" => Place::Retry,
            _ => Place::Other,
        }
    }
}

/// A statement's words in the order in which they stand, and where each stands in its text (a literal with its
/// quotes).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Form<'a> {
    /// All words.
    pub words: Vec<(Place, Word<'a>, Range<usize>)>,
    /// It writes.
    pub is_write: bool,
    /// Where another pair could be added to the comment.
    pub comment_end: usize,
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

/// The number of a parameter, if this is one and nothing else.
fn param(text: &str) -> Option<u16> {
    let digits = text.strip_prefix('$')?;
    let is_plain = !digits.starts_with('0') && digits.bytes().all(|b| b.is_ascii_digit());
    is_plain.then(|| digits.parse().ok())?
}

/// Digits and nothing else: the standard library's own reading also takes a sign.
pub fn number<T: FromStr>(value: &str) -> Option<T> {
    value
        .bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| value.parse().ok())?
}

/// Whether this is a value as text: up to 64 KiB of it, or `\x` and whole bytes in hexadecimal digits.
pub fn is_value(value: &str) -> bool {
    match value.strip_prefix("\\x") {
        Some(digits) => {
            let all_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
            digits.len() % 2 == 0 && digits.len() / 2 <= LARGEST_VALUE && all_hex
        }
        None => value.len() <= LARGEST_VALUE,
    }
}

/// The name of a request: 16 hexadecimal digits.
pub fn id(value: &str) -> Option<u64> {
    let is_id = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
    is_id.then(|| u64::from_str_radix(value, 16).ok())?
}

impl<'a> Form<'a> {
    /// Reads the whole statement; `prepared` says that words may be parameters. What is passed on must be what
    /// endpoints take: one that they turn away, or take otherwise than it was meant, costs them work and others
    /// their time.
    pub fn read(statement: &'a str, prepared: bool) -> Result<Form<'a>, FormError> {
        let mut words = Vec::with_capacity(10);
        let at = |part: &str| part.as_ptr() as usize - statement.as_ptr() as usize;
        let mut word = |place, text: &'a str| {
            let start = at(text);
            if let Some((inside, rest)) = literal(text) {
                words.push((place, Word::Text(inside), start..at(rest)));
                return Some(rest);
            }
            let end = 1 + text
                .get(1..)?
                .find(|c: char| !c.is_ascii_digit())
                .unwrap_or(text.len() - 1);
            let number = param(text.get(..end)?).filter(|_| prepared)?;
            words.push((place, Word::Param(number), start..start + end));
            text.get(end..)
        };
        let is_write = !statement.starts_with(READ);
        let rest = if let Some(rest) = statement.strip_prefix(READ) {
            word(Place::Key, rest).ok_or(FormError::Form)?
        } else {
            let rest = statement
                .strip_prefix(WRITE[0])
                .and_then(|rest| word(Place::Key, rest));
            let rest = rest
                .and_then(|r| r.strip_prefix(WRITE[1]))
                .and_then(|r| word(Place::Value, r));
            rest.and_then(|r| r.strip_prefix(WRITE[2]))
                .ok_or(FormError::Form)?
        };
        if words
            .iter()
            .any(|(p, w, _)| matches!((p, w), (Place::Value, Word::Text(v)) if !is_value(v)))
        {
            return Err(FormError::Value);
        }
        let outcome = |c: char| c.is_ascii_whitespace() || c == ';';
        let inside = rest
            .trim_start()
            .strip_prefix("/*")
            .ok_or(FormError::Missing)?;
        let inside = inside
            .trim_end_matches(outcome)
            .strip_suffix("*/")
            .ok_or(FormError::Missing)?;
        if inside.contains("*/") || inside.contains("/*") {
            return Err(FormError::Missing);
        }
        let mut names: Vec<&str> = Vec::with_capacity(8);
        for part in inside.split(',') {
            let (name, value) = part
                .trim()
                .split_once('=')
                .filter(|p| !p.1.is_empty())
                .ok_or(FormError::Pair)?;
            if names.contains(&name) || names.len() >= MOST_NAMES {
                return Err(FormError::Pair);
            }
            names.push(name);
            let word = param(value)
                .filter(|_| prepared)
                .map_or(Word::Text(value), Word::Param);
            words.push((Place::of(name), word, at(value)..at(value) + value.len()));
        }
        let comment_end = at(inside) + inside.trim_end().len();
        Ok(Form {
            words,
            is_write,
            comment_end,
        })
    }

    /// The word at a place, and where it stands.
    pub fn word(&self, wanted: Place) -> Option<(Word<'a>, Range<usize>)> {
        self.words
            .iter()
            .find(|(place, ..)| *place == wanted)
            .map(|(_, w, range)| (*w, range.clone()))
    }

    /// The word at a place, if it stands there as text.
    pub fn text(&self, wanted: Place) -> Option<&'a str> {
        match self.word(wanted) {
            Some((Word::Text(text), _)) => Some(text),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
