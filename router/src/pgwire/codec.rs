//! Messages: their frames, the few that are read, and the few that are written.

/// The largest row taken from an instance: one value, and what frames it.
pub const LARGEST_ROW: usize = 64 * 1024 + 16;
/// The largest message that is neither a row nor a query.
pub const LARGEST_WORD: usize = 16 * 1024;
/// The largest message taken: a value of 64 KiB in hexadecimal digits, and room for the statement.
pub const LARGEST: usize = 160 * 1024;

pub const TOO_MANY: &str = "53300";
pub const PROTOCOL_VIOLATION: &str = "08P01";
pub const SYNTAX: &str = "42601";
pub const UNSUPPORTED: &str = "0A000";
pub const FAILED: &str = "58000";

#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum FrameError {
    #[error("a message of {0} bytes")]
    Oversized(usize),
    #[error("a message whose length is wrong")]
    Malformed,
}

fn length(bytes: &[u8], least: usize) -> Result<Option<usize>, FrameError> {
    let Some(field) = bytes.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*field) as usize;
    match len {
        _ if len < least => Err(FrameError::Malformed),
        _ if len > LARGEST => Err(FrameError::Oversized(len)),
        _ => Ok(Some(len)),
    }
}

/// A message: its tag, its body, and its whole length.
pub type Frame<'a> = (u8, &'a [u8], usize);

/// The first message in `bytes`, once it is whole.
pub fn frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    let Some((&tag, rest)) = bytes.split_first() else { return Ok(None) };
    let Some(len) = length(rest, 4)? else { return Ok(None) };
    Ok(rest.get(4..len).map(|body| (tag, body, len + 1)))
}

/// The first message of a client. Only a query may be large.
pub fn command(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    frame_within(bytes, if bytes.first() == Some(&b'Q') { LARGEST } else { LARGEST_WORD })
}

fn frame_within(bytes: &[u8], most: usize) -> Result<Option<Frame<'_>>, FrameError> {
    match bytes.get(1..).map(|rest| length(rest, 4)) {
        Some(Ok(Some(len))) if len > most => Err(FrameError::Oversized(len)),
        _ => frame(bytes),
    }
}

/// The first message of an instance's answer. Only a row may be large, and its value has 64 KiB at most: a
/// length beyond that is refused as it is announced.
pub fn answer_frame(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    let most = if bytes.first() == Some(&b'D') { LARGEST_ROW } else { LARGEST_WORD };
    frame_within(bytes, most)
}

#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    /// A session, and the minor version asked for.
    Session {
        minor: u16,
    },
    /// A wish for encryption, answered with one byte.
    Encryption,
    Cancel,
    /// A version that is not spoken here.
    Version,
}

/// The message that opens a connection, which has no tag, and its length.
pub fn startup(bytes: &[u8]) -> Result<Option<(Startup, usize)>, FrameError> {
    let Some(len) = length(bytes, 8)? else { return Ok(None) };
    if len > 10_000 {
        return Err(FrameError::Oversized(len));
    }
    let Some(body) = bytes.get(4..len) else { return Ok(None) };
    let Some(code) = body.first_chunk::<4>() else { return Err(FrameError::Malformed) };
    let kind = match u32::from_be_bytes(*code) {
        80_877_102 => Startup::Cancel,
        80_877_103 | 80_877_104 => Startup::Encryption,
        code if code >> 16 == 3 => Startup::Session { minor: code as u16 },
        _ => Startup::Version,
    };
    Ok(Some((kind, len)))
}

/// Appends one message.
pub fn put(out: &mut Vec<u8>, tag: u8, parts: &[&[u8]]) {
    let len: usize = parts.iter().map(|p| p.len()).sum();
    out.push(tag);
    out.extend_from_slice(&(len as u32 + 4).to_be_bytes());
    for part in parts {
        out.extend_from_slice(part);
    }
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

/// The whole welcome: no password, no parameters that matter here.
pub fn put_welcome(out: &mut Vec<u8>, minor: u16) {
    if minor > 0 {
        put(out, b'v', &[&(3u32 << 16).to_be_bytes(), &0u32.to_be_bytes()]);
    }
    put(out, b'R', &[&0u32.to_be_bytes()]);
    for parameter in
        [&b"server_version\x0015.0\0"[..], b"client_encoding\0UTF8\0", b"standard_conforming_strings\0on\0"]
    {
        put(out, b'S', &[parameter]);
    }
    put(out, b'K', &[&[0; 8]]);
    put_ready(out);
}

/// Appends an ErrorResponse; `detail` becomes the field D.
pub fn put_error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    let mut body = Vec::with_capacity(64 + message.len());
    for (field, text) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)]
        .into_iter()
        .chain(detail.map(|d| (b'D', d)))
    {
        body.push(field);
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    put(out, b'E', &[&body, &[0]]);
}

