//! All sizes, counts and times that bound a caller, and what they may be.

use plovershelf::api::BackpressureSignal;

/// The bounds of one caller. Times are milliseconds. The defaults suit most; [`Terms::check`] names what can't be.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// For all chance; 0 has one drawn at the start. Callers of one fleet must differ in it, as the spread of their
    /// reconnects hangs on it.
    pub seed: u64,
    /// This caller's place among its fleet, from 0. Places in a row give the most even subsets; without one the
    /// place follows from the seed.
    pub place: Option<u64>,
    /// Calls about the same subject go to the same member as long as that has no more than its part.
    pub by_subject: bool,
    /// Calls open at once, and what their bodies may take together. One more is given up at once.
    pub calls: usize,
    pub call_bytes: usize,
    /// Offerings that are told apart; those beyond share their tallies.
    pub offerings: usize,
    /// Open calls on one connection; connections to one member, and in all.
    pub open_each: usize,
    pub links_each: usize,
    pub links: usize,
    /// Members that are talked to, of however many are listed.
    pub subset: usize,
    /// Members in a list; one that names more is taken as far as this.
    pub members: usize,
    /// Repeats in any second, as a share of the first tries in it, and one more in each span, however few those are.
    pub repeat_share: f64,
    pub repeat_floor_ms: f64,
    /// Calls are turned away here once members accept less than one in so many, by offering, over the span.
    pub throttle_times: f64,
    pub throttle_span_ms: f64,
    /// What the way there and back is taken for until it is known.
    pub way_ms: f64,
    /// How long the quickest and the mean time of an offering look back.
    pub times_span_ms: f64,
    /// What callers take the advised value for, and how long it is heeded.
    pub advice: BackpressureSignal,
    pub heeded_ms: f64,
    /// No wait that a member names is believed to be longer.
    pub cool_down_most_ms: f64,
    /// A request that was written less than this before `closing` was heard, and never answered, was never read.
    pub crossing_ms: f64,
    /// A member that closes connections in use is chosen last for so long.
    pub leaving_ms: f64,
    /// A breaker opens at this share of failures, of at least so many within the span; then it rests, longer each
    /// time up to the most, and comes back over the last span.
    pub breaker_share: f64,
    pub breaker_least: f64,
    pub breaker_span_ms: f64,
    pub breaker_rest_ms: f64,
    pub breaker_rest_most_ms: f64,
    pub breaker_return_ms: f64,
    /// Where less than this share of the members looks well, breakers are not believed.
    pub believe_list_under: f64,
    /// A member that was lost is met again within this span, at the caller's own place in it; later tries fall at
    /// random within the second.
    pub reconnect_spread_ms: f64,
    pub reconnect_most_ms: f64,
    /// Reconnects in hand at first and at most, and how many more a second.
    pub reconnects: f64,
    pub reconnects_a_second: f64,
    /// A connection is made within this, or was refused.
    pub connect_ms: f64,
    /// A connection with calls out that has said nothing for the one span is asked for its health, and given up
    /// when that is not answered within the other.
    pub probe_after_ms: f64,
    pub probe_patience_ms: f64,
    /// A connection without calls is closed after this, unless it is its member's only one and the other span is
    /// not over.
    pub idle_ms: f64,
    pub idle_last_ms: f64,
    /// Those that left the list still serve for so long where no other member is connected.
    pub make_before_break_ms: f64,
    /// Second copies of slow rerunnable calls, sent when a call takes longer than so many in a hundred did.
    pub hedge_percentile: Option<f64>,
    /// Between two looks at idle, silent and slow connections.
    pub sweep_ms: f64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            seed: 0,
            place: None,
            by_subject: false,
            calls: 4096,
            call_bytes: 8 << 20,
            offerings: 64,
            open_each: 32,
            links_each: 4,
            links: 64,
            subset: 20,
            members: 10_000,
            repeat_share: 0.07,
            repeat_floor_ms: 10_000.0,
            throttle_times: 2.0,
            throttle_span_ms: 10_000.0,
            way_ms: 1.0,
            times_span_ms: 5000.0,
            advice: BackpressureSignal::None,
            heeded_ms: 1000.0,
            cool_down_most_ms: 60_000.0,
            crossing_ms: 50.0,
            leaving_ms: 1000.0,
            breaker_share: 0.5,
            breaker_least: 5.0,
            breaker_span_ms: 5000.0,
            breaker_rest_ms: 250.0,
            breaker_rest_most_ms: 10_000.0,
            breaker_return_ms: 3000.0,
            believe_list_under: 0.5,
            reconnect_spread_ms: 3000.0,
            reconnect_most_ms: 4000.0,
            reconnects: 10.0,
            reconnects_a_second: 2.0,
            connect_ms: 1000.0,
            probe_after_ms: 250.0,
            probe_patience_ms: 500.0,
            idle_ms: 5000.0,
            idle_last_ms: 60_000.0,
            make_before_break_ms: 5000.0,
            hedge_percentile: None,
            sweep_ms: 50.0,
        }
    }
}

