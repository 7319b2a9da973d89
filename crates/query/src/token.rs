//! Splits a statement into tokens.

use std::ops::Range;
use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, preceded, repeat, terminated};
use winnow::error::EmptyError;
use winnow::stream::LocatingSlice;
use winnow::token::{any, take_while};

/// Kind of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenKind {
    /// A word, name or number.
    Word,
    /// Text between single or double quotes.
    Quoted,
    /// A comparison operator.
    Operator,
    /// `(`, `)` or `,`.
    Punctuation,
    /// A character that no other kind of token may start with.
    Unknown,
}

/// A token with its byte range in the statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Token<'a> {
    pub(crate) kind: TokenKind,
    /// Without the quotes if quoted.
    pub(crate) text: &'a str,
    pub(crate) span: Range<usize>,
}

/// Splits a statement into tokens. Characters that belong to no other token become
/// [`TokenKind::Unknown`].
pub(crate) fn tokens(text: &str) -> Vec<Token<'_>> {
    let token = alt((
        word.map(|text| (TokenKind::Word, text)),
        quoted.map(|text| (TokenKind::Quoted, text)),
        operator.map(|text| (TokenKind::Operator, text)),
        alt(("(", ")", ",")).map(|text| (TokenKind::Punctuation, text)),
        any.take().map(|text| (TokenKind::Unknown, text)),
    ))
    .with_span()
    .map(|((kind, text), span)| Token { kind, text, span });
    let spaced_token = terminated(token, multispace0::<_, EmptyError>);
    let mut all_tokens = preceded(multispace0, repeat(0.., spaced_token));
    all_tokens
        .parse(LocatingSlice::new(text))
        .unwrap_or_default()
}

fn word<'a>(input: &mut LocatingSlice<&'a str>) -> Result<&'a str, EmptyError> {
    let is_word_char = |c: char| c.is_alphanumeric() || "_-./:@+".contains(c);
    take_while(1.., is_word_char).parse_next(input)
}

fn quoted<'a>(input: &mut LocatingSlice<&'a str>) -> Result<&'a str, EmptyError> {
    alt((
        delimited('\'', take_while(0.., |c| c != '\''), '\''),
        delimited('"', take_while(0.., |c| c != '"'), '"'),
    ))
    .parse_next(input)
}

fn operator<'a>(input: &mut LocatingSlice<&'a str>) -> Result<&'a str, EmptyError> {
    alt(("!=", "<=", ">=", "=", "<", ">", "~")).parse_next(input)
}
