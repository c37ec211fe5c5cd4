//! The parser of statements.

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
type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// Parses `line` as one statement.
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
/// let error = lang::parse("show serfers").unwrap_err();
/// assert!(error.to_string().contains("column 6"));
/// ```
pub fn parse(line: &str) -> Result<Statement, Refusal> {
    let full_line = delimited(
        multispace0,
        statement,
        (multispace0, expected(eof, "the end of the line")),
    );
    let mut full_line = full_line;
    full_line.parse(line).map_err(|error| {
        let wanted: Vec<_> = error.inner().context().map(ToString::to_string).collect();
        let wanted = if wanted.is_empty() {
            "expected show, create, change, remove, drain, undrain, stop or dry".to_owned()
        } else {
            wanted.join(" or ")
        };
        let column = error.offset() + 1;
        let detail = format!("column {column}: {wanted}\n  {line}\n  {:>column$}", "^");
        Refusal::new(Code::Syntax, detail)
    })
}

fn statement(input: &mut Input<'_>) -> Parsed<Statement> {
    alt((
        preceded(keyword("show"), cut_err(query)).map(Statement::Query),
        preceded(keyword("dry"), cut_err(change)).map(Statement::Dry),
        change.map(Statement::Change),
    ))
    .parse_next(input)
}

fn change(input: &mut Input<'_>) -> Parsed<Change> {
    let commands = "create, change, remove, drain, undrain or stop";
    expected(alt((create, alter, remove, drain, undrain, stop)), commands).parse_next(input)
}

fn create(input: &mut Input<'_>) -> Parsed<Change> {
    let (kind, name, fields) =
        preceded(keyword("create"), cut_err((kind, name, fields))).parse_next(input)?;
    Ok(Change::Create { kind, name, fields })
}

fn alter(input: &mut Input<'_>) -> Parsed<Change> {
    let (kind, name, fields) =
        preceded(keyword("change"), cut_err((kind, name, fields))).parse_next(input)?;
    Ok(Change::Alter { kind, name, fields })
}

fn remove(input: &mut Input<'_>) -> Parsed<Change> {
    let (kind, name) = preceded(keyword("remove"), cut_err((kind, name))).parse_next(input)?;
    Ok(Change::Remove { kind, name })
}

fn drain(input: &mut Input<'_>) -> Parsed<Change> {
    mark("drain", State::Leaving, input)
}

fn undrain(input: &mut Input<'_>) -> Parsed<Change> {
    mark("undrain", State::Live, input)
}

fn stop(input: &mut Input<'_>) -> Parsed<Change> {
    mark("stop", State::Stopping, input)
}

fn mark(verb: &'static str, state: State, input: &mut Input<'_>) -> Parsed<Change> {
    let (kind, name) = preceded(keyword(verb), cut_err((kind, name))).parse_next(input)?;
    Ok(Change::Mark { kind, name, state })
}

fn kind(input: &mut Input<'_>) -> Parsed<Kind> {
    let kinds = "customer, host, operator, server, service or tier";
    expected(lexeme(text.verify_map(|word| word.parse().ok())), kinds).parse_next(input)
}

fn name(input: &mut Input<'_>) -> Parsed<String> {
    expected(lexeme(text), "a name")
        .map(str::to_owned)
        .parse_next(input)
}

fn fields(input: &mut Input<'_>) -> Parsed<Vec<Field>> {
    repeat(0.., field).parse_next(input)
}

fn field(input: &mut Input<'_>) -> Parsed<Field> {
    let name = terminated(text, (multispace0, '=', multispace0)).parse_next(input)?;
    let value = expected(cut_err(lexeme(value)), "a value").parse_next(input)?;
    Ok(Field {
        name: name.to_owned(),
        value,
    })
}

