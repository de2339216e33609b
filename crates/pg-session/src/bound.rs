//! A statement with its values, as endpoints are asked: in their own form, so that any front can make one and any
//! endpoint side can carry it out.

use crate::Wrong;
use crate::account::{Accounts, Share};
use crate::admit::Named;
use crate::form::{self, Place};
use crate::template::{Kind, Request, Slot, Template};
use reelrill_pg_protocol::frontend::{self, Bind};
use reelrill_pg_protocol::{Format, oid};
use reelrill_routing::Nanos;
use std::borrow::Cow;
use std::fmt::Write as _;
use std::ops::Range;
use std::rc::Rc;

/// What an endpoint is to be asked.
#[derive(Debug)]
pub enum Ask {
    /// A statement in words, as a simple query.
    Simple(Simple),
    /// A prepared statement and its values.
    Bound(Bound),
}

/// A statement in words, in which only the waiting time may change.
#[derive(Debug)]
pub struct Simple {
    text: Vec<u8>,
    wait_digits: Range<usize>,
    /// Of the bound on values, where the text was made of them.
    _share: Option<Share>,
}

/// The time that the router will wait, in whole milliseconds, as endpoints are told it.
fn wait_ms(wait: Nanos) -> u64 {
    (wait / 1_000_000).max(1)
}

impl Simple {
    /// `wait_digits` is where the waiting time, in milliseconds, stands in `text`.
    pub fn new(text: Vec<u8>, wait_digits: Range<usize>) -> Simple {
        Simple {
            text,
            wait_digits,
            _share: None,
        }
    }

    /// The text with the time that the router will wait.
    pub fn with_wait(&self, wait: Nanos) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.text.len() + 8);
        text.extend_from_slice(&self.text[..self.wait_digits.start]);
        text.extend_from_slice(wait_ms(wait).to_string().as_bytes());
        text.extend_from_slice(&self.text[self.wait_digits.end..]);
        text
    }
}

/// A prepared statement and its values.
#[derive(Debug)]
pub struct Bound {
    template: Rc<Template>,
    bytes: Vec<u8>,
    /// Of the parameters that the client brought.
    values: Vec<(Format, Option<Range<usize>>)>,
    result: Format,
    /// The name that the request goes by, where the client brought none.
    drawn: u64,
    _share: Share,
}

/// A parameter as text that can be read as a number or a word; none: it is no such thing.
fn words(oid: u32, format: Format, value: &[u8]) -> Option<Cow<'_, str>> {
    if format == Format::Text || oid::is_text(oid) {
        return std::str::from_utf8(value).ok().map(Cow::Borrowed);
    }
    let number = match (oid, value.len()) {
        (oid::BOOL, 1) => value[0].into(),
        (oid::INT2, 2) => i16::from_be_bytes(value.try_into().ok()?).into(),
        (oid::INT4, 4) => i32::from_be_bytes(value.try_into().ok()?).into(),
        (oid::INT8, 8) => i64::from_be_bytes(value.try_into().ok()?),
        _ => return None,
    };
    Some(Cow::Owned(number.to_string()))
}

/// A whole number in a parameter's type and format; one that does not fit is the largest that does.
fn number_in(oid: u32, format: Format, number: u64) -> Vec<u8> {
    match (oid, format) {
        (oid::INT2, Format::Binary) => i16::try_from(number)
            .unwrap_or(i16::MAX)
            .to_be_bytes()
            .into(),
        (oid::INT4, Format::Binary) => i32::try_from(number)
            .unwrap_or(i32::MAX)
            .to_be_bytes()
            .into(),
        (oid::INT8, Format::Binary) => i64::try_from(number)
            .unwrap_or(i64::MAX)
            .to_be_bytes()
            .into(),
        (oid::INT2, Format::Text) => number.min(i16::MAX as u64).to_string().into_bytes(),
        _ => number.to_string().into_bytes(),
    }
}

