//! Encodes final responses as messages of the PostgreSQL protocol.

use crate::messages::{FinalResponse, QueryResult};
use reelrill_pg_protocol::{backend, sqlstate};

/// The size from which encoded responses are written, in bytes, so that they do not accumulate in memory.
pub const WRITE_BATCH_SIZE: usize = 16 * 1024;

/// Appends the result of a simple query.
pub fn put_result(out: &mut Vec<u8>, result: &QueryResult) {
    if let Some(column) = &result.column {
        backend::put_row_description(
            out,
            &backend::Column {
                name: &column.name,
                type_info: column.origin_and_type,
                format: column.format,
            },
        );
    }
    backend::put_data_row(out, &result.value);
    backend::put_command_complete(out, &result.command_tag);
}

/// Appends the error message for a response that is not [`FinalResponse::Served`].
pub fn put_error(out: &mut Vec<u8>, response: &FinalResponse) {
    match response {
        FinalResponse::Rejected { retry_after } => {
            let after = retry_after.map(|delay| delay.div_ceil(1_000_000).to_string());
            let text = "refused: trying again is harmless";
            backend::put_error_response(
                out,
                false,
                sqlstate::TOO_MANY_CONNECTIONS,
                text,
                after.as_deref(),
            );
        }
        FinalResponse::Failed(message) => {
            backend::put_error_response(out, false, sqlstate::SYSTEM_ERROR, message, None)
        }
        FinalResponse::Cancelled => {
            backend::put_error_response(
                out,
                false,
                sqlstate::QUERY_CANCELED,
                "called off by its client; it may have run",
                None,
            );
        }
        FinalResponse::Served(_) => {}
    }
}
