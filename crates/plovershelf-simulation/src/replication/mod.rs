//! Replication on simulated time: keyed requests whose attempts come to several backends, machines lost with all they store,
//! partitions, pauses; views come as a group gives them, late and not to all at once. With replication, and without it as the
//! control.
//!
//! | module | what it owns |
//! | --- | --- |
//! | `plan` | the settings of a run, and schedules of faults |
//! | `events` | what happens, and to which incarnation of which member |
//! | `node` | one member: its state machine and the attempts at its backend |
//! | `views` | who belongs to the group, and since when somebody else should |
//! | `report` | what each key's clients were told, and the verdict on the run |
//! | `world` | the event loop |

mod events;
mod node;
mod plan;
mod report;
mod views;
mod world;

pub use plan::{schedule, Mode, Plan};
pub use report::Report;
pub use world::World;
