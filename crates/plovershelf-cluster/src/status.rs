//! What a member tells people of itself and the group, and what they may ask of it.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::council::Role;
use crate::decided::Step;
use crate::group::{era_number, Group};
use crate::members::Condition;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    Status,
    /// Begins a new council without these; see [`Group::recover`].
    Recover {
        lost: Vec<String>,
    },
    Replace {
        voter: String,
    },
    /// What another part of the product is asked, in its own words.
    Part {
        part: String,
        bytes: Vec<u8>,
    },
    /// What is held for others here.
    Copies,
    /// What is held here of one ticket of an offering.
    Ticket {
        offering: String,
        ticket: String,
    },
    /// The little that can be asked of each member of a large group often: see [`Brief`].
    Brief {
        names: Vec<String>,
    },
}

/// Names that one brief question may carry.
pub const BRIEF_NAMES_MOST: usize = 256;

/// What stays small however many members there are: its length grows with the names asked about alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Brief {
    pub name: String,
    pub memory: u64,
    pub era: u64,
    pub view: u64,
    pub leads: bool,
    pub leader: Option<String>,
    pub may_act: bool,
    /// Members in the view, and those that this one takes to be alive or merely suspects.
    pub in_view: u64,
    pub alive: u64,
    /// Those of the names asked about that it takes to be alive or merely suspects.
    pub alive_of: Vec<String>,
    /// Agreed words: key, number, checksum of the bytes.
    pub words: Vec<(String, u64, u32)>,
}

/// What a member holds for others and asks of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CopiesStatus {
    pub name: String,
    pub view: u64,
    /// Whether it knows all that there was of what it is first of, so that it orders new claims.
    pub settled: bool,
    pub copies: u64,
    pub least: u64,
    pub held: u64,
    pub held_most: u64,
    pub held_bytes: u64,
    pub held_bytes_most: u64,
    /// Tickets that it is first of and that have fewer copies than they should.
    pub low: u64,
    /// Its own invocations: whose claim is asked for, that wait for another's end, that run, whose end is being copied.
    pub asking: u64,
    pub waiting: u64,
    pub running: u64,
    pub ending: u64,
    /// Members that may be gone and are passed over.
    pub doubted: Vec<String>,
    pub leaving: Vec<String>,
}

/// A ticket as one member sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TicketStatus {
    pub name: String,
    pub view: u64,
    pub hash: String,
    /// Where its copies lie by the view, the first at the front.
    pub placed: Vec<String>,
    pub held: Option<HeldStatus>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeldStatus {
    pub runner: String,
    /// Who had to confirm the claim before anything was launched.
    pub holders: Vec<String>,
    /// `open`, `succeeded` with the length of its result, `failed`, `in doubt`.
    pub state: String,
    pub claimed_under_view: u64,
    pub keep_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Status(Box<Status>),
    Copies(Box<CopiesStatus>),
    Ticket(Box<TicketStatus>),
    Part(Vec<u8>),
    Done(String),
    Refused(String),
    Brief(Box<Brief>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub memory: u64,
    pub zone: String,
    pub region: String,
    pub address: String,
    pub condition: String,
    pub fit: bool,
    pub leaving: bool,
    pub in_view: bool,
    pub voter: bool,
    /// How long it has been in its condition, in milliseconds.
    pub since_ms: f64,
    /// By how many entries it lags behind the end of the leader's log; told by the leader of voters alone.
    pub lag: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub group: String,
    pub name: String,
    pub memory: u64,
    /// The council's own number among those that were begun one after the other, and all of it.
    pub council: u64,
    pub era: u64,
    pub term: u64,
    pub role: String,
    pub leads: bool,
    pub leader: Option<String>,
    pub decided: u64,
    pub view: u64,
    /// The memories of the view, in order.
    pub view_members: Vec<u64>,
    /// By which view it may act at this moment.
    pub may_act: Option<u64>,
    /// For how long no leader's word has come, where that is longer than elections take.
    pub undecided_ms: Option<f64>,
    pub keeps: bool,
    pub members: Vec<MemberStatus>,
    pub history: Vec<Step>,
    pub words: Vec<(String, u64)>,
}

fn condition(condition: Condition) -> &'static str {
    match condition {
        Condition::Alive => "alive",
        Condition::Suspected => "suspected",
        Condition::Dead => "dead",
        Condition::Left => "left",
    }
}

fn role(role: &Role) -> &'static str {
    match role {
        Role::Outside => "no voter",
        Role::Returning { .. } => "returning",
        Role::Following => "following",
        Role::Asking { .. } => "asking for votes",
        Role::Standing { .. } => "standing",
        Role::Leading => "leading",
        Role::Mute => "mute: its folder takes nothing",
    }
}

impl Brief {
    pub fn of(group: &Group, names: &[String], now: f64) -> Self {
        let (view, own, council) = (group.view(), group.about(), group.council());
        let asked: BTreeSet<&str> = names.iter().take(BRIEF_NAMES_MOST).map(String::as_str).collect();
        let mut alive_of = BTreeSet::new();
        let mut alive = 0;
        for news in group.members().alive() {
            alive += 1;
            if asked.contains(news.about.name.as_str()) {
                alive_of.insert(news.about.name.clone());
            }
        }
        let word = |(key, word): (&String, &crate::decided::Word)| {
            (key.clone(), word.number, crc32fast::hash(&word.bytes))
        };
        Brief {
            name: own.name.clone(),
            memory: own.id.0,
            era: council.era(),
            view: view.number,
            leads: council.leads(),
            leader: group.leader().and_then(|id| group.name_of(id)),
            may_act: group.may_act(now).is_some(),
            in_view: view.members.len() as u64,
            alive,
            alive_of: alive_of.into_iter().collect(),
            words: council.state().words.iter().map(word).collect(),
        }
    }
}

impl Status {
    pub fn of(group: &Group, name: &str, now: f64) -> Self {
        let council = group.council();
        let (view, own) = (group.view(), group.about());
        let last = council.kept().last().index;
        let matched = council.matched();
        let line = |news: &crate::members::News, since: f64| {
            let about = &news.about;
            let matched = matched.iter().find(|(id, _)| *id == about.id && council.leads());
            MemberStatus {
                name: about.name.clone(),
                memory: about.id.0,
                zone: about.zone.clone(),
                region: about.region.clone(),
                address: about.address.to_string(),
                condition: condition(news.condition).into(),
                fit: news.fit,
                leaving: news.leaving,
                in_view: view.members.contains_key(&about.id),
                voter: council.voters().contains(&about.id),
                since_ms: now - since,
                lag: matched
                    .filter(|_| council.voters().contains(&about.id))
                    .map(|(_, matched)| last - matched),
            }
        };
        let mut members: Vec<MemberStatus> =
            group.members().others().map(|(news, since)| line(news, since)).collect();
        members.push(line(group.members().me(), 0.0));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Status {
            group: name.to_string(),
            name: own.name.clone(),
            memory: own.id.0,
            council: era_number(council.era()),
            era: council.era(),
            term: council.term(),
            role: role(council.role()).into(),
            leads: council.leads(),
            leader: group.leader().and_then(|id| group.name_of(id)),
            decided: council.decided(),
            view: view.number,
            view_members: view.members.keys().map(|id| id.0).collect(),
            may_act: group.may_act(now),
            undecided_ms: group.undecided_since().map(|since| now - since.max(0.0)),
            keeps: *council.role() != Role::Mute,
            members,
            history: council.state().steps.iter().cloned().collect(),
            words: council.state().words.iter().map(|(key, word)| (key.clone(), word.number)).collect(),
        }
    }
}
