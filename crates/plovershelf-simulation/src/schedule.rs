//! Schedules of faults: drawn from a seed, written as text a line a step, read back, cut down to what still fails.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// What becomes of a folder while its process is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    Kept,
    Wiped,
    /// Set back to how it was some time before.
    Old,
}

/// Members go by their place from 0; text names them n1, n2 and so on.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing passes between the two sets; with `one_way` only from the second to the first still.
    Cut {
        these: Vec<usize>,
        those: Vec<usize>,
        one_way: bool,
    },
    /// Of all messages, this share is lost, and as much comes twice.
    Loss {
        share: f64,
    },
    /// All that goes to or from it takes so much longer.
    Slow {
        member: usize,
        by_ms: f64,
    },
    Kill {
        member: usize,
        folder: Folder,
    },
    /// It stands still, and then goes on as if nothing had been.
    Stop {
        member: usize,
    },
    /// It answers, but its work does not get done.
    Unfit {
        member: usize,
    },
    /// Its folder takes nothing.
    Full {
        member: usize,
    },
    /// Its wall clock is off by so much.
    Clock {
        member: usize,
        by_ms: f64,
    },
    /// It is told to leave, takes the time it has, and is started again at the fault's end.
    Leave {
        member: usize,
    },
    /// A third of all, at once.
    KillThird {
        first: usize,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at_ms: f64,
    pub for_ms: f64,
    pub fault: Fault,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    pub members: usize,
    pub zones: usize,
    pub steps: Vec<Step>,
}

impl Fault {
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::Cut { one_way: false, .. } => "cut",
            Fault::Cut { .. } => "cut-one-way",
            Fault::Loss { .. } => "loss",
            Fault::Slow { .. } => "slow",
            Fault::Kill { folder: Folder::Kept, .. } => "kill",
            Fault::Kill { folder: Folder::Wiped, .. } => "kill-wiped",
            Fault::Kill { folder: Folder::Old, .. } => "kill-set-back",
            Fault::Stop { .. } => "stop",
            Fault::Unfit { .. } => "unfit",
            Fault::Full { .. } => "full",
            Fault::Clock { .. } => "clock",
            Fault::Leave { .. } => "leave",
            Fault::KillThird { .. } => "kill-third",
        }
    }

    /// Whom it touches, so that others count as healthy.
    pub fn touches(&self, members: usize) -> Vec<usize> {
        match self {
            Fault::Cut { these, those, .. } => these.iter().chain(those).copied().collect(),
            Fault::Loss { .. } => (0..members).collect(),
            Fault::Slow { member, .. }
            | Fault::Kill { member, .. }
            | Fault::Stop { member }
            | Fault::Unfit { member }
            | Fault::Full { member }
            | Fault::Leave { member }
            | Fault::Clock { member, .. } => vec![*member],
            Fault::KillThird { first } => third(*first, members).collect(),
        }
    }
}

/// Whether a fault begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPhase {
    /// It takes effect.
    Begins,
    /// It is over.
    Ends,
}

/// Sender and receiver of each path that a cut between two sets of members concerns; with `one_way` only those from the first set to
/// the second.
pub fn cut_paths<'a>(
    these: &'a [usize],
    those: &'a [usize],
    one_way: bool,
) -> impl Iterator<Item = (usize, usize)> + 'a {
    let pairs = these.iter().flat_map(|one| those.iter().map(|other| (*one, *other)));
    pairs
        .flat_map(move |(one, other)| std::iter::once((one, other)).chain((!one_way).then_some((other, one))))
}

/// The members that a third killed at once takes.
pub fn third(first: usize, members: usize) -> impl Iterator<Item = usize> {
    (0..members / 3).map(move |n| (first + n) % members)
}

/// How long calm lasts before the first fault, and after the last is over.
pub const CALM_MS: f64 = 4000.0;

