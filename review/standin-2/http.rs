//! Reading and writing HTTP/1.1, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// The head and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
        decode(found.unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = u8::from_str_radix(&text[at + 1..at + 3], 16);
            decoded.push(code.unwrap_or(b'?'));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with what was read ahead.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, ahead: Vec::new() }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16_384];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned()));
        Ok(Some(Message { first, headers: headers.collect(), body: Vec::new() }))
    }

    /// Reads the body of `message`; returns `false` if it is incomplete.
    pub fn read_body(&mut self, message: &mut Message, is_answer: bool) -> bool {
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            while self.ahead.len() < length {
                match self.more() {
                    Ok(0) | Err(_) => {
                        message.body = std::mem::take(&mut self.ahead);
                        return false;
                    }
                    Ok(_) => {}
                }
            }
            message.body = self.ahead.drain(..length).collect();
            return true;
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let Some(line) = self.read_line() else { return false };
                let size = line.split(';').next().unwrap_or("").trim().to_owned();
                let Ok(size) = usize::from_str_radix(&size, 16) else { return false };
                while self.ahead.len() < size + 2 {
                    match self.more() {
                        Ok(0) | Err(_) => {
                            let rest = std::mem::take(&mut self.ahead);
                            message.body.extend(rest);
                            return false;
                        }
                        Ok(_) => {}
                    }
                }
                message.body.extend(self.ahead.drain(..size));
                self.ahead.drain(..2);
                if size == 0 {
                    return true;
                }
            }
        }
        if !is_answer {
            return true;
        }
        loop {
            match self.more() {
                Ok(0) => {
                    message.body = std::mem::take(&mut self.ahead);
                    return true;
                }
                Err(_) => {
                    message.body = std::mem::take(&mut self.ahead);
                    return false;
                }
                Ok(_) => {}
            }
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !matches!(self.more(), Ok(1..)) {
                return None;
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was no head.
    pub status: u16,
    pub is_complete: bool,
    pub message: Message,
    pub millis: u128,
}

/// Sends a request on a connection of its own and reads the answer for up to `patience`.
pub fn ask(address: &str, request: &str, body: &[u8], patience: Duration) -> Answer {
    let started_at = Instant::now();
    let mut answer = Answer::default();
    let Ok(target) = address.parse() else { return answer };
    if let Ok(stream) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) {
        stream.set_read_timeout(Some(patience)).ok();
        let mut wire = Wire::new(stream);
        let mut bytes = request.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        if wire.write(&bytes).is_ok() {
            if let Ok(Some(mut message)) = wire.read_head() {
                answer.status = message.status();
                answer.is_complete = wire.read_body(&mut message, true);
                answer.message = message;
            }
        }
    }
    answer.millis = started_at.elapsed().as_millis();
    answer
}
