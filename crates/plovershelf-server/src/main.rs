//! Runs a backend on real sockets.

use std::process::ExitCode;

fn main() -> ExitCode {
    let logs = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    logs.with_max_level(tracing::Level::INFO).init();
    match plovershelf_server::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("plovershelf-server: {message}");
            ExitCode::from(2)
        }
    }
}
