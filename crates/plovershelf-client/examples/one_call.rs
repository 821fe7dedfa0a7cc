//! Makes one call without an executor: `cargo run --example one_call -- 127.0.0.1:9090`.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use plovershelf_client::{ClientBuilder, Request, Response};

fn main() -> Result<(), Box<dyn Error>> {
    let parsed: Result<Vec<SocketAddr>, _> =
        std::env::args().skip(1).map(|argument| argument.parse()).collect();
    let endpoints = parsed.map_err(|error| format!("expected addresses such as 127.0.0.1:9090: {error}"))?;
    let client = ClientBuilder::new().endpoints(&endpoints).start()?;
    match client.call_blocking(Request::new("quote", &b"body"[..], Duration::from_secs(2))) {
        Response::Succeeded(result) => println!("{}", String::from_utf8_lossy(&result)),
        other => println!("{other:?}"),
    }
    Ok(())
}
