//! The operators' client: a line, a file, or a prompt.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::lang;
use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

use crate::Operator;
use crate::settings;
use crate::settings::Environment;
use crate::settings::Operate;

/// The prompt.
const PROMPT: &str = "curlewlift> ";

pub(super) fn run(args: &Operate, environment: &Environment) -> Result<(), Refusal> {
    let settings = settings::Operator::new(args, environment)?;
    let operator = Operator::new(settings.name, &settings.key, settings.control);
    let number = args.number.unwrap_or_else(by_time);
    if let Some(path) = &args.file {
        return script(&operator, number, path);
    }
    if args.line.is_empty() {
        return prompt(&operator, number);
    }
    give(&operator, number, &args.line.join(" "))
}

/// A number that no earlier command of this operator is likely to have.
fn by_time() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn give(operator: &Operator, number: u64, line: &str) -> Result<(), Refusal> {
    let is_change = matches!(lang::parse(line)?, lang::Statement::Change(_));
    let answer = operator.run(number, line).inspect_err(|_| {
        if is_change {
            eprintln!("command number {number}");
        }
    })?;
    print!("{answer}");
    Ok(())
}

/// Gives each line of a file that is not empty and no comment, numbered from `number` on; stops at
/// the first that is refused. The same file with the same first number resumes where it stopped.
fn script(operator: &Operator, number: u64, path: &str) -> Result<(), Refusal> {
    let text = std::fs::read_to_string(path)
        .map_err(|why| Refusal::new(Code::BadSetting, format!("--file: `{path}`: {why}")))?;
    let lines = text.lines().map(str::trim);
    let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    for (place, line) in lines.enumerate() {
        println!("> {line}");
        give(operator, number + place as u64, line)?;
    }
    Ok(())
}

fn prompt(operator: &Operator, first: u64) -> Result<(), Refusal> {
    let no_prompt = |why: ReadlineError| Refusal::new(Code::Internal, why.to_string());
    let mut editor = DefaultEditor::new().map_err(no_prompt)?;
    let mut number = first;
    loop {
        let line = match editor.readline(PROMPT) {
            Ok(line) => line,
            Err(ReadlineError::Eof | ReadlineError::Interrupted) => return Ok(()),
            Err(why) => return Err(no_prompt(why)),
        };
        if line.trim().is_empty() {
            continue;
        }
        let _ = editor.add_history_entry(&line);
        if let Err(refusal) = give(operator, number, &line) {
            eprintln!("error {refusal}");
        }
        number += 1;
    }
}
