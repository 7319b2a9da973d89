//! Work that ends early when something else happens.

use pin_project_lite::pin_project;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

pin_project! {
    /// Future of [`unless`].
    #[derive(Debug)]
    pub struct Unless<W, E> {
        #[pin]
        work: W,
        #[pin]
        end: E,
    }
}

/// Runs `work` until `end` is ready, and then returns `None`.
///
/// It takes the memory of both futures and no more. An `async` function that gets a future and awaits it
/// keeps room for it twice.
pub fn unless<W, E>(work: W, end: E) -> Unless<W, E> {
    Unless { work, end }
}

impl<W: Future, E: Future> Future for Unless<W, E> {
    type Output = Option<W::Output>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        if let Poll::Ready(output) = this.work.poll(cx) {
            return Poll::Ready(Some(output));
        }
        this.end.poll(cx).map(|_| None)
    }
}
