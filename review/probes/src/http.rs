//! Just enough of HTTP/1.1 for the stand-ins: requests and answers with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// Request line or status line.
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header; its name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if this is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The length of the body by its header; 0 without one.
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Connection {
    /// The connection itself.
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Most bytes that one call of the operating system may return.
    read_size: usize,
}

impl Connection {
    /// Wraps a connection on which nothing was received.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new(), read_size: 16 << 10 }
    }

    /// Receives once; false at the end of the stream.
    fn receive(&mut self) -> io::Result<bool> {
        let mut part = vec![0; self.read_size];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }

    fn receive_more(&mut self) -> io::Result<()> {
        if self.receive()? { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.receive_more()?;
        }
    }

    /// Reads a head; `None` if the stream ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        if self.buffer.is_empty() && !self.receive()? {
            return Ok(None);
        }
        let mut head = Head { first_line: self.line()?, headers: Vec::new() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads exactly this many bytes.
    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.receive_more()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one chunk of a chunked body; empty for the last one.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.exactly(size)?;
        self.exactly(2)?;
        Ok(data)
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exactly(head.length());
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }

    /// Sends all of these bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends one chunk of a chunked body.
    pub fn send_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut framed = format!("{:x}\r\n", data.len()).into_bytes();
        framed.extend_from_slice(data);
        framed.extend_from_slice(b"\r\n");
        self.send(&framed)
    }
}

/// Makes one call on a connection of its own; `None` without a whole answer in time.
pub fn call(to: SocketAddr, head: &str, body: &str, timeout: Duration) -> Option<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut connection = Connection::new(stream);
    let length = body.len();
    let request =
        format!("{head}Host: {to}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    connection.send(request.as_bytes()).ok()?;
    let head = connection.head().ok()??;
    let body = connection.body(&head).ok()?;
    Some((head.status(), body))
}
