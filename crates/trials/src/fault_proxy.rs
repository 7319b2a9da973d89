//! A TCP proxy on the loopback interface that injects faults into its connections.

use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use runtime::Executor;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const BUFFER_BYTES: usize = 16 << 10;
/// Interval at which a blocked connection checks whether the fault has changed.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for the rest of a request that has got its response.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A fault of all connections of a proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Data is forwarded at once.
    #[default]
    None,
    /// Each chunk of data is forwarded after this delay.
    Delayed(Duration),
    /// Connections stay open, but no data is forwarded in either direction.
    Silent,
    /// Data is forwarded to the target, but none comes back.
    NoReplies,
    /// Open connections are closed, and new ones are closed on arrival.
    Cut,
    /// Data is forwarded to the target, and connections are closed once it replies.
    LostReplies,
    /// Open and new connections get an HTTP response with this status, and are closed.
    Status(u16),
    /// Connections stay open, but no data is forwarded, and new ones are refused. This fault stays.
    Dark,
}

/// A proxy to one target address. Clones share the listener and the fault.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    replied_bytes: Arc<AtomicU64>,
}

impl FaultProxy {
    /// Listens on a free port of the loopback address and forwards to `target`.
    pub fn start(executor: &Executor, target: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let proxy = Self {
            address: listener.get_ref().local_addr()?,
            fault: Arc::default(),
            replied_bytes: Arc::default(),
        };
        let (serving, tasks) = (proxy.clone(), executor.clone());
        executor.detach(async move {
            let accept = async || {
                let accepted = async { listener.accept().await.ok() };
                let dark = async {
                    serving.wait_for(|fault| fault == LinkFault::Dark).await;
                    None
                };
                or(accepted, dark).await
            };
            while let Some((stream, _)) = accept().await {
                let proxy = serving.clone();
                tasks.detach(async move {
                    // Either side may close at any time; the other side then sees its connection
                    // closed.
                    let _ = proxy.forward(stream, target).await;
                });
            }
        });
        Ok(proxy)
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that the target has sent back.
    pub fn replied_bytes(&self) -> u64 {
        self.replied_bytes.load(Ordering::Relaxed)
    }

    /// Sets the fault of open and new connections.
    pub fn set(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_for(&self, is_awaited: impl Fn(LinkFault) -> bool) -> LinkFault {
        loop {
            let fault = self.fault();
            if is_awaited(fault) {
                return fault;
            }
            Timer::after(FAULT_POLL_INTERVAL).await;
        }
    }

    async fn forward(&self, caller: Async<TcpStream>, target: SocketAddr) -> io::Result<()> {
        match self.fault() {
            LinkFault::Cut => return Ok(()),
            LinkFault::Status(status) => {
                // A client takes no response before it has sent its request.
                (&caller).read(&mut [0; BUFFER_BYTES]).await?;
                return respond(&caller, status).await;
            }
            _ => {}
        }
        let server = Async::<TcpStream>::connect(target).await?;
        let requests = self.forward_one_way(&caller, &server, false);
        let replies = self.forward_one_way(&server, &caller, true);
        let cut = async {
            let is_end = |fault| matches!(fault, LinkFault::Cut | LinkFault::Status(_));
            match self.wait_for(is_end).await {
                LinkFault::Status(status) => respond(&caller, status).await,
                _ => Ok(()),
            }
        };
        or(or(requests, replies), cut).await
    }

    async fn forward_one_way(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        is_reply: bool,
    ) -> io::Result<()> {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buf).await?;
            if count == 0 {
                return Ok(());
            }
            loop {
                match self.fault() {
                    LinkFault::Silent | LinkFault::Dark => {}
                    LinkFault::NoReplies if is_reply => {}
                    LinkFault::LostReplies if is_reply => return Ok(()),
                    LinkFault::Delayed(delay) => {
                        Timer::after(delay).await;
                        break;
                    }
                    _ => break,
                }
                Timer::after(FAULT_POLL_INTERVAL).await;
            }
            to.write_all(&buf[..count]).await?;
            if is_reply {
                self.replied_bytes
                    .fetch_add(count as u64, Ordering::Relaxed);
            }
        }
    }
}

/// Responds with `status` and an empty body, and reads what the caller still sends, as closing a connection
/// with unread data resets it, and the response may be lost.
async fn respond(mut caller: &Async<TcpStream>, status: u16) -> io::Result<()> {
    let head =
        format!("HTTP/1.1 {status} Refused\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    caller.write_all(head.as_bytes()).await?;
    caller.get_ref().shutdown(Shutdown::Write)?;
    let drain = async {
        let mut buf = vec![0; BUFFER_BYTES];
        while caller.read(&mut buf).await? > 0 {}
        Ok(())
    };
    let left = async {
        Timer::after(DRAIN_TIMEOUT).await;
        Ok(())
    };
    or(drain, left).await
}
