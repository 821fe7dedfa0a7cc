//! `plovershelf trial`: measures claims about the system. Most trials start real backends with simulated agents and
//! dependencies on loopback, inject faults, and evaluate what the agents and the callers observed; others run a simulation.

mod changes_model;
mod client_overload;
mod client_restart;
mod copies;
mod copies_model;
mod copies_rolling;
mod group;
mod group_model;
mod pools;
mod ramp;
mod scale;
mod soak;
mod zones;
mod zones_model;

pub use client_overload::start_taps;

use std::path::PathBuf;
use std::rc::Rc;

use clap::Args;
use comfy_table::{presets, Table};
use plovershelf_testkit::{backend::server_program, Executor};
use serde_json::{Map, Value};

#[derive(Args)]
pub struct Options {
    /// Which trial.
    #[arg(required_unless_present = "list")]
    name: Option<String>,
    /// Name all trials.
    #[arg(long)]
    list: bool,
    /// For all chance.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How long the load lasts; each trial has a default.
    #[arg(long, value_parser = clap::value_parser!(u32).range(2..=3600))]
    pub seconds: Option<u32>,
    /// One JSON object instead of a table.
    #[arg(long)]
    json: bool,
    /// A folder for the backends' logs.
    #[arg(long, value_name = "FOLDER")]
    pub logs: Option<PathBuf>,
    /// Members of simulated groups.
    #[arg(long)]
    members: Option<usize>,
    /// Seeds that are played, of simulated ones.
    #[arg(long)]
    seeds: Option<u64>,
    /// Callers that rest on connections to real backends.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=16_000))]
    callers: Option<u32>,
    /// Tenants that real backends are told of.
    #[arg(long, value_parser = clap::value_parser!(u32).range(2..=100_000))]
    tenants: Option<u32>,
    /// A schedule of faults to play instead of the seed's.
    #[arg(long, value_name = "FILE")]
    schedule: Option<PathBuf>,
}

/// Bound that a figure has to meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bound {
    Under(f64),
    AtMost(f64),
    AtLeast(f64),
    /// The figure is only reported.
    Informational,
}

impl Bound {
    fn is_met_by(self, value: f64) -> bool {
        match self {
            Bound::Under(bound) => value < bound,
            Bound::AtMost(bound) => value <= bound,
            Bound::AtLeast(bound) => value >= bound,
            Bound::Informational => true,
        }
    }

    fn text(self) -> String {
        match self {
            Bound::Under(bound) => format!("under {bound}"),
            Bound::AtMost(bound) => format!("at most {bound}"),
            Bound::AtLeast(bound) => format!("at least {bound}"),
            Bound::Informational => String::new(),
        }
    }
}

