//! `plovershelf control`: runs a member of a group that serves no requests, on a machine dedicated to control.

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

/// Interval at which the main loop records its heartbeat; the cluster thread treats the process as stuck after two seconds
/// without one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between the drain notice and the exit, so that the notice reaches the other members.
const DRAIN_MS: f64 = 300.0;

/// Runs the member until SIGTERM or SIGINT, then sends a drain notice and exits.
///
/// Errors: the file is invalid, or an address or folder that it names can't be used.
pub fn run(options: &Options) -> Result<u8, String> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(|error| format!("signals: {error}"))?;
    let path = options.file.to_string_lossy();
    let text = std::fs::read_to_string(&options.file).map_err(|error| format!("{path}: {error}"))?;
    let setup = plovershelf_config::group::read(&path, &text).map_err(|error| error.to_string())?;
    let heartbeat = Arc::<DriverHeartbeat>::default();
    heartbeat.record(true);
    let member = cluster::start(setup, options.name.clone(), heartbeat.clone(), None)?;
    let record_heartbeat = async {
        loop {
            Timer::after(HEARTBEAT_INTERVAL).await;
            heartbeat.record(true);
        }
    };
    let terminated = async { drop(signals.next().await) };
    async_io::block_on(future::or(terminated, record_heartbeat));
    let _ = member.try_send(Incoming::DrainNotice { within_ms: DRAIN_MS });
    async_io::block_on(Timer::after(Duration::from_secs_f64(DRAIN_MS / 1000.0)));
    Ok(0)
}
