//! The error for a statement that cannot be parsed.

use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use std::ops::Range;

/// A syntax error, with the position of the unexpected word and a suggestion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryError {
    /// Text of the whole statement.
    pub text: Box<str>,
    /// Byte range of the unexpected word; empty at the end of the text if words are missing.
    pub span: Range<usize>,
    /// Explanation for the operator.
    pub message: Box<str>,
    /// The accepted word closest to the unexpected one; `None` if none is similar.
    pub suggestion: Option<Box<str>>,
}

impl Display for QueryError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let before = self.text.get(..self.span.start).unwrap_or_default();
        let word = self.text.get(self.span.clone()).unwrap_or_default();
        let indent = " ".repeat(before.chars().count());
        let marks = "^".repeat(word.chars().count().max(1));
        writeln!(f, "{}", self.text)?;
        write!(f, "{indent}{marks} {}", self.message)?;
        match &self.suggestion {
            Some(word) => write!(f, "; did you mean `{word}`?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for QueryError {}
