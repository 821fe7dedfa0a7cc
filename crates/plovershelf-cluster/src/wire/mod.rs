//! The wire format of connections between members, and from operators' commands to members: frames, handshake and
//! messages.

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

/// A message on a connection. Each is sent in a frame of its own after the handshake.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wire {
    /// Message between nodes of the cluster.
    Envelope(Envelope),
    /// Query or command from an operator's command.
    Question(Question),
    /// Response to a [`Wire::Question`].
    Answer(Box<Answer>),
    /// Message of another subsystem to its peer on another node, in the subsystem's own encoding.
    Subsystem {
        /// Sending node.
        from: NodeId,
        /// Receiving node.
        to: NodeId,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// Message of configuration distribution.
    ConfigDistribution {
        /// Address on which the sender receives messages.
        address: SocketAddr,
        /// Encoded message.
        bytes: Vec<u8>,
    },
}
