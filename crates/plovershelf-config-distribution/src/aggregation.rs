//! What comes back: how many have the newest in force, and who does not.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::message::{Sum, MISSING_MOST};
use crate::placement::Child;
use crate::quota_table::Version;

/// Names kept of those that ended without a word, at most, and for how long.
const GONE_MOST: usize = 64;
const GONE_MS: f64 = 600_000.0;

/// Children that fell silent and did not say that they leave.
#[derive(Clone, Debug, Default)]
pub struct Gone(Vec<(f64, String)>);

impl Gone {
    pub fn add(&mut self, now: f64, name: String) {
        self.back(&name);
        if self.0.len() == GONE_MOST {
            self.0.remove(0);
        }
        self.0.push((now + GONE_MS, name));
    }
    /// Heard of again.
    pub fn back(&mut self, name: &str) {
        self.0.retain(|(_, held)| held != name);
    }
    pub fn fade(&mut self, now: f64) {
        self.0.retain(|(until, _)| *until > now);
    }
    pub fn holds(&self, name: &str) -> bool {
        self.0.iter().any(|(_, held)| held == name)
    }
    fn names(&self) -> impl Iterator<Item = &String> {
        self.0.iter().rev().map(|(_, name)| name)
    }
}

/// Where processes attached lately: a relay that still names one as gone, when it was heard of elsewhere since, is told so.
#[derive(Clone, Debug, Default)]
pub struct Joined {
    /// Of a source: by name, when, and the relay or source that feeds it.
    at: BTreeMap<String, (f64, SocketAddr)>,
    /// To be told further.
    news: VecDeque<(String, SocketAddr)>,
}

const JOINED_MOST: usize = 2048;
const NEWS_MOST: usize = 256;

impl Joined {
    pub fn add(&mut self, now: f64, name: &str, at: SocketAddr) {
        if self.at.len() >= JOINED_MOST && !self.at.contains_key(name) {
            let oldest = self.at.iter().min_by(|a, b| a.1 .0.total_cmp(&b.1 .0));
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.at.remove(&oldest);
            }
        }
        self.at.insert(name.to_string(), (now, at));
    }
    pub fn tell(&mut self, name: &str, at: SocketAddr) {
        if self.news.len() == NEWS_MOST {
            self.news.pop_front();
        }
        self.news.push_back((name.to_string(), at));
    }
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }
    pub fn news(&mut self, most: usize) -> Vec<(String, SocketAddr)> {
        let most = most.min(self.news.len());
        self.news.drain(..most).collect()
    }
    pub fn fade(&mut self, now: f64) {
        self.at.retain(|_, (at, _)| *at + GONE_MS > now);
    }
    /// Whether it was last heard of at another than this one.
    pub fn elsewhere(&self, name: &str, than: SocketAddr) -> bool {
        self.at.get(name).is_some_and(|(_, at)| *at != than)
    }
}

/// Of the processes under one: the children's sums, and itself where it is one that has changes in force.
pub fn sum(own: Option<&str>, version: Version, children: &[Child], gone: &Gone) -> Sum {
    let counted = u32::from(own.is_some());
    let mut sum = Sum {
        version,
        under: counted,
        in_force: counted,
        oldest: version,
        feeds: children.len() as u32,
        missing: Vec::new(),
        joined: Vec::new(),
    };
    let mut missing: Vec<&String> = Vec::new();
    for child in children {
        sum.under = sum.under.saturating_add(child.sum.under);
        sum.oldest = sum.oldest.min(child.sum.oldest);
        if child.sum.version == version {
            sum.in_force = sum.in_force.saturating_add(child.sum.in_force);
        } else {
            missing.push(&child.about.name);
        }
    }
    missing.extend(children.iter().flat_map(|child| &child.sum.missing));
    missing.extend(gone.names());
    for name in missing {
        if sum.missing.len() == MISSING_MOST {
            break;
        }
        if !sum.missing.contains(name) {
            sum.missing.push(name.clone());
        }
    }
    sum
}
