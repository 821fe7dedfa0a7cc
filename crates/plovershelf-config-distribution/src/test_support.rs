//! Helper functions for the unit tests of several modules.

use std::net::SocketAddr;

use crate::message::{HeldVersion, NodeInfo};
use crate::version::Version;

pub(crate) fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 4000))
}

pub(crate) fn node_in(last: u8, zone: &str, region: &str) -> NodeInfo {
    NodeInfo {
        name: format!("process-{last}"),
        zone: zone.to_string(),
        region: region.to_string(),
        address: address(last),
        incarnation: 1,
    }
}

pub(crate) fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

pub(crate) fn version_info(number: u64, age_ms: u32) -> HeldVersion {
    HeldVersion { version: version(number), short_digest: number, age_ms }
}
