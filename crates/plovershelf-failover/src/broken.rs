//! Variants that break a promise, to show that tests catch them. Built with the feature `broken` alone.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// What a zone receives may fill it to the brim.
    NoHeadroom,
    /// A zone that is back gets its traffic back at once.
    NoHysteresis,
    /// An older plan is taken over after a newer one, and none ends by itself.
    PlanWithoutFence,
}

#[cfg(feature = "broken")]
mod told {
    use super::Broken;
    use std::cell::Cell;

    thread_local! {
        static NOW: Cell<Option<Broken>> = const { Cell::new(None) };
    }

    /// For this thread alone, so that other tests are not touched.
    pub fn set(broken: Option<Broken>) {
        NOW.set(broken);
    }

    pub fn is(broken: Broken) -> bool {
        NOW.get() == Some(broken)
    }
}

#[cfg(not(feature = "broken"))]
mod told {
    /// Nothing is broken where it serves.
    #[inline(always)]
    pub fn is(_: super::Broken) -> bool {
        false
    }
}

pub use told::*;
