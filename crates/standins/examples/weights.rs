//! Runs a weight store stand-in.

use standins::cli::{command, flag, parse_flag, serve};
use standins::{WeightStoreSpec, WeightStoreStandin};
use std::io;

fn main() -> io::Result<()> {
    let matches = command("weights")
        .arg(flag("bytes", "14000000000", "Bytes of a model's weights"))
        .arg(flag("rate", "7000000000", "Bytes a second for a reader"))
        .arg(flag("readers", "4", "Most readers at once"))
        .get_matches();
    let spec = WeightStoreSpec {
        bytes: parse_flag(&matches, "bytes")?,
        bytes_per_second: parse_flag(&matches, "rate")?,
        max_readers: parse_flag(&matches, "readers")?,
    };
    serve(&matches, |executor, address| {
        WeightStoreStandin::bind(executor, address, spec)
    })
}
