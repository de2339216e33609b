//! Writes to a client's socket, and its hang-up seen without reading.

use crate::observability::close_reason::CloseReason;
use crate::runtime::interrupted::write_all;
use async_io::{Async, Timer};
use futures_lite::future::or;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::net::TcpStream;
use std::time::Duration;

/// A client that does not read its answer for this long has lost it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Where nothing is read, how often it is asked whether the client has hung up.
const HANG_UP_POLL: Duration = Duration::from_millis(25);

/// Whether the client has closed its connection, also where bytes that nobody reads hide its end.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut asked, Some(&Timespec::default())).is_ok() && asked[0].revents().intersects(gone)
}

/// Waits until the client hangs up.
pub async fn hang_up(stream: &TcpStream) {
    loop {
        Timer::after(HANG_UP_POLL).await;
        if has_hung_up(stream) {
            return;
        }
    }
}

/// Writes all of `bytes`. A client that hangs up meanwhile is noticed: requests of its own may still be out.
pub async fn write_to_client(stream: &Async<TcpStream>, bytes: &[u8]) -> Result<(), CloseReason> {
    let write = async {
        write_all(stream, bytes)
            .await
            .map_err(|_| CloseReason::Reset)
    };
    let late = async {
        Timer::after(WRITE_TIMEOUT).await;
        Err(CloseReason::NotReading)
    };
    let hung_up = async {
        hang_up(stream.get_ref()).await;
        Err(CloseReason::DisconnectedWhileWaiting)
    };
    or(write, or(hung_up, late)).await
}

#[cfg(test)]
mod tests;
