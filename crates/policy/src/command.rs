//! Applies an operator's change of the configuration as one conditional transaction, which takes
//! effect at most once.

use crate::command_event::{
    CommandAction, CommandEvent, CommandOutcome, CommandRequest, ConfigCommand, ConfigTransaction,
    RowCondition, RowWrite, StoredRow,
};
use crate::config_rows::{
    CONFIG_HEAD_KEY, CONFIG_KEY, CommandRow, ConfigHead, ConfigRow, HistoryRow, command_key,
    history_key,
};
use declarations::{Declarations, Difference, Named, closest_match};
use proto::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

const MAX_READ_ATTEMPTS: u32 = 3;
const MAX_COMMIT_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_ROLLBACK_VERSIONS: ConfigVersion = 512;

#[derive(Debug)]
enum State {
    Reading,
    ReadingHistory(Box<StoredConfig>),
    ReadingConflict(Box<StoredConfig>),
    Committing(Box<PendingCommit>),
    Ended,
}

#[derive(Debug, Clone)]
struct StoredConfig {
    row: ConfigRow,
    row_version: u64,
}

#[derive(Debug, Clone)]
struct PendingCommit {
    transaction: ConfigTransaction,
    row_version: u64,
    outcome: CommandOutcome,
}

/// State machine that carries out one command.
///
/// It reads the configuration, computes the change and commits it on the condition that the
/// configuration is unchanged and the command id is unused.
#[derive(Debug)]
pub struct CommandRun {
    request: CommandRequest,
    state: State,
    read_attempts: u32,
    commit_attempts: u32,
    /// Commit with an unknown outcome, while the configuration is read again.
    unknown_commit: Option<PendingCommit>,
    has_conflict: bool,
}

impl CommandRun {
    /// Starts a command. The returned action is the first read.
    pub fn start(request: CommandRequest) -> (Self, CommandAction) {
        let run = Self {
            request,
            state: State::Reading,
            read_attempts: 0,
            commit_attempts: 0,
            unknown_commit: None,
            has_conflict: false,
        };
        let read = run.read(Duration::ZERO);
        (run, read)
    }

    /// Handles the result of the last action and returns the next one.
    pub fn handle(&mut self, event: CommandEvent) -> CommandAction {
        let state = std::mem::replace(&mut self.state, State::Ended);
        match (state, event) {
            (State::Reading, CommandEvent::Rows(rows)) => self.on_rows(&rows),
            (State::ReadingHistory(config), CommandEvent::Rows(rows)) => {
                self.on_history(&config, &rows)
            }
            (State::ReadingConflict(config), CommandEvent::Rows(rows)) => {
                self.end_with_conflict(&config, find(&rows, &history_key(config.row.version)))
            }
            (State::ReadingConflict(config), _) => self.end_with_conflict(&config, None),
            (state @ (State::Reading | State::ReadingHistory(_)), _) => self.read_again(state),
            (State::Committing(committing), event) => self.on_commit(*committing, event),
            (State::Ended, _) => CommandAction::Done(CommandOutcome::Unavailable),
        }
    }

    fn read(&self, delay: Duration) -> CommandAction {
        let keys = vec![CONFIG_KEY.into(), command_key(&self.request.id)];
        CommandAction::Read { keys, delay }
    }

    fn read_again(&mut self, state: State) -> CommandAction {
        self.read_attempts += 1;
        if self.read_attempts >= MAX_READ_ATTEMPTS {
            return CommandAction::Done(match self.unknown_commit {
                Some(_) => CommandOutcome::Unknown,
                None => CommandOutcome::Unavailable,
            });
        }
        match state {
            State::ReadingHistory(config) => self.read_history(*config, RETRY_DELAY),
            _ => self.reread_config(),
        }
    }

    fn reread_config(&mut self) -> CommandAction {
        self.state = State::Reading;
        self.read(RETRY_DELAY)
    }

