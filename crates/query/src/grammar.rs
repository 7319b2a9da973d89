//! From text to statements.
//!
//! ```text
//! statement  = show | explain | command
//! show       = "show" subject clause*
//! clause     = "where" condition | "since" duration | "order" "by" key ("," key)* | "limit" number
//! condition  = all ("or" all)*          all = one ("and" one)*
//! one        = "not" one | "(" condition ")" | column sign value
//! explain    = "explain" "request" name
//! command    = ("take" "domain" name "out" | "bring" "domain" name "back"
//!            | "drain" "server" name | "undrain" "server" name
//!            | "roll" "to" "version"? number) ("if" "version" number)?
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
type Parsed<T> = Result<T, ErrMode<Fault>>;

const STARTS: &[&str] = &[
    "show", "explain", "take", "bring", "drain", "undrain", "roll",
];
const CLAUSES: &[&str] = &["where", "since", "order", "limit"];
const MAX_DEPTH: usize = 32;

/// Parses one statement.
pub fn parse(text: &str) -> Result<Statement, QueryError> {
    let tokens = tokens(text);
    let mut input = TokenSlice::new(&tokens);
    statement(&mut input).map_err(|err| {
        let fault = err.into_inner().unwrap_or_default();
        let end = text.trim_end().len();
        QueryError {
            text: text.into(),
            span: fault.span.unwrap_or(end..end),
            message: fault.message,
            suggestion: fault.suggestion,
        }
    })
}

/// A fault at a token, or at the end.
#[derive(Debug, Clone, Default)]
struct Fault {
    span: Option<Range<usize>>,
    message: Box<str>,
    suggestion: Option<Box<str>>,
}

impl<'t, 'a> ParserError<Input<'t, 'a>> for Fault {
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

/// A fault at the next token that ends the parse.
fn fail<T>(input: &Input<'_, '_>, message: impl Into<Box<str>>, known: &[&str]) -> Parsed<T> {
    let next = input.peek_token();
    let near = next.and_then(|token| closest_match(token.text, known.iter().copied()));
    Err(ErrMode::Cut(Fault {
        span: next.map(|token| token.span.clone()),
        message: message.into(),
        suggestion: near.map(Into::into),
    }))
}

fn expected<T>(input: &Input<'_, '_>, known: &[&str]) -> Parsed<T> {
    let list: Vec<String> = known.iter().map(|word| format!("`{word}`")).collect();
    fail(input, format!("expected {}", list.join(", ")), known)
}

/// A keyword; another token is left to the next alternative.
fn keyword<'t, 'a: 't>(word: &'static str) -> impl Parser<Input<'t, 'a>, (), ErrMode<Fault>> {
    any.verify(move |token: &Token<'_>| {
        token.kind == TokenKind::Word && token.text.eq_ignore_ascii_case(word)
    })
    .void()
}

/// A keyword that must come.
fn required(input: &mut Input<'_, '_>, word: &'static str) -> Parsed<()> {
    match opt(keyword(word)).parse_next(input)? {
        Some(()) => Ok(()),
        None => expected(input, &[word]),
    }
}

fn mark<'t, 'a: 't>(text: &'static str) -> impl Parser<Input<'t, 'a>, (), ErrMode<Fault>> {
    any.verify(move |token: &Token<'_>| token.kind == TokenKind::Mark && token.text == text)
        .void()
}

fn name(input: &mut Input<'_, '_>, what: &str) -> Parsed<Box<str>> {
    match input.peek_token() {
        Some(token) if matches!(token.kind, TokenKind::Word | TokenKind::Quoted) => {
            let text = token.text.into();
            input.next_token();
            Ok(text)
        }
        _ => fail(input, format!("expected the name of a {what}"), &[]),
    }
}

fn statement(input: &mut Input<'_, '_>) -> Parsed<Statement> {
    let parsed = opt(alt((
        preceded(keyword("show"), show).map(Statement::Show),
        preceded(keyword("explain"), explain),
        preceded(keyword("take"), take_domain),
        preceded(keyword("bring"), bring_domain),
        preceded(keyword("drain"), drain_server),
        preceded(keyword("undrain"), undrain_server),
        preceded(keyword("roll"), roll),
    )))
    .parse_next(input)?;
    let Some(statement) = parsed else {
        return expected(input, STARTS);
    };
    if input.peek_token().is_some() {
        let is_show = matches!(statement, Statement::Show(_));
        let known: &[&str] = if is_show { CLAUSES } else { &["if"] };
        return fail(input, "unexpected word after the end", known);
    }
    Ok(statement)
}

fn show(input: &mut Input<'_, '_>) -> Parsed<Show> {
    let words: Vec<&str> = Subject::ALL.iter().map(|subject| subject.word()).collect();
    let word = input.peek_token().map(|token| token.text.to_lowercase());
    let Some(subject) = word.and_then(|word| Subject::from_word(&word)) else {
        return expected(input, &words);
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
            required(input, "by")?;
            let key = |input: &mut Input<'_, '_>| order_key(input, subject);
            show.order = separated(1.., key, mark(",")).parse_next(input)?;
        } else if opt(keyword("limit")).parse_next(input)?.is_some() {
            show.limit = Some(count(input)? as usize);
        } else {
            return Ok(show);
        }
    }
}

