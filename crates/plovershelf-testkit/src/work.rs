//! Work that a request asks the test peers to perform, encoded in the request's body.

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request may take effect once per idempotency key and process.
    Keyed,
    /// The request may take effect at most once.
    NonIdempotent,
}

/// Work that one request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkSpec {
    /// Number of the request, shared by all its attempts.
    pub number: u64,
    /// Total processor time, in milliseconds.
    pub work_ms: f64,
    /// Number of outbound calls, spread evenly over the work.
    pub outbound_calls: u32,
    /// Whether the request may take effect more than once.
    pub idempotency: Idempotency,
}

impl WorkSpec {
    /// Encodes the request's body.
    pub fn body(&self) -> Vec<u8> {
        let idempotency = match self.idempotency {
            Idempotency::Idempotent => 'r',
            Idempotency::Keyed => 't',
            Idempotency::NonIdempotent => 'x',
        };
        format!("{} {:.3} {} {idempotency}", self.number, self.work_ms, self.outbound_calls).into_bytes()
    }

    /// Decodes a request's body; returns `None` for a body that [`WorkSpec::body`] cannot have encoded.
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

    /// Returns the result of an execution of this work, which contains the request's number and so differs from that of any
    /// other request.
    pub fn result(&self) -> Vec<u8> {
        format!("made {} of {:.3}", self.number, self.work_ms).into_bytes()
    }
}

#[cfg(test)]
mod tests;
