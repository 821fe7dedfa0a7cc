//! What goes over connections between members, and from people's commands to members: frames, the greeting, and messages.

mod envelope;
mod frame;
mod hello;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use envelope::{Envelope, NodeMessage, StateDigest};
pub use frame::{
    decode, encode_frame, encode_payload, frame, frame_size, read_frame, FrameError, MAX_FRAME_BYTES,
};
pub use hello::{Hello, HelloError, MAGIC, VERSION};

use crate::identity::NodeId;
use crate::status::{Answer, Question};

/// What follows the greeting on a connection, a frame each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wire {
    /// A message between nodes of the cluster.
    Envelope(Envelope),
    /// What a person's command asks.
    Question(Question),
    /// The answer to it.
    Answer(Box<Answer>),
    /// What another subsystem of the product sends to its peer on another node, in its own encoding.
    Subsystem {
        /// The node that sends it.
        from: NodeId,
        /// The node that it is for.
        to: NodeId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A message of configuration distribution.
    ConfigDistribution {
        /// Where its sender is reached.
        address: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
}
