//! Jobs that were cancelled before they arrived.
//!
//! A submission may arrive after the cancellation of its job, since an attempt was held up on its way: by a
//! process that was suspended, or by a slow connection. The client has been told that there is no such job,
//! so the attempt must not bring it about.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::BootTime;

/// How long attempts to submit a job are refused after its cancellation. Those that were sent before the
/// cancellation have arrived by then, or were given up.
const RETENTION: Duration = Duration::from_secs(15);
/// The maximum number of jobs that are remembered; beyond it, the oldest are forgotten.
const MAX_JOBS: usize = 10_000;

/// The jobs that were cancelled before they arrived.
#[derive(Debug, Default)]
pub struct WithdrawnJobs {
    /// When each job was cancelled last.
    cancelled: HashMap<Name, BootTime>,
    /// The cancellations in their order.
    order: VecDeque<(BootTime, Name)>,
}

impl WithdrawnJobs {
    /// Records that a job was cancelled that is not known.
    pub fn add(&mut self, job: &Name, now: BootTime) {
        self.remove_expired(now);
        if self.order.len() >= MAX_JOBS {
            self.remove_oldest();
        }
        self.cancelled.insert(job.clone(), now);
        self.order.push_back((now, job.clone()));
    }

    /// Returns whether attempts to submit a job are refused.
    pub fn refuses(&self, job: &Name, now: BootTime) -> bool {
        self.cancelled.get(job).is_some_and(|&cancelled| now < cancelled + RETENTION)
    }

    /// Forgets the jobs whose attempts are no longer refused.
    fn remove_expired(&mut self, now: BootTime) {
        while self.order.front().is_some_and(|(at, _)| *at + RETENTION <= now) {
            self.remove_oldest();
        }
    }

    /// Forgets the oldest cancellation, and its job unless it was cancelled again since.
    fn remove_oldest(&mut self) {
        let Some((at, job)) = self.order.pop_front() else { return };
        if self.cancelled.get(&job) == Some(&at) {
            self.cancelled.remove(&job);
        }
    }
}
