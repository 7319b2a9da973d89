//! Settings from command line flags and environment variables, with all errors reported at once.

use clap::{Arg, ArgMatches};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// A flag `--name` that can also be set by the environment variable `BERGAMOTHOLD_NAME`.
pub fn flag(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    let variable = format!("BERGAMOTHOLD_{}", name.replace('-', "_").to_uppercase());
    Arg::new(name)
        .long(name)
        .value_name(value)
        .help(help)
        .env(variable)
}

/// An error in one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Name of the flag, without the leading dashes.
    pub flag: &'static str,
    /// Description of the error, as printed after the flag.
    pub reason: Box<str>,
}

/// All errors in the settings of a process, in the order in which they were found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SettingErrors(pub Vec<SettingError>);

impl Display for SettingErrors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} settings are wrong:", self.0.len())?;
        for error in &self.0 {
            writeln!(f, "  --{}: {}", error.flag, error.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingErrors {}

/// Reads settings and collects their errors.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<SettingError>,
}

impl<'a> SettingsReader<'a> {
    /// A reader of the parsed command line and environment, without errors yet.
    pub fn new(matches: &'a ArgMatches) -> Self {
        Self {
            matches,
            errors: Vec::new(),
        }
    }

    /// A required value. `None`, and an error, if it is missing or cannot be parsed.
    pub fn required<T: FromStr<Err: Display>>(&mut self, flag: &'static str) -> Option<T> {
        let value = self.optional(flag);
        if self.text(flag).is_none() {
            self.add_error(flag, "is missing");
        }
        value
    }

    /// An optional value. `None` if it is missing or, with an error, if it cannot be parsed.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, flag: &'static str) -> Option<T> {
        let text = self.text(flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                self.add_error(flag, &format!("{text:?} does not serve: {err}"));
                None
            }
        }
    }

    /// A value from `min` to `max`, or `default` if it is missing or cannot be parsed. A value out
    /// of range is an error.
    pub fn bounded<T>(&mut self, flag: &'static str, default: T, min: T, max: T) -> T
    where
        T: FromStr<Err: Display> + PartialOrd + Display,
    {
        let value = self.optional(flag).unwrap_or(default);
        if value < min || value > max {
            self.add_error(flag, &format!("{value} is not from {min} to {max}"));
        }
        value
    }

    /// Records an error for a flag.
    pub fn add_error(&mut self, flag: &'static str, reason: &str) {
        self.errors.push(SettingError {
            flag,
            reason: reason.into(),
        });
    }

    /// Returns `settings`, or all errors. `settings` may be `None` only if there was an error.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, SettingErrors> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(SettingErrors(self.errors)),
        }
    }

    fn text(&self, flag: &str) -> Option<&'a str> {
        self.matches.get_one::<String>(flag).map(String::as_str)
    }
}
