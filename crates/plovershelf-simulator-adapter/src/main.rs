//! Hosts backends for the simulator: reads batches of events from standard input and writes one reply each to standard
//! output.
//!
//! - `action`: encodes the effects of decisions as actions of the wire format.
//! - `error`: errors that stop the adapter.
//! - `event`: decodes events of the wire format.
//! - `frame`: reads and writes frames and records.
//! - `host`: the backends of this process, by instance number.

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
