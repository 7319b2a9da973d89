//! A loopback proxy between two processes, whose connections can be made to fail.

use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::{AsyncReadExt as _, AsyncWriteExt as _};
use runtime::Executor;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const BUFFER_BYTES: usize = 16 << 10;
/// Time between looks of a connection that carries nothing whether its fault has changed.
const LOOK: Duration = Duration::from_millis(10);

/// What happens to connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// They carry what they get.
    #[default]
    None,
    /// What they carry comes later.
    Delayed(Duration),
    /// They stay open and carry nothing, either way.
    Silent,
    /// They carry requests, and no answers.
    NoReplies,
    /// They are closed, and new ones too.
    Cut,
}

/// A proxy to one address.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
}

impl FaultProxy {
    /// Listens on a free port of the loopback address.
    pub fn start(executor: &Executor, target: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let proxy = Self {
            address: listener.get_ref().local_addr()?,
            fault: Arc::default(),
        };
        let (serving, tasks) = (proxy.clone(), executor.clone());
        executor.detach(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = serving.clone();
                tasks.detach(async move {
                    // Either side may close at any time; the other one then sees it closed.
                    let _ = proxy.carry(stream, target).await;
                });
            }
        });
        Ok(proxy)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections from now on.
    pub fn set(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn carry(&self, caller: Async<TcpStream>, target: SocketAddr) -> io::Result<()> {
        if self.fault() == LinkFault::Cut {
            return Ok(());
        }
        let server = Async::<TcpStream>::connect(target).await?;
        let requests = self.copy(&caller, &server, false);
        let answers = self.copy(&server, &caller, true);
        let cut = async {
            while self.fault() != LinkFault::Cut {
                Timer::after(LOOK).await;
            }
            Ok(())
        };
        or(or(requests, answers), cut).await
    }

    async fn copy(
        &self,
        mut from: &Async<TcpStream>,
        mut to: &Async<TcpStream>,
        answers: bool,
    ) -> io::Result<()> {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buf).await?;
            if count == 0 {
                return Ok(());
            }
            loop {
                match self.fault() {
                    LinkFault::Silent => {}
                    LinkFault::NoReplies if answers => {}
                    LinkFault::Delayed(delay) => {
                        Timer::after(delay).await;
                        break;
                    }
                    _ => break,
                }
                Timer::after(LOOK).await;
            }
            to.write_all(&buf[..count]).await?;
        }
    }
}
