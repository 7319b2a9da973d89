//! The runtime that `quinn` uses: tasks run on [`Executor`].

use crate::executor::Executor;
use quinn::{AsyncTimer, AsyncUdpSocket, Runtime, SmolRuntime};
use std::future::Future;
use std::io;
use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

/// Spawns the tasks of `quinn` on [`Executor`]; timers and sockets are those of `async-io`.
#[derive(Debug)]
pub(crate) struct QuicRuntime {
    pub(crate) executor: Executor,
}

impl Runtime for QuicRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.executor.detach(future);
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}
