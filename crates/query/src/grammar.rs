//! Parser of the query and command language.
//!
//! ```text
//! statement   = show | explain | command
//! show        = "show" subject clause*
//! clause      = "where" condition | "since" duration | "order" "by" key ("," key)*
//!             | "limit" number
//! key         = column ("asc" | "desc")?
//! condition   = conjunction ("or" conjunction)*
//! conjunction = term ("and" term)*
//! term        = "not" term | "(" condition ")" | column operator value
//! explain     = "explain" "request" name
//! command     = ("take" "domain" name "out" | "bring" "domain" name "back"
//!             | "drain" "server" name | "undrain" "server" name
//!             | "roll" "to" "version"? number) ("if" "version" number)?
//! ```

use crate::error::QueryError;
use crate::statement::{Comparison, Condition, Show, SortKey, Statement};
use crate::subject::{Column, ColumnType, Subject};
use crate::token::{Token, TokenKind, tokens};
use crate::value::Value;
use declarations::closest_match;
use std::ops::Range;
use std::time::Duration;
use winnow::Parser;
use winnow::combinator::{alt, opt, preceded, separated};
use winnow::error::{ErrMode, ParserError};
use winnow::stream::{Stream, TokenSlice};
use winnow::token::any;

type Input<'t, 'a> = TokenSlice<'t, Token<'a>>;
type ParseResult<T> = Result<T, ErrMode<SyntaxError>>;

const STATEMENT_KEYWORDS: &[&str] = &[
    "show", "explain", "take", "bring", "drain", "undrain", "roll",
];
const CLAUSE_KEYWORDS: &[&str] = &["where", "since", "order", "limit"];
/// Maximum depth of nested conditions, which bounds the recursion of the parser.
const MAX_NESTING_DEPTH: usize = 32;

/// Parses one statement.
///
/// # Errors
///
/// Returns the first syntax error.
pub fn parse(text: &str) -> Result<Statement, QueryError> {
    let tokens = tokens(text);
    let mut input = TokenSlice::new(&tokens);
    statement(&mut input).map_err(|err| {
        let error = err.into_inner().unwrap_or_default();
        let end = text.trim_end().len();
        QueryError {
            text: text.into(),
            span: error.span.unwrap_or(end..end),
            message: error.message,
            suggestion: error.suggestion,
        }
    })
}

/// A syntax error at the token with this span, or at the end of the text if there is no span.
#[derive(Debug, Clone, Default)]
struct SyntaxError {
    span: Option<Range<usize>>,
    message: Box<str>,
    suggestion: Option<Box<str>>,
}

impl<'t, 'a> ParserError<Input<'t, 'a>> for SyntaxError {
    type Inner = Self;

    fn from_input(input: &Input<'t, 'a>) -> Self {
        Self {
            span: input.peek_token().map(|token| token.span.clone()),
            message: "this is not understood".into(),
            suggestion: None,
        }
    }

    fn into_inner(self) -> Result<Self, Self> {
        Ok(self)
    }
}

/// Fails at the next token without trying alternatives. The closest of the `known` words is
/// suggested.
fn fail<T>(input: &Input<'_, '_>, message: impl Into<Box<str>>, known: &[&str]) -> ParseResult<T> {
    let next = input.peek_token();
    let suggestion = next.and_then(|token| closest_match(token.text, known.iter().copied()));
    Err(ErrMode::Cut(SyntaxError {
        span: next.map(|token| token.span.clone()),
        message: message.into(),
        suggestion: suggestion.map(Into::into),
    }))
}

/// Fails with the list of words that are accepted here.
fn expected_one_of<T>(input: &Input<'_, '_>, known: &[&str]) -> ParseResult<T> {
    let list: Vec<String> = known.iter().map(|word| format!("`{word}`")).collect();
    fail(input, format!("expected {}", list.join(", ")), known)
}

/// Matches a keyword, ignoring case. Backtracks on any other token.
fn keyword<'t, 'a: 't>(word: &'static str) -> impl Parser<Input<'t, 'a>, (), ErrMode<SyntaxError>> {
    any.verify(move |token: &Token<'_>| {
        token.kind == TokenKind::Word && token.text.eq_ignore_ascii_case(word)
    })
    .void()
}

/// Matches a keyword, ignoring case. Fails on any other token.
fn required_keyword(input: &mut Input<'_, '_>, word: &'static str) -> ParseResult<()> {
    match opt(keyword(word)).parse_next(input)? {
        Some(()) => Ok(()),
        None => expected_one_of(input, &[word]),
    }
}

