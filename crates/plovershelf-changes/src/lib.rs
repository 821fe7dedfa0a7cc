//! What a few have agreed on, carried to a whole fleet as numbered changes: sources know it from their council, relays of
//! each zone hand it on to a bounded number of listeners, each with a spare way, and a sum of what is in force comes back the
//! same way. Everything here is told the time, messages and ends of links, and returns what to send and to tell; it owns no
//! clock, socket or file.
//!
//! [`node::Node`] is one process and joins the parts; [`content`] is what changes are made of.

pub mod content;
pub mod node;
