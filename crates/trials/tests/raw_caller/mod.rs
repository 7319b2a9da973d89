//! A caller that writes the bytes of its requests itself.

use async_io::Async;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use std::net::TcpStream;
use trials::{DirectGateway, RIG_HOST};

/// Connection of a caller that writes the bytes of its requests itself.
pub struct RawCaller(Async<TcpStream>);

impl RawCaller {
    pub async fn connect(gateway: &DirectGateway) -> Self {
        let address = gateway.frontend_address();
        Self(Async::<TcpStream>::connect(address).await.unwrap())
    }

    pub async fn write(&mut self, text: &str) {
        // A connection that was closed shows when the answer is read.
        let _ = self.0.write_all(text.as_bytes()).await;
    }

    /// Reads an answer with a stated length; what was read until the connection ended if it is cut.
    pub async fn read_answer(&mut self) -> String {
        let mut text = String::new();
        let mut buf = [0; 4 << 10];
        while !is_whole(&text) {
            match self.0.read(&mut buf).await {
                Ok(0) | Err(_) => break,
                Ok(length) => text.push_str(&String::from_utf8_lossy(&buf[..length])),
            }
        }
        text.to_lowercase()
    }

    /// Reads until the connection ends.
    #[allow(dead_code, reason = "not every test file reads streams")]
    pub async fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        // What came before an error counts.
        let _ = self.0.read_to_end(&mut bytes).await;
        String::from_utf8_lossy(&bytes).to_lowercase()
    }
}

fn is_whole(answer: &str) -> bool {
    let answer = answer.to_lowercase();
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let lines = head.lines();
    let mut lengths = lines.filter_map(|line| line.strip_prefix("content-length: "));
    let length = lengths.next().and_then(|length| length.parse().ok());
    length.is_none_or(|length: usize| body.len() >= length)
}

pub fn request_head(id: &str, path: &str, body_bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {RIG_HOST}\r\nx-request-id: {id}\r\nauthorization: Token \
         key-1\r\nx-deadline-ms: 8000\r\ncontent-length: {body_bytes}\r\n\r\n"
    )
}
