//! Readiness checks from a thread of their own, as a prober outside of the trial makes them.

use hyper::StatusCode;
use runtime::offload;
use std::fmt;
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const TIME_LIMIT: Duration = Duration::from_secs(2);
const REQUEST: &[u8] = b"GET /v1/ready HTTP/1.1\r\nhost: gateway\r\nconnection: close\r\n\r\n";
const MAX_ANSWER_BYTES: usize = 4 << 10;

/// The answer of a gateway to a readiness check.
#[derive(Debug)]
pub struct ReadinessAnswer {
    /// Its status and text, or why none came within 2 s.
    pub answer: io::Result<(StatusCode, Box<str>)>,
    /// Time from the start of the check to its end.
    pub took: Duration,
    /// Time for which the trial itself did not start the check.
    pub start_delay: Duration,
}

impl ReadinessAnswer {
    /// Whether the gateway says that it accepts requests.
    pub fn is_ready(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_ok_and(|(status, _)| *status == StatusCode::OK)
    }
}

impl fmt::Display for ReadinessAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.answer {
            Ok((status, text)) => write!(f, "{status} {}", text.trim_end())?,
            Err(err) => write!(f, "no answer: {err}")?,
        }
        let (took, delay) = (self.took.as_millis(), self.start_delay.as_millis());
        write!(f, " after {took} ms, begun {delay} ms late")
    }
}

/// Asks the readiness endpoint at `address`.
pub async fn check_readiness(address: SocketAddr) -> ReadinessAnswer {
    let asked_at = Instant::now();
    offload(move || {
        let begun_at = Instant::now();
        ReadinessAnswer {
            answer: ask(address, begun_at + TIME_LIMIT),
            took: begun_at.elapsed(),
            start_delay: begun_at - asked_at,
        }
    })
    .await
}

fn ask(address: SocketAddr, deadline: Instant) -> io::Result<(StatusCode, Box<str>)> {
    let mut stream = TcpStream::connect_timeout(&address, TIME_LIMIT)?;
    stream.set_write_timeout(Some(TIME_LIMIT))?;
    stream.write_all(REQUEST)?;
    let mut bytes = Vec::new();
    let mut buf = [0; 512];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let length = stream.read(&mut buf)?;
        bytes.extend_from_slice(&buf[..length]);
        if let Some(answer) = parse(&String::from_utf8_lossy(&bytes)) {
            return Ok(answer);
        }
        if length == 0 || bytes.len() > MAX_ANSWER_BYTES {
            let text = String::from_utf8_lossy(&bytes);
            return Err(io::Error::other(format!("invalid answer {text:?}")));
        }
    }
}

/// Status and body of an answer, once it is complete.
fn parse(text: &str) -> Option<(StatusCode, Box<str>)> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut lines = head.lines();
    let length: usize = lines.find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse().ok())?
    })?;
    (body.len() >= length).then(|| (status, body.into()))
}
