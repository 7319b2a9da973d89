//! Tables, and the filtering, sorting and limiting of their rows by a query.

use crate::statement::{Comparison, Condition, Show, SortKey};
use crate::subject::Subject;
use crate::value::Value;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Rows of one subject. Each row has one value per column of the subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Subject of the rows, which determines the columns.
    pub subject: Subject,
    /// Rows, each in the order of the columns.
    pub rows: Vec<Vec<Value>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(subject: Subject) -> Self {
        Self {
            subject,
            rows: Vec::new(),
        }
    }

    /// Adds a row. Columns for which it has no value are set to [`Value::Missing`].
    pub fn push(&mut self, mut row: Vec<Value>) {
        row.resize(self.subject.columns().len(), Value::Missing);
        self.rows.push(row);
    }

    /// Adds the rows of another node's table. Does nothing if its subject differs.
    pub fn merge(&mut self, other: Table) {
        if other.subject == self.subject {
            for row in other.rows {
                self.push(row);
            }
        }
    }

    /// Filters, sorts and limits the rows according to a query.
    pub fn select(&mut self, show: &Show) {
        let subject = self.subject;
        if let Some(condition) = &show.condition {
            self.rows
                .retain(|row| matches_condition(subject, condition, row));
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

fn matches_condition(subject: Subject, condition: &Condition, row: &[Value]) -> bool {
    match condition {
        Condition::All(all) => all
            .iter()
            .all(|inner| matches_condition(subject, inner, row)),
        Condition::Any(any) => any
            .iter()
            .any(|inner| matches_condition(subject, inner, row)),
        Condition::Not(inner) => !matches_condition(subject, inner, row),
        Condition::Compare {
            column,
            comparison,
            value,
        } => subject
            .column(column)
            .is_some_and(|index| matches_comparison(&row[index], *comparison, value)),
    }
}

fn matches_comparison(cell: &Value, comparison: Comparison, value: &Value) -> bool {
    let ordering = cell.compare(value);
    match comparison {
        Comparison::Equal => ordering == Some(Ordering::Equal),
        Comparison::Unequal => ordering != Some(Ordering::Equal),
        Comparison::Less => ordering == Some(Ordering::Less),
        Comparison::AtMost => ordering.is_some_and(Ordering::is_le),
        Comparison::Greater => ordering == Some(Ordering::Greater),
        Comparison::AtLeast => ordering.is_some_and(Ordering::is_ge),
        Comparison::Contains => match (cell, value) {
            (Value::Text(cell), Value::Text(substring)) => cell.contains(&**substring),
            _ => false,
        },
    }
}
