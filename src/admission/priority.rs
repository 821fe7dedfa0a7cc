//! Order of request classes by value.
//!
//! *Decides*: the rank of a class, and the quantile range that the classes of a rank take among all classes.
//! *Inputs*: the value of each class (no unit; only the order matters).
//! *Rule*: classes of equal value share a rank; the lowest value has rank 0.
//! *Why*: the source asks for coarse buckets. With a rank per class, the class listed first among equals
//! would starve because of its position in the list.
//! *Source*: CRE life lessons, "Using load shedding to survive a success disaster".
//! *Without it*: shedding and scheduling would disagree on which request goes first.

use crate::api::ClassConfig;

/// Rank and quantile range of a class among all classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Priority {
    /// Index of the class's value among the distinct values, in ascending order.
    pub(super) rank: usize,
    /// Fraction of all classes whose rank is lower, and fraction whose rank is lower or equal.
    pub(super) quantile_from: f64,
    pub(super) quantile_to: f64,
}

/// Priorities of all classes, in the order of the settings.
pub(super) struct Priorities {
    classes: Vec<Priority>,
    ranks: usize,
}

impl Priorities {
    pub(super) fn new(classes: &[ClassConfig]) -> Self {
        let mut values: Vec<f64> = classes.iter().map(|class| class.value).collect();
        values.sort_by(f64::total_cmp);
        values.dedup();
        let all = classes.len() as f64;
        let fraction = |matches: &dyn Fn(f64) -> bool| {
            classes.iter().filter(|class| matches(class.value)).count() as f64 / all
        };
        let priority = |class: &ClassConfig| Priority {
            rank: values.iter().position(|value| *value == class.value).unwrap_or(0),
            quantile_from: fraction(&|other| other < class.value),
            quantile_to: fraction(&|other| other <= class.value),
        };
        Priorities { classes: classes.iter().map(priority).collect(), ranks: values.len() }
    }

    /// Returns the number of ranks.
    pub(super) fn ranks(&self) -> usize {
        self.ranks
    }

    pub(super) fn rank(&self, class: usize) -> usize {
        self.classes[class].rank
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Priority> {
        self.classes.iter()
    }
}

#[cfg(test)]
mod tests;
