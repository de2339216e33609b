//! Message boundaries. Responsible for checking a message's length as soon as its length field has been received,
//! before any of its body is stored. Lengths and their limits are those of the length field, which doesn't count the
//! type byte.

/// Maximum length of a DataRow from an endpoint, in bytes: one value of 64 KiB and its headers.
pub const MAX_ROW_LENGTH: usize = 64 * 1024 + 16;

/// Maximum length of a message without a value, in bytes.
pub const MAX_SMALL_MESSAGE_LENGTH: usize = 16 * 1024;

/// Maximum length of a message from a client, in bytes: a value of 64 KiB in hexadecimal digits, and the rest of
/// the statement.
pub const MAX_MESSAGE_LENGTH: usize = 160 * 1024;

/// Maximum length of a startup message, in bytes.
pub const MAX_STARTUP_LENGTH: usize = 10_000;

/// An error in a message's length.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum FrameError {
    /// The length exceeds the maximum; holds the length, in bytes.
    #[error("a message of {0} bytes")]
    Oversized(usize),
    /// The length is shorter than the message's fixed part, or wrong for a message of fixed length.
    #[error("a message whose length is wrong")]
    Malformed,
}

/// Parses a length field and checks it against its limits, in bytes. Returns `None` if the field is incomplete.
pub(crate) fn parse_length(
    bytes: &[u8],
    min_length: usize,
    max_length: usize,
) -> Result<Option<usize>, FrameError> {
    let Some(field) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*field) as usize;
    match length {
        _ if length < min_length => Err(FrameError::Malformed),
        _ if length > max_length => Err(FrameError::Oversized(length)),
        _ => Ok(Some(length)),
    }
}

/// A message: its type byte, its body, and its total length in bytes.
pub type Frame<'a> = (u8, &'a [u8], usize);

/// Parses the first message in `bytes`, whose length field may be at most `max_length`. Returns `None` if the message
/// is incomplete.
///
/// # Errors
///
/// [`FrameError`] if the length field is out of range.
pub fn parse(bytes: &[u8], max_length: usize) -> Result<Option<Frame<'_>>, FrameError> {
    let Some((&tag, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(length) = parse_length(rest, 4, max_length)? else {
        return Ok(None);
    };
    Ok(rest.get(4..length).map(|body| (tag, body, length + 1)))
}

/// Parses the first message from a client. Only a Query may exceed [`MAX_SMALL_MESSAGE_LENGTH`], and where
/// `allows_extended`, a Parse and a Bind. Returns `None` if the message is incomplete.
///
/// # Errors
///
/// [`FrameError`] if the length field is out of range.
pub fn parse_frontend(
    bytes: &[u8],
    allows_extended: bool,
) -> Result<Option<Frame<'_>>, FrameError> {
    parse(bytes, max_frontend_length(bytes, allows_extended))
}

/// Parses the header of the first message from a client: its type byte, and its total length in bytes. Returns `None` if
/// the header is incomplete. The limits are those of [`parse_frontend`].
///
/// # Errors
///
/// [`FrameError`] if the length field is out of range.
pub fn parse_frontend_header(
    bytes: &[u8],
    allows_extended: bool,
) -> Result<Option<(u8, usize)>, FrameError> {
    let Some((&tag, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let max_length = max_frontend_length(bytes, allows_extended);
    let length = parse_length(rest, 4, max_length)?;
    Ok(length.map(|length| (tag, length + 1)))
}

/// Returns the maximum of the length field of the first message from a client.
fn max_frontend_length(bytes: &[u8], allows_extended: bool) -> usize {
    match bytes.first() {
        Some(b'Q') => MAX_MESSAGE_LENGTH,
        Some(b'P' | b'B') if allows_extended => MAX_MESSAGE_LENGTH,
        _ => MAX_SMALL_MESSAGE_LENGTH,
    }
}

/// Parses the first message from an endpoint. Only a DataRow may exceed [`MAX_SMALL_MESSAGE_LENGTH`]; its value has at
/// most 64 KiB. Returns `None` if the message is incomplete.
///
/// # Errors
///
/// [`FrameError`] if the length field is out of range.
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
