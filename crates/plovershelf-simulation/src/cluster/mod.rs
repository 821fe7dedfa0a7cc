//! Clusters on simulated time: the code that serves, many nodes, a schedule of faults, and an audit that looks on.
//!
//! | module | owns |
//! | --- | --- |
//! | `plan` | what a run is like |
//! | `report` | what came of it |
//! | `process` | one simulated process with its clock, disk and node |
//! | `deaths` | how far each death is known |
//! | `growth` | phases in which a cluster that grows is measured |
//! | `world` | the run: queue, network, faults |

mod deaths;
mod growth;
mod plan;
mod process;
mod report;
mod world;

pub use plan::{GrowthPlan, Plan, RecoveryCommand};
pub use report::{GrowthReport, Report};
pub use world::World;
