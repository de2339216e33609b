//! Socket options and signals that the standard library does not offer.

use std::net::TcpListener;
use std::os::fd::AsRawFd as _;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// The signal that ends a process at once.
pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, signal: i32) -> bool {
    // SAFETY: the call takes two numbers and touches no memory of this process.
    unsafe { kill(pid as i32, signal) == 0 }
}

fn set_option(listener: &TcpListener, level: i32, name: i32, value: i32) {
    // SAFETY: the pointer is that of a live number of the stated length.
    unsafe { setsockopt(listener.as_raw_fd(), level, name, &raw const value, 4) };
}

/// Gives the connections of a listener the segment size of an Ethernet and a receive buffer of `bytes`, as of a server
/// that is not on the router's machine.
pub fn limit_buffers(listener: &TcpListener, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    set_option(listener, IPPROTO_TCP, TCP_MAXSEG, 1448);
    set_option(listener, SOL_SOCKET, SO_RCVBUF, bytes);
}