/// Rounds a figure to four decimal places for output; bounds are checked against the exact value.
fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// The figures of a trial, in the order of output.
#[derive(Debug, Default)]
pub struct Figures {
    /// Key, value and bound of each figure, without the phases.
    entries: Vec<(&'static str, Option<f64>, Bound)>,
    /// Other results: texts and tables.
    notes: Vec<(&'static str, Value)>,
    /// Figures of single phases, by name.
    phases: Vec<(&'static str, Figures)>,
}

impl Figures {
    /// Adds a figure. A missing value (`None`, or not a finite number) fails the trial whatever the bound, also if the figure is
    /// only reported. This prevents a zero from standing for missing data.
    pub fn put(&mut self, key: &'static str, value: impl Into<Option<f64>>, bound: Bound) {
        self.entries.push((key, value.into().filter(|value| value.is_finite()), bound));
    }

    /// Adds a figure that is only reported.
    pub fn report(&mut self, key: &'static str, value: impl Into<Option<f64>>) {
        self.put(key, value, Bound::Informational);
    }

    /// Adds a text or a table.
    pub fn note(&mut self, key: &'static str, value: Value) {
        self.notes.push((key, value));
    }

    /// Returns true if every figure has a value and meets its bound, in all phases.
    fn all_met(&self) -> bool {
        let entries_met =
            self.entries.iter().all(|(_, value, bound)| value.is_some_and(|value| bound.is_met_by(value)));
        entries_met && self.phases.iter().all(|(_, figures)| figures.all_met())
    }

    /// Adds the figures of a phase.
    pub fn phase(&mut self, name: &'static str, figures: Figures) {
        self.phases.push((name, figures));
    }

    /// Returns all figures as one JSON object; a missing value is null.
    fn json(&self, name: &str, seed: u64) -> Value {
        let mut object = Map::new();
        object.insert("trial".into(), name.into());
        object.insert("seed".into(), seed.into());
        self.add_to_json(&mut object);
        object.insert("held".into(), self.all_met().into());
        object.into()
    }

    fn add_to_json(&self, object: &mut Map<String, Value>) {
        for (key, value, _) in &self.entries {
            let Some(value) = value.map(rounded) else {
                object.insert((*key).into(), Value::Null);
                continue;
            };
            let is_integer = value.fract() == 0.0 && value.abs() < 1e15;
            let value: Value = if is_integer { (value as i64).into() } else { value.into() };
            object.insert((*key).into(), value);
        }
        object.extend(self.notes.iter().map(|(key, value)| (key.to_string(), value.clone())));
        let phase = |(name, figures): &(&'static str, Figures)| {
            let mut object = Map::new();
            figures.add_to_json(&mut object);
            (name.to_string(), Value::from(object))
        };
        if !self.phases.is_empty() {
            object.insert("phases".into(), Value::from(self.phases.iter().map(phase).collect::<Map<_, _>>()));
        }
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(["figure", "measured", "aim", ""]);
        let phases = self.phases.iter().flat_map(|(name, figures)| {
            figures.entries.iter().map(move |(key, value, bound)| (format!("{name}: {key}"), *value, *bound))
        });
        let own = self.entries.iter().map(|(key, value, bound)| (key.to_string(), *value, *bound));
        for (key, value, bound) in own.chain(phases) {
            let verdict = match (value, bound) {
                (None, _) => "FELL SHORT",
                (Some(_), Bound::Informational) => "",
                (Some(value), _) if bound.is_met_by(value) => "held",
                _ => "FELL SHORT",
            };
            let measured = value.map_or("no data".into(), |value| rounded(value).to_string());
            table.add_row([key, measured, bound.text(), verdict.into()]);
        }
        let phases = self.phases.iter().flat_map(|(name, figures)| {
            figures.notes.iter().map(move |(key, value)| (format!("{name}: {key}"), value))
        });
        let own = self.notes.iter().map(|(key, value)| (key.to_string(), value));
        for (key, value) in own.chain(phases) {
            match value {
                Value::Object(rows) => rows.iter().for_each(|(row, value)| {
                    table.add_row([format!("{key}: {row}"), value.to_string(), String::new(), String::new()]);
                }),
                Value::String(text) => drop(table.add_row([&*key, text, "", ""])),
                other => drop(table.add_row([key, other.to_string(), String::new(), String::new()])),
            }
        }
        table
    }
}

/// Options and resources that a trial runs with.
pub struct TrialContext {
    pub executor: Executor,
    /// Path of the server program.
    pub program: PathBuf,
    pub seed: u64,
    /// Length of the load; `None` for the trial's default.
    pub seconds: Option<f64>,
    /// Folder for logs, plots, schedules and histories.
    pub logs: Option<PathBuf>,
    pub members: Option<usize>,
    pub seeds: Option<u64>,
    pub callers: Option<usize>,
    pub tenants: Option<usize>,
    pub schedule: Option<PathBuf>,
}

type RunTrial = fn(&TrialContext) -> Result<Figures, String>;

/// Name, description and function of each trial.
const TRIALS: [(&str, &str, RunTrial); 14] = [
    (
        "client-overload",
        "three backends, forty callers, 160 % of what the cores do; against a plain caller",
        client_overload::run,
    ),
    (
        "client-restart",
        "two hundred callers whose backends are all killed and started again",
        client_restart::run,
    ),
    (
        "pools",
        "a flood of the cheap, a costly burst, a slowdown; a ledger at 200 %; with pools and without",
        pools::run,
    ),
    (
        "ramp",
        "cold backends under a flood of two dozen callers, and two dozen of them on one ledger; against ones told nothing",
        ramp::run,
    ),
    (
        "group",
        "nine backends in three zones as one group, at least twelve faults of six kinds; and without",
        group::run,
    ),
    (
        "copies",
        "nine backends whose tickets have copies: machines lost with their disks, repeats elsewhere; and without copies",
        copies::run,
    ),
    (
        "copies-rolling",
        "nine backends whose tickets have copies, all told to leave and started again in turn; and without copies",
        copies_rolling::run,
    ),
    (
        "copies-model",
        "simulated copies: machines lost with their disks, tries elsewhere; --members N --seeds N; and without copies",
        copies_model::run,
    ),
    (
        "zones",
        "twelve backends in two regions of three zones: zones lost, flapping, without agents, stopped; by the plan and each alone",
        zones::run,
    ),
    (
        "zones-model",
        "simulated zones: what the plan makes of each shape of trouble, beside callers alone, fixed and the best; --members N --seeds N",
        zones_model::run,
    ),
    (
        "scale",
        "a group of up to 920: hollow members beside four real backends, costs by the system's accounts, deaths and changes",
        scale::run,
    ),
    (
        "soak",
        "two to six backends under overlapping faults of all kinds, judged by callers and peers; --seeds N plays as many seeds",
        soak::run,
    ),
    (
        "group-model",
        "simulated groups: --members 9|90|900 --seeds N; promises, times and bytes as they grow",
        group_model::run,
    ),
    (
        "changes-model",
        "simulated changes: the mechanism, the leader to all, gossip; --members N --seeds N; times, bytes, hands as they grow",
        changes_model::run,
    ),
];

/// Returns exit status 0 if every figure meets its bound, 1 otherwise.
///
/// Errors: the trial could not run.
pub fn run(options: &Options) -> Result<u8, String> {
    if options.list {
        TRIALS.iter().for_each(|(name, about, _)| println!("{name:18} {about}"));
        return Ok(0);
    }
    let requested = options.name.as_deref().unwrap_or_default();
    let trial = TRIALS.iter().find(|(name, ..)| *name == requested);
    let (name, _, run) =
        trial.ok_or_else(|| format!("no trial {requested:?}; `plovershelf trial --list` names all"))?;
    if let Some(logs) = &options.logs {
        std::fs::create_dir_all(logs).map_err(|error| format!("{}: {error}", logs.display()))?;
    }
    let context = TrialContext {
        executor: Rc::new(async_executor::LocalExecutor::new()),
        program: server_program().map_err(|error| error.to_string())?,
        seed: options.seed,
        seconds: options.seconds.map(f64::from),
        logs: options.logs.clone(),
        members: options.members,
        seeds: options.seeds,
        callers: options.callers.map(|callers| callers as usize),
        tenants: options.tenants.map(|tenants| tenants as usize),
        schedule: options.schedule.clone(),
    };
    let figures = run(&context)?;
    if options.json {
        println!("{}", figures.json(name, options.seed));
    } else {
        println!("trial {name}, seed {}\n{}", options.seed, figures.table());
    }
    Ok(u8::from(!figures.all_met()))
}

#[cfg(test)]
mod tests;