fn order_key(input: &mut Input<'_, '_>, subject: Subject) -> Parsed<SortKey> {
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

fn condition(input: &mut Input<'_, '_>, subject: Subject, depth: usize) -> Parsed<Condition> {
    if depth > MAX_DEPTH {
        return fail(input, "too many conditions within each other", &[]);
    }
    let one = |input: &mut Input<'_, '_>| single(input, subject, depth);
    let all = separated(1.., one, keyword("and"));
    let all = all.map(|mut list: Vec<Condition>| match list.len() {
        1 => list.remove(0),
        _ => Condition::All(list),
    });
    let any = separated(1.., all, keyword("or"));
    any.map(|mut list: Vec<Condition>| match list.len() {
        1 => list.remove(0),
        _ => Condition::Any(list),
    })
    .parse_next(input)
}

fn single(input: &mut Input<'_, '_>, subject: Subject, depth: usize) -> Parsed<Condition> {
    if opt(keyword("not")).parse_next(input)?.is_some() {
        if depth > MAX_DEPTH {
            return fail(input, "too many conditions within each other", &[]);
        }
        let inner = single(input, subject, depth + 1)?;
        return Ok(Condition::Not(Box::new(inner)));
    }
    if opt(mark("(")).parse_next(input)?.is_some() {
        let inner = condition(input, subject, depth + 1)?;
        return match opt(mark(")")).parse_next(input)? {
            Some(()) => Ok(inner),
            None => expected(input, &[")"]),
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

fn column(input: &mut Input<'_, '_>, subject: Subject) -> Parsed<Column> {
    let columns = subject.columns();
    let found = input.peek_token().and_then(|token| {
        let same = |column: &&Column| column.name.eq_ignore_ascii_case(token.text);
        columns.iter().find(same)
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

fn comparison(input: &mut Input<'_, '_>) -> Parsed<Comparison> {
    const SIGNS: &[&str] = &["=", "!=", "<", "<=", ">", ">=", "~"];
    let comparison = match input.peek_token().map(|token| token.text) {
        Some("=") => Comparison::Equal,
        Some("!=") => Comparison::Unequal,
        Some("<") => Comparison::Less,
        Some("<=") => Comparison::AtMost,
        Some(">") => Comparison::Greater,
        Some(">=") => Comparison::AtLeast,
        Some("~") => Comparison::Contains,
        _ => return expected(input, SIGNS),
    };
    input.next_token();
    Ok(comparison)
}

fn value(input: &mut Input<'_, '_>, column_type: ColumnType) -> Parsed<Value> {
    match column_type {
        ColumnType::Text => name(input, "value").map(Value::Text),
        ColumnType::Number => match input.peek_token().and_then(|token| number_of(token.text)) {
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
            _ => expected(input, &["yes", "no"]),
        }
        .inspect(|_| {
            input.next_token();
        }),
    }
}

fn number_of(text: &str) -> Option<Value> {
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

fn count(input: &mut Input<'_, '_>) -> Parsed<u64> {
    match input.peek_token().and_then(|token| number_of(token.text)) {
        Some(Value::Count(count)) => {
            input.next_token();
            Ok(count)
        }
        _ => fail(input, "expected a whole number", &[]),
    }
}

fn duration(input: &mut Input<'_, '_>) -> Parsed<Duration> {
    match input.peek_token().and_then(|token| duration_of(token.text)) {
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

fn duration_of(text: &str) -> Option<Duration> {
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

fn explain(input: &mut Input<'_, '_>) -> Parsed<Statement> {
    required(input, "request")?;
    let request = name(input, "request")?;
    Ok(Statement::Explain { request })
}

fn take_domain(input: &mut Input<'_, '_>) -> Parsed<Statement> {
    required(input, "domain")?;
    let domain = name(input, "domain")?;
    required(input, "out")?;
    let if_version = if_version(input)?;
    Ok(Statement::TakeDomain { domain, if_version })
}

fn bring_domain(input: &mut Input<'_, '_>) -> Parsed<Statement> {
    required(input, "domain")?;
    let domain = name(input, "domain")?;
    required(input, "back")?;
    let if_version = if_version(input)?;
    Ok(Statement::BringDomain { domain, if_version })
}

fn drain_server(input: &mut Input<'_, '_>) -> Parsed<Statement> {
    required(input, "server")?;
    let server = name(input, "server")?;
    let if_version = if_version(input)?;
    Ok(Statement::DrainServer { server, if_version })
}

fn undrain_server(input: &mut Input<'_, '_>) -> Parsed<Statement> {
    required(input, "server")?;
    let server = name(input, "server")?;
    let if_version = if_version(input)?;
    Ok(Statement::UndrainServer { server, if_version })
}

fn roll(input: &mut Input<'_, '_>) -> Parsed<Statement> {
    required(input, "to")?;
    opt(keyword("version")).parse_next(input)?;
    let to = count(input)?;
    let if_version = if_version(input)?;
    Ok(Statement::Rollback { to, if_version })
}

fn if_version(input: &mut Input<'_, '_>) -> Parsed<Option<u64>> {
    if opt(keyword("if")).parse_next(input)?.is_none() {
        return Ok(None);
    }
    required(input, "version")?;
    count(input).map(Some)
}
