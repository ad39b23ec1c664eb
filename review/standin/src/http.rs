//! HTTP/1.1, as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Error, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn line(reader: &mut impl BufRead) -> std::io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    Ok(text.trim_end().to_owned())
}

/// Reads a head; none where the connection ends before one begins.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Message> {
    let first = line(reader)?;
    let mut headers = Vec::new();
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Ok(Message { first, headers, body: Vec::new() });
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces; an error where it breaks off.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> std::io::Result<()> {
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let size = line(reader)?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| Error::from(ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            let _ = line(reader)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(())
}

/// One call over a connection of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?;
    read_body(&mut reader, &mut answer)?;
    Ok(answer)
}
