//! `plovershelf call`: one invocation to running backends, with what they say of it.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Args;
use plovershelf_client::{Builder, Invocation, Reply};
use serde_json::json;

#[derive(Args)]
pub struct Options {
    /// A backend; may be told more than once.
    #[arg(long = "to", value_name = "ADDRESS", required_unless_present = "members")]
    to: Vec<SocketAddr>,
    /// A file that lists backends, an address a line.
    #[arg(long, value_name = "FILE", conflicts_with = "to")]
    members: Option<PathBuf>,
    /// The offering, as the backends' settings name it.
    offering: String,
    /// The body; `-` reads it from standard input.
    #[arg(default_value = "")]
    body: String,
    #[arg(long, default_value = "")]
    tenant: String,
    /// How long to wait, in milliseconds.
    #[arg(long, default_value_t = 2000)]
    within_ms: u64,
    /// It may be sent again with this mark.
    #[arg(long, conflicts_with = "exclusive")]
    ticket: Option<String>,
    /// It may run once only.
    #[arg(long)]
    exclusive: bool,
    /// From 0 to under 1, the lowest first to go.
    #[arg(long, default_value_t = 0.5)]
    rank: f64,
    /// One JSON object instead of the result's bytes.
    #[arg(long)]
    json: bool,
}

/// Exit statuses: 0 succeeded, 1 any other end.
pub fn run(options: &Options) -> Result<u8, String> {
    if !(0.0..1.0).contains(&options.rank) {
        return Err(format!("--rank {}: a number from 0 to under 1", options.rank));
    }
    let body = match options.body.as_str() {
        "-" => {
            let mut bytes = Vec::new();
            let most = plovershelf_client::transport::LONGEST_BODY as u64 + 1;
            let read = std::io::stdin().take(most).read_to_end(&mut bytes);
            read.map_err(|error| format!("standard input: {error}"))?;
            bytes
        }
        text => text.as_bytes().to_vec(),
    };
    let within = Duration::from_millis(options.within_ms);
    let mut invocation =
        Invocation::new(&*options.offering, body, within).tenant(&*options.tenant).rank(options.rank);
    if let Some(ticket) = &options.ticket {
        invocation = invocation.ticketed(&**ticket);
    }
    if options.exclusive {
        invocation = invocation.exclusive();
    }
    let builder = match &options.members {
        Some(file) => Builder::new().member_file(file),
        None => Builder::new().members(&options.to),
    };
    let client = builder.start()?;
    let began = Instant::now();
    let reply = client.call_blocking(invocation);
    let took_ms = began.elapsed().as_secs_f64() * 1000.0;
    let well = matches!(reply, Reply::Succeeded(_));
    if options.json {
        println!("{}", told(&reply, took_ms));
    } else if let Reply::Succeeded(result) = &reply {
        std::io::stdout().write_all(result).map_err(|error| format!("standard output: {error}"))?;
        println!();
    } else {
        eprintln!("plovershelf: {}", told(&reply, took_ms));
    }
    Ok(u8::from(!well))
}

fn told(reply: &Reply, took_ms: f64) -> serde_json::Value {
    let took_ms = (took_ms * 10.0).round() / 10.0;
    let ms = |span: &Option<Duration>| span.map(|span| span.as_millis() as u64);
    match reply {
        Reply::Succeeded(result) => {
            json!({"end": "succeeded", "took_ms": took_ms, "result": String::from_utf8_lossy(result)})
        }
        Reply::Dismissed { come_back, last } => {
            json!({"end": "dismissed", "took_ms": took_ms, "come_back_ms": ms(come_back), "elsewhere_helps": !last})
        }
        Reply::Scrapped { may_have_run } => {
            json!({"end": "scrapped", "took_ms": took_ms, "may_have_run": may_have_run})
        }
        Reply::OutOfTime { may_have_run } => {
            json!({"end": "out of time", "took_ms": took_ms, "may_have_run": may_have_run})
        }
        Reply::GivenUp { why, come_back } => {
            json!({"end": "given up", "took_ms": took_ms, "why": format!("{why:?}").to_lowercase(), "come_back_ms": ms(come_back)})
        }
        Reply::Invalid(what) => json!({"end": "invalid", "why": what}),
    }
}
