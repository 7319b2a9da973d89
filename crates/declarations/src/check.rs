//! Parsing of declarations, with the place and reason of every fault.

use crate::document::Document;
use crate::named::Named;
use crate::section::take_section;
use crate::types::{Declarations, Domain, Model, Operator, Route, Rule, Server, Team};
use crate::validate::Sections;
use std::fmt::{self, Display, Formatter};
use toml::de::DeTable;

/// One fault of a text of declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line, from one.
    pub line: usize,
    /// Column in characters, from one.
    pub column: usize,
    /// What is wrong.
    pub reason: Box<str>,
}

/// All faults of a text of declarations, in the order of the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Display for Diagnostics {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{}:{}: {}", fault.line, fault.column, fault.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// A fault at a byte offset of the text.
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
    let mut faults = Vec::new();
    let (root, errors) = DeTable::parse_recoverable(text);
    for err in errors {
        let offset = err.span().map_or(0, |span| span.start);
        faults.push(RawDiagnostic::new(offset, err.message()));
    }
    let mut root = root.into_inner();
    let sections = Sections {
        domains: take_section(&mut root, &mut faults),
        models: take_section(&mut root, &mut faults),
        servers: take_section(&mut root, &mut faults),
        teams: take_section(&mut root, &mut faults),
        routes: take_section(&mut root, &mut faults),
        rules: take_section(&mut root, &mut faults),
        operators: take_section(&mut root, &mut faults),
    };
    reject_unknown_sections(&root, &mut faults);
    let syntax_is_whole = faults.is_empty();
    sections.validate(syntax_is_whole, &mut faults);
    if faults.is_empty() {
        Ok(Document::from_sections(sections))
    } else {
        Err(locate(text, faults))
    }
}

fn reject_unknown_sections(root: &DeTable<'_>, faults: &mut Vec<RawDiagnostic>) {
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
        faults.push(RawDiagnostic::new(key.span().start, reason));
    }
}

fn locate(text: &str, mut faults: Vec<RawDiagnostic>) -> Diagnostics {
    faults.sort_by_key(|fault| fault.offset);
    let located = faults.into_iter().map(|fault| {
        let mut offset = fault.offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &text[..offset];
        Diagnostic {
            line: before.matches('\n').count() + 1,
            column: before.chars().rev().take_while(|c| *c != '\n').count() + 1,
            reason: fault.reason,
        }
    });
    Diagnostics(located.collect())
}

impl Declarations {
    /// Parses and validates TOML text; reports all faults at once.
    pub fn parse(text: &str) -> Result<Self, Diagnostics> {
        parse(text).map(|document| document.declared)
    }
}