    fn on_rows(&mut self, rows: &[StoredRow]) -> CommandAction {
        self.read_attempts = 0;
        if let Some(row) = find(rows, &command_key(&self.request.id)) {
            return self.on_repeated_command(row);
        }
        let (row, row_version) = match find(rows, CONFIG_KEY) {
            None => (empty_config(), 0),
            Some(stored) => match parse::<ConfigRow>(stored) {
                Some(row) => (row, stored.version),
                None => return reject("the row config/current cannot be read"),
            },
        };
        let config = StoredConfig { row, row_version };
        if let Some(pending) = self.unknown_commit.take() {
            // The configuration row is unchanged, so the same transaction is sent again. Its
            // conditions ensure that it takes effect at most once.
            if pending.row_version == config.row_version {
                return self.commit(pending);
            }
            return self.read_conflict(config);
        }
        let seen = self.request.if_version;
        if self.has_conflict || seen.is_some_and(|seen| seen != config.row.version) {
            return self.read_conflict(config);
        }
        match &self.request.command {
            ConfigCommand::Rollback { to } => self.check_rollback(*to, config),
            _ => self.plan_commit(&config, None),
        }
    }

    fn on_repeated_command(&self, row: &StoredRow) -> CommandAction {
        let Some(earlier) = parse::<CommandRow>(row) else {
            return reject("the row of this command id cannot be read");
        };
        if earlier.text != self.request.text || earlier.author != self.request.operator {
            return reject("this command id was used for another command");
        }
        CommandAction::Done(CommandOutcome::Committed {
            version: earlier.version,
            summary: earlier.summary,
            declared: None,
        })
    }

    fn check_rollback(&mut self, to: ConfigVersion, config: StoredConfig) -> CommandAction {
        let current = config.row.version;
        if to >= current {
            return reject(&format!("version {to} is not earlier than {current}"));
        }
        if current - to > MAX_ROLLBACK_VERSIONS {
            return reject(&format!(
                "version {to} is more than {MAX_ROLLBACK_VERSIONS} versions back"
            ));
        }
        self.read_history(config, Duration::ZERO)
    }

    fn read_history(&mut self, config: StoredConfig, delay: Duration) -> CommandAction {
        let ConfigCommand::Rollback { to } = self.request.command else {
            return self.plan_commit(&config, None);
        };
        let keys = (to + 1..=config.row.version).map(history_key).collect();
        self.state = State::ReadingHistory(Box::new(config));
        CommandAction::Read { keys, delay }
    }

    /// Undoes the versions one after the other, back to the requested one.
    fn on_history(&mut self, config: &StoredConfig, rows: &[StoredRow]) -> CommandAction {
        let ConfigCommand::Rollback { to } = self.request.command else {
            return self.plan_commit(config, None);
        };
        let mut version = config.row.version;
        let mut declared = config.row.declarations.clone();
        while version > to {
            let row = find(rows, &history_key(version)).and_then(parse::<HistoryRow>);
            let Some(step) = row else {
                return reject(&format!("the history of version {version} is lost"));
            };
            declared = step.undo.apply(&declared);
            version = step.previous;
        }
        if version != to || to == 0 {
            return reject(&format!("there is no version {to}"));
        }
        self.plan_commit(config, Some(declared))
    }

    fn plan_commit(
        &mut self,
        config: &StoredConfig,
        rolled_back: Option<Declarations>,
    ) -> CommandAction {
        let old = config.row.declarations.clone().sorted();
        let new = match rolled_back.map_or_else(|| self.changed_declarations(&old), Ok) {
            Ok(new) => new.sorted(),
            Err(reason) => return reject(&reason),
        };
        if new == old && config.row_version > 0 {
            return CommandAction::Done(CommandOutcome::Unchanged {
                version: config.row.version,
            });
        }
        let version = config.row.version.max(self.request.known_version) + 1;
        match self.build_transaction(config, version, &old, &new) {
            Ok(committing) => self.commit(committing),
            Err(err) => reject(&err.to_string()),
        }
    }

    fn changed_declarations(&self, old: &Declarations) -> Result<Declarations, Box<str>> {
        let mut new = old.clone();
        match &self.request.command {
            ConfigCommand::SetDomainOut { domain, out } => {
                find_named_mut(&mut new.domains, domain)?.out = *out;
            }
            ConfigCommand::SetDrained { server, drained } => {
                find_named_mut(&mut new.servers, server)?.drained = *drained;
            }
            ConfigCommand::Replace(declared) => new = (**declared).clone(),
            ConfigCommand::Rollback { .. } => {}
        }
        Ok(new)
    }

