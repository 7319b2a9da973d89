//! Tables, and how a query chooses, orders and cuts their rows.

use crate::statement::{Comparison, Condition, Show, SortKey};
use crate::subject::Subject;
use crate::value::Value;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Rows of one subject, with a value for each of its columns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// What the rows are of.
    pub subject: Subject,
    /// The rows.
    pub rows: Vec<Vec<Value>>,
}

impl Table {
    /// A table without rows.
    pub fn new(subject: Subject) -> Self {
        Self {
            subject,
            rows: Vec::new(),
        }
    }

    /// Adds a row; columns that are left out are missing.
    pub fn push(&mut self, mut row: Vec<Value>) {
        row.resize(self.subject.columns().len(), Value::Missing);
        self.rows.push(row);
    }

    /// Adds another node's rows of the same subject.
    pub fn merge(&mut self, other: Table) {
        if other.subject == self.subject {
            for row in other.rows {
                self.push(row);
            }
        }
    }

    /// Keeps the rows that a query asks for, in its order and within its limit.
    pub fn select(&mut self, show: &Show) {
        let subject = self.subject;
        if let Some(condition) = &show.condition {
            self.rows.retain(|row| holds(subject, condition, row));
        }
        if !show.order.is_empty() {
            self.rows
                .sort_by(|a, b| compare_rows(subject, &show.order, a, b));
        }
        if let Some(limit) = show.limit {
            self.rows.truncate(limit);
        }
    }
}

fn compare_rows(subject: Subject, order: &[SortKey], a: &[Value], b: &[Value]) -> Ordering {
    let by_key = |key: &SortKey| {
        let Some(index) = subject.column(&key.column) else {
            return Ordering::Equal;
        };
        let ordering = a[index].sort_order(&b[index]);
        let is_missing = a[index] == Value::Missing || b[index] == Value::Missing;
        if key.descending && !is_missing {
            ordering.reverse()
        } else {
            ordering
        }
    };
    let keys = order.iter().map(by_key);
    keys.fold(Ordering::Equal, Ordering::then)
}

fn holds(subject: Subject, condition: &Condition, row: &[Value]) -> bool {
    match condition {
        Condition::All(all) => all.iter().all(|one| holds(subject, one, row)),
        Condition::Any(any) => any.iter().any(|one| holds(subject, one, row)),
        Condition::Not(one) => !holds(subject, one, row),
        Condition::Compare {
            column,
            comparison,
            value,
        } => subject
            .column(column)
            .is_some_and(|index| compares(&row[index], *comparison, value)),
    }
}

fn compares(cell: &Value, comparison: Comparison, value: &Value) -> bool {
    let ordering = cell.compare(value);
    match comparison {
        Comparison::Equal => ordering == Some(Ordering::Equal),
        Comparison::Unequal => ordering != Some(Ordering::Equal),
        Comparison::Less => ordering == Some(Ordering::Less),
        Comparison::AtMost => ordering.is_some_and(Ordering::is_le),
        Comparison::Greater => ordering == Some(Ordering::Greater),
        Comparison::AtLeast => ordering.is_some_and(Ordering::is_ge),
        Comparison::Contains => match (cell, value) {
            (Value::Text(cell), Value::Text(part)) => cell.contains(&**part),
            _ => false,
        },
    }
}
