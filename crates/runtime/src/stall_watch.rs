//! Notices when an executor does not run a task that is due.

use async_io::Timer;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(250);

/// A stretch in which the executor did not run a task that was due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stall {
    /// Its length.
    pub length: Duration,
    /// For how much of it a thread that does nothing else was late too, as the process or the machine
    /// stood still.
    pub stood_still: Duration,
    /// What the thread that then ran the task did meanwhile; `None` where the system does not tell.
    pub thread: Option<ThreadTime>,
}

/// Time that a thread has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ThreadTime {
    /// Time in which it ran.
    pub ran: Duration,
    /// Time in which it could run and had no processor.
    pub waited: Duration,
}

impl ThreadTime {
    /// That of the calling thread since it started.
    fn now() -> Option<Self> {
        let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
        let mut nanos = text.split_whitespace().map(str::parse);
        Some(Self {
            ran: Duration::from_nanos(nanos.next()?.ok()?),
            waited: Duration::from_nanos(nanos.next()?.ok()?),
        })
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            ran: self.ran.saturating_sub(earlier.ran),
            waited: self.waited.saturating_sub(earlier.waited),
        }
    }
}

/// What the task and the watching thread share.
#[derive(Debug)]
struct Beat {
    start: Instant,
    /// When the task last ran.
    run_ms: AtomicU64,
    watching: Mutex<Watching>,
}

/// What the watching thread has seen of itself.
#[derive(Debug, Clone, Copy)]
struct Watching {
    /// When it last woke.
    woke_at: Instant,
    /// By how much it has been late in all until then.
    late: Duration,
}

impl Watching {
    /// By how much it has been late in all, with the time for which it is late now.
    fn late(&self) -> Duration {
        self.late + self.woke_at.elapsed().saturating_sub(INTERVAL)
    }
}

impl Beat {
    fn since_run(&self) -> Duration {
        let last = Duration::from_millis(self.run_ms.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last)
    }

    fn record_run(&self) {
        let now = self.start.elapsed().as_millis() as u64;
        self.run_ms.store(now, Ordering::Relaxed);
    }

    fn watching(&self) -> MutexGuard<'_, Watching> {
        self.watching.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Measures how late the task runs that polls it, which has to do so all the time.
#[derive(Debug)]
pub struct StallWatch {
    beat: Arc<Beat>,
    min_length: Duration,
}

impl StallWatch {
    /// Starts the watching thread, which ends after the watch is dropped. Stalls shorter than `min_length` do not
    /// count. The thread calls `on_silence` with the time since the task last ran, once in each stall that lasts
    /// for `max_silence`.
    pub fn start(
        min_length: Duration,
        max_silence: Duration,
        on_silence: impl Fn(Duration) + Send + 'static,
    ) -> Self {
        let beat = Arc::new(Beat {
            start: Instant::now(),
            run_ms: AtomicU64::new(0),
            watching: Mutex::new(Watching {
                woke_at: Instant::now(),
                late: Duration::ZERO,
            }),
        });
        let watched = Arc::downgrade(&beat);
        thread::spawn(move || watch(&watched, max_silence, on_silence));
        Self { beat, min_length }
    }

    /// Waits for the end of the next stall.
    pub async fn next_stall(&self) -> Stall {
        loop {
            let (since, late, used) = (
                Instant::now(),
                self.beat.watching().late(),
                ThreadTime::now(),
            );
            self.beat.record_run();
            Timer::after(INTERVAL).await;
            let length = since.elapsed().saturating_sub(INTERVAL);
            if length < self.min_length {
                continue;
            }
            let thread = ThreadTime::now().zip(used);
            return Stall {
                length,
                stood_still: self.beat.watching().late().saturating_sub(late),
                thread: thread.map(|(now, earlier)| now.since(earlier)),
            };
        }
    }
}

fn watch(beat: &Weak<Beat>, max_silence: Duration, on_silence: impl Fn(Duration)) {
    let mut is_silent = false;
    loop {
        thread::sleep(INTERVAL);
        let Some(beat) = beat.upgrade() else {
            return;
        };
        {
            let mut watching = beat.watching();
            watching.late = watching.late();
            watching.woke_at = Instant::now();
        }
        let was_silent = std::mem::replace(&mut is_silent, beat.since_run() >= max_silence);
        if is_silent && !was_silent {
            on_silence(beat.since_run());
        }
    }
}
