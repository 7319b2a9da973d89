//! Servers that answer many requests at once with bytes that do not end, and the memory of the gateway that
//! reads them.

use crate::direct_gateway::{CallerAnswer, SEAL_HEADER};
use crate::direct_rig::DirectRig;
use crate::error::TrialError;
use crate::loopback::loopback;
use crate::process::ResourceUsage;
use crate::readiness_check::check_readiness;
use async_io::{Async, Timer};
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use runtime::{Executor, Task};
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const KEY: Option<&str> = Some("key-1");
const PROMPT: u64 = 1_000;
const FAULTY_SERVERS: usize = 4;
/// Routes of requests that may run again, and of those that may not.
const FAULTY_PATHS: [&str; 2] = ["/lookup/x", "/once/x"];
const SOUND_SERVICE: &str = "sound";
/// Times that a refused call of a sound server is sent, at most.
const MAX_TRIES: usize = 100;
/// Bytes of the answers of sound servers.
const SOUND_BYTES: usize = 256 << 10;
const SOUND_PAUSE: Duration = Duration::from_millis(20);
/// Statuses that callers take for the promise that a request has not run.
const PROMISES_NOT_RUN: [u16; 4] = [408, 421, 429, 503];
const REFUSAL_LINE: &str = "call: refused, too many at once";
const STALL_LINE: &str = "process: executor stall";
const BLOCK_BYTES: usize = 16 << 10;

/// What the faulty servers write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessAnswer {
    /// A body that states no length.
    Unframed,
    /// A body of a huge length.
    HugeLength,
    /// A body in chunks.
    Chunks,
    /// An error with such a body.
    Error,
    /// A head.
    Head,
    /// This many bytes of a body that is to be one byte longer, and then nothing more.
    Stalled(usize),
    /// A complete answer of this many bytes.
    Sound(usize),
}

/// What was seen while the faulty servers answered.
#[derive(Debug, Default)]
pub struct EndlessFigures {
    /// Most resident memory of the gateway before the calls.
    pub idle_bytes: u64,
    /// The same after them.
    pub peak_bytes: u64,
    /// Answers to the calls of the faulty servers, by status.
    pub answers: BTreeMap<u16, usize>,
    /// Calls that a server got although they were answered as not run.
    pub false_promises: Vec<String>,
    /// Calls that were refused because too many were open.
    pub refused: usize,
    /// Calls of a sound server that were served meanwhile.
    pub sound: usize,
    /// What else became of such calls.
    pub not_served: Vec<String>,
    /// Answers to readiness checks that did not say that the process is ready.
    pub not_ready: Vec<String>,
    /// What the process logged of stalls of its executor.
    pub stalls: Vec<String>,
}

/// Starts a server that gives `answer` to each request.
fn start_server(
    executor: &Executor,
    answer: EndlessAnswer,
    received: &Received,
) -> Result<(SocketAddr, Task<()>), TrialError> {
    let io_error = |err: io::Error| TrialError::StandIn("listen", err.to_string().into());
    let listener = Async::<TcpListener>::bind(loopback(0)).map_err(io_error)?;
    rustix::net::listen(listener.get_ref(), 4_096).map_err(|err| io_error(err.into()))?;
    let address = listener.get_ref().local_addr().map_err(io_error)?;
    let (connections, received) = (executor.clone(), received.clone());
    let accept = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let received = received.clone();
            connections.detach(async move {
                // Fails once the gateway has closed the connection.
                let _ = write_answer(&stream, answer, &received).await;
            });
        }
    };
    Ok((address, executor.spawn(accept)))
}

fn length_header(bytes: usize) -> String {
    format!("content-length: {bytes}\r\n\r\n")
}

/// Ids of the requests that servers got.
type Received = Arc<Mutex<HashSet<String>>>;

async fn write_answer(
    mut stream: &Async<TcpStream>,
    answer: EndlessAnswer,
    received: &Received,
) -> io::Result<()> {
    let mut buf = vec![0; 4 << 10];
    let length = stream.read(&mut buf).await?;
    let request = String::from_utf8_lossy(&buf[..length]).to_lowercase();
    let id = request
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let id = id.unwrap_or_default();
    lock(received).insert(id.to_owned());
    let status = match answer {
        EndlessAnswer::Error => "500 Internal Server Error",
        _ => "200 OK",
    };
    let (last_header, part, bytes) = match answer {
        EndlessAnswer::Unframed | EndlessAnswer::Error => ("\r\n".into(), "body ", usize::MAX),
        EndlessAnswer::HugeLength => (length_header(1 << 40), "body ", usize::MAX),
        EndlessAnswer::Chunks => {
            let header = "transfer-encoding: chunked\r\n\r\n".into();
            (header, "8\r\na chunk.\r\n", usize::MAX)
        }
        EndlessAnswer::Head => ("a-header: ".into(), "value ", usize::MAX),
        EndlessAnswer::Stalled(bytes) => (length_header(bytes + 1), "body ", bytes),
        EndlessAnswer::Sound(bytes) => (length_header(bytes), "x", bytes),
    };
    let head =
        format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\n{SEAL_HEADER}: raw\r\n{last_header}");
    stream.write_all(head.as_bytes()).await?;
    let block = part.repeat(BLOCK_BYTES / part.len());
    let mut left = bytes;
    while left > 0 {
        let next = block.len().min(left);
        stream.write_all(&block.as_bytes()[..next]).await?;
        left -= next;
    }
    if matches!(answer, EndlessAnswer::Stalled(_)) {
        // Ends once the gateway has closed the connection.
        stream.read(&mut buf).await?;
    }
    Ok(())
}

