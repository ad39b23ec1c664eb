//! A minimal HTTP/1.1 implementation for the simulated clients, engines and operators.

use crate::constants;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A complete request or response.
#[derive(Debug, Clone)]
pub struct Message {
    /// Start line and headers.
    pub head: String,
    /// The body, without its framing.
    pub body: Vec<u8>,
}

/// Why no complete message could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ReadError {
    /// the connection closed before the first byte of the message
    ClosedBefore,
    /// the connection closed within the message
    ClosedWithin,
    /// the message is malformed
    Malformed,
}

impl Message {
    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    /// The value of a header; names match in any letter case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// Reads messages from a connection, and buffers bytes that follow the current message.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader for a new connection.
    pub fn new(stream: R) -> Reader<R> {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads the next complete message. Of a chunked body, not much more than [`constants::MESSAGE_MAX_BYTES`] is kept.
    ///
    /// # Errors
    ///
    /// If the connection closed, or the message is malformed.
    pub async fn message(&mut self) -> Result<Message, ReadError> {
        let head_end = self.read_until(b"\r\n\r\n").await? + 4;
        let head: Vec<u8> = self.buffer.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let body = if header(&head, "transfer-encoding").is_some() {
            self.chunks().await.map_err(as_closed_within)?
        } else {
            let length = header(&head, "content-length").map_or(Ok(0), str::parse::<usize>);
            let length = length.map_err(|_| ReadError::Malformed)?;
            self.read_at_least(length).await.map_err(as_closed_within)?;
            self.buffer.drain(..length).collect()
        };
        Ok(Message { head, body })
    }

    /// Waits until the peer sends bytes or closes the connection.
    ///
    /// # Cancel safety
    ///
    /// Received bytes stay in the buffer.
    pub async fn wait_for_activity(&mut self) {
        let _ = self.read_more().await;
    }

    async fn chunks(&mut self) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        loop {
            let line_end = self.read_until(b"\r\n").await?;
            let line: Vec<u8> = self.buffer.drain(..line_end + 2).collect();
            let size = String::from_utf8_lossy(&line[..line_end]).into_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| ReadError::Malformed)?;
            self.read_at_least(size + 2).await?;
            let part: Vec<u8> = self.buffer.drain(..size).collect();
            if body.len() < constants::MESSAGE_MAX_BYTES {
                body.extend(part);
            }
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn read_until(&mut self, pattern: &[u8]) -> Result<usize, ReadError> {
        loop {
            if let Some(at) = self.buffer.windows(pattern.len()).position(|w| w == pattern) {
                return Ok(at);
            }
            self.read_more().await?;
        }
    }

    async fn read_at_least(&mut self, bytes: usize) -> Result<(), ReadError> {
        while self.buffer.len() < bytes {
            self.read_more().await?;
        }
        Ok(())
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(read) if read > 0 => Ok(()),
            _ if self.buffer.is_empty() => Err(ReadError::ClosedBefore),
            _ => Err(ReadError::ClosedWithin),
        }
    }
}

fn as_closed_within(error: ReadError) -> ReadError {
    if error == ReadError::ClosedBefore { ReadError::ClosedWithin } else { error }
}

/// Sends one request on a new connection; `None` if no complete response arrived in time.
pub async fn call(to: SocketAddr, head: &str, body: &str, timeout: Duration) -> Option<Message> {
    let calling = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        let length = body.len();
        let request = format!(
            "{head}Host: control\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        Reader::new(stream).message().await.ok()
    };
    tokio::time::timeout(timeout, calling).await.ok().flatten()
}
