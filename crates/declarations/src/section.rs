//! One section of a text of declarations, with the place of each of its fields.

use crate::check::RawDiagnostic;
use crate::named::Named;
use serde::de::DeserializeOwned;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// One declared thing and where it stands.
#[derive(Debug)]
pub(crate) struct Item<T> {
    pub(crate) value: T,
    span: Range<usize>,
    fields: Vec<(Box<str>, Range<usize>, Vec<usize>)>,
}

impl<T> Item<T> {
    /// Offset of a field's value, or of the item where the field is left out.
    pub(crate) fn at(&self, field: &str) -> usize {
        let found = self.fields.iter().find(|(name, ..)| &**name == field);
        found.map_or(self.span.start, |(_, span, _)| span.start)
    }

    /// Offset of an element of a field that is an array.
    pub(crate) fn at_element(&self, field: &str, index: usize) -> usize {
        let found = self.fields.iter().find(|(name, ..)| &**name == field);
        let element = found.and_then(|(_, _, elements)| elements.get(index));
        element.copied().unwrap_or_else(|| self.at(field))
    }

    /// Whether the text gives the field.
    pub(crate) fn states(&self, field: &str) -> bool {
        self.fields.iter().any(|(name, ..)| &**name == field)
    }
}

/// Takes one section out of the root table and notes every fault in it.
pub(crate) fn take_section<T: DeserializeOwned + Named>(
    root: &mut DeTable<'_>,
    faults: &mut Vec<RawDiagnostic>,
) -> Vec<Item<T>> {
    let Some(section) = root.remove(T::SECTION) else {
        return Vec::new();
    };
    let start = section.span().start;
    let DeValue::Array(array) = section.into_inner() else {
        let reason = format!("`{0}` must be written as [[{0}]]", T::SECTION);
        faults.push(RawDiagnostic::new(start, reason));
        return Vec::new();
    };
    array
        .into_iter()
        .filter_map(|element| read_item(element, faults))
        .collect()
}

/// Reads one item; a field with a fault is left out and the rest read again, so that each fault
/// of the item is found.
fn read_item<T: DeserializeOwned + Named>(
    element: Spanned<DeValue<'_>>,
    faults: &mut Vec<RawDiagnostic>,
) -> Option<Item<T>> {
    let span = element.span();
    let DeValue::Table(mut table) = element.into_inner() else {
        let reason = format!("a {} must be a table", T::KIND);
        faults.push(RawDiagnostic::new(span.start, reason));
        return None;
    };
    let fields = table
        .iter()
        .map(|(key, value)| (key.get_ref().as_ref().into(), value.span(), elements(value)))
        .collect();
    let mut broken: Vec<Box<str>> = Vec::new();
    loop {
        let whole = Spanned::new(span.clone(), DeValue::Table(table.clone()));
        let err = match T::deserialize(ValueDeserializer::from(whole)) {
            Ok(value) if broken.is_empty() => {
                return Some(Item {
                    value,
                    span,
                    fields,
                });
            }
            Ok(_) => return None,
            Err(err) => err,
        };
        let at = err.span().unwrap_or_else(|| span.clone());
        let culprit = culprit_of(&table, &at);
        let missing = err.message().starts_with("missing field");
        let already = broken
            .iter()
            .any(|key| err.message().contains(&format!("`{key}`")));
        if !(missing && already) {
            let start = if missing { span.start } else { at.start };
            let reason = format!("{}: {}", T::KIND, err.message());
            faults.push(RawDiagnostic::new(start, reason));
        }
        match culprit {
            Some(key) if !missing => {
                table.remove(&*key);
                broken.push(key);
            }
            _ => return None,
        }
    }
}

fn culprit_of(table: &DeTable<'_>, at: &Range<usize>) -> Option<Box<str>> {
    let inside = |span: Range<usize>| span.start <= at.start && at.end <= span.end;
    table
        .iter()
        .find(|(key, value)| inside(key.span()) || inside(value.span()))
        .map(|(key, _)| key.get_ref().as_ref().into())
}

fn elements(value: &Spanned<DeValue<'_>>) -> Vec<usize> {
    let array = value.get_ref().as_array();
    array.map_or_else(Vec::new, |array| {
        array.iter().map(|element| element.span().start).collect()
    })
}
