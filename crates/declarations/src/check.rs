//! Parses a declarations file and reports every error with its position.

use crate::document::Document;
use crate::named::Named;
use crate::section::parse_section;
use crate::types::{Declarations, Domain, Model, Operator, Route, Rule, Server, Team};
use crate::validate::Sections;
use std::fmt::{self, Display, Formatter};
use toml::de::DeTable;

/// An error in a declarations file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
    /// Explanation for the operator.
    pub reason: Box<str>,
}

/// All errors in a declarations file, in the order of their positions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Display for Diagnostics {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for diagnostic in &self.0 {
            writeln!(
                f,
                "{}:{}: {}",
                diagnostic.line, diagnostic.column, diagnostic.reason
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// An error at a byte offset of the text, not yet converted to line and column.
#[derive(Debug)]
pub(crate) struct RawDiagnostic {
    offset: usize,
    reason: Box<str>,
}

impl RawDiagnostic {
    pub(crate) fn new(offset: usize, reason: impl Into<Box<str>>) -> Self {
        Self {
            offset,
            reason: reason.into(),
        }
    }
}

/// Parses and validates TOML text.
pub(crate) fn parse(text: &str) -> Result<Document, Diagnostics> {
    let mut diagnostics = Vec::new();
    let (root, errors) = DeTable::parse_recoverable(text);
    for err in errors {
        let offset = err.span().map_or(0, |span| span.start);
        diagnostics.push(RawDiagnostic::new(offset, err.message()));
    }
    let mut root = root.into_inner();
    let sections = Sections {
        domains: parse_section(&mut root, &mut diagnostics),
        models: parse_section(&mut root, &mut diagnostics),
        servers: parse_section(&mut root, &mut diagnostics),
        teams: parse_section(&mut root, &mut diagnostics),
        routes: parse_section(&mut root, &mut diagnostics),
        rules: parse_section(&mut root, &mut diagnostics),
        operators: parse_section(&mut root, &mut diagnostics),
    };
    reject_unknown_sections(&root, &mut diagnostics);
    let all_items_parsed = diagnostics.is_empty();
    sections.validate(all_items_parsed, &mut diagnostics);
    if diagnostics.is_empty() {
        Ok(Document::from_sections(sections))
    } else {
        Err(with_positions(text, diagnostics))
    }
}

fn reject_unknown_sections(root: &DeTable<'_>, diagnostics: &mut Vec<RawDiagnostic>) {
    const SECTIONS: [&str; 7] = [
        Domain::SECTION,
        Model::SECTION,
        Server::SECTION,
        Team::SECTION,
        Route::SECTION,
        Rule::SECTION,
        Operator::SECTION,
    ];
    for key in root.keys() {
        let name = key.get_ref();
        let reason = format!(
            "unknown section `{name}`, expected one of {}",
            SECTIONS.join(", ")
        );
        diagnostics.push(RawDiagnostic::new(key.span().start, reason));
    }
}

/// Converts byte offsets to lines and columns, sorted by offset.
fn with_positions(text: &str, mut diagnostics: Vec<RawDiagnostic>) -> Diagnostics {
    diagnostics.sort_by_key(|diagnostic| diagnostic.offset);
    let located = diagnostics.into_iter().map(|diagnostic| {
        let mut offset = diagnostic.offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &text[..offset];
        Diagnostic {
            line: before.matches('\n').count() + 1,
            column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
            reason: diagnostic.reason,
        }
    });
    Diagnostics(located.collect())
}

impl Declarations {
    /// Parses and validates TOML text.
    ///
    /// # Errors
    ///
    /// Returns every error of the text, not only the first.
    pub fn parse(text: &str) -> Result<Self, Diagnostics> {
        parse(text).map(|document| document.declared)
    }
}
