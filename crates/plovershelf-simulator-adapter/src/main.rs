//! Hosts backends on the simulator's wire: batches of events in on standard input, one reply each on standard
//! output.
//!
//! - `action`: what the decisions return, as actions of the wire.
//! - `error`: why the adapter stops.
//! - `event`: events of the wire, as inputs of the decisions.
//! - `frame`: frames and records.
//! - `host`: the backends of this process, by instance.

mod action;
mod error;
mod event;
mod frame;
mod host;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use error::AdapterError;

const BUFFER_BYTES: usize = 1 << 20;

fn serve() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = host::Host::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        frame::write_reply(&mut output, &host.handle_batch(&batch)?)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plovershelf-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
