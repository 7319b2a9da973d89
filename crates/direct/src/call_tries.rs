//! The tries of a call: one server after the other, and one beside another that is silent.

use crate::call::Call;
use crate::on_silence::OnSilence;
use crate::server_probe::may_run_again;
use crate::signal::Signal;
use futures_lite::future::or;
use hyper::http::response::Parts;
use policy::BackendId;
use runtime::Body;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

/// How a call is tried at one server.
pub trait CallTry: Sync {
    /// What a server gives.
    type Success: Send;

    /// The call.
    fn call(&self) -> &Call;

    /// Chooses a server and sends it the call. `silence` says what to do where it is silent for too long.
    fn run(
        &self,
        silence: OnSilence<'_>,
    ) -> impl Future<Output = Result<Self::Success, TryFailure>> + Send;
}

/// A whole response of a server.
#[derive(Debug)]
pub struct WholeResponse {
    /// Server that gave it.
    pub server: BackendId,
    /// Status line and headers.
    pub head: Parts,
    /// The body.
    pub body: Body,
}

/// Why tries gave no response for the caller.
#[derive(Debug, Default)]
pub struct TryFailure {
    /// Why no further server can be tried, and the time after which the caller should retry.
    pub refusal: Option<(&'static str, Duration)>,
    /// Error of a server, which the caller gets if no other server gives a better response.
    pub error: Option<WholeResponse>,
}

impl TryFailure {
    /// No further server can be tried.
    pub fn refused(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            refusal: Some((reason, retry_after)),
            error: None,
        }
    }

    /// A server responded with an error.
    pub fn server_error(response: WholeResponse) -> Self {
        Self {
            refusal: None,
            error: Some(response),
        }
    }

    fn followed_by(self, later: Self) -> Self {
        Self {
            refusal: later.refusal.or(self.refusal),
            error: later.error.or(self.error),
        }
    }
}

/// Tries servers until one succeeds or no further one can be tried.
///
/// A server that is silent for too long goes on while another one is tried beside it, and the first that
/// succeeds is used: silence is no reason to drop work where nothing may come of another try.
pub async fn run_tries<T: CallTry>(tries: &T) -> Result<T::Success, TryFailure> {
    let call = tries.call();
    let silent = Signal::default();
    let mut running = RunningTries::new(Box::pin(run_one(tries, &silent, false)));
    let mut failure = TryFailure::default();
    loop {
        let is_silent = async {
            silent.notified().await;
            TryEvent::Silent
        };
        // A refusal holds for this moment: servers may be free when a silent one breaks off later.
        let mut is_refused = call.remaining().is_zero();
        match or(running.next_end(), is_silent).await {
            TryEvent::Silent => running.on_silent(),
            TryEvent::Ended(Ok(success)) => return Ok(success),
            TryEvent::Ended(Err(TryEnd::NotTried)) if running.is_empty() => return Err(failure),
            TryEvent::Ended(Err(TryEnd::NotTried)) => continue,
            TryEvent::Ended(Err(TryEnd::Failed(later))) => {
                is_refused |= later.refusal.is_some();
                failure = failure.followed_by(later);
            }
        }
        // Two that are not counted as runs yet could exceed the attempts of the call.
        if !is_refused && !running.has_newest {
            running.start(Box::pin(run_one(tries, &silent, true)));
        } else if running.is_empty() {
            return Err(failure);
        }
    }
}

/// What happened to the tries of a call.
enum TryEvent<S> {
    /// One is silent, and goes on.
    Silent,
    /// One has ended.
    Ended(Result<S, TryEnd>),
}

/// How a try ended without success.
enum TryEnd {
    /// It gave no response for the caller.
    Failed(TryFailure),
    /// No further server may run the call.
    NotTried,
}

async fn run_one<T: CallTry>(
    tries: &T,
    silent: &Signal,
    is_repeat: bool,
) -> Result<T::Success, TryEnd> {
    if is_repeat && !may_run_again(tries.call()).await {
        return Err(TryEnd::NotTried);
    }
    let tried = tries.run(OnSilence::new(silent)).await;
    tried.map_err(TryEnd::Failed)
}

/// Tries of a call that are under way; what does not win is dropped.
struct RunningTries<F> {
    tries: Vec<Pin<Box<F>>>,
    /// Whether the last one of them is not silent.
    has_newest: bool,
}

impl<S, F: Future<Output = Result<S, TryEnd>>> RunningTries<F> {
    fn new(first: Pin<Box<F>>) -> Self {
        Self {
            tries: vec![first],
            has_newest: true,
        }
    }

    fn start(&mut self, further: Pin<Box<F>>) {
        self.tries.push(further);
        self.has_newest = true;
    }

    /// Records that the last one is silent.
    fn on_silent(&mut self) {
        self.has_newest = false;
    }

    fn is_empty(&self) -> bool {
        self.tries.is_empty()
    }

    /// Waits for the end of one of them, the first ones before later ones.
    async fn next_end(&mut self) -> TryEvent<S> {
        let (index, result) = poll_fn(|cx| {
            let polls = self.tries.iter_mut().enumerate();
            let mut ended = polls.filter_map(|(index, run)| match run.as_mut().poll(cx) {
                Poll::Ready(result) => Some((index, result)),
                Poll::Pending => None,
            });
            ended.next().map_or(Poll::Pending, Poll::Ready)
        })
        .await;
        self.has_newest &= index + 1 < self.tries.len();
        drop(self.tries.remove(index));
        TryEvent::Ended(result)
    }
}
