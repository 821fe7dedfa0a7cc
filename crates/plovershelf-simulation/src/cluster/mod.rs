//! Simulation of a cluster: many nodes run the server's state machine on simulated time under a fault schedule, and an audit
//! checks the events.
//!
//! | module | owns |
//! | --- | --- |
//! | `plan` | settings of a run |
//! | `report` | results of a run |
//! | `process` | one simulated process with its clock, disk and node |
//! | `deaths` | propagation of each death through the cluster |
//! | `growth` | phases of a growth measurement |
//! | `world` | event loop, network, faults and observations |

mod deaths;
mod growth;
mod plan;
mod process;
mod report;
mod world;

pub use plan::{GrowthPlan, Plan, RecoveryCommand};
pub use report::{GrowthReport, Report};
pub use world::World;
