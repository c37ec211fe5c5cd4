//! Reads one statement.

use serde_json::Value;
use winnow::Parser;
use winnow::Result;
use winnow::ascii::multispace0;
use winnow::ascii::multispace1;
use winnow::combinator::alt;
use winnow::combinator::cut_err;
use winnow::combinator::delimited;
use winnow::combinator::eof;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::combinator::separated;
use winnow::combinator::terminated;
use winnow::error::ContextError;
use winnow::error::ErrMode;
use winnow::error::StrContext;
use winnow::error::StrContextValue;
use winnow::token::take_while;

use crate::code::Code;
use crate::code::Refusal;
use crate::config::Change;
use crate::config::Field;
use crate::config::Kind;
use crate::config::State;

use super::Condition;
use super::Format;
use super::Query;
use super::Relation;
use super::Statement;
use super::Subject;

type Input<'a> = &'a str;
type Read<T> = Result<T, ErrMode<ContextError>>;

/// Reads `line` as one statement.
///
/// # Errors
///
/// [`Code::Syntax`], with the column and what was expected there.
///
/// # Examples
///
/// ```
/// use curlewlift_core::lang;
/// assert!(lang::parse("show servers where hall = waw-a sort by name as json").is_ok());
/// let why = lang::parse("show serfers").unwrap_err();
/// assert!(why.to_string().contains("column 6"));
/// ```
pub fn parse(line: &str) -> Result<Statement, Refusal> {
    let whole = delimited(
        multispace0,
        statement,
        (multispace0, expected(eof, "the end of the line")),
    );
    let mut whole = whole;
    whole.parse(line).map_err(|why| {
        let wanted: Vec<_> = why.inner().context().map(ToString::to_string).collect();
        let wanted = if wanted.is_empty() {
            "expected show, create, change, remove, drain, undrain, stop or dry".to_owned()
        } else {
            wanted.join(" or ")
        };
        let column = why.offset() + 1;
        let detail = format!("column {column}: {wanted}\n  {line}\n  {:>column$}", "^");
        Refusal::new(Code::Syntax, detail)
    })
}

fn statement(input: &mut Input<'_>) -> Read<Statement> {
    alt((
        preceded(word("show"), cut_err(query)).map(Statement::Query),
        preceded(word("dry"), cut_err(change)).map(Statement::Dry),
        change.map(Statement::Change),
    ))
    .parse_next(input)
}

fn change(input: &mut Input<'_>) -> Read<Change> {
    let verbs = "create, change, remove, drain, undrain or stop";
    expected(alt((create, alter, remove, drain, undrain, stop)), verbs).parse_next(input)
}

fn create(input: &mut Input<'_>) -> Read<Change> {
    let (kind, name, fields) =
        preceded(word("create"), cut_err((kind, name, fields))).parse_next(input)?;
    Ok(Change::Create { kind, name, fields })
}

fn alter(input: &mut Input<'_>) -> Read<Change> {
    let (kind, name, fields) =
        preceded(word("change"), cut_err((kind, name, fields))).parse_next(input)?;
    Ok(Change::Alter { kind, name, fields })
}

fn remove(input: &mut Input<'_>) -> Read<Change> {
    let (kind, name) = preceded(word("remove"), cut_err((kind, name))).parse_next(input)?;
    Ok(Change::Remove { kind, name })
}

fn drain(input: &mut Input<'_>) -> Read<Change> {
    mark("drain", State::Leaving, input)
}

fn undrain(input: &mut Input<'_>) -> Read<Change> {
    mark("undrain", State::Live, input)
}

fn stop(input: &mut Input<'_>) -> Read<Change> {
    mark("stop", State::Stopping, input)
}

fn mark(verb: &'static str, state: State, input: &mut Input<'_>) -> Read<Change> {
    let (kind, name) = preceded(word(verb), cut_err((kind, name))).parse_next(input)?;
    Ok(Change::Mark { kind, name, state })
}

fn kind(input: &mut Input<'_>) -> Read<Kind> {
    let kinds = "customer, host, operator, server, service or tier";
    expected(lexeme(text.verify_map(|word| word.parse().ok())), kinds).parse_next(input)
}

fn name(input: &mut Input<'_>) -> Read<String> {
    expected(lexeme(text), "a name")
        .map(str::to_owned)
        .parse_next(input)
}

fn fields(input: &mut Input<'_>) -> Read<Vec<Field>> {
    repeat(0.., field).parse_next(input)
}

