//! Runs a host list stand-in, whose changes become visible after a lag.

use standins::HostListStandin;
use standins::cli::{command, flag, parse_flag, serve};
use std::io;
use std::time::Duration;

fn main() -> io::Result<()> {
    let matches = command("hosts")
        .arg(flag("lag-ms", "0", "Milliseconds until a new list shows"))
        .get_matches();
    let lag = Duration::from_millis(parse_flag(&matches, "lag-ms")?);
    serve(&matches, |executor, address| {
        HostListStandin::bind(executor, address, lag)
    })
}
