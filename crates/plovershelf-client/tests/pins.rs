//! Decisions of the caller's state machine under random events, held against a fixture: every order with its numbers, every time at
//! which it wants to be woken, and its counters. A change of form changes none of them.
//!
//! `cargo test -p plovershelf-client --test pins -- --ignored write_missing_fixture` writes the fixture where there is none; one that is
//! there is left as it is.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use plovershelf::api::{BackpressureSignal, Idempotency};
use plovershelf_client::caller::{CallFacts, CallId, Caller, Counts, Ending, LinkId, Order, Why};
use plovershelf_client::{MemberList, Terms};
use plovershelf_codec::front::client::Response;
use plovershelf_codec::front::ServerSignals;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEEDS: u64 = 12;
const STEPS: usize = 2000;

fn fixture() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/decisions.txt")
}

/// Settings that reach different rules, by name.
fn scenarios() -> Vec<(&'static str, Terms)> {
    let terms = Terms::default;
    vec![
        ("defaults", terms()),
        ("hedged_in_a_subset", Terms { hedge_percentile: Some(90.0), subset: 3, place: Some(5), ..terms() }),
        (
            "by_subject_and_lowest_rank",
            Terms {
                by_subject: true,
                advice: BackpressureSignal::MinimumPriority,
                repeat_share: 0.5,
                ..terms()
            },
        ),
        (
            "outstanding_per_caller_on_narrow_connections",
            Terms {
                advice: BackpressureSignal::ConcurrencyPerClient,
                links_each: 2,
                open_each: 2,
                links: 4,
                repeat_share: 1.0,
                ..terms()
            },
        ),
        (
            "share_of_usual_with_a_quick_breaker",
            Terms {
                advice: BackpressureSignal::RateFraction,
                breaker_least: 1.0,
                breaker_share: 0.1,
                breaker_rest_ms: 50.0,
                breaker_return_ms: 400.0,
                repeat_share: 1.0,
                ..terms()
            },
        ),
        (
            "small_bounds",
            Terms {
                calls: 12,
                call_bytes: 4096,
                offerings: 2,
                links: 2,
                members: 4,
                throttle_times: 1.0,
                throttle_span_ms: 500.0,
                ..terms()
            },
        ),
        (
            "short_spans",
            Terms {
                idle_ms: 120.0,
                idle_last_ms: 400.0,
                probe_after_ms: 40.0,
                probe_patience_ms: 80.0,
                connect_ms: 100.0,
                make_before_break_ms: 100.0,
                reconnect_spread_ms: 200.0,
                reconnect_most_ms: 600.0,
                reconnects: 2.0,
                repeat_share: 1.0,
                hedge_percentile: Some(60.0),
                ..terms()
            },
        ),
    ]
}

struct Played {
    caller: Caller,
    random: Pcg64,
    now: f64,
    asked: Vec<LinkId>,
    up: Vec<LinkId>,
    out: Vec<(LinkId, i32)>,
    calls: Vec<CallId>,
    overloaded: bool,
    trace: Trace,
}

/// Folds what is traced into a hash (FNV-1a), as the text of some thousand orders is long.
struct Trace {
    hash: u64,
    orders: usize,
    line: String,
}

impl Trace {
    fn fold(&mut self) {
        for byte in self.line.bytes() {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        self.line.clear();
    }
}

fn ending_text(ending: &Ending) -> String {
    let time = |ms: &Option<f64>| ms.map_or("-".to_string(), |ms| format!("{ms:.3}"));
    match ending {
        Ending::Succeeded => "a".to_string(),
        Ending::Dismissed { come_back_ms, last } => format!("b {} {last}", time(come_back_ms)),
        Ending::Scrapped { may_have_run } => format!("c {may_have_run}"),
        Ending::OutOfTime { may_have_run } => format!("d {may_have_run}"),
        Ending::GivenUp { why, come_back_ms } => {
            let why = match why {
                Why::Full => 0,
                Why::Throttled => 1,
                Why::Advised => 2,
                Why::Nobody => 3,
                Why::Closed => 4,
            };
            format!("e {why} {}", time(come_back_ms))
        }
    }
}

fn counts_of(counts: &Counts) -> [u64; 18] {
    [
        counts.calls,
        counts.first_tries,
        counts.repeats,
        counts.hedges,
        counts.resent,
        counts.succeeded,
        counts.dismissed,
        counts.scrapped,
        counts.out_of_time,
        counts.given_up,
        counts.cancelled,
        counts.unpaid,
        counts.throttled,
        counts.connects,
        counts.connects_failed,
        counts.links_lost,
        counts.faults,
        counts.late_answers,
    ]
}

impl Played {
    fn take_orders(&mut self) {
        loop {
            let orders = self.caller.take_orders();
            if orders.is_empty() {
                break;
            }
            for order in orders {
                self.trace.orders += 1;
                self.take(&order);
                self.trace.fold();
            }
        }
        let wake = self.caller.next_wake().map_or("-".to_string(), |at| format!("{at:.3}"));
        let _ = write!(self.trace.line, "W {wake};");
        self.trace.fold();
    }

