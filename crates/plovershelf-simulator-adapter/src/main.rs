//! Hosts backends on the bench's wire: frames in on standard input, one reply each on standard output.

mod frame;
mod host;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = host::Host::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let reply = host.answer(&batch)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing a reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("plovershelf-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