impl Schedule {
    /// A schedule of `steps` faults over about `span_ms`, all over by its end. Members stand in zones in turn. Folders are
    /// lost or set back one at a time, with a pause for the council to make good, as that is what it promises to bear.
    pub fn draw(seed: u64, members: usize, zones: usize, steps: usize, span_ms: f64) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed);
        let mut schedule = Schedule { members, zones, steps: Vec::new() };
        let mut memory_safe_at = 0.0;
        let gap = span_ms / steps.max(1) as f64;
        for place in 0..steps {
            let at_ms = CALM_MS + gap * (place as f64 + 0.6 * chance.random::<f64>());
            let for_ms =
                (gap * (0.6 + 1.2 * chance.random::<f64>())).min(CALM_MS + span_ms - at_ms).max(200.0);
            let member = chance.random_range(0..members);
            let zone = chance.random_range(0..zones.max(1));
            let in_zone = |z: usize| (0..members).filter(move |m| m % zones.max(1) == z).collect::<Vec<_>>();
            let fault = match chance.random_range(0..14) {
                0 => Fault::Cut { these: vec![member], those: vec![(member + 1) % members], one_way: false },
                1 => Fault::Cut { these: vec![member], those: vec![(member + 1) % members], one_way: true },
                2 | 3 => {
                    let those = (0..members).filter(|m| m % zones.max(1) != zone).collect();
                    Fault::Cut { these: in_zone(zone), those, one_way: chance.random::<f64>() < 0.3 }
                }
                4 => Fault::Cut {
                    these: vec![member],
                    those: (0..members).filter(|m| *m != member && *m != (member + 1) % members).collect(),
                    one_way: false,
                },
                5 => Fault::Loss { share: 0.1 + 0.2 * chance.random::<f64>() },
                6 => Fault::Slow { member, by_ms: 20.0 + 200.0 * chance.random::<f64>() },
                7 => Fault::Kill { member, folder: Folder::Kept },
                8 | 9 if at_ms > memory_safe_at => {
                    memory_safe_at = at_ms + for_ms + MEMORY_PAUSE_MS;
                    let folder = if chance.random::<f64>() < 0.6 { Folder::Wiped } else { Folder::Old };
                    Fault::Kill { member, folder }
                }
                10 => Fault::Unfit { member },
                11 => Fault::Full { member },
                12 => Fault::Clock { member, by_ms: if member % 2 == 0 { 3.6e6 } else { -3.6e6 } },
                13 if place % 3 == 0 => Fault::KillThird { first: member },
                _ => Fault::Stop { member },
            };
            schedule.steps.push(Step { at_ms, for_ms, fault });
        }
        schedule.steps.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        schedule
    }

    pub fn kinds(&self) -> usize {
        let kinds: std::collections::BTreeSet<&str> =
            self.steps.iter().map(|step| step.fault.kind()).collect();
        kinds.len()
    }

    /// When the last fault is over, and the calm after it.
    pub fn ends_ms(&self) -> f64 {
        self.steps.iter().map(|step| step.at_ms + step.for_ms).fold(0.0, f64::max) + CALM_MS
    }

    /// Cut down to steps that still fail: first by halves, then one by one, until none can be left out.
    pub fn shrink(&self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut best = self.clone();
        let mut size = (best.steps.len() / 2).max(1);
        loop {
            let mut at = 0;
            let before = best.steps.len();
            while at < best.steps.len() {
                let mut fewer = best.clone();
                fewer.steps.drain(at..(at + size).min(fewer.steps.len()));
                if fails(&fewer) {
                    best = fewer;
                } else {
                    at += size;
                }
            }
            if size == 1 && best.steps.len() == before {
                return best;
            }
            size = (size / 2).max(1);
        }
    }
}

/// Between two folders that are lost.
const MEMORY_PAUSE_MS: f64 = 8000.0;

fn names(members: &[usize]) -> String {
    let names: Vec<String> = members.iter().map(|member| format!("n{}", member + 1)).collect();
    names.join(",")
}

