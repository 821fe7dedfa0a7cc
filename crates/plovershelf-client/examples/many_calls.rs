//! Many calls at once on one thread, the client's task among them: `cargo run --example many_calls -- FILE`, a file
//! that lists members. It is watched: change it while this runs.

use std::time::Duration;

use futures_lite::future;
use plovershelf_client::{Builder, Invocation, Reply, Terms};

fn main() -> Result<(), String> {
    let file = std::env::args().nth(1).ok_or("a file that lists members is wanted")?;
    let terms = Terms { subset: 10, ..Terms::default() };
    let (client, drive) = Builder::new().member_file(file).terms(terms).build()?;
    let ask = async {
        for round in 0..100 {
            let calls: Vec<_> = (0..20)
                .map(|_| {
                    client.call(Invocation::new("quote", &b"body"[..], Duration::from_millis(800)).rank(0.2))
                })
                .collect();
            let mut succeeded = 0;
            for call in calls {
                succeeded += u32::from(matches!(call.await, Reply::Succeeded(_)));
            }
            println!("round {round}: {succeeded} of 20, {:?}", client.counts().await);
        }
        client.close().await;
    };
    async_io::block_on(future::zip(drive, ask));
    Ok(())
}
