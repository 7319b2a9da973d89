//! Addresses of the loopback interface.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Ports below this are left to the services of the machine.
const FIRST_PORT: u16 = 10_000;
/// Least port that the system gives to outgoing connections, where it cannot be read.
const USUAL_FIRST_EPHEMERAL: u16 = 32_768;
const BLOCK_PORTS: u16 = 100;

/// A port of the loopback address.
pub fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Held while a port is probed, and while a process is started. Until it has replaced its image, a new
/// process has a copy of each open socket, so that a port which was just probed would stay in use.
pub fn spawn_lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ports that belong to this process until it ends.
#[derive(Debug)]
struct PortBlock {
    /// Bound to the first port of the block, which no other process can have meanwhile.
    _claim: TcpListener,
    left: Range<u16>,
}

impl PortBlock {
    fn claim(first: u16) -> Option<Self> {
        let _lock = spawn_lock();
        Some(Self {
            _claim: TcpListener::bind(loopback(first)).ok()?,
            left: first + 1..first + BLOCK_PORTS,
        })
    }
}

/// Finds a port that is free for TCP and UDP. Neither outgoing connections nor other trials take it, and this
/// process gets it only once, so that nothing else binds it before its user does. 0 if there is none left.
pub fn free_port() -> u16 {
    static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());
    let mut blocks = BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let left = blocks.last_mut().map(|block| &mut block.left);
        if let Some(port) = left.and_then(|left| left.find(is_free)) {
            return port;
        }
        let first = blocks.last().map(|block| block.left.end);
        let Some(block) = blocks_from(first).find_map(PortBlock::claim) else {
            return 0;
        };
        blocks.push(block);
    }
}

fn is_free(port: &u16) -> bool {
    let _lock = spawn_lock();
    TcpListener::bind(loopback(*port)).is_ok() && UdpSocket::bind(loopback(*port)).is_ok()
}

/// First ports of the blocks from `first` on, and then of those before it; `None` starts at a place that differs
/// by process.
fn blocks_from(first: Option<u16>) -> impl Iterator<Item = u16> {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let blocks = port_blocks(&range.unwrap_or_default());
    let start = first.map_or(std::process::id() as usize, |first| {
        blocks.partition_point(|block| *block < first)
    });
    let count = blocks.len();
    (0..count).map(move |n| blocks[(start + n) % count])
}

/// First ports of all blocks outside of the range that the system gives to outgoing connections, which is stated
/// as its least and greatest port.
pub fn port_blocks(ephemeral: &str) -> Vec<u16> {
    let mut bounds = ephemeral.split_whitespace().map(str::parse);
    let ephemeral = match (bounds.next(), bounds.next()) {
        (Some(Ok(least)), Some(Ok(greatest))) => least..=greatest,
        _ => USUAL_FIRST_EPHEMERAL..=u16::MAX,
    };
    let firsts = (FIRST_PORT..=u16::MAX - BLOCK_PORTS).step_by(BLOCK_PORTS.into());
    let is_outside =
        |first: &u16| first + BLOCK_PORTS <= *ephemeral.start() || first > ephemeral.end();
    firsts.filter(is_outside).collect()
}
