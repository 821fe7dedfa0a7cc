//! One call without an executor: `cargo run --example one_call -- 127.0.0.1:9090`.

use std::net::SocketAddr;
use std::time::Duration;

use plovershelf_client::{Builder, Invocation, Reply};

fn main() -> Result<(), String> {
    let told: Result<Vec<SocketAddr>, _> = std::env::args().skip(1).map(|word| word.parse()).collect();
    let members = told.map_err(|error| format!("an address like 127.0.0.1:9090 is wanted: {error}"))?;
    let client = Builder::new().members(&members).start()?;
    match client.call_blocking(Invocation::new("quote", &b"body"[..], Duration::from_secs(2))) {
        Reply::Succeeded(result) => println!("{}", String::from_utf8_lossy(&result)),
        other => println!("{other:?}"),
    }
    Ok(())
}
