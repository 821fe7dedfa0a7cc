//! What an invocation asks of the stand-ins, written into its body: which one it is, how much work, how many calls, and
//! whether it may run twice.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Rerunnable,
    Ticketed,
    Exclusive,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The same for all tries of one invocation.
    pub number: u64,
    pub work_ms: f64,
    pub calls: u32,
    pub effect: Effect,
}

impl Work {
    pub fn body(&self) -> Vec<u8> {
        let effect = match self.effect {
            Effect::Rerunnable => 'r',
            Effect::Ticketed => 't',
            Effect::Exclusive => 'x',
        };
        format!("{} {:.3} {} {effect}", self.number, self.work_ms, self.calls).into_bytes()
    }

    /// `None` for a body that no stand-in caller wrote.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let mut words = std::str::from_utf8(body).ok()?.split(' ');
        let number = words.next()?.parse().ok()?;
        let work_ms = words.next()?.parse().ok().filter(|work: &f64| work.is_finite() && *work >= 0.0)?;
        let calls = words.next()?.parse().ok()?;
        let effect = match words.next()? {
            "r" => Effect::Rerunnable,
            "t" => Effect::Ticketed,
            "x" => Effect::Exclusive,
            _ => return None,
        };
        Some(Work { number, work_ms, calls, effect })
    }

    /// What a run of it makes, and nothing else does.
    pub fn result(&self) -> Vec<u8> {
        format!("made {} of {:.3}", self.number, self.work_ms).into_bytes()
    }
}

#[cfg(test)]
mod tests;
