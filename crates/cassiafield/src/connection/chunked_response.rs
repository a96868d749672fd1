use std::io::{Result, Write};

/// An HTTP response with a chunked body; each chunk is flushed when it is written.
pub struct ChunkedResponse {
    writer: Box<dyn Write + Send>,
    buffer: Vec<u8>,
}

impl ChunkedResponse {
    /// Writes the status line and headers of a `200 OK` response.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn begin(mut writer: Box<dyn Write + Send>, content_type: &str) -> Result<Self> {
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(Self { writer, buffer: Vec::new() })
    }

    /// Sends one chunk; an empty chunk is skipped, since it would end the body.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn send(&mut self, chunk: &[u8]) -> Result<()> {
        if chunk.is_empty() {
            return Ok(());
        }
        self.buffer.clear();
        write!(self.buffer, "{:x}\r\n", chunk.len())?;
        self.buffer.extend_from_slice(chunk);
        self.buffer.extend_from_slice(b"\r\n");
        self.writer.write_all(&self.buffer)?;
        self.writer.flush()
    }

    /// Writes the terminating chunk.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn close(mut self) -> Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}
