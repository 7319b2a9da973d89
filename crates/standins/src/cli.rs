//! Command-line helpers for the example programs that each run one stand-in.

use crate::standin_server::{Standin, StandinServer};
use clap::{Arg, ArgMatches, Command};
use runtime::Executor;
use std::future::pending;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::str::FromStr;

const THREADS: usize = 2;

/// A command with the flag `--listen` that all examples have.
pub fn command(name: &'static str) -> Command {
    Command::new(name).arg(flag("listen", "127.0.0.1:0", "Address to listen on"))
}

/// A flag `--name` with a default value.
pub fn flag(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

/// Parses the value of a flag; fails with a message that names the flag.
pub fn parse_flag<T: FromStr>(matches: &ArgMatches, name: &str) -> io::Result<T> {
    let text = matches.get_one::<String>(name).map_or("", String::as_str);
    text.parse()
        .map_err(|_| io::Error::other(format!("invalid value for --{name}: {text}")))
}

/// Starts a stand-in, prints its address on one line and serves until the process is killed.
pub fn serve<S: Standin>(
    matches: &ArgMatches,
    start: impl FnOnce(&Executor, SocketAddr) -> io::Result<StandinServer<S>>,
) -> io::Result<()> {
    let address: SocketAddr = parse_flag(matches, "listen")?;
    Executor::run(THREADS, |executor| async move {
        let hosted = start(&executor, address)?;
        println!("{}", hosted.local_addr());
        io::stdout().flush()?;
        pending::<io::Result<()>>().await
    })
}
