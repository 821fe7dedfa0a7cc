//! `plovershelf zones`: shows the failover plan that members follow, and has the commands by which an operator overrides it.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, Subcommand};
use comfy_table::{presets, Table};
use plovershelf_cluster::status::{Answer, Question};
use plovershelf_cluster::wire::{decode, encode_payload};
use plovershelf_failover::{
    Forecast, Request, Response, ShiftRequest, Status, TrafficPlan, Zone, ZoneForecast, PRIORITY_BANDS,
};

use crate::group::ask;
use crate::member_options::{Member, MemberOptions};

#[derive(Args)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    member: MemberOptions,
}

#[derive(Subcommand)]
enum Command {
    /// The plan that this member acts by: what of each zone stays near, goes where, is cut; shifts; the last changes.
    Status,
    /// What the plan would come to with zones shifted, and who would be how full; nothing is done. Asked of the leader.
    Plan {
        #[arg(long, value_delimiter = ',')]
        without: Vec<String>,
    },
    /// Sends a zone's traffic elsewhere for a while, in steps; ends by itself. Asked of the leader, on its machine. Refused where
    /// the others can't carry it.
    Shift {
        zone: String,
        /// As in 90s, 30m, 2h.
        #[arg(long = "for", value_parser = span_ms)]
        for_ms: f64,
        #[arg(long)]
        why: String,
        /// Also where the others can't carry it.
        #[arg(long)]
        force: bool,
    },
    /// Ends a shift before its time.
    Return { zone: String },
    /// Keeps the plan as it is for a while, whatever is seen.
    Hold {
        #[arg(long = "for", value_parser = span_ms)]
        for_ms: f64,
    },
}

const MAX_SPAN_MS: f64 = 7.0 * 86_400_000.0;

/// Parses a span with its unit, such as 90s, 30m or 2h, to milliseconds.
fn span_ms(text: &str) -> Result<f64, String> {
    let unit = |unit: &str| match unit {
        "s" => Some(1000.0),
        "m" => Some(60_000.0),
        "h" => Some(3_600_000.0),
        _ => None,
    };
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let number_and_unit = text[..unit_start].parse::<f64>().ok().zip(unit(&text[unit_start..]));
    number_and_unit
        .map(|(number, unit)| number * unit)
        .filter(|ms| *ms >= 1000.0 && *ms <= MAX_SPAN_MS)
        .ok_or_else(|| "a span from 1s to 168h, as 90s, 30m or 2h".into())
}

/// Sends a failover request to one member.
///
/// Errors: the member can't be queried, or has no zones configured. The text is one line.
pub async fn ask_zones(
    at: SocketAddr,
    group: &str,
    request: &Request,
    timeout: Duration,
) -> Result<Response, String> {
    let question = Question::Part { part: "zones".into(), bytes: encode_payload(request) };
    match ask(at, group, question, timeout).await? {
        Answer::Part(bytes) => decode(&bytes).map_err(|error| format!("{at}: {error}")),
        Answer::Refused(reason) => Ok(Response::Refused(reason)),
        _ => Err(format!("{at}: unexpected answer")),
    }
}