    fn take(&mut self, order: &Order) {
        if let Order::Close { link } = order {
            self.forget(*link);
        }
        let line = &mut self.trace.line;
        let _ = match order {
            Order::Connect { link, to } => {
                self.asked.push(*link);
                write!(line, "C {} {to};", link.0)
            }
            Order::Send { link, seqid, call, waits_ms, marked } => {
                self.out.push((*link, *seqid));
                write!(line, "S {} {seqid} {} {waits_ms:.3} {marked};", link.0, call.0)
            }
            Order::Cancel { link, seqid } => {
                // Half of what is given up is answered all the same.
                if seqid % 2 == 0 {
                    self.out.retain(|out| out != &(*link, *seqid));
                }
                write!(line, "X {} {seqid};", link.0)
            }
            Order::Probe { link, seqid } => {
                if link.0 % 5 != 0 {
                    self.out.push((*link, -seqid));
                }
                write!(line, "P {} {seqid};", link.0)
            }
            Order::Close { link } => write!(line, "Z {};", link.0),
            Order::Finish { call, ending } => {
                self.calls.retain(|other| other != call);
                write!(line, "F {} {};", call.0, ending_text(ending))
            }
        };
    }

    fn forget(&mut self, link: LinkId) {
        self.asked.retain(|other| *other != link);
        self.up.retain(|other| *other != link);
        self.out.retain(|(other, _)| *other != link);
    }

    fn pick<T: Copy>(&mut self, of: fn(&Self) -> &Vec<T>) -> Option<T> {
        let count = of(self).len();
        (count > 0).then(|| self.random.random_range(0..count)).map(|place| of(self)[place])
    }

    /// Answers something that is out; health checks stand there by negative numbers.
    fn answer(&mut self) {
        let Some((link, seqid)) = self.pick(|played| &played.out) else { return };
        self.out.retain(|out| out != &(link, seqid));
        let signals = ServerSignals {
            backpressure: self.random.random_bool(0.3).then(|| self.random.random_range(0.0..1.5)),
            retry_after_ms: self.random.random_bool(0.2).then(|| self.random.random_range(1.0..300.0)),
            no_retry_elsewhere: self.random.random_bool(0.2),
        };
        let permanent = self.random.random_bool(0.5);
        let heard = if seqid < 0 {
            Response::Health { seqid: -seqid, ready: self.random.random_bool(0.8), signals }
        } else {
            // Overloaded members dismiss most; a stray answer is rare, as it ends its connection.
            let kind = self.random.random_range(0..60);
            match if self.overloaded && kind < 33 { 34 } else { kind } {
                0..33 => Response::Succeeded { seqid, result: b"", signals },
                33..47 => Response::Rejected { seqid, signals },
                47..56 => Response::Failed { seqid, signals },
                56..59 => Response::Exception { seqid, permanent, what: b"" },
                _ => Response::Succeeded { seqid: 1 << 20, result: b"", signals },
            }
        };
        self.caller.heard(self.now, link, &heard);
    }

    fn connect(&mut self) {
        let Some(link) = self.pick(|played| &played.asked) else { return };
        self.asked.retain(|other| *other != link);
        if self.random.random_bool(0.85) {
            self.up.push(link);
            self.caller.connected(self.now, link);
        } else {
            self.caller.not_connected(self.now, link);
        }
    }