impl Display for Step {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let Step { at_ms, for_ms, fault } = self;
        write!(out, "{at_ms:.0} {for_ms:.0} {}", fault.kind())?;
        match fault {
            Fault::Cut { these, those, .. } => write!(out, " {} {}", names(these), names(those)),
            Fault::Loss { share } => write!(out, " {share:.3}"),
            Fault::Slow { member, by_ms } | Fault::Clock { member, by_ms } => {
                write!(out, " n{} {by_ms:.0}", member + 1)
            }
            Fault::Kill { member, .. }
            | Fault::Stop { member }
            | Fault::Unfit { member }
            | Fault::Leave { member }
            | Fault::Full { member } => {
                write!(out, " n{}", member + 1)
            }
            Fault::KillThird { first } => write!(out, " n{}", first + 1),
        }
    }
}

impl Display for Schedule {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(out, "# at_ms for_ms kind members")?;
        writeln!(out, "members {} zones {}", self.members, self.zones)?;
        self.steps.iter().try_for_each(|step| writeln!(out, "{step}"))
    }
}

impl FromStr for Schedule {
    type Err = String;

    /// Errors: the line that can't be read, and what would be right.
    fn from_str(text: &str) -> Result<Self, String> {
        let mut schedule = Schedule::default();
        for (number, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap_or("").split_whitespace().collect();
            let wrong = |what: &str| format!("line {}: {line:?}: {what}", number + 1);
            if words.is_empty() {
                continue;
            }
            if let ["members", members, "zones", zones] = words[..] {
                schedule.members = members.parse().map_err(|_| wrong("a number of members"))?;
                schedule.zones = zones.parse().map_err(|_| wrong("a number of zones"))?;
                if !(1..=10_000).contains(&schedule.members) || schedule.zones > schedule.members {
                    return Err(wrong("from 1 to 10000 members, and no more zones than members"));
                }
                continue;
            }
            if schedule.members == 0 {
                return Err(wrong("`members N zones N` comes first"));
            }
            let step = step(&words, schedule.members).ok_or_else(|| {
                wrong("at_ms for_ms kind members, as `plovershelf trial group` prints them")
            })?;
            schedule.steps.push(step);
        }
        Ok(schedule)
    }
}

fn step(words: &[&str], members: usize) -> Option<Step> {
    let [at, span, kind, rest @ ..] = words else { return None };
    let span_of = |word: &str| word.parse::<f64>().ok().filter(|ms| (0.0..=86_400_000.0).contains(ms));
    let member =
        |word: &&str| word.strip_prefix('n')?.parse::<usize>().ok()?.checked_sub(1).filter(|m| *m < members);
    let set = |word: &&str| word.split(',').map(|one| member(&one)).collect::<Option<Vec<usize>>>();
    let number = |word: &&str| word.parse::<f64>().ok().filter(|n| n.is_finite());
    let one = || rest.first().and_then(member);
    let fault = match *kind {
        "cut" | "cut-one-way" => Fault::Cut {
            these: set(rest.first()?)?,
            those: set(rest.get(1)?)?,
            one_way: *kind == "cut-one-way",
        },
        "loss" => Fault::Loss { share: number(rest.first()?).filter(|share| (0.0..=1.0).contains(share))? },
        "slow" => Fault::Slow { member: one()?, by_ms: number(rest.get(1)?)? },
        "clock" => Fault::Clock { member: one()?, by_ms: number(rest.get(1)?)? },
        "kill" => Fault::Kill { member: one()?, folder: Folder::Kept },
        "kill-wiped" => Fault::Kill { member: one()?, folder: Folder::Wiped },
        "kill-set-back" => Fault::Kill { member: one()?, folder: Folder::Old },
        "stop" => Fault::Stop { member: one()? },
        "unfit" => Fault::Unfit { member: one()? },
        "full" => Fault::Full { member: one()? },
        "leave" => Fault::Leave { member: one()? },
        "kill-third" => Fault::KillThird { first: one()? },
        _ => return None,
    };
    Some(Step { at_ms: span_of(at)?, for_ms: span_of(span)?, fault })
}

#[cfg(test)]
mod tests;
