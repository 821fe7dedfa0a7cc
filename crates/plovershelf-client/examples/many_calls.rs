//! Makes many concurrent calls on the thread that also runs the client's task: `cargo run --example
//! many_calls -- FILE`. FILE lists the endpoints. The client reloads it when it changes.

use std::error::Error;
use std::time::Duration;

use futures_lite::future;
use plovershelf_client::{ClientBuilder, ClientConfig, Request, Response};

fn main() -> Result<(), Box<dyn Error>> {
    let file = std::env::args().nth(1).ok_or("usage: many_calls FILE, where FILE lists the endpoints")?;
    let config = ClientConfig { subset_size: 10, ..ClientConfig::default() };
    let (client, task) = ClientBuilder::new().endpoint_file(file).config(config).build()?;
    let calls = async {
        let request = || Request::new("quote", &b"body"[..], Duration::from_millis(800)).priority(0.2);
        for round in 0..100 {
            let calls: Vec<_> = (0..20).map(|_| client.call(request())).collect();
            let mut succeeded = 0;
            for call in calls {
                succeeded += u32::from(matches!(call.await, Response::Succeeded(_)));
            }
            println!("round {round}: {succeeded} of 20, {:?}", client.counters().await);
        }
        client.close().await;
    };
    async_io::block_on(future::zip(task, calls));
    Ok(())
}
