//! Final responses as messages of the protocol.

use crate::messages::{FinalResponse, QueryResult};
use reelrill_pg_protocol::{backend, sqlstate};

/// How much is written at once, so that many answers do not pile up.
pub const WRITE_SIZE: usize = 64 * 1024;

/// A served answer to a simple query.
pub fn put_answer(out: &mut Vec<u8>, answer: &QueryResult) {
    if let Some(c) = &answer.column {
        backend::put_row_description(
            out,
            &backend::Column {
                name: &c.name,
                type_info: c.origin_and_type,
                format: c.format,
            },
        );
    }
    backend::put_data_row(out, &answer.value);
    backend::put_command_complete(out, &answer.command_tag);
}

/// Any other answer.
pub fn put_failure(out: &mut Vec<u8>, reply: &FinalResponse) {
    match reply {
        FinalResponse::Rejected { retry_after } => {
            let after = retry_after.map(|span| span.div_ceil(1_000_000).to_string());
            let text = "refused: trying again is harmless";
            backend::put_error_response(
                out,
                false,
                sqlstate::TOO_MANY_CONNECTIONS,
                text,
                after.as_deref(),
            );
        }
        FinalResponse::Failed(why) => {
            backend::put_error_response(out, false, sqlstate::SYSTEM_ERROR, why, None)
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
