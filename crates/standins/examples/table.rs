//! Runs a table service stand-in.

use standins::cli::{command, flag, parse_flag, serve};
use standins::{TableSpec, TableStandin};
use std::io;

fn main() -> io::Result<()> {
    let matches = command("table")
        .arg(flag("writes", "400", "Transactions a second"))
        .arg(flag("reads", "2000", "Reads a second"))
        .get_matches();
    let spec = TableSpec {
        writes_per_second: parse_flag(&matches, "writes")?,
        reads_per_second: parse_flag(&matches, "reads")?,
        ..TableSpec::default()
    };
    serve(&matches, |executor, address| {
        TableStandin::bind_with(executor, address, spec)
    })
}
