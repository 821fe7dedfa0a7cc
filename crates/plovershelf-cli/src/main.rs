//! The `plovershelf` command, with one module per sub-command. No sub-command is interactive.

mod audit;
mod call;
mod config;
mod control;
mod copies;
mod demo;
mod group;
mod hollow;
mod load;
mod member_options;
mod trial;
mod zones;

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};
use tracing_subscriber::EnvFilter;

/// Admission and scheduling for servers behind balancers they do not control: callers, trials, a demonstration.
#[derive(Parser)]
#[command(name = "plovershelf", version)]
struct Arguments {
    /// The form of the log on standard error; PLOVERSHELF_LOG filters it, as in `plovershelf_client=debug`.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// One backend among stand-ins, and callers whose demand rises past its cores; ends with an account of the four rules.
    Demo(demo::Options),
    /// One invocation to running backends.
    Call(call::Options),
    /// A group of backends: who is in it, what it decided, and the commands that change it by hand.
    Group(group::Options),
    /// What a member holds for others: how much, with how many copies, and what of one ticket.
    Copies(copies::Options),
    /// The plan of zones: what stays near, goes where, is cut; and an operator's word on it.
    Zones(zones::Options),
    /// Tenants' quotas as numbered changes: proposes one, and tells where the newest is in force.
    Config(config::Options),
    /// A member of a group without a front, for a machine set aside for control; ends on SIGTERM.
    Control(control::Options),
    /// Judges a history that a trial left.
    Audit(audit::Options),
    /// Many members of a group in one process, without a front and without work; trials start it.
    #[command(hide = true)]
    Hollow(hollow::Options),
    /// Measures a claim on real processes; `plovershelf trial --list` names all.
    Trial(trial::Options),
}

/// Starts logging to standard error with the filter of `PLOVERSHELF_LOG`, or `default_filter` if it is not set.
fn init_logging(format: LogFormat, default_filter: &str) {
    let filter =
        EnvFilter::try_from_env("PLOVERSHELF_LOG").unwrap_or_else(|_| EnvFilter::new(default_filter));
    let subscriber =
        tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_env_filter(filter);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
}

/// Returns clap's error message in one line, without the usage that follows it.
fn one_line(message: &str) -> String {
    let cause = message.split("\n\nUsage").next().unwrap_or(message);
    let words: Vec<&str> = cause.trim_start_matches("error: ").split_whitespace().collect();
    format!(
        "{}; `plovershelf --help` has the arguments",
        words.join(" ").trim_end_matches("For more information, try '--help'.")
    )
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        // Requested help and the version go to standard output; errors go to standard error in one line.
        Err(help) if !help.use_stderr() => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("plovershelf: {}", one_line(&error.to_string()));
            return ExitCode::from(2);
        }
    };
    // A long-running service logs its actions; the other commands log warnings and errors only.
    let is_service = matches!(arguments.command, Command::Control(_));
    init_logging(arguments.log_format, if is_service { "info" } else { "warn" });
    let result = match arguments.command {
        Command::Demo(options) => demo::run(&options),
        Command::Call(options) => call::run(&options),
        Command::Group(options) => group::run(&options),
        Command::Copies(options) => copies::run(&options),
        Command::Zones(options) => zones::run(&options),
        Command::Config(options) => config::run(&options),
        Command::Control(options) => control::run(&options),
        Command::Audit(options) => audit::run(&options),
        Command::Hollow(options) => hollow::run(&options),
        Command::Trial(options) => trial::run(&options),
    };
    match result {
        Ok(status) => ExitCode::from(status),
        Err(message) => {
            eprintln!("plovershelf: {message}");
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
mod tests;
