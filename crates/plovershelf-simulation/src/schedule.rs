//! Fault schedules: generated from a seed, written as text with one step per line, parsed, and shrunk to a minimal schedule
//! that still fails.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// State of a process's data directory when the process restarts after a kill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folder {
    /// The directory is unchanged.
    Kept,
    /// The directory is empty.
    Wiped,
    /// The directory is restored from an earlier copy.
    Old,
}

/// Fault that a schedule injects. Members are indexes from 0; the text form names them n1, n2 and so on.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Drops all messages between the two sets; with `one_way`, messages from the second set to the first still pass.
    Cut { these: Vec<usize>, those: Vec<usize>, one_way: bool },
    /// Drops this fraction of all messages and duplicates the same fraction of the rest.
    Loss { share: f64 },
    /// Adds `by_ms` milliseconds of latency to every message to or from the member.
    Slow { member: usize, by_ms: f64 },
    /// Kills the member and restarts it at the fault's end with its data directory in the given state.
    Kill { member: usize, folder: Folder },
    /// Pauses the process; it resumes at the fault's end with its state unchanged.
    Stop { member: usize },
    /// Makes the member unready: it answers messages but completes no work.
    Unready { member: usize },
    /// Makes every write to the member's data directory fail.
    Full { member: usize },
    /// Shifts the member's wall clock by `by_ms` milliseconds.
    Clock { member: usize, by_ms: f64 },
    /// Asks the member to shut down gracefully and restarts it at the fault's end.
    Leave { member: usize },
    /// Kills a third of all members at once, counted from `first`.
    KillThird { first: usize },
}

/// Fault with its time interval.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Start of the fault in milliseconds from the start of the run.
    pub at_ms: f64,
    /// Duration of the fault in milliseconds.
    pub for_ms: f64,
    pub fault: Fault,
}

/// Faults of one run and the size of the cluster that they apply to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// Number of members.
    pub members: usize,
    /// Number of zones; member `i` is in zone `i % zones`.
    pub zones: usize,
    /// Steps in the order of their start times.
    pub steps: Vec<Step>,
}

impl Fault {
    /// Returns the name of the fault in the text form.
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
            Fault::Unready { .. } => "unfit",
            Fault::Full { .. } => "full",
            Fault::Clock { .. } => "clock",
            Fault::Leave { .. } => "leave",
            Fault::KillThird { .. } => "kill-third",
        }
    }

    /// Returns the members that the fault affects; all others count as healthy.
    pub fn touches(&self, members: usize) -> Vec<usize> {
        match self {
            Fault::Cut { these, those, .. } => these.iter().chain(those).copied().collect(),
            Fault::Loss { .. } => (0..members).collect(),
            Fault::Slow { member, .. }
            | Fault::Kill { member, .. }
            | Fault::Stop { member }
            | Fault::Unready { member }
            | Fault::Full { member }
            | Fault::Leave { member }
            | Fault::Clock { member, .. } => vec![*member],
            Fault::KillThird { first } => third(*first, members).collect(),
        }
    }
}

/// Start or end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPhase {
    /// The fault is injected.
    Begins,
    /// The fault is removed.
    Ends,
}

/// Returns the (sender, receiver) pairs that a cut between two sets of members blocks; with `one_way` only the pairs from the
/// first set to the second.
pub fn cut_paths<'a>(
    these: &'a [usize],
    those: &'a [usize],
    one_way: bool,
) -> impl Iterator<Item = (usize, usize)> + 'a {
    let pairs = these.iter().flat_map(|from| those.iter().map(|to| (*from, *to)));
    pairs.flat_map(move |(from, to)| std::iter::once((from, to)).chain((!one_way).then_some((to, from))))
}

/// Returns the members that [`Fault::KillThird`] kills: a third of all, from `first` on.
pub fn third(first: usize, members: usize) -> impl Iterator<Item = usize> {
    (0..members / 3).map(move |offset| (first + offset) % members)
}

/// Fault-free time in milliseconds before the first fault and after the end of the last one.
pub const FAULT_FREE_MS: f64 = 4000.0;

impl Schedule {
    /// Generates a schedule of `steps` faults over about `span_ms` milliseconds; every fault ends within that time. Members
    /// are assigned to zones round-robin. Data directories are wiped or restored one at a time, with a pause in which the
    /// consensus group replaces the lost voter, because the group guarantees to survive one such loss at a time.
    pub fn draw(seed: u64, members: usize, zones: usize, steps: usize, span_ms: f64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut schedule = Schedule { members, zones, steps: Vec::new() };
        let mut next_disk_loss_ms = 0.0;
        let gap = span_ms / steps.max(1) as f64;
        for index in 0..steps {
            let at_ms = FAULT_FREE_MS + gap * (index as f64 + 0.6 * rng.random::<f64>());
            let for_ms =
                (gap * (0.6 + 1.2 * rng.random::<f64>())).min(FAULT_FREE_MS + span_ms - at_ms).max(200.0);
            let member = rng.random_range(0..members);
            let zone = rng.random_range(0..zones.max(1));
            let in_zone = |z: usize| (0..members).filter(move |m| m % zones.max(1) == z).collect::<Vec<_>>();
            let fault = match rng.random_range(0..14) {
                0 => Fault::Cut { these: vec![member], those: vec![(member + 1) % members], one_way: false },
                1 => Fault::Cut { these: vec![member], those: vec![(member + 1) % members], one_way: true },
                2 | 3 => {
                    let those = (0..members).filter(|m| m % zones.max(1) != zone).collect();
                    Fault::Cut { these: in_zone(zone), those, one_way: rng.random::<f64>() < 0.3 }
                }
                4 => Fault::Cut {
                    these: vec![member],
                    those: (0..members).filter(|m| *m != member && *m != (member + 1) % members).collect(),
                    one_way: false,
                },
                5 => Fault::Loss { share: 0.1 + 0.2 * rng.random::<f64>() },
                6 => Fault::Slow { member, by_ms: 20.0 + 200.0 * rng.random::<f64>() },
                7 => Fault::Kill { member, folder: Folder::Kept },
                8 | 9 if at_ms > next_disk_loss_ms => {
                    next_disk_loss_ms = at_ms + for_ms + DISK_LOSS_INTERVAL_MS;
                    let folder = if rng.random::<f64>() < 0.6 { Folder::Wiped } else { Folder::Old };
                    Fault::Kill { member, folder }
                }
                10 => Fault::Unready { member },
                11 => Fault::Full { member },
                12 => Fault::Clock { member, by_ms: if member % 2 == 0 { 3.6e6 } else { -3.6e6 } },
                13 if index % 3 == 0 => Fault::KillThird { first: member },
                _ => Fault::Stop { member },
            };
            schedule.steps.push(Step { at_ms, for_ms, fault });
        }
        schedule.steps.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        schedule
    }

