//! Sends one DNS query, over UDP or TCP, and passes on what comes back.
//!
//! It judges no response: the browser does, and drops the query once it has what it wants.

use crate::discovery::messages::RegistryEvent;
use async_channel::Sender;
use async_io::Async;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use reelrill_service_discovery::SourceId;
use reelrill_service_discovery::browse::DnsQuery;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream, UdpSocket};

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 4096;

/// Sends one query from a port of its own, and passes on what comes back until it is dropped.
pub async fn run(source: SourceId, query: DnsQuery, events: Sender<RegistryEvent>) {
    let result = if query.is_tcp {
        over_tcp(&query).await.map(Some)
    } else {
        over_udp(source, &query, &events).await
    };
    // A query without a response is followed by one to the next server.
    let bytes = result.unwrap_or(None);
    let event = RegistryEvent::DnsResponse {
        source,
        query: query.id,
        bytes,
    };
    let _ = events.send(event).await;
}

/// The kernel draws the port, and passes on nothing that does not come from the server. A datagram that is no response
/// does not end the wait for it, so this returns only with an error.
async fn over_udp(
    source: SourceId,
    query: &DnsQuery,
    events: &Sender<RegistryEvent>,
) -> std::io::Result<Option<Vec<u8>>> {
    let local: SocketAddr = match query.server {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = Async::<UdpSocket>::bind(local)?;
    socket.get_ref().connect(query.server)?;
    socket.send(&query.message).await?;
    let mut datagram = vec![0; MAX_DATAGRAM];
    loop {
        let len = socket.recv(&mut datagram).await?;
        let event = RegistryEvent::DnsResponse {
            source,
            query: query.id,
            bytes: Some(datagram[..len].to_vec()),
        };
        let _ = events.send(event).await;
    }
}

/// Messages over TCP have their length in front, in two bytes (RFC 1035, 4.2.2).
async fn over_tcp(query: &DnsQuery) -> std::io::Result<Vec<u8>> {
    let stream = Async::<TcpStream>::connect(query.server).await?;
    let query_len = u16::try_from(query.message.len()).map_err(std::io::Error::other)?;
    let framed = [&query_len.to_be_bytes(), &query.message[..]].concat();
    (&stream).write_all(&framed).await?;
    let mut response_len = [0; 2];
    (&stream).read_exact(&mut response_len).await?;
    let mut response = vec![0; u16::from_be_bytes(response_len).into()];
    (&stream).read_exact(&mut response).await?;
    Ok(response)
}
