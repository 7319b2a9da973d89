//! Hostile byte streams, drawn by a seed: what is no HTTP, or has no end.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, RngCore as _, SeedableRng as _};

const BLOCK_BYTES: usize = 16 << 10;
const MAX_PARTS: usize = 3;

const ANSWER_STARTS: [&str; 14] = [
    "",
    "\r\n\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\n",
    "HTTP/1.0 200 OK\r\n",
    "HTTP/0.9 200 OK\r\n",
    "HTTP/2.0 200 OK\r\n",
    "HTTP/1.1 999 \r\n",
    "HTTP/1.1 204 No Content\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    "HTTP/1.1 100 Continue\r\ncontent-length: 5\r\n\r\nhello",
    "HTTP/1.1 103 Early Hints\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\n",
    "<html>",
];
const REQUEST_STARTS: [&str; 8] = [
    "",
    "\r\n\r\n",
    "GET /lookup/x HTTP/1.1\r\nhost: desk.example\r\n",
    "POST /lookup/x HTTP/1.1\r\nhost: desk.example\r\n",
    "POST /lookup/x HTTP/1.0\n",
    "GET /lookup/x\r\n",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "POST /lookup/x HTTP/1.1\r\nexpect: 100-continue\r\nauthorization: Token key-1\r\n",
];
const HEADERS: [&str; 11] = [
    "",
    "\r\n",
    "a-header: value\r\n",
    "content-length: 5\r\n",
    "content-length: 5\r\ncontent-length: 6\r\n",
    "content-length: 18446744073709551613\r\n\r\n",
    "content-length: -1\r\n\r\n",
    "transfer-encoding: chunked\r\n\r\n",
    "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n",
    "transfer-encoding: gzip, chunked\r\n\r\n",
    "connection: close\r\n\r\n",
];
const ENDLESS: [&str; 16] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n",
    "HTTP/1.1 102 Processing\n\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    "GET /lookup/x HTTP/1.1\r\nhost: desk.example\r\n\r\n",
    "\r\n",
    "\n",
    "\0",
    " ",
    "0",
    "a-header: value\r\n",
    "1\r\nx\r\n",
    "0000000001;an=extension\r\nx\r\n",
    "0\r\na-trailer: value\r\n",
    "data: no id\n\n",
    ": comment\n\n",
];

/// A stream of bytes without end: a few parts of a message, and then one part again and again, or
/// random bytes.
#[derive(Debug)]
pub struct HostileBytes {
    rng: SmallRng,
    start: String,
    /// `None` stands for random bytes.
    repeated: Option<&'static str>,
}

impl HostileBytes {
    /// What a server writes in place of an answer.
    pub fn answer(seed: u64) -> Self {
        Self::new(seed, &ANSWER_STARTS)
    }

    /// What a caller writes in place of a request.
    pub fn request(seed: u64) -> Self {
        Self::new(seed, &REQUEST_STARTS)
    }

    fn new(seed: u64, starts: &[&str]) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut start = String::new();
        start.push_str(starts.choose(&mut rng).copied().unwrap_or_default());
        for _ in 0..rng.random_range(0..=MAX_PARTS) {
            start.push_str(HEADERS.choose(&mut rng).copied().unwrap_or_default());
        }
        let repeated = match rng.random_ratio(1, 10) {
            true => None,
            false => ENDLESS.choose(&mut rng).copied(),
        };
        Self {
            rng,
            start,
            repeated,
        }
    }

    /// The next bytes of the stream.
    pub fn next_block(&mut self) -> Vec<u8> {
        let mut block = std::mem::take(&mut self.start).into_bytes();
        match self.repeated {
            Some(part) => block.extend(part.repeat(BLOCK_BYTES / part.len()).into_bytes()),
            None => {
                let start = block.len();
                block.resize(start + BLOCK_BYTES, 0);
                self.rng.fill_bytes(&mut block[start..]);
            }
        }
        block
    }

    /// A datagram in place of one of QUIC: random bytes, some of them with the start of a long header.
    pub fn datagram(&mut self) -> Vec<u8> {
        let mut datagram = vec![0; self.rng.random_range(1..1_400)];
        self.rng.fill_bytes(&mut datagram);
        if self.rng.random() {
            let header = [0xc0, 0, 0, 0, 1, 8];
            let length = header.len().min(datagram.len());
            datagram[..length].copy_from_slice(&header[..length]);
        }
        datagram
    }
}