impl Terms {
    /// The first figure that is out of its range, by its name with what would be right.
    pub fn check(&self) -> Result<(), String> {
        let counts = [
            ("calls", self.calls, 1, 1_000_000),
            ("call_bytes", self.call_bytes, 2048, 1 << 30),
            ("offerings", self.offerings, 1, 4096),
            ("open_each", self.open_each, 1, 32),
            ("links_each", self.links_each, 1, 64),
            ("links", self.links, 1, 4096),
            ("subset", self.subset, 1, 1000),
            ("members", self.members, 1, 100_000),
        ];
        for (name, value, least, most) in counts {
            if !(least..=most).contains(&value) {
                return Err(format!("{name} = {value}: a whole number from {least} to {most}"));
            }
        }
        let hour = 3_600_000.0;
        let measures = [
            ("repeat_share", self.repeat_share, 0.0, 1.0),
            ("repeat_floor_ms", self.repeat_floor_ms, 100.0, hour),
            ("throttle_times", self.throttle_times, 1.0, 1000.0),
            ("throttle_span_ms", self.throttle_span_ms, 100.0, hour),
            ("way_ms", self.way_ms, 0.0, 10_000.0),
            ("times_span_ms", self.times_span_ms, 100.0, hour),
            ("heeded_ms", self.heeded_ms, 0.0, hour),
            ("cool_down_most_ms", self.cool_down_most_ms, 0.0, hour),
            ("crossing_ms", self.crossing_ms, 0.0, 50.0),
            ("leaving_ms", self.leaving_ms, 0.0, hour),
            ("breaker_share", self.breaker_share, 0.05, 1.0),
            ("breaker_least", self.breaker_least, 1.0, 10_000.0),
            ("breaker_span_ms", self.breaker_span_ms, 100.0, hour),
            ("breaker_rest_ms", self.breaker_rest_ms, 1.0, hour),
            ("breaker_rest_most_ms", self.breaker_rest_most_ms, self.breaker_rest_ms, hour),
            ("breaker_return_ms", self.breaker_return_ms, 0.0, hour),
            ("believe_list_under", self.believe_list_under, 0.0, 1.0),
            ("reconnect_spread_ms", self.reconnect_spread_ms, 0.0, hour),
            ("reconnect_most_ms", self.reconnect_most_ms, 1.0, hour),
            ("reconnects", self.reconnects, 1.0, 10_000.0),
            ("reconnects_a_second", self.reconnects_a_second, 0.01, 10_000.0),
            ("connect_ms", self.connect_ms, 1.0, hour),
            ("probe_after_ms", self.probe_after_ms, 1.0, hour),
            ("probe_patience_ms", self.probe_patience_ms, 1.0, hour),
            ("idle_ms", self.idle_ms, 1.0, hour),
            ("idle_last_ms", self.idle_last_ms, self.idle_ms, hour),
            ("make_before_break_ms", self.make_before_break_ms, 0.0, hour),
            ("hedge_percentile", self.hedge_percentile.unwrap_or(95.0), 50.0, 99.9),
            ("sweep_ms", self.sweep_ms, 1.0, 10_000.0),
        ];
        for (name, value, least, most) in measures {
            if !(least..=most).contains(&value) {
                return Err(format!("{name} = {value}: a number from {least} to {most}"));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
