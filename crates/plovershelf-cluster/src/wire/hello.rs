//! The handshake message, which is the first frame that each side sends on a connection.

use serde::{Deserialize, Serialize};

/// Major and minor version of the protocol between members of a cluster.
pub const VERSION: (u16, u16) = (3, 0);

/// Magic bytes at the start of the handshake message.
pub const MAGIC: [u8; 4] = *b"plvg";

/// The handshake message, which identifies the sender's protocol, cluster and build.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Magic bytes, [`MAGIC`].
    pub magic: [u8; 4],
    /// Major version of the protocol. Nodes with different major versions refuse each other's connections.
    pub major: u16,
    /// Minor version of the protocol. Informational only.
    pub minor: u16,
    /// Name of the cluster.
    pub cluster: String,
    /// Version of the build. Informational only.
    pub build: String,
}

/// The reason to refuse a connection of a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HelloError {
    /// The peer uses another protocol.
    #[error("uses another protocol")]
    OtherProtocol,
    /// The peer uses another major version of the protocol.
    #[error(
        "uses version {major}.{minor} of the group's protocol, this member uses {}.{}",
        VERSION.0,
        VERSION.1
    )]
    OtherVersion {
        /// Major version of the peer.
        major: u16,
        /// Minor version of the peer.
        minor: u16,
    },
    /// The peer belongs to another cluster.
    #[error("belongs to the group {found:?}, not to {expected:?}")]
    OtherCluster {
        /// Cluster of the peer.
        found: String,
        /// Cluster of this node.
        expected: String,
    },
}

impl Hello {
    /// Returns the handshake message of this build for a cluster.
    pub fn of(cluster: &str) -> Self {
        let build = env!("CARGO_PKG_VERSION").to_string();
        Hello { magic: MAGIC, major: VERSION.0, minor: VERSION.1, cluster: cluster.to_string(), build }
    }

    /// Checks the handshake message of a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer uses another protocol or major version, or belongs to another cluster.
    pub fn check(&self, cluster: &str) -> Result<(), HelloError> {
        if self.magic != MAGIC {
            return Err(HelloError::OtherProtocol);
        }
        if self.major != VERSION.0 {
            return Err(HelloError::OtherVersion { major: self.major, minor: self.minor });
        }
        if self.cluster != cluster {
            let (found, expected) = (self.cluster.clone(), cluster.to_string());
            return Err(HelloError::OtherCluster { found, expected });
        }
        Ok(())
    }
}
