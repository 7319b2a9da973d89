//! Runs an object store stand-in.

use standins::ObjectStoreStandin;
use standins::cli::{command, serve};
use std::io;

fn main() -> io::Result<()> {
    serve(&command("objects").get_matches(), ObjectStoreStandin::bind)
}
