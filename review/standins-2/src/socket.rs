//! Socket options and signals that the standard library does not offer.

use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd as _};

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, name: *const u8, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// The signals that the cases send.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, signal: i32) -> bool {
    // SAFETY: the call takes two numbers and touches no memory of this process.
    unsafe { kill(pid as i32, signal) == 0 }
}

fn set_option(socket: &impl AsRawFd, level: i32, name: i32, value: i32) {
    // SAFETY: the pointer is that of a live number of the stated length.
    unsafe { setsockopt(socket.as_raw_fd(), level, name, &raw const value, 4) };
}

/// Gives a socket, or the connections of a listener, the segment size of an Ethernet and a receive buffer of `bytes`, as
/// of a machine that is not the router's.
pub fn limit_buffers(socket: &impl AsRawFd, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    set_option(socket, IPPROTO_TCP, TCP_MAXSEG, 1448);
    set_option(socket, SOL_SOCKET, SO_RCVBUF, bytes);
}

/// Connects to a loopback address from a socket with the segment size of an Ethernet and a receive buffer of `bytes`, as
/// of a client that is not on the router's machine.
///
/// # Errors
/// Fails if the address is not IPv4 or the router does not take the connection.
pub fn connect_from_afar(address: SocketAddr, bytes: i32) -> std::io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2_000_000;
    let SocketAddr::V4(address) = address else {
        return Err(std::io::Error::other("not an IPv4 address"));
    };
    // SAFETY: the call takes three numbers.
    let fd = unsafe { socket(AF_INET, SOCK_STREAM_CLOEXEC, 0) };
    if fd < 0 {
        return Err(std::io::Error::last_os_error());
    }
    // SAFETY: the descriptor was just opened and belongs to nothing else.
    let stream = unsafe { TcpStream::from_raw_fd(fd) };
    limit_buffers(&stream, bytes);
    // A sockaddr_in: family in the machine's order, port and address in that of the network, and padding.
    let mut name = [0; 16];
    name[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the pointer is that of 16 live bytes.
    if unsafe { connect(fd, name.as_ptr(), 16) } != 0 {
        return Err(std::io::Error::last_os_error());
    }
    Ok(stream)
}
