//! The tries of a call: one server after the other, and one beside another that is silent.

use crate::call::Call;
use crate::on_silence::OnSilence;
use crate::server_probe::may_run_again;
use crate::signal::Signal;
use futures_lite::future::or;
use hyper::http::response::Parts;
use policy::BackendId;
use runtime::Body;
use std::pin::pin;
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

    async fn is_final(&self, call: &Call) -> bool {
        self.refusal.is_some() || call.remaining().is_zero() || !may_run_again(call).await
    }
}

/// Tries servers until one succeeds or no further one can be tried.
///
/// A server that is silent for too long goes on while others are tried, and the first that succeeds is used:
/// silence is no reason to drop work where nothing may come of another try.
pub async fn run_tries<T: CallTry>(tries: &T) -> Result<T::Success, TryFailure> {
    let mut failure = TryFailure::default();
    loop {
        let silent = Signal::default();
        let first = tries.run(OnSilence::Notify(&silent));
        match with_others(first, &silent, tries).await {
            Ok(success) => return Ok(success),
            Err(later) => failure = failure.followed_by(later),
        }
        if failure.is_final(tries.call()).await {
            return Err(failure);
        }
    }
}

/// What came first.
enum Winner<R> {
    First(R),
    Others(R),
}

/// Waits for `first`. Once it is `silent`, others are tried beside it; what does not win is dropped.
async fn with_others<T: CallTry>(
    first: impl Future<Output = Result<T::Success, TryFailure>> + Send,
    silent: &Signal,
    tries: &T,
) -> Result<T::Success, TryFailure> {
    let mut first = pin!(first);
    let ended = async { Some(first.as_mut().await) };
    let is_silent = async {
        silent.notified().await;
        None
    };
    if let Some(result) = or(ended, is_silent).await {
        return result;
    }
    // Most calls need no room for it.
    let mut others = Box::pin(run_in_turn(tries));
    let first_ended = async { Winner::First(first.as_mut().await) };
    let others_ended = async { Winner::Others(others.as_mut().await) };
    let (failure, rest) = match or(first_ended, others_ended).await {
        Winner::First(Ok(success)) | Winner::Others(Ok(success)) => return Ok(success),
        Winner::First(Err(failure)) => (failure, others.await),
        Winner::Others(Err(failure)) => (failure, first.await),
    };
    rest.map_err(|later| failure.followed_by(later))
}

/// Tries one server after the other; each is given up once it is silent for too long and another may follow.
async fn run_in_turn<T: CallTry>(tries: &T) -> Result<T::Success, TryFailure> {
    let mut failure = TryFailure::default();
    while !failure.is_final(tries.call()).await {
        match tries.run(OnSilence::GiveUp).await {
            Ok(success) => return Ok(success),
            Err(later) => failure = failure.followed_by(later),
        }
    }
    Err(failure)
}