/// What opens a connection to an instance.
pub fn put_startup(out: &mut Vec<u8>) {
    let body = b"user\0portal\0database\0crm\0\0";
    out.extend_from_slice(&(body.len() as u32 + 8).to_be_bytes());
    out.extend_from_slice(&(3u32 << 16).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn put_query(out: &mut Vec<u8>, text: &[u8]) {
    put(out, b'Q', &[text, &[0]]);
}

/// Splits off a text that ends in a zero byte.
pub fn text(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let end = bytes.iter().position(|b| *b == 0)?;
    Some((std::str::from_utf8(&bytes[..end]).ok()?, &bytes[end + 1..]))
}

/// The code of an ErrorResponse that is whole: fields of text and the zero that ends them.
pub fn error_code(body: &[u8]) -> Option<&str> {
    let (mut rest, mut code) = (body, None);
    while let Some((&field, after)) = rest.split_first().filter(|(f, _)| **f != 0) {
        let (value, next) = text(after)?;
        if field == b'C' {
            code = Some(value);
        }
        rest = next;
    }
    let is_code = |c: &&str| c.len() == 5 && c.bytes().all(|b| b.is_ascii_digit() || b.is_ascii_uppercase());
    code.filter(is_code).filter(|_| rest == [0])
}

/// Whether this is a RowDescription of exactly one column.
pub fn describes_one(body: &[u8]) -> bool {
    // After the name: table, attribute, type, size, modifier, format.
    let column = body.strip_prefix(&[0, 1]).and_then(text);
    column.is_some_and(|(_, rest)| rest.len() == 18)
}

/// Whether this is one text and nothing else.
pub fn is_text(body: &[u8]) -> bool {
    text(body).is_some_and(|(_, rest)| rest.is_empty())
}

/// The value of a DataRow of exactly one column that is not null.
pub fn single_value(body: &[u8]) -> Option<&[u8]> {
    let (count, rest) = body.split_first_chunk::<2>()?;
    let (len, value) = rest.split_first_chunk::<4>()?;
    let fits = u16::from_be_bytes(*count) == 1 && u32::from_be_bytes(*len) as usize == value.len();
    fits.then_some(value)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case(&[], Ok(None))]
    #[case(b"Q\0\0\0", Ok(None))]
    #[case(b"Q\0\0\0\x06a", Ok(None))]
    #[case(b"Q\0\0\0\x06a\0rest", Ok(Some((b'Q', &b"a\0"[..], 7))))]
    #[case(b"Q\0\0\0\x03", Err(FrameError::Malformed))]
    #[case(b"Q\x7f\0\0\0", Err(FrameError::Oversized(0x7f00_0000)))]
    fn frames(#[case] bytes: &[u8], #[case] wanted: Result<Option<Frame>, FrameError>) {
        assert_eq!(frame(bytes), wanted);
    }

    #[test]
    fn an_error_keeps_its_code_and_a_startup_its_version() {
        let mut out = Vec::new();
        put_error(&mut out, false, TOO_MANY, "busy", Some("250"));
        let (tag, body, _) = frame(&out).unwrap().unwrap();
        assert_eq!((tag, error_code(body)), (b'E', Some(TOO_MANY)));
        assert!(body.windows(5).any(|w| w == b"D250\0"));
        out.clear();
        put_startup(&mut out);
        assert_eq!(startup(&out), Ok(Some((Startup::Session { minor: 0 }, out.len()))));
        assert_eq!(single_value(b"\0\x01\0\0\0\x02ab"), Some(&b"ab"[..]));
        assert_eq!(single_value(b"\0\x01\xff\xff\xff\xff"), None);
    }
}
