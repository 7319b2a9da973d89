//! Memory for response bodies that are being read, of which each server has a share.

use crate::signal::Signal;
use bytes::Bytes;
use policy::{AnswerNumber, AnswerShares, FREE_ANSWER_BYTES, OpenAnswer, answer_growth};
use runtime::{Body, ByteBudget, ByteReservation};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The bodies that are being read, with a limit on the memory that they use together.
#[derive(Debug)]
pub struct AnswerMemory {
    budget: ByteBudget,
    open: Mutex<OpenBodies>,
}

#[derive(Debug, Default)]
struct OpenBodies {
    bodies: HashMap<AnswerNumber, OpenBody>,
    shares: AnswerShares<SocketAddr>,
    started: AnswerNumber,
}

#[derive(Debug)]
struct OpenBody {
    server: SocketAddr,
    pieces: Vec<Piece>,
    held: u64,
    /// Bytes that are still to come, where that is known.
    expected: Option<u64>,
    given_up: Arc<Signal>,
}

/// Part of a body. Its memory counts until it has been written to the caller.
#[derive(Debug)]
struct Piece {
    data: Vec<u8>,
    _reservation: Option<ByteReservation>,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

/// A body that is being read. Dropping it frees its memory.
#[derive(Debug)]
pub struct AnswerWriter<'a> {
    memory: &'a AnswerMemory,
    id: AnswerNumber,
    given_up: Arc<Signal>,
}

/// There is no memory for the rest of a body. What was read of it is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp;

impl AnswerMemory {
    /// Memory for bodies that may use as much together as `budget` has.
    pub fn new(budget: ByteBudget) -> Self {
        Self {
            budget,
            open: Mutex::default(),
        }
    }

    /// Starts a body that `server` sends, of `length` bytes if that is known.
    pub fn open(&self, server: SocketAddr, length: Option<u64>) -> AnswerWriter<'_> {
        let given_up = Arc::new(Signal::default());
        let mut open = self.lock();
        let id = open.started;
        open.started += 1;
        let body = OpenBody {
            server,
            pieces: Vec::new(),
            held: 0,
            expected: length,
            given_up: given_up.clone(),
        };
        open.bodies.insert(id, body);
        AnswerWriter {
            memory: self,
            id,
            given_up,
        }
    }

    fn lock(&self) -> MutexGuard<'_, OpenBodies> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenBodies {
    /// Reserves memory for `bytes` more of a body, which may take other bodies, or this one.
    fn reserve(
        &mut self,
        budget: &ByteBudget,
        id: AnswerNumber,
        bytes: u64,
    ) -> Result<ByteReservation, GivenUp> {
        loop {
            if let Some(reservation) = budget.try_reserve(bytes) {
                return Ok(reservation);
            }
            let asking = self.bodies.get(&id).ok_or(GivenUp)?.answer();
            let given_up = self.shares.to_give_up(id, asking, bytes);
            if let Some(body) = self.remove(given_up) {
                body.given_up.notify();
            }
            if given_up == id {
                return Err(GivenUp);
            }
        }
    }

    /// Adds memory to a body.
    fn grow(&mut self, id: AnswerNumber, piece: Piece) -> Result<(), GivenUp> {
        let body = self.bodies.get_mut(&id).ok_or(GivenUp)?;
        let answer = body.answer();
        body.held += piece.data.capacity() as u64;
        if body.held > FREE_ANSWER_BYTES {
            self.shares.on_growth(id, answer, body.held);
        }
        body.pieces.push(piece);
        Ok(())
    }

    fn remove(&mut self, id: AnswerNumber) -> Option<OpenBody> {
        let body = self.bodies.remove(&id)?;
        self.shares.on_end(id, body.answer());
        Some(body)
    }
}

impl OpenBody {
    fn answer(&self) -> OpenAnswer<SocketAddr> {
        OpenAnswer {
            server: self.server,
            held: self.held,
        }
    }

    /// Copies as much of `data` as fits; returns the rest.
    fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let Some(piece) = self.pieces.last_mut() else {
            return data;
        };
        let room = piece.data.capacity() - piece.data.len();
        let (fits, rest) = data.split_at(room.min(data.len()));
        piece.data.extend_from_slice(fits);
        rest
    }

    /// Bytes of the next piece.
    fn growth(&self) -> u64 {
        let growth = answer_growth(self.held);
        let left = self.expected.map(|bytes| bytes.saturating_sub(self.held));
        left.filter(|left| *left > 0)
            .map_or(growth, |left| growth.min(left))
    }
}

impl AnswerWriter<'_> {
    /// Adds bytes that were read.
    pub fn push(&self, data: &[u8]) -> Result<(), GivenUp> {
        let mut open = self.memory.lock();
        let mut data = data;
        loop {
            let body = open.bodies.get_mut(&self.id).ok_or(GivenUp)?;
            data = body.fill(data);
            if data.is_empty() {
                return Ok(());
            }
            let growth = body.growth();
            let reservation = match body.held {
                0 => None,
                _ => Some(open.reserve(&self.memory.budget, self.id, growth)?),
            };
            let piece = Piece {
                data: Vec::with_capacity(growth as usize),
                _reservation: reservation,
            };
            open.grow(self.id, piece)?;
        }
    }

    /// Waits until the body is given up for others.
    pub async fn given_up(&self) {
        self.given_up.notified().await;
    }

    /// Ends the body, which is complete.
    pub fn finish(self) -> Result<Body, GivenUp> {
        let body = self.memory.lock().remove(self.id);
        let pieces = body.ok_or(GivenUp)?.pieces;
        Ok(Body::pieces(pieces.into_iter().map(Bytes::from_owner)))
    }
}

impl Drop for AnswerWriter<'_> {
    fn drop(&mut self) {
        self.memory.lock().remove(self.id);
    }
}
