//! The work that a request asks of the test peers, as its body carries it.

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Takes effect once per idempotency key and process.
    Keyed,
    /// Takes effect once at most.
    NonIdempotent,
}

/// What one request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkSpec {
    /// Identifies the request; the same for all its attempts.
    pub number: u64,
    /// Processor time in all, in milliseconds.
    pub work_ms: f64,
    /// Outbound calls, spread evenly over the work.
    pub outbound_calls: u32,
    /// Whether it may take effect more than once.
    pub idempotency: Idempotency,
}

impl WorkSpec {
    /// The request's body.
    pub fn body(&self) -> Vec<u8> {
        let idempotency = match self.idempotency {
            Idempotency::Idempotent => 'r',
            Idempotency::Keyed => 't',
            Idempotency::NonIdempotent => 'x',
        };
        format!("{} {:.3} {} {idempotency}", self.number, self.work_ms, self.outbound_calls).into_bytes()
    }

    /// Reads a request's body; `None` for one that [`WorkSpec::body`] did not make.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let mut words = std::str::from_utf8(body).ok()?.split(' ');
        let number = words.next()?.parse().ok()?;
        let work_ms = words.next()?.parse().ok().filter(|work: &f64| work.is_finite() && *work >= 0.0)?;
        let outbound_calls = words.next()?.parse().ok()?;
        let idempotency = match words.next()? {
            "r" => Idempotency::Idempotent,
            "t" => Idempotency::Keyed,
            "x" => Idempotency::NonIdempotent,
            _ => return None,
        };
        Some(WorkSpec { number, work_ms, outbound_calls, idempotency })
    }

    /// The result that an execution of this work yields, and no other.
    pub fn result(&self) -> Vec<u8> {
        format!("made {} of {:.3}", self.number, self.work_ms).into_bytes()
    }
}

#[cfg(test)]
mod tests;
