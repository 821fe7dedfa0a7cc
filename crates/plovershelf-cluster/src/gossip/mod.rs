//! Membership by gossip: probes detect failed members, and their messages piggyback membership updates (SWIM,
//! Lifeguard).
//!
//! The driver calls [`Swim::handle_message`] and [`Swim::handle_timeout`], sends the messages that
//! [`Swim::poll_messages`] returns, and schedules a timer for [`Swim::poll_timeout`]. Every probe interval a member
//! pings one other member ([`Message::Ping`]) in a shuffled round-robin order. The target acknowledges, and both
//! messages piggyback a few membership updates. A member that does not acknowledge is pinged indirectly through others.
//! If none of them reaches it, it becomes suspect, and dead if it does not refute the suspicion in time.
//!
//! The probe rounds, indirect probes, piggybacked updates and refutation by a higher incarnation are those of SWIM.
//! From Lifeguard are local health, by which a member whose probes fail often extends its own timeouts, and the shorter
//! timeout of a suspicion that several members confirm.
//!
//! | state of a member | event | next state |
//! | --- | --- | --- |
//! | `Alive` | no acknowledgement, direct or indirect | `Suspect` |
//! | `Alive`, `Suspect` | its own update that it has left | `Left` |
//! | `Suspect` | its own update with a higher incarnation | `Alive` |
//! | `Suspect` | suspicion timeout | `Dead` |
//! | `Dead` | its own update with a higher incarnation | `Alive` |
//! | `Dead`, `Left` | [`GossipConfig::removal_delay_ms`] elapsed | removed from the table |
//!
//! Updates are disseminated by three mechanisms that complement each other:
//!
//! 1. Broadcast: a change of state is sent at once to a few members ([`Message::Broadcast`]), which do the same, so
//!    that a death becomes known quickly.
//! 2. Piggybacking: probe messages carry updates, those of members that are not alive first and then the least
//!    transmitted ones. This reaches members that the broadcast missed, also while hundreds of members join.
//! 3. Anti-entropy: members periodically compare digests ([`Message::Digest`]) and exchange the entries that differ. A
//!    new member receives the whole table in a few exchanges, and updates that the other mechanisms lost are repaired.
//!    Updates received this way are queued for dissemination only if they change a known state: otherwise hundreds of
//!    joins would fill the queue for minutes and delay the updates on deaths.
//!
//! Updates of a member are ordered by its incarnation, which only the member itself raises, and then by state, so that
//! all members converge to the same table.
//!
//! | module | contents |
//! | --- | --- |
//! | `member`, `message`, `config` | types |
//! | `table` | table of all other members |
//! | `probe` | pending probes, probe order, local health |
//! | `suspicion` | suspicion timeout |
//! | `dissemination` | queue of updates to piggyback |
//! | `digest` | checksums for anti-entropy |
//! | `swim` | the state machine that combines the modules |

mod config;
mod digest;
mod dissemination;
mod member;
mod message;
mod probe;
mod suspicion;
mod swim;
mod table;

pub use config::GossipConfig;
pub use member::{MemberState, MemberUpdate, NodeInfo};
pub use message::{Destination, Message};
pub use swim::Swim;
