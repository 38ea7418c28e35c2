//! HTTP/1.1 over blocking sockets: what the stand-ins need of it, for clients and for servers.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Timeout of a connection attempt of a client.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// First line and headers of a message.
pub struct Head {
    /// Request line or status line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of the first header with this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut parts = self.start.split(' ');
        (parts.next().unwrap_or_default(), parts.next().unwrap_or_default())
    }

    /// Status of an answer; 0 if it cannot be read.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read from it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(Self::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; returns whether the peer has not closed the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the peer closes the connection before the first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(cut()) };
            }
        }
    }

    /// Reads the body of a request.
    pub fn read_request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.read_exactly(length)
    }

    /// Reads the body of an answer; the flag is false if it ended before its announced end.
    pub fn read_answer_body(&mut self, head: &Head) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        if head.header("transfer-encoding").is_some() {
            let whole = self.read_chunks(&mut body).is_ok();
            return (body, whole);
        }
        let length: Option<usize> =
            head.header("content-length").and_then(|text| text.parse().ok());
        let Some(length) = length else {
            while matches!(self.fill(), Ok(true)) {}
            return (std::mem::take(&mut self.buffer), true);
        };
        while self.buffer.len() < length {
            if !matches!(self.fill(), Ok(true)) {
                return (std::mem::take(&mut self.buffer), false);
            }
        }
        (self.buffer.drain(..length).collect(), true)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.read_line()?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| cut())?;
            let chunk = self.read_exactly(length + 2)?;
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return Ok(());
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(cut());
            }
        }
    }

    fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(cut());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Head { start, headers: headers.collect() }
}

fn cut() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Encodes an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
