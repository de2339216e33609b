//! Where a message ends. A length is judged as soon as it is announced, before anything behind it is kept.

/// The largest row taken from an instance: one value, and what frames it.
pub const MAX_ROW_LENGTH: usize = 64 * 1024 + 16;
/// The largest message that carries no value.
pub const MAX_SMALL_MESSAGE_LENGTH: usize = 16 * 1024;
/// The largest message taken: a value of 64 KiB in hexadecimal digits, and room for the statement.
pub const MAX_MESSAGE_LENGTH: usize = 160 * 1024;
/// The largest message that opens a connection.
pub const MAX_STARTUP_LENGTH: usize = 10_000;

/// Why bytes are no message.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum FrameError {
    /// A length beyond what is taken, in bytes.
    #[error("a message of {0} bytes")]
    Oversized(usize),
    /// A length shorter than the field that holds it.
    #[error("a message whose length is wrong")]
    Malformed,
}

pub(crate) fn parse_length(
    bytes: &[u8],
    least: usize,
    most: usize,
) -> Result<Option<usize>, FrameError> {
    let Some(field) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*field) as usize;
    match len {
        _ if len < least => Err(FrameError::Malformed),
        _ if len > most => Err(FrameError::Oversized(len)),
        _ => Ok(Some(len)),
    }
}

/// A message: its tag, its body, and its whole length.
pub type Frame<'a> = (u8, &'a [u8], usize);

/// The first message in `bytes`, once it is whole; its length field may say `most` bytes.
pub fn parse(bytes: &[u8], most: usize) -> Result<Option<Frame<'_>>, FrameError> {
    let Some((&tag, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(len) = parse_length(rest, 4, most)? else {
        return Ok(None);
    };
    Ok(rest.get(4..len).map(|body| (tag, body, len + 1)))
}

/// The first message of a client. Only a query may be large, and where `extended` queries are taken, Parse and Bind.
pub fn parse_frontend(bytes: &[u8], extended: bool) -> Result<Option<Frame<'_>>, FrameError> {
    let may_be_large = match bytes.first() {
        Some(b'Q') => true,
        Some(b'P' | b'B') => extended,
        _ => false,
    };
    parse(
        bytes,
        if may_be_large {
            MAX_MESSAGE_LENGTH
        } else {
            MAX_SMALL_MESSAGE_LENGTH
        },
    )
}

/// The first message of an instance's answer. Only a row may be large, and its value has 64 KiB at most.
pub fn parse_backend(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    parse(
        bytes,
        if bytes.first() == Some(&b'D') {
            MAX_ROW_LENGTH
        } else {
            MAX_SMALL_MESSAGE_LENGTH
        },
    )
}

#[cfg(test)]
mod tests;