/// Starts a gateway with faulty servers of one service and a sound one of another, sends `calls` requests
/// at once to the former and one after the other to the latter.
pub async fn run_endless_answers(
    executor: &Executor,
    answer: EndlessAnswer,
    calls: usize,
) -> Result<EndlessFigures, TrialError> {
    let rig = DirectRig::start(executor)?;
    rig.write_declarations_with(3, &["key-1"], SOUND_SERVICE);
    let received = Received::default();
    let mut servers = Vec::new();
    for n in 0..FAULTY_SERVERS {
        let (address, server) = start_server(executor, answer, &received)?;
        rig.register(&format!("faulty-{n}"), "registry", address, "ready");
        servers.push(server);
    }
    let sound = EndlessAnswer::Sound(SOUND_BYTES);
    let (address, _sound) = start_server(executor, sound, &Received::default())?;
    rig.register("sound-1", SOUND_SERVICE, address, "ready");
    let is_served = rig.wait_until(async || {
        let served = call_sound(&rig, "first").await;
        served.is_ok()
    });
    let mut figures = EndlessFigures {
        idle_bytes: peak_bytes(&rig),
        ..EndlessFigures::default()
    };
    if !is_served.await {
        let text = "the sound server is never reached";
        figures.not_ready.push(text.to_owned());
    }
    let have_ended = Arc::new(AtomicBool::new(false));
    let endless = (0..calls).map(|n| {
        let caller = rig.gateway.caller();
        executor.spawn(async move {
            let id = format!("endless-{n}");
            let path = FAULTY_PATHS[n % FAULTY_PATHS.len()];
            let answer = caller.call(&id, path, KEY, PROMPT).await;
            (id, answer)
        })
    });
    let endless: Vec<_> = endless.collect();
    let collected = executor.spawn(collect(endless, have_ended.clone()));
    let mut tries = 0;
    while !have_ended.load(Ordering::Relaxed) {
        tries += 1;
        match call_sound(&rig, &format!("sound-{tries}")).await {
            Ok(()) => figures.sound += 1,
            Err(seen) => figures.not_served.push(seen),
        }
        let answer = check_readiness(rig.gateway.readiness_address()).await;
        if !answer.is_ready() {
            figures.not_ready.push(answer.to_string());
        }
        Timer::after(SOUND_PAUSE).await;
    }
    for (id, answer) in collected.await {
        let status = answer.status.as_u16();
        *figures.answers.entry(status).or_default() += 1;
        let may_not_run = PROMISES_NOT_RUN.contains(&status) || answer.not_run;
        if may_not_run && lock(&received).contains(&id) {
            figures.false_promises.push(format!("{id}: {status}"));
        }
    }
    figures.peak_bytes = peak_bytes(&rig);
    figures.stalls = lines_with(&rig, STALL_LINE);
    figures.refused = lines_with(&rig, REFUSAL_LINE).len();
    Ok(figures)
}

/// Waits for all calls.
async fn collect(
    calls: Vec<Task<(String, CallerAnswer)>>,
    have_ended: Arc<AtomicBool>,
) -> Vec<(String, CallerAnswer)> {
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await);
    }
    have_ended.store(true, Ordering::Relaxed);
    answers
}

fn lock(received: &Received) -> MutexGuard<'_, HashSet<String>> {
    received.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Calls the sound server, again where the gateway vouches that the request has not run; an error tells what
/// came instead of its answer.
async fn call_sound(rig: &DirectRig, id: &str) -> Result<(), String> {
    let path = format!("/{SOUND_SERVICE}/x");
    let mut tries = 0;
    loop {
        tries += 1;
        let id = format!("{id}-{tries}");
        let answer = rig.call(&id, &path, KEY).await;
        let length = answer.body.as_ref().map(bytes::Bytes::len);
        if answer.status.is_success() && length == Some(SOUND_BYTES) {
            return Ok(());
        }
        if !answer.not_run || tries == MAX_TRIES {
            let log = log_lines(rig, &id);
            return Err(format!("{id}: {} {length:?}: {log}", answer.status));
        }
        Timer::after(SOUND_PAUSE).await;
    }
}

fn lines_with(rig: &DirectRig, text: &str) -> Vec<String> {
    let log = rig.gateway.process.log();
    let lines = log.lines().filter(|line| line.contains(text));
    lines.map(str::to_owned).collect()
}

/// Lines of the gateway's log that name a request.
fn log_lines(rig: &DirectRig, id: &str) -> String {
    let log = rig.gateway.process.log();
    let name = format!("\"{id}\"");
    let lines = log.lines().filter(|line| line.contains(&name));
    lines.collect::<Vec<_>>().join("\n")
}

fn peak_bytes(rig: &DirectRig) -> u64 {
    ResourceUsage::of(rig.gateway.process.pid()).peak_resident_bytes
}
