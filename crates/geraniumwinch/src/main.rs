//! Command-line program that runs the system's processes and the operators' commands.

mod api_client;
mod cli_error;
mod command_table;
mod commands;
mod job_history;
mod log_line;
mod log_setup;
mod stdout_appender;

use std::process::ExitCode;

use self::cli_error::CliError;
use self::command_table::COMMANDS;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = run(&arguments);
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs the command that the first argument names.
fn run(arguments: &[String]) -> cli_error::Result<()> {
    let Some((first, rest)) = arguments.split_first() else {
        print!("{}", command_table::overview());
        return Err(CliError::Usage { message: "no command specified".to_owned() });
    };
    match first.as_str() {
        "--help" | "-h" | "help" => {
            print!("{}", command_table::overview());
            return Ok(());
        }
        "--version" | "-V" => {
            println!("geraniumwinch {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        _ => {}
    }
    let command = COMMANDS.iter().find(|command| command.name == first);
    let Some(command) = command else {
        let message =
            format!("unknown command `{first}`; hint: see `geraniumwinch --help`");
        return Err(CliError::Usage { message });
    };
    let mut options = (command.options)();
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(rest)
        .map_err(|error| CliError::Usage { message: error.to_string() })?;
    if matches.opt_present("help") {
        print!("{}", options.usage(&command.brief()));
        return Ok(());
    }
    (command.run)(&matches)
}
