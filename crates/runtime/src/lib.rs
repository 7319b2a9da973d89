//! Executor, QUIC links, HTTP, TLS, logs and the timeline for the processes of bergamothold.
//!
//! ```
//! use runtime::Executor;
//!
//! let answer = Executor::run(2, |executor| async move { executor.spawn(async { 42 }).await });
//! assert_eq!(answer, 42);
//! ```

mod body;
mod bounded_io;
mod buffered_body;
mod byte_budget;
mod caller_tls;
mod clock;
mod draining;
mod executor;
mod http_client;
mod http_connection;
mod http_server;
mod lingering_close;
mod link;
mod link_config;
mod link_stream;
mod log;
mod log_queue;
mod paced_fetch;
mod quic;
mod request_body;
mod request_monitor;
mod shutdown;
mod single_exchange;
mod stall_watch;
mod timeline;
mod timeout;
mod tls;
mod tls_watch;
mod unless;

pub use async_executor::Task;
pub use body::{Body, BodySender, ReaderGone};
pub use buffered_body::{BufferMonitor, BufferUse, BufferWriter};
pub use byte_budget::{ByteBudget, ByteReservation};
pub use caller_tls::{CallerTls, CallerTlsFiles};
pub use clock::Clock;
pub use draining::Draining;
pub use executor::{Executor, offload};
pub use futures_rustls::TlsAcceptor;
pub use http_client::{HttpClient, HttpError};
pub use http_server::{HttpLimits, HttpServer, Responder};
pub use link::{LinkCounters, LinkEndpoint, LinkError, StreamHandler};
pub use link_config::LinkConfig;
pub use link_stream::{FrameReceiver, FrameSender};
pub use log::{KEPT_LINE, LogFormat, LogGuard, logger};
pub use log_queue::LogLosses;
pub use paced_fetch::PaceLimits;
pub use request_body::RequestBody;
pub use shutdown::{ShutdownSignal, termination_signal};
pub use single_exchange::{KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, SingleExchange, SingleResponse};
pub use stall_watch::{Stall, StallWatch, ThreadTime};
pub use timeline::Timeline;
pub use timeout::{Elapsed, Timeout, timeout};
pub use tls::{Authority, HostCertificate, Identity, Peer, Role, TlsError, TlsFiles};
pub use tls_watch::{watch_caller_tls, watch_link_tls};
pub use unless::{Unless, unless};
