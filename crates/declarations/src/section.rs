//! Parses one section of a declarations file and records the position of each field.

use crate::check::RawDiagnostic;
use crate::named::Named;
use serde::de::DeserializeOwned;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// A declared item and the byte offsets of its fields.
#[derive(Debug)]
pub(crate) struct SpannedItem<T> {
    pub(crate) value: T,
    span: Range<usize>,
    /// Name and span of each field, and the offsets of the elements if it is an array.
    fields: Vec<(Box<str>, Range<usize>, Vec<usize>)>,
}

impl<T> SpannedItem<T> {
    /// Byte offset of a field's value, or of the item if the field is absent.
    pub(crate) fn field_offset(&self, field: &str) -> usize {
        let found = self.fields.iter().find(|(name, ..)| &**name == field);
        found.map_or(self.span.start, |(_, span, _)| span.start)
    }

    /// Byte offset of an element of an array field, or of the field if there is no such element.
    pub(crate) fn element_offset(&self, field: &str, index: usize) -> usize {
        let found = self.fields.iter().find(|(name, ..)| &**name == field);
        let element = found.and_then(|(_, _, elements)| elements.get(index));
        element.copied().unwrap_or_else(|| self.field_offset(field))
    }

    /// Whether the file sets the field.
    pub(crate) fn has_field(&self, field: &str) -> bool {
        self.fields.iter().any(|(name, ..)| &**name == field)
    }
}

/// Removes one section from the root table, parses its items and reports every error in it.
pub(crate) fn parse_section<T: DeserializeOwned + Named>(
    root: &mut DeTable<'_>,
    diagnostics: &mut Vec<RawDiagnostic>,
) -> Vec<SpannedItem<T>> {
    let Some(section) = root.remove(T::SECTION) else {
        return Vec::new();
    };
    let start = section.span().start;
    let DeValue::Array(array) = section.into_inner() else {
        let reason = format!("`{0}` must be written as [[{0}]]", T::SECTION);
        diagnostics.push(RawDiagnostic::new(start, reason));
        return Vec::new();
    };
    array
        .into_iter()
        .filter_map(|element| parse_item(element, diagnostics))
        .collect()
}

/// Parses one item. Deserialization stops at the first error, so the invalid field is removed and
/// the rest is parsed again, until every error of the item is reported.
fn parse_item<T: DeserializeOwned + Named>(
    element: Spanned<DeValue<'_>>,
    diagnostics: &mut Vec<RawDiagnostic>,
) -> Option<SpannedItem<T>> {
    let span = element.span();
    let DeValue::Table(mut table) = element.into_inner() else {
        let reason = format!("a {} must be a table", T::KIND);
        diagnostics.push(RawDiagnostic::new(span.start, reason));
        return None;
    };
    let fields = table
        .iter()
        .map(|(key, value)| {
            (
                key.get_ref().as_ref().into(),
                value.span(),
                element_offsets(value),
            )
        })
        .collect();
    let mut removed_fields: Vec<Box<str>> = Vec::new();
    loop {
        let remaining = Spanned::new(span.clone(), DeValue::Table(table.clone()));
        let err = match T::deserialize(ValueDeserializer::from(remaining)) {
            Ok(value) if removed_fields.is_empty() => {
                return Some(SpannedItem {
                    value,
                    span,
                    fields,
                });
            }
            Ok(_) => return None,
            Err(err) => err,
        };
        let error_span = err.span().unwrap_or_else(|| span.clone());
        let invalid_field = field_at(&table, &error_span);
        let missing = err.message().starts_with("missing field");
        let removed_here = removed_fields
            .iter()
            .any(|key| err.message().contains(&format!("`{key}`")));
        if !(missing && removed_here) {
            let start = if missing {
                span.start
            } else {
                error_span.start
            };
            let reason = format!("{}: {}", T::KIND, err.message());
            diagnostics.push(RawDiagnostic::new(start, reason));
        }
        match invalid_field {
            Some(key) if !missing => {
                table.remove(&*key);
                removed_fields.push(key);
            }
            _ => return None,
        }
    }
}

/// Name of the field whose key or value contains the span.
fn field_at(table: &DeTable<'_>, error_span: &Range<usize>) -> Option<Box<str>> {
    let contains_error =
        |span: Range<usize>| span.start <= error_span.start && error_span.end <= span.end;
    table
        .iter()
        .find(|(key, value)| contains_error(key.span()) || contains_error(value.span()))
        .map(|(key, _)| key.get_ref().as_ref().into())
}

fn element_offsets(value: &Spanned<DeValue<'_>>) -> Vec<usize> {
    let array = value.get_ref().as_array();
    array.map_or_else(Vec::new, |array| {
        array.iter().map(|element| element.span().start).collect()
    })
}