    fn call(&mut self) {
        let repeats = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
        let offering = ["quote", "plan", "checkout"][self.random.random_range(0..3)];
        let facts = CallFacts {
            offering: offering.into(),
            repeats: repeats[self.random.random_range(0..3)],
            rank: self.random.random(),
            due: self.now + self.random.random_range(5.0..1500.0),
            subject: self.random.random_range(0..4),
            bytes: self.random.random_range(1..600),
        };
        let id = self.caller.call(self.now, facts);
        self.calls.push(id);
    }

    fn pass(&mut self, span_ms: f64) {
        let end = self.now + span_ms;
        while let Some(at) = self.caller.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.caller.woke(self.now);
            self.take_orders();
        }
        self.now = end;
    }

    fn list(&mut self) {
        let from: u16 = self.random.random_range(0..4);
        let count: u16 = self.random.random_range(0..7);
        let all: Vec<SocketAddr> =
            (from..from + count).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
        self.caller.list(self.now, &MemberList::of(&all));
    }

    fn step(&mut self) {
        match self.random.random_range(0..1000) {
            0..200 => self.call(),
            200..520 => self.answer(),
            520..700 => self.connect(),
            700..960 => {
                let span_ms = self.random.random_range(0.0..40.0);
                self.pass(span_ms);
            }
            960..975 => {
                if let Some(id) = self.pick(|played| &played.calls) {
                    self.calls.retain(|other| *other != id);
                    self.caller.cancelled(self.now, id);
                }
            }
            975..985 => {
                if let Some(link) = self.pick(|played| &played.up) {
                    self.forget(link);
                    let garbled = self.random.random_bool(0.3);
                    self.caller.ended(self.now, link, garbled);
                }
            }
            985..992 => {
                if let Some(link) = self.pick(|played| &played.up) {
                    self.caller.heard(self.now, link, &Response::Closing);
                }
            }
            992..996 => self.pass(700.0),
            996..999 => self.list(),
            _ => self.caller.woke(self.now - 500.0),
        }
        self.take_orders();
    }
}

/// A line of the fixture: name, seed, orders, hash of the trace, counters.
fn play(name: &str, terms: Terms, seed: u64) -> String {
    let all: Vec<SocketAddr> = (0..5).map(|n| SocketAddr::from(([127, 0, 0, 1], 9000 + n))).collect();
    let mut caller = Caller::new(Terms { seed, ..terms }).expect("terms within their ranges");
    caller.list(0.0, &MemberList::of(&all));
    let mut played = Played {
        caller,
        random: Pcg64::seed_from_u64(seed + 1000),
        now: 1.0,
        asked: Vec::new(),
        up: Vec::new(),
        out: Vec::new(),
        calls: Vec::new(),
        overloaded: name == "small_bounds",
        trace: Trace { hash: 0xcbf2_9ce4_8422_2325, orders: 0, line: String::new() },
    };
    for _ in 0..STEPS {
        played.step();
    }
    let _ = write!(played.trace.line, "{} {};", played.caller.open(), played.caller.links());
    played.trace.fold();
    played.caller.close(played.now);
    played.take_orders();
    let counts = counts_of(&played.caller.counts()).map(|count| count.to_string()).join(",");
    format!("{name} {seed} {} {:016x} {counts}", played.trace.orders, played.trace.hash)
}

fn all_lines() -> Vec<String> {
    let each = |(name, terms): (&'static str, Terms)| {
        (1..=SEEDS).map(move |seed| play(name, terms.clone(), seed)).collect::<Vec<_>>()
    };
    scenarios().into_iter().flat_map(each).collect()
}

#[test]
fn decisions_under_random_events_are_the_pinned_ones() {
    let text = std::fs::read_to_string(fixture()).expect("the fixture is there");
    let pinned: Vec<&str> = text.lines().collect();
    let played = all_lines();
    for (pinned, played) in pinned.iter().zip(&played) {
        assert_eq!(pinned, played);
    }
    assert_eq!(pinned.len(), played.len());
}

#[test]
#[ignore = "writes the fixture where there is none"]
fn write_missing_fixture() {
    if !fixture().exists() {
        std::fs::write(fixture(), all_lines().join("\n") + "\n").expect("written");
    }
}
