//! Deterministic simulation of clusters: simulated time and network drive the same state machines that the server runs.
//! Fault schedules apply to simulated and to real processes alike, and the audit checks the histories of both against the
//! same promises.

pub mod audit;
pub mod changes;
pub mod cluster;
pub mod net;
pub mod plot;
pub mod replication;
pub mod schedule;
pub mod statistics;
pub mod zones;
