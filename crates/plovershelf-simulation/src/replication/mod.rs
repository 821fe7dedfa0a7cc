//! Simulation of replication: clients retry requests with idempotency keys at several backends while machines are lost with
//! their disks, partitioned and paused. Views arrive late and at different times, as a real group delivers them. The same run
//! without replication is the control.
//!
//! | module | owns |
//! | --- | --- |
//! | `plan` | settings of a run and fault schedules |
//! | `events` | simulated events and the process incarnation that each belongs to |
//! | `node` | one member: its state machine and the attempts at its backend |
//! | `views` | membership views and the delay until each change |
//! | `report` | answers that the clients of each key received, and the results of the run |
//! | `world` | event loop |

mod events;
mod node;
mod plan;
mod report;
mod views;
mod world;

pub use plan::{schedule, Mode, Plan};
pub use report::Report;
pub use world::World;
