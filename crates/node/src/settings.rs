//! Settings from flags and environment, with every fault listed at once.

use clap::{Arg, ArgMatches};
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// A flag `--name`, which `BERGAMOTHOLD_NAME` sets too.
pub fn flag(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    let variable = format!("BERGAMOTHOLD_{}", name.replace('-', "_").to_uppercase());
    Arg::new(name)
        .long(name)
        .value_name(value)
        .help(help)
        .env(variable)
}

/// A fault of one setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Flag.
    pub flag: &'static str,
    /// What is wrong.
    pub reason: Box<str>,
}

/// All faults of a process's settings.
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

/// Reads settings and gathers faults.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    matches: &'a ArgMatches,
    errors: Vec<SettingError>,
}

impl<'a> SettingsReader<'a> {
    /// Reads what the command line and environment gave.
    pub fn new(matches: &'a ArgMatches) -> Self {
        Self {
            matches,
            errors: Vec::new(),
        }
    }

    /// A value that must be given; a fault where it is not, or cannot be parsed.
    pub fn required<T: FromStr<Err: Display>>(&mut self, flag: &'static str) -> Option<T> {
        let value = self.optional(flag);
        if self.text(flag).is_none() {
            self.add_error(flag, "is missing");
        }
        value
    }

    /// A value that may be left out; a fault where it cannot be parsed.
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

    /// A value with a default that lies within bounds.
    pub fn bounded<T>(&mut self, flag: &'static str, default: T, least: T, most: T) -> T
    where
        T: FromStr<Err: Display> + PartialOrd + Display,
    {
        let value = self.optional(flag).unwrap_or(default);
        if value < least || value > most {
            self.add_error(flag, &format!("{value} is not from {least} to {most}"));
        }
        value
    }

    /// Notes a fault.
    pub fn add_error(&mut self, flag: &'static str, reason: &str) {
        self.errors.push(SettingError {
            flag,
            reason: reason.into(),
        });
    }

    /// Gives `settings`, or all faults. `settings` is none only where there was a fault.
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
