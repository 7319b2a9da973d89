//! What a soak reads in the logs of gateways.

/// Levels of records that no fault of a soak excuses.
const BAD_LEVELS: [&str; 2] = ["\"level\":\"ERRO\"", "\"level\":\"CRIT\""];

/// The first line of a gateway's log that is an error, or no record at all, such as a panic.
pub fn bad_log_line(log: &str) -> Option<String> {
    let is_bad = |line: &&str| {
        let has_bad_level = BAD_LEVELS.iter().any(|level| line.contains(level));
        has_bad_level || !line.trim().is_empty() && !line.starts_with('{')
    };
    let line = log.lines().find(is_bad)?;
    Some(format!("LOG: {line}"))
}

/// Last line of a gateway's log that names a request.
pub(crate) fn log_line(log: &str, id: &str) -> String {
    let id = format!("\"{id}\"");
    let line = log.lines().rev().find(|line| line.contains(&id));
    format!("; log: {}", line.unwrap_or("does not name it"))
}
