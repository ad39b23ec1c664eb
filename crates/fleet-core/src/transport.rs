//! Byte streams between processes: TCP in the programs, other implementations of the same trait in tests and
//! simulations.

use crate::constants;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// Boxed future returned by methods of trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
/// Reading half of a stream.
pub type ByteReader = Box<dyn AsyncRead + Send + Unpin>;
/// Writing half of a stream.
pub type ByteWriter = Box<dyn AsyncWrite + Send + Unpin>;
/// A stream of any transport.
pub type BoxedStream = Box<dyn ByteStream>;

/// Why a connection could not be established.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum TransportError {
    /// no answer in time
    Timeout,
    /// {0}
    Io(std::io::ErrorKind),
}

impl From<std::io::Error> for TransportError {
    fn from(error: std::io::Error) -> Self {
        TransportError::Io(error.kind())
    }
}

/// An ordered byte stream in both directions that lasts until either side closes it.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin + 'static {
    /// Splits the stream so that one task can read while another writes.
    fn into_halves(self: Box<Self>) -> (ByteReader, ByteWriter) {
        let (reader, writer) = tokio::io::split(self);
        (Box::new(reader), Box::new(writer))
    }

    /// Makes closing this end reset the connection: data that has not been delivered by then is lost.
    ///
    /// # Errors
    ///
    /// The operating system rejected the option; the connection then closes normally.
    fn reset_on_close(&self) -> std::io::Result<()> {
        Ok(())
    }
}

impl ByteStream for tokio::net::TcpStream {
    /// Avoids the lock that the halves of a generic stream share.
    fn into_halves(self: Box<Self>) -> (ByteReader, ByteWriter) {
        let (reader, writer) = self.into_split();
        (Box::new(reader), Box::new(writer))
    }

    fn reset_on_close(&self) -> std::io::Result<()> {
        self.set_zero_linger()
    }
}

impl ByteStream for tokio::io::DuplexStream {}

/// Creates and accepts streams. One object serves one process, and its connections originate from that process.
pub trait Transport: Send + Sync + 'static {
    /// Connects from the machine's own address; fails after the timeout `limit`.
    fn connect(
        &self,
        local_ip: Ipv4Addr,
        remote_addr: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>>;

    /// Accepts connections on an address until the listener is dropped.
    ///
    /// # Errors
    ///
    /// The address is in use or does not belong to this machine.
    fn listen(&self, addr: SocketAddr) -> std::io::Result<Box<dyn Listener>>;
}

/// A bound address that accepts connections.
pub trait Listener: Send + 'static {
    /// Accepts the next connection. Dropping the future loses no connection.
    fn accept(&mut self) -> BoxFuture<'_, std::io::Result<BoxedStream>>;
}

/// The TCP transport that the programs use.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Tcp {
    /// Creates a TCP transport that many links can share.
    pub fn shared() -> Arc<dyn Transport> {
        Arc::new(Tcp)
    }
}

impl Transport for Tcp {
    fn connect(
        &self,
        local_ip: Ipv4Addr,
        remote_addr: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>> {
        Box::pin(async move {
            let stream = connect(local_ip, remote_addr, limit).await?;
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn listen(&self, addr: SocketAddr) -> std::io::Result<Box<dyn Listener>> {
        Ok(Box::new(listen(addr)?))
    }
}

impl Listener for tokio::net::TcpListener {
    fn accept(&mut self) -> BoxFuture<'_, std::io::Result<BoxedStream>> {
        Box::pin(async move {
            loop {
                let (stream, _) = tokio::net::TcpListener::accept(self).await?;
                if set_socket_options(&stream).is_ok() {
                    return Ok(Box::new(stream) as BoxedStream);
                }
            }
        })
    }
}

/// Sets socket options that limit how long a socket hangs behind a network partition.
///
/// # Errors
///
/// The operating system rejected an option; others may already be set.
pub fn set_socket_options(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(constants::TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &socket2::TcpKeepalive::new()
            .with_time(constants::KEEPALIVE_IDLE)
            .with_interval(constants::KEEPALIVE_INTERVAL)
            .with_retries(constants::KEEPALIVE_PROBES),
    )
}

/// Listens for TCP connections; the address can be reused immediately after a restart.
///
/// # Errors
///
/// The address is in use or does not belong to this machine.
pub fn listen(addr: SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(constants::LISTEN_BACKLOG)?;
    tokio::net::TcpListener::from_std(socket.into())
}

/// Connects over TCP from the machine's own address.
///
/// # Errors
///
/// The connection was refused or not established within the timeout; nothing was sent.
pub async fn connect(
    local_ip: Ipv4Addr,
    remote_addr: SocketAddr,
    limit: Duration,
) -> Result<tokio::net::TcpStream, TransportError> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(local_ip.into(), 0))?;
    let connecting = tokio::time::timeout(limit, socket.connect(remote_addr));
    let stream = connecting.await.map_err(|_| TransportError::Timeout)??;
    set_socket_options(&stream)?;
    Ok(stream)
}
