//! `plovershelf call`: sends one request to running backends and prints its outcome.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Args;
use plovershelf_client::{ClientBuilder, NotSentReason, Request, Response, MAX_BODY_BYTES};
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

/// Returns exit status 0 if the request succeeded, 1 for any other outcome.
///
/// Errors: an option is invalid, or standard input or output fails.
pub fn run(options: &Options) -> Result<u8, String> {
    if !(0.0..1.0).contains(&options.rank) {
        return Err(format!("--rank {}: a number from 0 to under 1", options.rank));
    }
    let body = match options.body.as_str() {
        "-" => {
            let mut bytes = Vec::new();
            let max_bytes = MAX_BODY_BYTES as u64 + 1;
            let read = std::io::stdin().take(max_bytes).read_to_end(&mut bytes);
            read.map_err(|error| format!("standard input: {error}"))?;
            bytes
        }
        text => text.as_bytes().to_vec(),
    };
    let timeout = Duration::from_millis(options.within_ms);
    let mut request =
        Request::new(&*options.offering, body, timeout).tenant(&*options.tenant).priority(options.rank);
    if let Some(ticket) = &options.ticket {
        request = request.idempotency_key(&**ticket);
    }
    if options.exclusive {
        request = request.non_idempotent();
    }
    let builder = match &options.members {
        Some(file) => ClientBuilder::new().endpoint_file(file),
        None => ClientBuilder::new().endpoints(&options.to),
    };
    let client = builder.start().map_err(|error| error.to_string())?;
    let started = Instant::now();
    let response = client.call_blocking(request);
    let took_ms = started.elapsed().as_secs_f64() * 1000.0;
    let succeeded = matches!(response, Response::Succeeded(_));
    if options.json {
        println!("{}", response_json(&response, took_ms));
    } else if let Response::Succeeded(result) = &response {
        std::io::stdout().write_all(result).map_err(|error| format!("standard output: {error}"))?;
        println!();
    } else {
        eprintln!("plovershelf: {}", response_json(&response, took_ms));
    }
    Ok(u8::from(!succeeded))
}

/// Returns the value of `why` in the JSON output.
fn reason_text(reason: NotSentReason) -> &'static str {
    match reason {
        NotSentReason::LimitReached => "full",
        NotSentReason::Throttled => "throttled",
        NotSentReason::Backpressure => "advised",
        NotSentReason::NoEndpoint => "nobody",
        NotSentReason::Closed => "closed",
    }
}

/// Returns the JSON output for a response.
fn response_json(response: &Response, took_ms: f64) -> serde_json::Value {
    let took_ms = (took_ms * 10.0).round() / 10.0;
    let ms = |span: &Option<Duration>| span.map(|span| span.as_millis() as u64);
    match response {
        Response::Succeeded(result) => {
            json!({"end": "succeeded", "took_ms": took_ms, "result": String::from_utf8_lossy(result)})
        }
        Response::Rejected { retry_after, retry_elsewhere } => {
            json!({"end": "dismissed", "took_ms": took_ms, "come_back_ms": ms(retry_after), "elsewhere_helps": retry_elsewhere})
        }
        Response::Failed { may_have_run } => {
            json!({"end": "scrapped", "took_ms": took_ms, "may_have_run": may_have_run})
        }
        Response::DeadlineExceeded { may_have_run } => {
            json!({"end": "out of time", "took_ms": took_ms, "may_have_run": may_have_run})
        }
        Response::NotSent { reason, retry_after } => {
            json!({"end": "given up", "took_ms": took_ms, "why": reason_text(*reason), "come_back_ms": ms(retry_after)})
        }
        Response::Invalid(reason) => json!({"end": "invalid", "why": reason}),
    }
}