    fn build_transaction(
        &self,
        config: &StoredConfig,
        version: ConfigVersion,
        old: &Declarations,
        new: &Declarations,
    ) -> serde_json::Result<PendingCommit> {
        let request = &self.request;
        let summary: Box<str> = Difference::between(old, new)
            .summary(old)
            .to_string()
            .into();
        let current = ConfigRow {
            version,
            author: request.operator.clone(),
            declarations: new.clone(),
        };
        let history = HistoryRow {
            version,
            previous: config.row.version,
            author: request.operator.clone(),
            command: request.id.clone(),
            text: request.text.clone(),
            summary: summary.clone(),
            undo: Difference::between(new, old),
        };
        let command = CommandRow {
            author: request.operator.clone(),
            text: request.text.clone(),
            version,
            summary: summary.clone(),
        };
        let condition = |key: Box<str>, version| RowCondition { key, version };
        let command_key = command_key(&request.id);
        let transaction = ConfigTransaction {
            conditions: vec![
                condition(CONFIG_KEY.into(), config.row_version),
                condition(command_key.clone(), 0),
            ],
            writes: vec![
                row_write(CONFIG_KEY, &current)?,
                row_write(CONFIG_HEAD_KEY, &ConfigHead { version })?,
                row_write(&history_key(version), &history)?,
                row_write(&command_key, &command)?,
            ],
        };
        let outcome = CommandOutcome::Committed {
            version,
            summary,
            declared: Some(Box::new(new.clone())),
        };
        Ok(PendingCommit {
            transaction,
            row_version: config.row_version,
            outcome,
        })
    }

    fn commit(&mut self, committing: PendingCommit) -> CommandAction {
        self.commit_attempts += 1;
        let transaction = committing.transaction.clone();
        self.state = State::Committing(Box::new(committing));
        CommandAction::Commit(transaction)
    }

    fn on_commit(&mut self, committing: PendingCommit, event: CommandEvent) -> CommandAction {
        match event {
            CommandEvent::Committed => CommandAction::Done(committing.outcome),
            CommandEvent::Unknown if self.commit_attempts < MAX_COMMIT_ATTEMPTS => {
                self.unknown_commit = Some(committing);
                self.reread_config()
            }
            CommandEvent::Unknown => CommandAction::Done(CommandOutcome::Unknown),
            // The conflict may be with an earlier attempt of the same command.
            CommandEvent::Conflict => {
                self.unknown_commit = None;
                self.has_conflict = true;
                self.reread_config()
            }
            // This attempt changed nothing, but an earlier one may have taken effect.
            _ if self.commit_attempts > 1 => CommandAction::Done(CommandOutcome::Unknown),
            _ => CommandAction::Done(CommandOutcome::Unavailable),
        }
    }

    fn read_conflict(&mut self, config: StoredConfig) -> CommandAction {
        let keys = vec![history_key(config.row.version)];
        self.state = State::ReadingConflict(Box::new(config));
        CommandAction::Read {
            keys,
            delay: Duration::ZERO,
        }
    }

    fn end_with_conflict(&self, config: &StoredConfig, row: Option<&StoredRow>) -> CommandAction {
        let history = row.and_then(parse::<HistoryRow>);
        CommandAction::Done(CommandOutcome::Conflict {
            version: config.row.version,
            by: config.row.author.clone(),
            change: history.map_or_else(Box::default, |history| history.summary),
        })
    }
}

fn empty_config() -> ConfigRow {
    ConfigRow {
        version: 0,
        author: Box::default(),
        declarations: Declarations::default(),
    }
}

fn find<'a>(rows: &'a [StoredRow], key: &str) -> Option<&'a StoredRow> {
    rows.iter().find(|row| &*row.key == key)
}

fn parse<T: DeserializeOwned>(row: &StoredRow) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}

fn row_write<T: Serialize>(key: &str, value: &T) -> serde_json::Result<RowWrite> {
    Ok(RowWrite {
        key: key.into(),
        value: serde_json::to_string(value)?.into(),
    })
}

fn reject(reason: &str) -> CommandAction {
    CommandAction::Done(CommandOutcome::Rejected(reason.into()))
}

fn find_named_mut<'a, T: Named>(items: &'a mut [T], name: &str) -> Result<&'a mut T, Box<str>> {
    match items.iter().position(|item| item.name() == name) {
        Some(index) => Ok(&mut items[index]),
        None => {
            let near = closest_match(name, items.iter().map(Named::name));
            let hint = near.map_or_else(String::new, |near| format!("; did you mean `{near}`?"));
            Err(format!("no {} `{name}` is declared{hint}", T::KIND).into())
        }
    }
}
