//! Learned durations of tasks, by queue.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::ratio_estimate::DurationRatio;
use crate::ratio_estimate::RatioChange;
use crate::ratio_estimate::RatioEstimate;

/// The maximum number of classes; the one without an end for the longest time is dropped.
const MAX_CLASSES: usize = 512;

/// The tasks whose durations are learned together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DurationClass {
    /// The queue.
    pub queue: Name,
    /// Whether the tasks are gangs, which take as long as their slowest member.
    pub gang: bool,
}

/// Learns by which factor the durations of tasks differ from their clients' estimates.
///
/// The estimates hold until enough ends of a queue are known, and again when its ends have become
/// too old.
#[derive(Debug, Default)]
pub struct DurationModel {
    classes: HashMap<DurationClass, RatioEstimate>,
    revision: u64,
}

impl DurationModel {
    /// Adds the end of a run that was done, or of a gang. `observed` is how long the run would have
    /// taken on an ordinary worker. Returns the change of the ratio if it is worth a report.
    pub fn observe(
        &mut self,
        class: &DurationClass,
        estimate: Duration,
        observed: Duration,
        now: Duration,
    ) -> Option<RatioChange> {
        if estimate.is_zero() || observed.is_zero() {
            return None;
        }
        if !self.classes.contains_key(class) {
            self.make_room();
        }
        let ratio = self.classes.entry(class.clone()).or_default();
        if ratio.observe(estimate, observed, now) {
            self.revision += 1;
        }
        ratio.take_change()
    }

    /// Returns the learned ratio of a class, or `None` while the clients' estimates hold.
    pub fn ratio(&self, class: &DurationClass) -> Option<DurationRatio> {
        self.classes.get(class).and_then(RatioEstimate::published)
    }

    /// Returns a number that rises with each change of a ratio.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the classes with their learned ratios and numbers of ends.
    pub fn classes(
        &self,
    ) -> impl Iterator<Item = (&DurationClass, Option<DurationRatio>, u64)> {
        let classes = self.classes.iter();
        classes.map(|(class, ratio)| (class, ratio.published(), ratio.ends()))
    }

    /// Drops the class without an end for the longest time if there are too many.
    fn make_room(&mut self) {
        if self.classes.len() < MAX_CLASSES {
            return;
        }
        let oldest = self.classes.iter().min_by_key(|(_, ratio)| ratio.updated());
        if let Some(class) = oldest.map(|(class, _)| class.clone()) {
            self.classes.remove(&class);
            self.revision += 1;
        }
    }
}
