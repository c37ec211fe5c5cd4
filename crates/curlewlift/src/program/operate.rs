//! The `operate` subcommand: runs commands from the arguments, a file or an interactive prompt.

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

/// The text of the interactive prompt.
const PROMPT: &str = "curlewlift> ";

pub(super) fn run(args: &Operate, environment: &Environment) -> Result<(), Refusal> {
    let settings = settings::Operator::new(args, environment)?;
    let operator = Operator::new(settings.name, &settings.key, settings.control);
    let number = args.number.unwrap_or_else(time_based_number);
    if let Some(path) = &args.file {
        return run_script(&operator, number, path);
    }
    if args.line.is_empty() {
        return run_prompt(&operator, number);
    }
    run_line(&operator, number, &args.line.join(" "))
}

/// A command number from the clock, which no earlier command of this operator is likely to have.
fn time_based_number() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Runs one command and prints its response; prints the number of a failed change, so that it can
/// be sent again as the same command.
fn run_line(operator: &Operator, number: u64, line: &str) -> Result<(), Refusal> {
    let is_change = matches!(lang::parse(line)?, lang::Statement::Change(_));
    let response = operator.run(number, line).inspect_err(|_| {
        if is_change {
            eprintln!("command number {number}");
        }
    })?;
    print!("{response}");
    Ok(())
}

/// Runs each line of a file, except empty lines and comments, numbered from `number` on; stops at
/// the first command that is refused.
///
/// Running the same file with the same first number resumes where it stopped.
fn run_script(operator: &Operator, number: u64, path: &str) -> Result<(), Refusal> {
    let text = std::fs::read_to_string(path)
        .map_err(|why| Refusal::new(Code::BadSetting, format!("--file: `{path}`: {why}")))?;
    let lines = text.lines().map(str::trim);
    let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    for (index, line) in lines.enumerate() {
        println!("> {line}");
        run_line(operator, number + index as u64, line)?;
    }
    Ok(())
}

/// Reads commands from an interactive prompt, numbered from `first` on, until end of file.
fn run_prompt(operator: &Operator, first: u64) -> Result<(), Refusal> {
    let prompt_error = |why: ReadlineError| Refusal::new(Code::Internal, why.to_string());
    let mut editor = DefaultEditor::new().map_err(prompt_error)?;
    let mut number = first;
    loop {
        let line = match editor.readline(PROMPT) {
            Ok(line) => line,
            Err(ReadlineError::Eof | ReadlineError::Interrupted) => return Ok(()),
            Err(why) => return Err(prompt_error(why)),
        };
        if line.trim().is_empty() {
            continue;
        }
        let _ = editor.add_history_entry(&line);
        if let Err(refusal) = run_line(operator, number, &line) {
            eprintln!("error {refusal}");
        }
        number += 1;
    }
}
