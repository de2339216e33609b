//! Object ids of PostgreSQL's built-in data types that the router supports.

/// No type: unspecified, or left to the server to infer.
pub const UNSPECIFIED: u32 = 0;
/// `bool`.
pub const BOOL: u32 = 16;
/// `bytea`: bytes; as text `\x` and hexadecimal digits.
pub const BYTEA: u32 = 17;
/// `int8`.
pub const INT8: u32 = 20;
/// `int2`.
pub const INT2: u32 = 21;
/// `int4`.
pub const INT4: u32 = 23;
/// `text`.
pub const TEXT: u32 = 25;
/// `unknown`: the type of a string literal before it is resolved.
pub const UNKNOWN: u32 = 705;
/// `bpchar`.
pub const BPCHAR: u32 = 1042;
/// `varchar`.
pub const VARCHAR: u32 = 1043;

/// Returns whether values of this type are text in both formats.
pub fn is_text(oid: u32) -> bool {
    matches!(oid, UNSPECIFIED | TEXT | UNKNOWN | BPCHAR | VARCHAR)
}

/// Returns the length of an integer type in binary format, in bytes; `None` for other types.
pub fn integer_width(oid: u32) -> Option<usize> {
    match oid {
        INT2 => Some(2),
        INT4 => Some(4),
        INT8 => Some(8),
        _ => None,
    }
}