/// A request's name in a parameter's type and format: as an integer it is the same 64 bits.
fn id_in(oid: u32, format: Format, id: u64) -> Vec<u8> {
    match (oid, format) {
        (oid::INT8, Format::Binary) => id.to_be_bytes().into(),
        (oid::INT8, Format::Text) => (id as i64).to_string().into_bytes(),
        _ => format!("{id:016x}").into_bytes(),
    }
}

impl Bound {
    /// Takes a statement's values from a Bind. `drawn` names the request where the client does not.
    pub fn new(
        template: &Rc<Template>,
        bind: &Bind,
        drawn: u64,
        accounts: &Accounts,
    ) -> Result<Bound, Wrong> {
        let takes = template.types().len();
        if bind.values.len() != takes {
            return Err(Wrong::Count {
                brought: bind.values.len(),
                takes,
            });
        }
        if bind.formats.len() > 1 && bind.formats.len() != takes {
            return Err(Wrong::Formats(bind.formats.len()));
        }
        if bind.results.len() > 1 {
            return Err(Wrong::Formats(bind.results.len()));
        }
        let len = bind.values.iter().flatten().map(|v| v.len()).sum();
        let most = accounts.values.most();
        let share = accounts.values.take(len).ok_or(Wrong::Limit {
            what: "bytes of values",
            most,
        })?;
        let mut bytes = Vec::with_capacity(len);
        let mut keep = |(i, value): (usize, &Option<&[u8]>)| {
            let range = value.map(|v| {
                bytes.extend_from_slice(v);
                bytes.len() - v.len()..bytes.len()
            });
            (bind.format(i), range)
        };
        let values = bind.values.iter().enumerate().map(&mut keep).collect();
        Ok(Bound {
            template: template.clone(),
            bytes,
            values,
            result: bind.result(0),
            drawn,
            _share: share,
        })
    }

    /// The statement.
    pub fn template(&self) -> &Template {
        &self.template
    }

    /// The format that the client wants its value in.
    pub fn result(&self) -> Format {
        self.result
    }

    fn request(&self) -> Option<&Request> {
        if let Kind::Request(r) = &self.template.kind {
            Some(r)
        } else {
            None
        }
    }

    fn value(&self, index: usize) -> Option<&[u8]> {
        self.values
            .get(index)?
            .1
            .clone()
            .and_then(|range| self.bytes.get(range))
    }

    fn format(&self, index: usize) -> Format {
        self.values.get(index).map_or(Format::Text, |v| v.0)
    }

    /// The word at a place: none if it is not there or null.
    fn word<'a>(&'a self, r: &'a Request, place: Place) -> Result<Option<Cow<'a, str>>, Wrong> {
        match r.slots.iter().find(|(p, _)| *p == place) {
            None => Ok(None),
            Some((_, Slot::Text(text))) => Ok(Some(Cow::Borrowed(text))),
            Some((_, Slot::Param(index))) => match self.value(*index) {
                None => Ok(None),
                Some(value) => words(r.types[*index], self.format(*index), value)
                    .map(Some)
                    .ok_or(Wrong::Value(place.name())),
            },
        }
    }

    fn number<T: std::str::FromStr>(&self, r: &Request, place: Place) -> Result<Option<T>, Wrong> {
        let Some(word) = self.word(r, place)? else {
            return Ok(None);
        };
        form::number(&word)
            .map(Some)
            .ok_or(Wrong::Value(place.name()))
    }

    /// The request's name as the client brought it.
    fn id(&self, r: &Request) -> Result<Option<u64>, Wrong> {
        let Some(word) = self.word(r, Place::Id)? else {
            return Ok(None);
        };
        let is_integer = r.slots.iter().any(
            |(place, slot)| matches!(slot, Slot::Param(i) if *place == Place::Id && r.types[*i] == oid::INT8),
        );
        let id = if is_integer {
            word.parse::<i64>().ok().map(|i| i as u64)
        } else {
            form::id(&word)
        };
        id.map(Some).ok_or(Wrong::Value("id"))
    }

