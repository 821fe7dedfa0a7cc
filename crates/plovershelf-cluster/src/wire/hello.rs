//! The greeting: the first frame on a connection, each way.

use serde::{Deserialize, Serialize};

/// Major and minor version of the protocol between members.
pub const VERSION: (u16, u16) = (3, 0);

/// What the greeting begins with.
pub const MAGIC: [u8; 4] = *b"plvg";

/// Who speaks: which protocol, which cluster, which build.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`MAGIC`].
    pub magic: [u8; 4],
    /// Nodes of different major versions do not talk to each other.
    pub major: u16,
    /// For people alone.
    pub minor: u16,
    /// The cluster's name.
    pub cluster: String,
    /// The build's version, for people alone.
    pub build: String,
}

/// Why a peer can't be talked to.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HelloError {
    /// It speaks another protocol.
    #[error("speaks something else")]
    OtherProtocol,
    /// It speaks another major version.
    #[error(
        "speaks version {major}.{minor} of the group's protocol, here it is {}.{}",
        VERSION.0,
        VERSION.1
    )]
    OtherVersion {
        /// The peer's major version.
        major: u16,
        /// The peer's minor version.
        minor: u16,
    },
    /// It belongs to another cluster.
    #[error("belongs to the group {found:?}, not to {expected:?}")]
    OtherCluster {
        /// The peer's cluster.
        found: String,
        /// This node's cluster.
        expected: String,
    },
}

impl Hello {
    /// This build's greeting in a cluster.
    pub fn of(cluster: &str) -> Self {
        let build = env!("CARGO_PKG_VERSION").to_string();
        Hello { magic: MAGIC, major: VERSION.0, minor: VERSION.1, cluster: cluster.to_string(), build }
    }

    /// Whether a peer that greets so may be talked to.
    ///
    /// Errors: it speaks another protocol or version, or belongs to another cluster.
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