fn query(input: &mut Input<'_>) -> Parsed<Query> {
    let subjects =
        "customers, hosts, operators, servers, services, tiers, revision, audit, view or replicas";
    let subject = expected(subject, subjects).parse_next(input)?;
    let conditions = opt(preceded(keyword("where"), cut_err(conditions))).parse_next(input)?;
    let sort = opt(preceded((keyword("sort"), keyword("by")), cut_err(sort))).parse_next(input)?;
    let columns = opt(preceded(keyword("columns"), cut_err(columns))).parse_next(input)?;
    let format = opt(preceded(keyword("as"), cut_err(format))).parse_next(input)?;
    Ok(Query {
        subject,
        conditions: conditions.unwrap_or_default(),
        sort,
        columns: columns.unwrap_or_default(),
        format: format.unwrap_or_default(),
    })
}

fn subject(input: &mut Input<'_>) -> Parsed<Subject> {
    lexeme(text.verify_map(Subject::from_keyword)).parse_next(input)
}

fn conditions(input: &mut Input<'_>) -> Parsed<Vec<Condition>> {
    separated(1.., condition, keyword("and")).parse_next(input)
}

fn condition(input: &mut Input<'_>) -> Parsed<Condition> {
    let field = name(input)?;
    let relation = expected(lexeme(relation), "=, !=, < or >").parse_next(input)?;
    let value = expected(lexeme(value), "a value").parse_next(input)?;
    Ok(Condition {
        field,
        relation,
        value,
    })
}

fn relation(input: &mut Input<'_>) -> Parsed<Relation> {
    alt((
        "!=".value(Relation::Differs),
        "=".value(Relation::Equal),
        "<".value(Relation::Less),
        ">".value(Relation::Greater),
    ))
    .parse_next(input)
}

fn sort(input: &mut Input<'_>) -> Parsed<(String, bool)> {
    let column = name(input)?;
    let descending = opt(keyword("down")).parse_next(input)?;
    Ok((column, descending.is_some()))
}

fn columns(input: &mut Input<'_>) -> Parsed<Vec<String>> {
    separated(1.., name, lexeme(",")).parse_next(input)
}

fn format(input: &mut Input<'_>) -> Parsed<Format> {
    let formats = alt((
        keyword("json").value(Format::Json),
        keyword("table").value(Format::Table),
    ));
    expected(formats, "json or table").parse_next(input)
}

fn value(input: &mut Input<'_>) -> Parsed<Value> {
    alt((list, quoted, text.map(scalar))).parse_next(input)
}

fn list(input: &mut Input<'_>) -> Parsed<Value> {
    let items = separated(0.., lexeme(alt((quoted, text.map(scalar)))), lexeme(","));
    delimited(lexeme("["), items, "]")
        .map(Value::Array)
        .parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> Parsed<Value> {
    let content = take_while(0.., |c: char| c != '"');
    delimited('"', content, '"')
        .map(|text: &str| Value::from(text))
        .parse_next(input)
}

/// A boolean, a number or, if it is neither, a string.
fn scalar(text: &str) -> Value {
    match text {
        "true" => Value::from(true),
        "false" => Value::from(false),
        _ => text
            .parse::<u64>()
            .map_or_else(|_| Value::from(text), Value::from),
    }
}

fn text<'a>(input: &mut Input<'a>) -> Parsed<&'a str> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    take_while(1.., allowed).parse_next(input)
}

/// Parses `keyword` and the space after it.
fn keyword<'a>(keyword: &'static str) -> impl Parser<Input<'a>, (), ErrMode<ContextError>> {
    let end_of_word = alt((multispace1, eof));
    (keyword, end_of_word).void()
}

/// Parses `inner` and the space after it.
fn lexeme<'a, T>(
    inner: impl Parser<Input<'a>, T, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, T, ErrMode<ContextError>> {
    terminated(inner, multispace0)
}

/// Describes what `inner` parses, for the error message.
fn expected<'a, T>(
    inner: impl Parser<Input<'a>, T, ErrMode<ContextError>>,
    description: &'static str,
) -> impl Parser<Input<'a>, T, ErrMode<ContextError>> {
    inner.context(StrContext::Expected(StrContextValue::Description(
        description,
    )))
}
