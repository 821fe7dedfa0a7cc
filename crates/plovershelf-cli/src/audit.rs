//! `plovershelf audit`: checks a history that a trial recorded against the guarantees of the group.

use std::path::PathBuf;

use clap::Args;
use plovershelf_simulation::audit;

#[derive(Args)]
pub struct Options {
    /// A history, one JSON object a line.
    history: PathBuf,
    /// One JSON object instead of lines.
    #[arg(long)]
    json: bool,
}

/// Returns exit status 0 if no guarantee was broken, 1 otherwise.
///
/// Errors: the history can't be read.
pub fn run(options: &Options) -> Result<u8, String> {
    let path = options.history.display();
    let text = std::fs::read_to_string(&options.history).map_err(|error| format!("{path}: {error}"))?;
    let events = audit::read(&text).map_err(|error| format!("{path}: {error}"))?;
    let report = audit::judge(&events);
    if options.json {
        let broken: Vec<serde_json::Value> = report
            .broken
            .iter()
            .map(|b| serde_json::json!({"promise": b.promise, "at": b.at, "event": b.event, "told": b.told, "led_by": b.led_by}))
            .collect();
        println!(
            "{}",
            serde_json::json!({"events": events.len(), "views": report.views(), "broken": broken})
        );
    } else {
        println!(
            "{} events, {} views, {} promises broken",
            events.len(),
            report.views(),
            report.broken.len()
        );
        for broken in &report.broken {
            println!(
                "\n{} at {:.0} ms, event {}: {}",
                broken.promise,
                broken.at,
                broken.event + 1,
                broken.told
            );
            for place in &broken.led_by {
                if let Some(event) = events.get(*place) {
                    println!("  event {}: {}", place + 1, serde_json::to_string(event).unwrap_or_default());
                }
            }
        }
    }
    Ok(u8::from(!report.broken.is_empty()))
}
