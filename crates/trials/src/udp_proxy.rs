//! A UDP proxy on the loopback interface that injects faults into the links between gateways.

use crate::fault_proxy::LinkFault;
use async_io::{Async, Timer};
use futures_lite::future::or;
use runtime::Executor;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const MAX_DATAGRAM_BYTES: usize = 65_536;
/// A sender's socket is closed once no reply has come for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A proxy to one target address, which sees each sender at an address of its own. Clones share it.
#[derive(Debug, Clone)]
pub struct UdpProxy {
    address: SocketAddr,
    target: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    /// Faults of single senders, in place of the one of all.
    sender_faults: Arc<Mutex<HashMap<SocketAddr, LinkFault>>>,
    senders: Arc<Mutex<HashMap<SocketAddr, Arc<Async<UdpSocket>>>>>,
    to_target: Arc<AtomicU64>,
    from_target: Arc<AtomicU64>,
}

impl UdpProxy {
    /// Listens on a free port of the loopback address and forwards to `target`.
    pub fn start(executor: &Executor, target: SocketAddr) -> io::Result<Self> {
        let socket = Arc::new(Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?);
        let proxy = Self {
            address: socket.get_ref().local_addr()?,
            target,
            fault: Arc::default(),
            sender_faults: Arc::default(),
            senders: Arc::default(),
            to_target: Arc::default(),
            from_target: Arc::default(),
        };
        let (serving, executor_of_senders) = (proxy.clone(), executor.clone());
        executor.detach(async move {
            let mut buf = vec![0; MAX_DATAGRAM_BYTES];
            while let Ok((count, sender)) = socket.recv_from(&mut buf).await {
                let Ok(to) = serving.socket_of(&executor_of_senders, &socket, sender) else {
                    continue;
                };
                let sent = serving.to_target.clone();
                let fault = serving.fault(sender);
                if !matches!(
                    fault,
                    LinkFault::None | LinkFault::NoReplies | LinkFault::Delayed(_)
                ) {
                    continue;
                }
                sent.fetch_add(count as u64, Ordering::Relaxed);
                let datagram = buf[..count].to_vec();
                let send = async move {
                    // A datagram may be lost.
                    let _ = to.send(&datagram).await;
                };
                serving.after_delay(&executor_of_senders, fault, send).await;
            }
        });
        Ok(proxy)
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of all senders.
    pub fn set(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Bytes that were forwarded to the target and back from it.
    pub fn forwarded_bytes(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&self.to_target), load(&self.from_target))
    }

    /// Sets the fault of one sender; `None` where it has that of all.
    pub fn set_for(&self, sender: SocketAddr, fault: Option<LinkFault>) {
        let faults = self.sender_faults.lock();
        let mut faults = faults.unwrap_or_else(PoisonError::into_inner);
        match fault {
            Some(fault) => faults.insert(sender, fault),
            None => faults.remove(&sender),
        };
    }

    fn fault(&self, sender: SocketAddr) -> LinkFault {
        let faults = self.sender_faults.lock();
        let faults = faults.unwrap_or_else(PoisonError::into_inner);
        let of_all = || *self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        faults.get(&sender).copied().unwrap_or_else(of_all)
    }

    /// Runs `send` at once, or later beside other datagrams where the link is delayed.
    async fn after_delay(
        &self,
        executor: &Executor,
        fault: LinkFault,
        send: impl Future<Output = ()> + Send + 'static,
    ) {
        let LinkFault::Delayed(delay) = fault else {
            return send.await;
        };
        executor.detach(async move {
            Timer::after(delay).await;
            send.await;
        });
    }

    fn socket_of(
        &self,
        executor: &Executor,
        listener: &Arc<Async<UdpSocket>>,
        sender: SocketAddr,
    ) -> io::Result<Arc<Async<UdpSocket>>> {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(socket) = senders.get(&sender) {
            return Ok(socket.clone());
        }
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
        socket.get_ref().connect(self.target)?;
        let socket = Arc::new(socket);
        senders.insert(sender, socket.clone());
        let (proxy, listener, from) = (self.clone(), listener.clone(), socket.clone());
        let spawner = executor.clone();
        executor.detach(async move {
            proxy
                .forward_replies(&spawner, &from, listener, sender)
                .await;
            let mut senders = proxy.senders.lock().unwrap_or_else(PoisonError::into_inner);
            senders.remove(&sender);
        });
        Ok(socket)
    }

    async fn forward_replies(
        &self,
        executor: &Executor,
        from: &Async<UdpSocket>,
        to: Arc<Async<UdpSocket>>,
        sender: SocketAddr,
    ) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let receive = async { Some(from.recv(&mut buf).await) };
            let idle = async {
                Timer::after(IDLE_TIMEOUT).await;
                None
            };
            let count = match or(receive, idle).await {
                Some(Ok(count)) => count,
                // The target is not there for now.
                Some(Err(_)) => continue,
                None => return,
            };
            let fault = self.fault(sender);
            if !matches!(fault, LinkFault::None | LinkFault::Delayed(_)) {
                continue;
            }
            self.from_target.fetch_add(count as u64, Ordering::Relaxed);
            let (datagram, to) = (buf[..count].to_vec(), to.clone());
            let send = async move {
                // A datagram may be lost.
                let _ = to.send_to(&datagram, sender).await;
            };
            self.after_delay(executor, fault, send).await;
        }
    }
}
