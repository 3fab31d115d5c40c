//! The memory that is counted for jobs.

use std::mem::size_of_val;

use crate::JobRecord;
use crate::StepPlan;
use crate::fleet_scheduler::MAX_OPEN_OCCURRENCES;

/// What a live job takes beside its parts, in bytes.
const JOB_BYTES: u64 = 2_048;
/// What a step takes beside its plan, in bytes: the state of its unit, or those that its units have in common.
const STEP_BYTES: u64 = 512;
/// What a unit takes in bytes, whether it is far ahead or done.
const UNIT_BYTES: u64 = 128;
/// What a unit takes beside that in bytes while its tasks wait and are tried.
const OPEN_UNIT_BYTES: u64 = 512;
/// What a task takes in bytes, whether it waits or is done, with the copies of a record that is written to the
/// store. The tasks that run have more; the workers bound their number.
const TASK_BYTES: u64 = 24;
/// The maximum size of a job's record in the store in bytes, with all progress that may be added.
const MAX_RECORD_BYTES: u64 = 960 * 1024;

impl JobRecord {
    /// Returns the memory in bytes that is counted for the job as long as it has not ended.
    pub fn memory_bytes(&self) -> u64 {
        let steps = &self.request.steps;
        let plans: u64 = steps.iter().map(plan_bytes).sum();
        let mut parts = self.unit_count().saturating_mul(UNIT_BYTES);
        if self.request.occurrences() > 1 {
            let open = self.request.occurrences().min(MAX_OPEN_OCCURRENCES);
            let open_units = steps.len() as u64 * u64::from(open);
            parts = parts.saturating_add(open_units.saturating_mul(OPEN_UNIT_BYTES));
        }
        let parts = parts.saturating_add(self.task_count().saturating_mul(TASK_BYTES));
        let spec = self.request.spec.len() as u64;
        (JOB_BYTES + spec + plans).saturating_add(parts)
    }

    /// Returns whether the record, whose size is now `bytes`, may outgrow what the store takes once all tasks
    /// are done.
    pub fn may_outgrow_store(&self, bytes: usize) -> bool {
        // Each index and each unit take at most as many bytes as their number in groups of seven bits.
        let index = |step: &StepPlan| u64::from(step.tasks) * varint_bytes(step.tasks);
        let indices: u64 = self.request.steps.iter().map(index).sum();
        let occurrences = u64::from(self.request.occurrences());
        let unit = varint_bytes(self.unit_count().min(u32::MAX.into()) as u32) + 4;
        let progress = indices.saturating_mul(occurrences);
        let progress = progress.saturating_add(self.unit_count().saturating_mul(unit));
        progress.saturating_add(bytes as u64) > MAX_RECORD_BYTES
    }

    /// Returns the number of units.
    fn unit_count(&self) -> u64 {
        self.request.steps.len() as u64 * u64::from(self.request.occurrences())
    }

    /// Returns the number of tasks of all units.
    fn task_count(&self) -> u64 {
        let tasks: u64 =
            self.request.steps.iter().map(|step| u64::from(step.tasks)).sum();
        tasks.saturating_mul(self.request.occurrences().into())
    }
}

/// Returns the memory that is counted for the plan of a step in bytes.
fn plan_bytes(step: &StepPlan) -> u64 {
    let names = step.required_label.iter().chain(&step.affinity);
    let names: usize = names.map(|name| name.len() + 2 * size_of::<usize>()).sum();
    let after = size_of_val(&step.after[..]);
    STEP_BYTES + (size_of::<StepPlan>() + names + after) as u64
}

/// Returns the number of bytes that a number below `limit` takes in a record at most.
fn varint_bytes(limit: u32) -> u64 {
    u64::from((u32::BITS - limit.leading_zeros()).max(1).div_ceil(7))
}
