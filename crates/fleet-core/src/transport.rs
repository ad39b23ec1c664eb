//! Byte streams between processes: TCP in the programs, anything else behind the same trait in
//! tests and simulations.

use crate::constants;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// A boxed future of a trait object's method.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
/// The half of a stream that bytes come from.
pub type ByteReader = Box<dyn AsyncRead + Send + Unpin>;
/// The half of a stream that bytes go to.
pub type ByteWriter = Box<dyn AsyncWrite + Send + Unpin>;
/// A stream of some transport.
pub type BoxedStream = Box<dyn ByteStream>;

/// Why no stream came up.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum TransportError {
    /// no answer in time
    Timeout,
    /// {0}
    Socket(std::io::ErrorKind),
}

impl From<std::io::Error> for TransportError {
    fn from(error: std::io::Error) -> Self {
        TransportError::Socket(error.kind())
    }
}

/// Bytes in both directions, in order, until either side closes.
pub trait ByteStream: AsyncRead + AsyncWrite + Send + Unpin + 'static {
    /// Parts the directions, so that one task can read while another writes.
    fn into_halves(self: Box<Self>) -> (ByteReader, ByteWriter) {
        let (reader, writer) = tokio::io::split(self);
        (Box::new(reader), Box::new(writer))
    }

    /// From now on, closing this end resets the connection: what has not got through by then never does.
    ///
    /// # Errors
    ///
    /// The operating system refused the option; the connection closes as usual then.
    fn reset_on_close(&self) -> std::io::Result<()> {
        Ok(())
    }
}

impl ByteStream for tokio::net::TcpStream {
    /// Without the lock that halves of a general stream share.
    fn into_halves(self: Box<Self>) -> (ByteReader, ByteWriter) {
        let (reader, writer) = self.into_split();
        (Box::new(reader), Box::new(writer))
    }

    fn reset_on_close(&self) -> std::io::Result<()> {
        self.set_zero_linger()
    }
}

impl ByteStream for tokio::io::DuplexStream {}

/// Where streams come from. One object serves one process: what it connects comes from there.
pub trait Transport: Send + Sync + 'static {
    /// Connects from the machine's own address, or gives up after the limit.
    fn connect(
        &self,
        own: Ipv4Addr,
        to: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>>;

    /// Takes connections at an address until the listener is dropped.
    ///
    /// # Errors
    ///
    /// The address can't be listened at: it is taken, or not this machine's.
    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>>;
}

/// An address that others connect to.
pub trait Listener: Send + 'static {
    /// The next connection. Dropping the future loses none.
    fn accept(&mut self) -> BoxFuture<'_, std::io::Result<BoxedStream>>;
}

/// The transport of the programs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Tcp {
    /// TCP as a transport that many links share.
    pub fn shared() -> Arc<dyn Transport> {
        Arc::new(Tcp)
    }
}

impl Transport for Tcp {
    fn connect(
        &self,
        own: Ipv4Addr,
        to: SocketAddr,
        limit: Duration,
    ) -> BoxFuture<'_, Result<BoxedStream, TransportError>> {
        Box::pin(async move {
            let stream = connect(own, to, limit).await?;
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>> {
        Ok(Box::new(listen(at)?))
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

/// Bounds how long a socket may hang behind a cut.
///
/// # Errors
///
/// The operating system refused an option; some may be set by then.
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

/// Listens for TCP connections, at once again after a restart.
///
/// # Errors
///
/// The address can't be listened at: it is taken, or not this machine's.
pub fn listen(at: SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(constants::LISTEN_BACKLOG)?;
    tokio::net::TcpListener::from_std(socket.into())
}

/// Connects over TCP from the machine's own address.
///
/// # Errors
///
/// No connection came up within the limit, or it was refused; nothing was sent.
pub async fn connect(
    own: Ipv4Addr,
    to: SocketAddr,
    limit: Duration,
) -> Result<tokio::net::TcpStream, TransportError> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(own.into(), 0))?;
    let connecting = tokio::time::timeout(limit, socket.connect(to));
    let stream = connecting.await.map_err(|_| TransportError::Timeout)??;
    set_socket_options(&stream)?;
    Ok(stream)
}
