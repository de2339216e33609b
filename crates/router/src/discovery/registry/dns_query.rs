//! Sends one DNS query over UDP or TCP, and reports the responses as events.
//!
//! Responses are not validated here. The browser does that, and cancels the query once it has a usable response.

use crate::discovery::messages::RegistryEvent;
use async_channel::Sender;
use async_io::Async;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use reelrill_service_discovery::SourceId;
use reelrill_service_discovery::browse::DnsQuery;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream, UdpSocket};

/// The size of the receive buffer for datagrams, in bytes; the rest of a larger one is lost.
const MAX_DATAGRAM_SIZE: usize = 4096;

/// Sends one query from a port of its own, and reports responses until the returned future is dropped or the query
/// fails.
pub async fn run(source: SourceId, query: DnsQuery, events: Sender<RegistryEvent>) {
    let result = if query.is_tcp {
        query_over_tcp(&query).await.map(Some)
    } else {
        query_over_udp(source, &query, &events).await
    };
    // An event without bytes reports a failure. The browser then queries the next server.
    let bytes = result.unwrap_or(None);
    let event = RegistryEvent::DnsResponse {
        source,
        query: query.id,
        bytes,
    };
    let _ = events.send(event).await;
}

/// Sends a query over UDP and reports every datagram received. The kernel chooses the port and drops datagrams from
/// other senders. A datagram that is not the response must not end the wait, so this returns only on an error.
async fn query_over_udp(
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
    let mut datagram = vec![0; MAX_DATAGRAM_SIZE];
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

/// Sends a query over TCP and returns the response. Each message is preceded by its length in two bytes (RFC 1035,
/// 4.2.2).
async fn query_over_tcp(query: &DnsQuery) -> std::io::Result<Vec<u8>> {
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
