//! Numbers of the types that are spoken here, as every server of this protocol has them.

/// Not told, or left to the server.
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
/// The type of a bare literal.
pub const UNKNOWN: u32 = 705;
/// `bpchar`.
pub const BPCHAR: u32 = 1042;
/// `varchar`.
pub const VARCHAR: u32 = 1043;

/// Whether values of this type are text in both formats.
pub fn is_text(oid: u32) -> bool {
    matches!(oid, UNSPECIFIED | TEXT | UNKNOWN | BPCHAR | VARCHAR)
}

/// The bytes of an integer type in binary form.
pub fn integer_width(oid: u32) -> Option<usize> {
    match oid {
        INT2 => Some(2),
        INT4 => Some(4),
        INT8 => Some(8),
        _ => None,
    }
}