/// Returns exit status 0 on success, 1 if the member refused.
///
/// Errors: the member could not be queried.
pub fn run(options: &Options) -> Result<u8, String> {
    let Member { address: at, cluster: name } = options.member.member()?;
    let operator = std::env::var("USER").unwrap_or_else(|_| "somebody".into());
    let request = match &options.command {
        Command::Status => Request::Status,
        Command::Plan { without } => Request::Forecast { zones: without.clone() },
        Command::Shift { zone, for_ms, why, force } => Request::Shift(ShiftRequest {
            zone: zone.clone(),
            duration_ms: *for_ms,
            reason: why.clone(),
            operator,
            is_forced: *force,
        }),
        Command::Return { zone } => Request::EndShift { zone: zone.clone() },
        Command::Hold { for_ms } => Request::Hold { duration_ms: *for_ms },
    };
    let timeout = Duration::from_secs(10);
    let response = async_io::block_on(ask_zones(at, &name, &request, timeout))?;
    if options.member.json {
        println!("{}", serde_json::to_string(&response).map_err(|error| error.to_string())?);
        return Ok(u8::from(matches!(response, Response::Refused(_))));
    }
    match response {
        Response::Status(status) => println!("{}", status_text(&status)),
        Response::Forecast(forecast) => {
            let Response::Status(status) =
                async_io::block_on(ask_zones(at, &name, &Request::Status, timeout))?
            else {
                return Err(format!("{at}: unexpected answer"));
            };
            println!(
                "{}\n{}",
                plan_table(&status.zones, &forecast.plan),
                forecast_text(&status.zones, &forecast)
            );
        }
        Response::Done(message) => println!("{message}"),
        Response::Refused(reason) => {
            eprintln!("plovershelf: refused: {reason}");
            return Ok(1);
        }
    }
    Ok(0)
}

/// Returns a table with one row per zone and priority band: the shares of its demand that go to each zone or are rejected.
fn plan_table(zones: &[Zone], plan: &TrafficPlan) -> Table {
    let mut table = Table::new();
    let bands = ["low", "ordinary", "high"];
    let first_columns = ["of", "rank"].map(str::to_string).into_iter();
    table.load_preset(presets::NOTHING);
    table.set_header(
        first_columns.chain(zones.iter().map(|zone| format!("to {}", zone.name))).chain(["cut".to_string()]),
    );
    for (from, zone) in zones.iter().enumerate() {
        for band in (0..PRIORITY_BANDS).rev() {
            let share = |to: usize| match plan.share(from, band, to) {
                share if share < 0.0005 => String::new(),
                share => format!("{:.1} %", share * 100.0),
            };
            let labels = [zone.name.clone(), bands[band].to_string()].into_iter();
            table.add_row(labels.chain((0..=zones.len()).map(share)));
        }
    }
    table
}

fn forecast_text(zones: &[Zone], forecast: &Forecast) -> String {
    let line = |(zone, forecast): (&Zone, &ZoneForecast)| {
        let ZoneForecast { demand, carried, capacity } = forecast;
        format!(
            "{} ({}): asked {demand:.1}, would carry {carried:.1} of {capacity:.1} cores",
            zone.name, zone.region
        )
    };
    let mut lines: Vec<String> = zones.iter().zip(&forecast.zones).map(line).collect();
    lines.push(format!("{:.1} % of all would be cut", forecast.rejected_fraction * 100.0));
    lines.join("\n")
}

fn status_text(status: &Status) -> String {
    let mut lines = vec![
        format!(
            "member {} in zone {}, led by {}",
            status.name,
            status.zone,
            status.leader.as_deref().unwrap_or("nobody that is known")
        ),
        if status.is_active {
            format!(
                "acts by plan {} ({}), for {:.1} s more",
                status.plan.revision,
                status.plan.reason,
                status.remaining_ms / 1000.0
            )
        } else {
            "ACTS BY NO PLAN: all near, what is too much is cut".into()
        },
        plan_table(&status.zones, &status.plan).to_string(),
    ];
    for shift in &status.plan.shifts {
        let zone = status.zones.get(shift.zone).map_or("?", |zone| zone.name.as_str());
        lines.push(format!(
            "{zone} is shifted by {} for {:.0} s more: {}",
            shift.operator,
            shift.remaining_ms / 1000.0,
            shift.reason
        ));
    }
    if status.plan.hold_remaining_ms > 0.0 {
        lines.push(format!("held as it is for {:.0} s more", status.plan.hold_remaining_ms / 1000.0));
    }
    lines.extend(status.forecast.iter().map(|forecast| forecast_text(&status.zones, forecast)));
    lines.extend(
        status
            .history
            .iter()
            .rev()
            .take(8)
            .map(|(ago_ms, event)| format!("{:.0} s ago: {event}", ago_ms / 1000.0)),
    );
    lines.join("\n")
}

#[cfg(test)]
mod tests;
