//! `plovershelf control`: a member of a group that has no front and does no work, on the machines set aside for control.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use clap::Args;
use futures_lite::{future, StreamExt};
use plovershelf_server::cluster::{self, DriverHeartbeat, Incoming};

#[derive(Args)]
pub struct Options {
    /// This member's group.ini; with a section [changes] it is a source of changes.
    #[arg(long, value_name = "FILE")]
    file: PathBuf,
    /// Its name, as the council knows it.
    #[arg(long, value_name = "NAME")]
    name: String,
}

/// It says that it goes round this often; members look after two seconds.
const BEAT: Duration = Duration::from_millis(500);
/// So that the word that it leaves is on its way before it ends.
const LEAVES_MS: f64 = 300.0;

/// Serves until it is told to end.
///
/// Errors: the file is wrong, or an address or folder of it can't be had.
pub fn run(options: &Options) -> Result<u8, String> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(|error| format!("signals: {error}"))?;
    let shown = options.file.to_string_lossy();
    let text = std::fs::read_to_string(&options.file).map_err(|error| format!("{shown}: {error}"))?;
    let setup = plovershelf_config::group::read(&shown, &text).map_err(|wrong| wrong.to_string())?;
    let pulse = Arc::<DriverHeartbeat>::default();
    pulse.record(true);
    let member = cluster::start(setup, options.name.clone(), pulse.clone(), None)?;
    let beats = async {
        loop {
            Timer::after(BEAT).await;
            pulse.record(true);
        }
    };
    let told = async { drop(signals.next().await) };
    async_io::block_on(future::or(told, beats));
    let _ = member.try_send(Incoming::DrainNotice { within_ms: LEAVES_MS });
    async_io::block_on(Timer::after(Duration::from_secs_f64(LEAVES_MS / 1000.0)));
    Ok(0)
}
