//! Renders tables as aligned text and as JSON.

use crate::table::Table;
use crate::value::Value;
use serde_json::{Map, Value as Json};
use std::fmt::{self, Display, Formatter};

const COLUMN_SEPARATOR: &str = "  ";

impl Table {
    /// Converts the rows to a JSON array with one object per row.
    pub fn to_json(&self) -> Json {
        let columns = self.subject.columns();
        let object = |row: &Vec<Value>| {
            let fields = columns.iter().zip(row);
            let fields = fields.map(|(column, value)| {
                let json = serde_json::to_value(value).unwrap_or(Json::Null);
                (column.name.to_owned(), json)
            });
            Json::Object(fields.collect::<Map<_, _>>())
        };
        Json::Array(self.rows.iter().map(object).collect())
    }
}

impl Display for Table {
    /// Writes a header line and one line per row, with aligned columns; numbers are right-aligned.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let columns = self.subject.columns();
        let header: Vec<String> = columns.iter().map(|c| c.name.to_uppercase()).collect();
        let body: Vec<Vec<String>> = self
            .rows
            .iter()
            .map(|row| row.iter().map(Value::to_string).collect())
            .collect();
        let width = |index: usize| {
            let cells = body
                .iter()
                .chain([&header])
                .filter_map(|row| row.get(index));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns.len()).map(width).collect();
        write_row(f, &header, &widths, |_| false)?;
        for (row, values) in body.iter().zip(&self.rows) {
            let is_number =
                |index: usize| matches!(values[index], Value::Count(_) | Value::Number(_));
            write_row(f, row, &widths, is_number)?;
        }
        Ok(())
    }
}

fn write_row(
    f: &mut Formatter<'_>,
    cells: &[String],
    widths: &[usize],
    right_aligned: impl Fn(usize) -> bool,
) -> fmt::Result {
    let mut line = String::new();
    for (index, (cell, width)) in cells.iter().zip(widths).enumerate() {
        if index > 0 {
            line.push_str(COLUMN_SEPARATOR);
        }
        if right_aligned(index) {
            line.push_str(&format!("{cell:>width$}"));
        } else {
            line.push_str(&format!("{cell:<width$}"));
        }
    }
    writeln!(f, "{}", line.trim_end())
}
