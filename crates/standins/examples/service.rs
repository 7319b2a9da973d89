//! Runs a stand-in for a plain service.

use standins::cli::{command, flag, parse_flag, serve};
use standins::{ServiceSpec, ServiceStandin};
use std::io;
use std::time::Duration;

fn main() -> io::Result<()> {
    let matches = command("service")
        .arg(flag("name", "registry", "Name that each answer carries"))
        .arg(flag("work-ms", "5", "Milliseconds that a call takes"))
        .get_matches();
    let name: String = parse_flag(&matches, "name")?;
    let spec = ServiceSpec {
        name: name.into(),
        work_time: Duration::from_millis(parse_flag(&matches, "work-ms")?),
    };
    serve(&matches, |executor, address| {
        ServiceStandin::bind(executor, address, spec)
    })
}
