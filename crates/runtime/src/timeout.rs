//! Time limits for futures.

use crate::unless::{Unless, unless};
use async_io::Timer;
use pin_project_lite::pin_project;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// The future did not complete within its time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

pin_project! {
    /// Future of [`timeout`].
    #[derive(Debug)]
    pub struct Timeout<W> {
        #[pin]
        work: Unless<W, Timer>,
    }
}

/// Runs a future for at most `limit`, then drops it and returns [`Elapsed`].
pub fn timeout<W>(limit: Duration, future: W) -> Timeout<W> {
    Timeout {
        work: unless(future, Timer::after(limit)),
    }
}

impl<W: Future> Future for Timeout<W> {
    type Output = Result<W::Output, Elapsed>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let output = self.project().work.poll(cx);
        output.map(|output| output.ok_or(Elapsed))
    }
}