fn field(input: &mut Input<'_>) -> Read<Field> {
    let name = terminated(text, (multispace0, '=', multispace0)).parse_next(input)?;
    let value = expected(cut_err(lexeme(value)), "a value").parse_next(input)?;
    Ok(Field {
        name: name.to_owned(),
        value,
    })
}

fn query(input: &mut Input<'_>) -> Read<Query> {
    let subjects =
        "customers, hosts, operators, servers, services, tiers, revision, audit, view or replicas";
    let subject = expected(subject, subjects).parse_next(input)?;
    let conditions = opt(preceded(word("where"), cut_err(conditions))).parse_next(input)?;
    let sort = opt(preceded((word("sort"), word("by")), cut_err(sort))).parse_next(input)?;
    let columns = opt(preceded(word("columns"), cut_err(columns))).parse_next(input)?;
    let format = opt(preceded(word("as"), cut_err(format))).parse_next(input)?;
    Ok(Query {
        subject,
        conditions: conditions.unwrap_or_default(),
        sort,
        columns: columns.unwrap_or_default(),
        format: format.unwrap_or_default(),
    })
}

fn subject(input: &mut Input<'_>) -> Read<Subject> {
    lexeme(text.verify_map(Subject::from_word)).parse_next(input)
}

fn conditions(input: &mut Input<'_>) -> Read<Vec<Condition>> {
    separated(1.., condition, word("and")).parse_next(input)
}

fn condition(input: &mut Input<'_>) -> Read<Condition> {
    let field = name(input)?;
    let relation = expected(lexeme(relation), "=, !=, < or >").parse_next(input)?;
    let value = expected(lexeme(value), "a value").parse_next(input)?;
    Ok(Condition {
        field,
        relation,
        value,
    })
}

fn relation(input: &mut Input<'_>) -> Read<Relation> {
    alt((
        "!=".value(Relation::Differs),
        "=".value(Relation::Equal),
        "<".value(Relation::Less),
        ">".value(Relation::Greater),
    ))
    .parse_next(input)
}

fn sort(input: &mut Input<'_>) -> Read<(String, bool)> {
    let column = name(input)?;
    let down = opt(word("down")).parse_next(input)?;
    Ok((column, down.is_some()))
}

fn columns(input: &mut Input<'_>) -> Read<Vec<String>> {
    separated(1.., name, lexeme(",")).parse_next(input)
}

fn format(input: &mut Input<'_>) -> Read<Format> {
    let formats = alt((
        word("json").value(Format::Json),
        word("table").value(Format::Table),
    ));
    expected(formats, "json or table").parse_next(input)
}

fn value(input: &mut Input<'_>) -> Read<Value> {
    alt((list, quoted, text.map(scalar))).parse_next(input)
}

fn list(input: &mut Input<'_>) -> Read<Value> {
    let items = separated(0.., lexeme(alt((quoted, text.map(scalar)))), lexeme(","));
    delimited(lexeme("["), items, "]")
        .map(Value::Array)
        .parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Read<Value> {
    let inside = take_while(0.., |c: char| c != '"');
    delimited('"', inside, '"')
        .map(|text: &str| Value::from(text))
        .parse_next(input)
}

/// A number, a truth value or, failing both, a text.
fn scalar(text: &str) -> Value {
    match text {
        "true" => Value::from(true),
        "false" => Value::from(false),
        _ => text
            .parse::<u64>()
            .map_or_else(|_| Value::from(text), Value::from),
    }
}

fn text<'a>(input: &mut Input<'a>) -> Read<&'a str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    take_while(1.., allowed).parse_next(input)
}

/// The word `exact`, and the space after it.
fn word<'a>(exact: &'static str) -> impl Parser<Input<'a>, (), ErrMode<ContextError>> {
    let ends = alt((multispace1, eof));
    (exact, ends).void()
}

/// What `inner` reads, and the space after it.
fn lexeme<'a, T>(
    inner: impl Parser<Input<'a>, T, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, T, ErrMode<ContextError>> {
    terminated(inner, multispace0)
}

/// Names what `inner` reads, for the error message.
fn expected<'a, T>(
    inner: impl Parser<Input<'a>, T, ErrMode<ContextError>>,
    what: &'static str,
) -> impl Parser<Input<'a>, T, ErrMode<ContextError>> {
    inner.context(StrContext::Expected(StrContextValue::Description(what)))
}
