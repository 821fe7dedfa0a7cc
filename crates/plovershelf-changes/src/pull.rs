//! How what is missing is fetched: differences where the other's history reaches back, else the whole, part for part.

use std::net::SocketAddr;

use crate::content::Building;

/// An answer that is waited for.
#[derive(Clone, Debug)]
pub struct Pull {
    pub from: SocketAddr,
    pub until: f64,
    pub building: Option<Building>,
    /// How often the whole was begun anew because the other's version moved on.
    pub begun: u32,
}

/// Then it is left, to be asked for again a little later.
pub const BEGUN_MOST: u32 = 8;

impl Pull {
    pub fn new(from: SocketAddr, until: f64) -> Self {
        Pull { from, until, building: None, begun: 0 }
    }
}