    /// Reads what the request says of itself and has `use_it` judge it.
    pub fn named<T>(&self, use_it: impl FnOnce(&Named) -> Result<T, Wrong>) -> Result<T, Wrong> {
        let Some(r) = self.request() else {
            return Err(Wrong::Value("statement"));
        };
        let needed = |place: Place| self.word(r, place)?.ok_or(Wrong::Null(place.name()));
        let (class, key) = (needed(Place::Class)?, needed(Place::Key)?);
        if r.is_write {
            let value = r.slots.iter().find(|(p, _)| *p == Place::Value);
            if let Some((_, Slot::Param(index))) = value {
                self.check_value(r, *index)?;
            }
        }
        let retry = self.word(r, Place::Retry)?;
        let named = Named {
            id: Some(self.id(r)?.unwrap_or(self.drawn)),
            class: &class,
            replica_set: self
                .number(r, Place::ReplicaSet)?
                .ok_or(Wrong::Null("cluster"))?,
            wait_ms: self.number(r, Place::Wait)?.or(self.fixed_wait(r)?),
            after_ms: self.number(r, Place::After)?,
            is_retry: retry.is_some_and(|r| ["1", "t", "true"].contains(&&*r)),
            has_key: self
                .word(r, Place::Idempotency)?
                .is_some_and(|k| !k.is_empty()),
            is_write: r.is_write,
            key: &key,
        };
        use_it(&named)
    }

    /// The waiting time that stands in the text itself; its parameter is the router's own.
    fn fixed_wait(&self, r: &Request) -> Result<Option<u64>, Wrong> {
        match r.slots.iter().find(|(p, _)| *p == Place::Wait) {
            Some((_, Slot::Text(t))) => form::number(t).map(Some).ok_or(Wrong::Value("d")),
            _ => Ok(None),
        }
    }

    fn check_value(&self, r: &Request, index: usize) -> Result<(), Wrong> {
        let value = self.value(index).ok_or(Wrong::Null("data"))?;
        let is_good = if r.types[index] == oid::BYTEA && self.format(index) == Format::Binary {
            value.len() <= form::LARGEST_VALUE
        } else {
            std::str::from_utf8(value).is_ok_and(form::is_value)
        };
        if is_good {
            Ok(())
        } else {
            Err(Wrong::Value("data"))
        }
    }

    /// Appends the Bind of the unnamed portal, with the time that the router will wait.
    pub fn put_bind(&self, out: &mut Vec<u8>, wait: Nanos) {
        let Some(r) = self.request() else { return };
        let wait = number_in(r.types[r.wait], self.format(r.wait), wait_ms(wait));
        let id_at = r
            .marks
            .iter()
            .find(|(_, place, _)| *place == Place::Id)
            .map(|m| m.2);
        let id = id_at.map_or(Vec::new(), |i| {
            id_in(r.types[i], self.format(i), self.drawn)
        });
        let value = |i: usize| {
            let brought = self.value(i);
            let value = match brought {
                _ if i == r.wait => Some(&wait[..]),
                None if Some(i) == id_at => Some(&id[..]),
                other => other,
            };
            (self.format(i), value)
        };
        let values = (0..r.types.len()).map(value);
        frontend::put_bind(out, "", &self.template.name(), values, self.result);
    }

    /// The same as a simple query: values become literals where that can be done without doubt, else it is refused.
    pub fn literally(&self, accounts: &Accounts) -> Result<Simple, Wrong> {
        let Some(r) = self.request() else {
            return Err(Wrong::Value("statement"));
        };
        let (mut out, mut from, mut digits) = (String::with_capacity(r.text.len() + 64), 0, 0..0);
        for (range, place, index) in &r.marks {
            out.push_str(&r.text[from..range.start]);
            from = range.end;
            let start = out.len();
            match place {
                Place::Wait => out.push('1'),
                Place::Key | Place::Value => self.put_literal(&mut out, r, *place, *index)?,
                Place::Id => {
                    let _ = write!(out, "{:016x}", self.id(r)?.unwrap_or(self.drawn));
                }
                _ => self.put_word(&mut out, r, *place, *index)?,
            }
            if *place == Place::Wait {
                digits = start..out.len();
            }
        }
        out.push_str(&r.text[from..]);
        let text = out.into_bytes();
        let most = accounts.values.most();
        let share = accounts.values.take(text.len()).ok_or(Wrong::Limit {
            what: "bytes of values",
            most,
        })?;
        Ok(Simple {
            text,
            wait_digits: digits,
            _share: Some(share),
        })
    }

