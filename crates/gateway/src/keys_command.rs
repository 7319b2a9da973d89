//! `bergamothold keys`: generates the certificate authority of a deployment, certificates of its
//! processes, and API keys.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use declarations::hash_key;
use quick_error::quick_error;
use rand::Rng;
use runtime::{Authority, Role, TlsError};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Name of the subcommand.
pub const NAME: &str = "keys";
const AUTHORITY_CERTIFICATE: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";
const SECONDS_PER_DAY: u64 = 86_400;
const KEY_MODE: u32 = 0o600;
const CERTIFICATE_MODE: u32 = 0o644;
const KEY_BYTES: usize = 24;

quick_error! {
    /// Why keys or certificates could not be generated.
    #[derive(Debug)]
    enum KeysError {
        /// A file could not be read or written.
        File(step: &'static str, path: PathBuf, err: std::io::Error) {
            display("{step} {}: {err}", path.display())
        }
        /// A certificate could not be generated, or the authority's files are invalid.
        Tls(err: TlsError) {
            display("{err}")
            from()
        }
    }
}

/// Defines the subcommand, its own subcommands and their flags.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Makes the authority and certificates of a deployment, and callers' keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(authority_command())
        .subcommand(host_command())
        .subcommand(
            Command::new("draw")
                .about("Draws a key for a team or an operator; prints it and its hash"),
        )
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> ExitCode {
    let result = match matches.subcommand() {
        Some(("authority", matches)) => make_authority(matches),
        Some(("host", matches)) => make_host(matches),
        _ => {
            generate_key();
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("bergamothold: {err}");
            ExitCode::FAILURE
        }
    }
}

fn authority_command() -> Command {
    Command::new("authority")
        .about("Makes an authority: DIR/authority.pem and DIR/authority.key")
        .arg(directory_arg("out", "Directory to write to"))
        .arg(name_arg("name", "Name in the authority's certificate").default_value("bergamothold"))
        .arg(days_arg("3650"))
        .arg(replace_arg())
}

fn host_command() -> Command {
    Command::new("host")
        .about("Makes the certificate of one process: DIR/NODE.pem and DIR/NODE.key")
        .arg(directory_arg(
            "authority",
            "Directory of the authority's files",
        ))
        .arg(
            name_arg("role", "What the process may do")
                .value_parser(["gateway", "agent"])
                .required(true),
        )
        .arg(name_arg("node", "Name of the process, as its --node").required(true))
        .arg(directory_arg("out", "Directory to write to"))
        .arg(days_arg("30"))
        .arg(replace_arg())
}

fn name_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("NAME").help(help)
}

fn directory_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("DIR")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn days_arg(default: &'static str) -> Arg {
    Arg::new("days")
        .long("days")
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=36_500))
        .help("Days that the certificate is valid")
}

fn replace_arg() -> Arg {
    Arg::new("replace")
        .long("replace")
        .action(ArgAction::SetTrue)
        .help("Write over files that are there")
}

fn make_authority(matches: &ArgMatches) -> Result<(), KeysError> {
    let name = value::<String>(matches, "name");
    let authority = Authority::generate(&name, validity(matches))?;
    let out: PathBuf = value(matches, "out");
    let replace = matches.get_flag("replace");
    let key = out.join(AUTHORITY_KEY);
    write(&key, &authority.key(), KEY_MODE, replace)?;
    let certificate = out.join(AUTHORITY_CERTIFICATE);
    write(
        &certificate,
        authority.certificate(),
        CERTIFICATE_MODE,
        replace,
    )
}

fn make_host(matches: &ArgMatches) -> Result<(), KeysError> {
    let directory: PathBuf = value(matches, "authority");
    let certificate = read(&directory.join(AUTHORITY_CERTIFICATE))?;
    let authority = Authority::from_pem(&certificate, &read(&directory.join(AUTHORITY_KEY))?)?;
    let role: Role = value::<String>(matches, "role").parse()?;
    let node = value::<String>(matches, "node");
    let issued = authority.issue(role, &node, validity(matches))?;
    let out: PathBuf = value(matches, "out");
    let replace = matches.get_flag("replace");
    write(
        &out.join(format!("{node}.key")),
        &issued.key,
        KEY_MODE,
        replace,
    )?;
    let certificate = out.join(format!("{node}.pem"));
    write(&certificate, &issued.certificate, CERTIFICATE_MODE, replace)
}

fn generate_key() {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    let key: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    println!("key:  {key}");
    println!("hash: {}", hash_key(&key));
}

fn value<T: Clone + Default + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().unwrap_or_default()
}

fn validity(matches: &ArgMatches) -> Duration {
    Duration::from_secs(value::<u64>(matches, "days") * SECONDS_PER_DAY)
}

fn read(path: &Path) -> Result<String, KeysError> {
    fs::read_to_string(path).map_err(|err| KeysError::File("read", path.to_owned(), err))
}

/// Writes a file atomically, so that a process that reads it at the same time never sees part of
/// it.
fn write(path: &Path, content: &str, mode: u32, replace: bool) -> Result<(), KeysError> {
    let file_error = |err| KeysError::File("write", path.to_owned(), err);
    if !replace && path.exists() {
        let reason = "the file exists; --replace writes over it";
        return Err(file_error(std::io::Error::other(reason)));
    }
    if let Some(directory) = path.parent() {
        fs::create_dir_all(directory).map_err(file_error)?;
    }
    let partial = path.with_extension("partial");
    let mut file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(mode)
        .open(&partial)
        .map_err(file_error)?;
    file.write_all(content.as_bytes()).map_err(file_error)?;
    file.sync_all().map_err(file_error)?;
    fs::rename(&partial, path).map_err(file_error)
}
