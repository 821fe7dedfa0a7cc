//! Membership by gossip: which nodes are there, found out by probes and disseminated along with them (SWIM, Lifeguard).
//!
//! A driver calls [`Swim::handle_message`] and [`Swim::handle_timeout`], and after each sends what [`Swim::poll_messages`]
//! returns; [`Swim::poll_timeout`] says when it is to call again. The ordinary path: every probe interval one other member
//! is pinged ([`Message::Ping`]) in a shuffled round; it acknowledges, and both carry a few member updates along. A member
//! that does not acknowledge is pinged through others; one that none of them reaches is suspected, and dead when it has not
//! refuted that in time. From SWIM: rounds, indirect probes, updates carried along, refutation by a higher incarnation. From
//! Lifeguard: a member that fails to reach many takes its own health for poor and waits longer, and a suspicion that several
//! members share ends sooner.
//!
//! | state of a member | event | next state |
//! | --- | --- | --- |
//! | `Alive` | no acknowledgement, direct or indirect | `Suspect` |
//! | `Alive`, `Suspect` | its own update that it leaves | `Left` |
//! | `Suspect` | its own update with a higher incarnation | `Alive` |
//! | `Suspect` | suspicion timeout | `Dead` |
//! | `Dead` | its own update with a higher incarnation | `Alive` |
//! | `Dead`, `Left` | [`GossipConfig::forget_after_ms`] | forgotten |
//!
//! Updates travel three ways, each for what the others are bad at:
//!
//! 1. What changed is sent at once to a few ([`Message::Broadcast`]), who do the same: a death is known within moments.
//! 2. It goes along with probes, least transmitted first and deaths before joins: so it comes to those that the first way
//!    missed, also while hundreds join.
//! 3. A member compares digests with another now and then ([`Message::Digest`]) and hands over what differs (anti-entropy):
//!    one that joins has all within moments, and what both other ways lost is put right. What came so is not disseminated
//!    further: else hundreds of joins would be on their way for minutes, and a death would have to wait among them.
//!
//! Updates of one member are ordered by its incarnation, which it alone raises, then by state, so all members come to hold the
//! same.
//!
//! | module | owns |
//! | --- | --- |
//! | `member`, `message`, `config` | types |
//! | `table` | what is known of all others |
//! | `probe` | pending probes, the round, local health |
//! | `suspicion` | how long a suspicion lasts |
//! | `dissemination` | updates under way |
//! | `digest` | checksums for anti-entropy |
//! | `swim` | the state machine that joins them |

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