    /// Returns the number of distinct fault kinds.
    pub fn kinds(&self) -> usize {
        let kinds: std::collections::BTreeSet<&str> =
            self.steps.iter().map(|step| step.fault.kind()).collect();
        kinds.len()
    }

    /// Returns the end of the fault-free time after the last fault, in milliseconds from the start of the run.
    pub fn ends_ms(&self) -> f64 {
        self.steps.iter().map(|step| step.at_ms + step.for_ms).fold(0.0, f64::max) + FAULT_FREE_MS
    }

    /// Returns a schedule that still fails and from which no single step can be removed. Removes blocks of half the steps
    /// first, then smaller blocks down to single steps.
    pub fn shrink(&self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut smallest = self.clone();
        let mut block_size = (smallest.steps.len() / 2).max(1);
        loop {
            let mut start = 0;
            let count_before = smallest.steps.len();
            while start < smallest.steps.len() {
                let mut candidate = smallest.clone();
                candidate.steps.drain(start..(start + block_size).min(candidate.steps.len()));
                if fails(&candidate) {
                    smallest = candidate;
                } else {
                    start += block_size;
                }
            }
            if block_size == 1 && smallest.steps.len() == count_before {
                return smallest;
            }
            block_size = (block_size / 2).max(1);
        }
    }
}

/// Minimum time between the loss of two data directories, in milliseconds.
const DISK_LOSS_INTERVAL_MS: f64 = 8000.0;

fn member_names(members: &[usize]) -> String {
    let names: Vec<String> = members.iter().map(|member| format!("n{}", member + 1)).collect();
    names.join(",")
}

impl Display for Step {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let Step { at_ms, for_ms, fault } = self;
        write!(out, "{at_ms:.0} {for_ms:.0} {}", fault.kind())?;
        match fault {
            Fault::Cut { these, those, .. } => {
                write!(out, " {} {}", member_names(these), member_names(those))
            }
            Fault::Loss { share } => write!(out, " {share:.3}"),
            Fault::Slow { member, by_ms } | Fault::Clock { member, by_ms } => {
                write!(out, " n{} {by_ms:.0}", member + 1)
            }
            Fault::Kill { member, .. }
            | Fault::Stop { member }
            | Fault::Unready { member }
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

    /// Returns an error that quotes the first invalid line and says what is expected there.
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
            let step = parse_step(&words, schedule.members).ok_or_else(|| {
                wrong("at_ms for_ms kind members, as `plovershelf trial group` prints them")
            })?;
            schedule.steps.push(step);
        }
        Ok(schedule)
    }
}

fn parse_step(words: &[&str], members: usize) -> Option<Step> {
    let [at, duration, kind, rest @ ..] = words else { return None };
    let milliseconds = |word: &str| word.parse::<f64>().ok().filter(|ms| (0.0..=86_400_000.0).contains(ms));
    let member =
        |word: &&str| word.strip_prefix('n')?.parse::<usize>().ok()?.checked_sub(1).filter(|m| *m < members);
    let set = |word: &&str| word.split(',').map(|name| member(&name)).collect::<Option<Vec<usize>>>();
    let number = |word: &&str| word.parse::<f64>().ok().filter(|value| value.is_finite());
    let first_member = || rest.first().and_then(member);
    let fault = match *kind {
        "cut" | "cut-one-way" => Fault::Cut {
            these: set(rest.first()?)?,
            those: set(rest.get(1)?)?,
            one_way: *kind == "cut-one-way",
        },
        "loss" => Fault::Loss { share: number(rest.first()?).filter(|share| (0.0..=1.0).contains(share))? },
        "slow" => Fault::Slow { member: first_member()?, by_ms: number(rest.get(1)?)? },
        "clock" => Fault::Clock { member: first_member()?, by_ms: number(rest.get(1)?)? },
        "kill" => Fault::Kill { member: first_member()?, folder: Folder::Kept },
        "kill-wiped" => Fault::Kill { member: first_member()?, folder: Folder::Wiped },
        "kill-set-back" => Fault::Kill { member: first_member()?, folder: Folder::Old },
        "stop" => Fault::Stop { member: first_member()? },
        "unfit" => Fault::Unready { member: first_member()? },
        "full" => Fault::Full { member: first_member()? },
        "leave" => Fault::Leave { member: first_member()? },
        "kill-third" => Fault::KillThird { first: first_member()? },
        _ => return None,
    };
    Some(Step { at_ms: milliseconds(at)?, for_ms: milliseconds(duration)?, fault })
}

#[cfg(test)]
mod tests;
