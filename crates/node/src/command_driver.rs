//! Executes an operator's command against the table service.

use async_io::Timer;
use platform::{CommitError, Row, RowCondition, RowWrite, TableService, Transaction};
use policy::{
    CommandAction, CommandEvent, CommandOutcome, CommandRequest, CommandRun, ConfigTransaction,
    StoredRow,
};

/// Runs a command until it has an outcome, performing the reads and commits that [`CommandRun`]
/// requests.
pub async fn run_command<T: TableService>(table: &T, request: CommandRequest) -> CommandOutcome {
    let (mut run, mut action) = CommandRun::start(request);
    loop {
        let event = match action {
            CommandAction::Read { keys, delay } => {
                Timer::after(delay).await;
                let keys: Vec<&str> = keys.iter().map(|key| &**key).collect();
                match table.read(&keys).await {
                    Ok(rows) => CommandEvent::Rows(rows.into_iter().map(stored_row).collect()),
                    Err(_) => CommandEvent::ReadFailed,
                }
            }
            CommandAction::Commit(transaction) => {
                match table.commit(&table_transaction(transaction)).await {
                    Ok(_) => CommandEvent::Committed,
                    Err(CommitError::Conflict(_)) => CommandEvent::Conflict,
                    Err(err) if err.is_outcome_unknown() => CommandEvent::Unknown,
                    Err(_) => CommandEvent::Unavailable,
                }
            }
            CommandAction::Done(outcome) => return outcome,
        };
        action = run.handle(event);
    }
}

fn stored_row(row: Row) -> StoredRow {
    StoredRow {
        key: row.key,
        value: row.value,
        version: row.version,
    }
}

fn table_transaction(planned: ConfigTransaction) -> Transaction {
    let conditions = planned
        .conditions
        .into_iter()
        .map(|condition| RowCondition {
            key: condition.key,
            version: condition.version,
        });
    let writes = planned.writes.into_iter().map(|write| RowWrite {
        key: write.key,
        value: Some(write.value),
    });
    Transaction {
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}
