//! The units of a job whose tasks a pass tries to place.

use std::ops::Range;
use std::time::Duration;
use std::vec::IntoIter;

use super::job_state::JobState;

/// The maximum number of occurrences of a step whose waiting tasks are tried at a time. Later ones begin when
/// earlier ones have no more waiting tasks, and until then take no time and no memory.
pub(crate) const MAX_OPEN_OCCURRENCES: u32 = 256;

/// The units whose waiting tasks are tried.
#[derive(Debug)]
pub(super) enum OpenUnits {
    /// All that are due.
    Due(Range<u32>),
    /// The first ones of each step.
    First(IntoIter<u32>),
}

impl Iterator for OpenUnits {
    type Item = u32;

    fn next(&mut self) -> Option<u32> {
        match self {
            OpenUnits::Due(units) => units.next(),
            OpenUnits::First(units) => units.next(),
        }
    }
}

impl JobState {
    /// Returns the units whose waiting tasks are tried at a time since the Unix epoch.
    pub(super) fn open_units(&self, unix_time: Duration) -> OpenUnits {
        let due = self.due_units(unix_time);
        let steps = self.record.request.steps.len();
        if due.len() <= steps * MAX_OPEN_OCCURRENCES as usize {
            return OpenUnits::Due(due);
        }
        let mut open = vec![0; steps];
        let mut units = Vec::new();
        for unit in due {
            let count = &mut open[unit as usize % steps];
            if self.units[unit as usize].waiting > 0 && *count < MAX_OPEN_OCCURRENCES {
                *count += 1;
                units.push(unit);
            }
            if units.len() == steps * MAX_OPEN_OCCURRENCES as usize {
                break;
            }
        }
        OpenUnits::First(units.into_iter())
    }
}
