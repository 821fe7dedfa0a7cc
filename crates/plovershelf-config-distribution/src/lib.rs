//! What a few have agreed on, carried to a whole fleet as numbered changes: sources know it from their council, relays of
//! each zone hand it on to a bounded number of listeners, each with a spare way, and a sum of what is in force comes back the
//! same way. Everything here is told the time, messages and ends of links, and returns what to send and to tell; it owns no
//! clock, socket or file.
//!
//! | promise | what it says |
//! | --- | --- |
//! | ONE_CONTENT_A_NUMBER | two processes that have the same version in force have the same content in force |
//! | NEVER_BACKWARDS | a process's version in force only ever grows |
//! | AGREED_IS_IN_FORCE | what was agreed is in force within 4 s on all that a source can be reached from |
//! | CUT_OFF_SERVES_ON | a process that hears nobody keeps its content and says how old it is |
//! | BAD_CHANGES_NOTHING | a change that does not fit is in force nowhere, not even in part |
//!
//! [`node::Node`] is one process and joins the parts: [`quota_table`] is what changes are made of, [`parent_selection`] decides whom one
//! hears from, [`placement`] what goes to whom, [`aggregation`] what comes back; its own part `sync` has
//! what is missing here.

pub mod aggregation;
pub mod broken;
pub mod config;
pub mod message;
pub mod node;
pub mod parent_selection;
pub mod placement;
pub mod quota_table;
