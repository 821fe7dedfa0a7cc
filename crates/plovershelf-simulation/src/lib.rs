//! Many processes at once without any: simulated time and network for the very state machines that serve, schedules of
//! faults that play here and on real processes alike, histories, and the audit that judges both by the same promises.

pub mod audit;
pub mod changes;
pub mod cluster;
pub mod net;
pub mod plot;
pub mod replication;
pub mod schedule;
pub mod statistics;
pub mod zones;