    /// A quoted literal. Instances may read a backslash in one way or another, so there must be none but the one
    /// that begins the digits of bytes.
    fn put_literal(
        &self,
        out: &mut String,
        r: &Request,
        place: Place,
        index: usize,
    ) -> Result<(), Wrong> {
        let value = self.value(index).ok_or(Wrong::Null(place.name()))?;
        out.push('\'');
        if r.types[index] == oid::BYTEA && self.format(index) == Format::Binary {
            out.push_str("\\x");
            for byte in value {
                let _ = write!(out, "{byte:02x}");
            }
        } else {
            let text = std::str::from_utf8(value).map_err(|_| Wrong::Literal(place.name()))?;
            let is_bytes = place == Place::Value && text.starts_with("\\x") && form::is_value(text);
            if text.contains('\0') || (text.contains('\\') && !is_bytes) {
                return Err(Wrong::Literal(place.name()));
            }
            out.push_str(&text.replace('\'', "''"));
        }
        out.push('\'');
        Ok(())
    }

    /// A word in the comment: nothing that could end it, or make another pair of it. A comment can't say that a
    /// word is not there; where 0 means the same, a null becomes one.
    fn put_word(
        &self,
        out: &mut String,
        r: &Request,
        place: Place,
        index: usize,
    ) -> Result<(), Wrong> {
        let word = match self.value(index) {
            Some(value) => words(r.types[index], self.format(index), value),
            None if matches!(place, Place::After | Place::Retry) => Some(Cow::Borrowed("0")),
            None => None,
        };
        let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        let word = word.filter(|w| !w.is_empty() && w.chars().all(is_plain));
        out.push_str(&word.ok_or(Wrong::Literal(place.name()))?);
        Ok(())
    }
}

/// A value that an endpoint gave in one format, in the format that the client asked for. None: it can't be said
/// in that format.
pub fn convert(value: &[u8], oid: u32, from: Format, to: Format) -> Option<Cow<'_, [u8]>> {
    if from == to || oid::is_text(oid) {
        return Some(Cow::Borrowed(value));
    }
    if oid != oid::BYTEA {
        return None;
    }
    if to == Format::Text {
        let mut text = String::with_capacity(2 + value.len() * 2);
        text.push_str("\\x");
        for byte in value {
            let _ = write!(text, "{byte:02x}");
        }
        return Some(Cow::Owned(text.into_bytes()));
    }
    let Some(digits) = value.strip_prefix(b"\\x") else {
        return unescape(value);
    };
    let digit = |d: u8| char::from(d).to_digit(16).map(|d| d as u8);
    let (pairs, []) = digits.as_chunks::<2>() else {
        return None;
    };
    pairs
        .iter()
        .map(|[a, b]| Some((digit(*a)? << 4) | digit(*b)?))
        .collect::<Option<Vec<u8>>>()
        .map(Cow::Owned)
}

/// Bytes in the older text form: as they are, but for `\\` and `\ooo`.
fn unescape(value: &[u8]) -> Option<Cow<'_, [u8]>> {
    if !value.contains(&b'\\') {
        return Some(Cow::Borrowed(value));
    }
    let (mut out, mut rest) = (Vec::with_capacity(value.len()), value);
    while let Some((&byte, behind)) = rest.split_first() {
        rest = behind;
        out.push(match (byte, behind) {
            (b'\\', [b'\\', more @ ..]) => {
                rest = more;
                b'\\'
            }
            (b'\\', [a @ b'0'..=b'3', b @ b'0'..=b'7', c @ b'0'..=b'7', more @ ..]) => {
                rest = more;
                ((a - b'0') << 6) | ((b - b'0') << 3) | (c - b'0')
            }
            (b'\\', _) => return None,
            (plain, _) => plain,
        });
    }
    Some(Cow::Owned(out))
}

#[cfg(test)]
mod tests;