fn punctuation<'t, 'a: 't>(
    text: &'static str,
) -> impl Parser<Input<'t, 'a>, (), ErrMode<SyntaxError>> {
    any.verify(move |token: &Token<'_>| token.kind == TokenKind::Punctuation && token.text == text)
        .void()
}

fn name(input: &mut Input<'_, '_>, what: &str) -> ParseResult<Box<str>> {
    match input.peek_token() {
        Some(token) if matches!(token.kind, TokenKind::Word | TokenKind::Quoted) => {
            let text = token.text.into();
            input.next_token();
            Ok(text)
        }
        _ => fail(input, format!("expected the name of a {what}"), &[]),
    }
}

fn statement(input: &mut Input<'_, '_>) -> ParseResult<Statement> {
    let parsed = opt(alt((
        preceded(keyword("show"), show).map(Statement::Show),
        preceded(keyword("explain"), explain),
        preceded(keyword("take"), take_domain),
        preceded(keyword("bring"), bring_domain),
        preceded(keyword("drain"), drain_server),
        preceded(keyword("undrain"), undrain_server),
        preceded(keyword("roll"), rollback),
    )))
    .parse_next(input)?;
    let Some(statement) = parsed else {
        return expected_one_of(input, STATEMENT_KEYWORDS);
    };
    if input.peek_token().is_some() {
        let is_show = matches!(statement, Statement::Show(_));
        let known: &[&str] = if is_show { CLAUSE_KEYWORDS } else { &["if"] };
        return fail(input, "unexpected word after the end", known);
    }
    Ok(statement)
}

fn show(input: &mut Input<'_, '_>) -> ParseResult<Show> {
    let words: Vec<&str> = Subject::ALL.iter().map(|subject| subject.word()).collect();
    let word = input.peek_token().map(|token| token.text.to_lowercase());
    let Some(subject) = word.and_then(|word| Subject::from_word(&word)) else {
        return expected_one_of(input, &words);
    };
    input.next_token();
    let mut show = Show {
        subject,
        condition: None,
        since: None,
        order: Vec::new(),
        limit: None,
    };
    loop {
        if opt(keyword("where")).parse_next(input)?.is_some() {
            show.condition = Some(condition(input, subject, 0)?);
        } else if opt(keyword("since")).parse_next(input)?.is_some() {
            show.since = Some(duration(input)?);
        } else if opt(keyword("order")).parse_next(input)?.is_some() {
            required_keyword(input, "by")?;
            let key = |input: &mut Input<'_, '_>| sort_key(input, subject);
            show.order = separated(1.., key, punctuation(",")).parse_next(input)?;
        } else if opt(keyword("limit")).parse_next(input)?.is_some() {
            show.limit = Some(whole_number(input)? as usize);
        } else {
            return Ok(show);
        }
    }
}

fn sort_key(input: &mut Input<'_, '_>, subject: Subject) -> ParseResult<SortKey> {
    let column = column(input, subject)?;
    let descending = opt(keyword("desc")).parse_next(input)?.is_some();
    if !descending {
        opt(keyword("asc")).parse_next(input)?;
    }
    Ok(SortKey {
        column: column.name.into(),
        descending,
    })
}

fn condition(input: &mut Input<'_, '_>, subject: Subject, depth: usize) -> ParseResult<Condition> {
    if depth > MAX_NESTING_DEPTH {
        return fail(input, "too many conditions within each other", &[]);
    }
    let term = |input: &mut Input<'_, '_>| term(input, subject, depth);
    let conjunction = separated(1.., term, keyword("and"));
    let conjunction = conjunction.map(|mut list: Vec<Condition>| match list.len() {
        1 => list.remove(0),
        _ => Condition::All(list),
    });
    let disjunction = separated(1.., conjunction, keyword("or"));
    disjunction
        .map(|mut list: Vec<Condition>| match list.len() {
            1 => list.remove(0),
            _ => Condition::Any(list),
        })
        .parse_next(input)
}

fn term(input: &mut Input<'_, '_>, subject: Subject, depth: usize) -> ParseResult<Condition> {
    if opt(keyword("not")).parse_next(input)?.is_some() {
        if depth > MAX_NESTING_DEPTH {
            return fail(input, "too many conditions within each other", &[]);
        }
        let inner = term(input, subject, depth + 1)?;
        return Ok(Condition::Not(Box::new(inner)));
    }
    if opt(punctuation("(")).parse_next(input)?.is_some() {
        let inner = condition(input, subject, depth + 1)?;
        return match opt(punctuation(")")).parse_next(input)? {
            Some(()) => Ok(inner),
            None => expected_one_of(input, &[")"]),
        };
    }
    let column = column(input, subject)?;
    let comparison = comparison(input)?;
    let value = value(input, column.column_type)?;
    Ok(Condition::Compare {
        column: column.name.into(),
        comparison,
        value,
    })
}

fn column(input: &mut Input<'_, '_>, subject: Subject) -> ParseResult<Column> {
    let columns = subject.columns();
    let found = input.peek_token().and_then(|token| {
        let has_name = |column: &&Column| column.name.eq_ignore_ascii_case(token.text);
        columns.iter().find(has_name)
    });
    let Some(column) = found else {
        let names: Vec<&str> = columns.iter().map(|column| column.name).collect();
        let message = format!(
            "{} have no such column; they have {}",
            subject.word(),
            names.join(", ")
        );
        return fail(input, message, &names);
    };
    input.next_token();
    Ok(*column)
}

fn comparison(input: &mut Input<'_, '_>) -> ParseResult<Comparison> {
    const COMPARISON_OPERATORS: &[&str] = &["=", "!=", "<", "<=", ">", ">=", "~"];
    let comparison = match input.peek_token().map(|token| token.text) {
        Some("=") => Comparison::Equal,
        Some("!=") => Comparison::Unequal,
        Some("<") => Comparison::Less,
        Some("<=") => Comparison::AtMost,
        Some(">") => Comparison::Greater,
        Some(">=") => Comparison::AtLeast,
        Some("~") => Comparison::Contains,
        _ => return expected_one_of(input, COMPARISON_OPERATORS),
    };
    input.next_token();
    Ok(comparison)
}

fn value(input: &mut Input<'_, '_>, column_type: ColumnType) -> ParseResult<Value> {
    match column_type {
        ColumnType::Text => name(input, "value").map(Value::Text),
        ColumnType::Number => match input
            .peek_token()
            .and_then(|token| parse_number(token.text))
        {
            Some(value) => {
                input.next_token();
                Ok(value)
            }
            None => fail(input, "expected a number, such as 12, 1.5 or 100k", &[]),
        },
        ColumnType::Duration => duration(input).map(Value::seconds),
        ColumnType::Flag => match input.peek_token().map(|token| token.text) {
            Some("yes" | "true") => Ok(Value::Flag(true)),
            Some("no" | "false") => Ok(Value::Flag(false)),
            _ => expected_one_of(input, &["yes", "no"]),
        }
        .inspect(|_| {
            input.next_token();
        }),
    }
}

fn parse_number(text: &str) -> Option<Value> {
    let (digits, factor) = match text.char_indices().last()? {
        (at, 'k') => (&text[..at], 1_000),
        (at, 'M') => (&text[..at], 1_000_000),
        _ => (text, 1),
    };
    match digits.parse::<u64>() {
        Ok(count) => count.checked_mul(factor).map(Value::Count),
        Err(_) => {
            let number: f64 = digits.parse().ok()?;
            number
                .is_finite()
                .then_some(Value::Number(number * factor as f64))
        }
    }
}

fn whole_number(input: &mut Input<'_, '_>) -> ParseResult<u64> {
    match input
        .peek_token()
        .and_then(|token| parse_number(token.text))
    {
        Some(Value::Count(count)) => {
            input.next_token();
            Ok(count)
        }
        _ => fail(input, "expected a whole number", &[]),
    }
}

fn duration(input: &mut Input<'_, '_>) -> ParseResult<Duration> {
    match input
        .peek_token()
        .and_then(|token| parse_duration(token.text))
    {
        Some(duration) => {
            input.next_token();
            Ok(duration)
        }
        None => fail(
            input,
            "expected a duration, such as 250ms, 5s, 5m or 1h",
            &[],
        ),
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let unit_at = text.find(|c: char| c.is_alphabetic())?;
    let seconds = match &text[unit_at..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        "d" => 86_400.0,
        _ => return None,
    };
    let amount: f64 = text[..unit_at].parse().ok()?;
    Duration::try_from_secs_f64(amount * seconds).ok()
}

fn explain(input: &mut Input<'_, '_>) -> ParseResult<Statement> {
    required_keyword(input, "request")?;
    let request = name(input, "request")?;
    Ok(Statement::Explain { request })
}

fn take_domain(input: &mut Input<'_, '_>) -> ParseResult<Statement> {
    required_keyword(input, "domain")?;
    let domain = name(input, "domain")?;
    required_keyword(input, "out")?;
    let if_version = if_version(input)?;
    Ok(Statement::TakeDomain { domain, if_version })
}

fn bring_domain(input: &mut Input<'_, '_>) -> ParseResult<Statement> {
    required_keyword(input, "domain")?;
    let domain = name(input, "domain")?;
    required_keyword(input, "back")?;
    let if_version = if_version(input)?;
    Ok(Statement::BringDomain { domain, if_version })
}

fn drain_server(input: &mut Input<'_, '_>) -> ParseResult<Statement> {
    required_keyword(input, "server")?;
    let server = name(input, "server")?;
    let if_version = if_version(input)?;
    Ok(Statement::DrainServer { server, if_version })
}

fn undrain_server(input: &mut Input<'_, '_>) -> ParseResult<Statement> {
    required_keyword(input, "server")?;
    let server = name(input, "server")?;
    let if_version = if_version(input)?;
    Ok(Statement::UndrainServer { server, if_version })
}

fn rollback(input: &mut Input<'_, '_>) -> ParseResult<Statement> {
    required_keyword(input, "to")?;
    opt(keyword("version")).parse_next(input)?;
    let to = whole_number(input)?;
    let if_version = if_version(input)?;
    Ok(Statement::Rollback { to, if_version })
}

fn if_version(input: &mut Input<'_, '_>) -> ParseResult<Option<u64>> {
    if opt(keyword("if")).parse_next(input)?.is_none() {
        return Ok(None);
    }
    required_keyword(input, "version")?;
    whole_number(input).map(Some)
}
