//! HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddrV4, TcpStream},
    time::{Duration, Instant},
};

/// A request or a response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that the head announced.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddrV4, wait: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address.into(), wait)?))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads one message; `is_request` says that a body without length is empty.
    pub fn read(&mut self, is_request: bool) -> io::Result<Message> {
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = message.header("content-length").and_then(|value| value.parse().ok());
        if is_chunked {
            self.read_chunks(&mut message);
        } else if let Some(length) = length {
            match self.exact(length) {
                Ok(body) => {
                    message.body = body;
                    message.is_complete = true;
                }
                Err(_) => message.body = std::mem::take(&mut self.buffer),
            }
        } else if is_request {
            message.is_complete = true;
        } else {
            message.is_complete = loop {
                match self.fill() {
                    Ok(0) => break true,
                    Ok(_) => {}
                    Err(_) => break false,
                }
            };
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(message)
    }

    fn read_chunks(&mut self, message: &mut Message) {
        let mut next = || -> io::Result<bool> {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(true);
            }
            while self.buffer.len() < size + 2 {
                if self.fill()? == 0 {
                    let rest = self.buffer.len().min(size);
                    message.body.extend(self.buffer.drain(..rest));
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            Ok(false)
        };
        loop {
            match next() {
                Ok(true) => {
                    message.is_complete = true;
                    return;
                }
                Ok(false) => {}
                Err(_) => return,
            }
        }
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nHost: {}\r\n", self.method, self.path, self.host);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" || !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends one request on a new connection; returns the answer and how long it took.
pub fn exchange(
    address: SocketAddrV4,
    call: &Call,
    wait: Duration,
) -> (io::Result<Message>, Duration) {
    let started_at = Instant::now();
    let result = (|| {
        let mut channel = Channel::connect(address, wait.min(Duration::from_secs(1)))?;
        channel.stream.set_read_timeout(Some(wait))?;
        channel.write(&call.bytes())?;
        channel.read(false)
    })();
    (result, started_at.elapsed())
}

/// Returns the bytes of a response with a length.
pub fn response(status: u16, reason: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
