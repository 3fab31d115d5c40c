//! The choice of workers for tasks that wait.

use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::PermissionRequest;
use crate::RunStart;
use crate::StepPlan;
use crate::WorkerKey;

use super::FleetScheduler;
use super::job_slot::JobKey;
use super::job_slot::JobLateness;
use super::job_slot::PlacePhase;
use super::job_slot::TaskPlace;
use super::job_slot::TaskRef;
use super::permissions::Permit;
use super::worker_slot::WorkerSlot;

/// The orders and questions of one pass.
#[derive(Debug, Default)]
pub struct PlacementRound {
    /// The tasks to start.
    pub starts: Vec<RunStart>,
    /// The questions to the permission service.
    pub requests: Vec<PermissionRequest>,
    /// The long questions that may still be asked.
    long_requests: usize,
}

/// A worker that could take tasks of a step.
#[derive(Debug, Clone)]
pub(super) struct RoomOffer {
    /// The worker.
    pub(super) worker: WorkerKey,
    /// The number of the step's tasks that fit now.
    pub(super) fits: u32,
    /// What is known of the permission.
    pub(super) permit: Permit,
    /// The order of preference; the least goes first.
    rank: (bool, bool, bool, u64, WorkerKey),
}

impl FleetScheduler {
    /// Places the tasks that wait; `wall` is the time since 1970, `long_requests` the number of long
    /// questions that can be asked at once.
    pub fn place(
        &mut self,
        wall: Duration,
        now: BootTime,
        long_requests: usize,
    ) -> PlacementRound {
        let mut round = PlacementRound { long_requests, ..PlacementRound::default() };
        let unseen = self.unseen_runs(now);
        self.accounts.set_unseen(self.unseen_use(&unseen, now));
        for key in self.by_urgency(wall) {
            if self.may_run_unseen(key, &unseen, now) {
                continue;
            }
            for unit in 0..self.jobs[key].units.len() as u32 {
                if self.due(key, unit, wall)
                    && !self.settle_claim(key, unit, now, &mut round)
                {
                    self.place_unit(key, unit, wall, now, &mut round);
                }
            }
        }
        round
    }

    /// Returns the open jobs by urgency; of one urgency, those go first that can still be in time.
    fn by_urgency(&self, wall: Duration) -> Vec<JobKey> {
        let mut open: Vec<(u32, JobLateness, u64, JobKey)> = self
            .open
            .iter()
            .map(|&(priority, serial, key)| {
                (priority, self.jobs[key].lateness(wall), serial, key)
            })
            .collect();
        open.sort_unstable();
        open.into_iter().map(|(_, _, _, key)| key).collect()
    }

    /// Returns whether a unit has tasks that wait and whose turn has come.
    fn due(&self, key: JobKey, unit: u32, wall: Duration) -> bool {
        let job = &self.jobs[key];
        let slot = &job.units[unit as usize];
        let schedule = job.record.request.schedule;
        slot.waiting > 0
            && schedule.is_none_or(|schedule| schedule.due(slot.occurrence) <= wall)
            && job.ready(unit)
    }

    /// Places as many tasks of a unit as possible, or asks for the permission to.
    fn place_unit(
        &mut self,
        key: JobKey,
        unit: u32,
        wall: Duration,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[key];
        let plan = job.plan(unit).clone();
        let waiting = job.units[unit as usize].waiting as usize;
        let quota = self.accounts.allows(&job.record.account, &plan.reserved());
        let needed = waiting.min(usize::try_from(quota).unwrap_or(usize::MAX));
        let partial = plan.gang && (waiting < plan.tasks as usize || needed < waiting);
        if needed == 0 || partial {
            return;
        }
        let mut offers = self.offers(key, unit, &plan, now);
        if plan.same_rack {
            self.sort_by_rack(key, unit, needed, &mut offers);
        }
        let valid = |offer: &RoomOffer| matches!(offer.permit, Permit::Valid(_));
        let chosen = choose(&offers, needed, valid);
        if chosen.len() == needed {
            self.start(key, unit, &chosen, now, round);
            return;
        }
        let known = |offer: &RoomOffer| valid(offer) || offer.permit == Permit::Expired;
        let renewable = choose(&offers, needed, known);
        if plan.gang {
            if renewable.len() == needed {
                self.renew(key, unit, &renewable, true, now, round);
            } else if self.may_search(key, unit, now) {
                if !self.fits_once_cleared(key, unit, needed, now) {
                    self.request_more(key, unit, &plan, needed, now, round);
                }
                self.clear_for_gang(key, unit, needed, wall, now, round);
            }
            return;
        }
        self.start(key, unit, &chosen, now, round);
        let left = needed - chosen.len();
        if renewable.len() > chosen.len() {
            self.renew(key, unit, &renewable, false, now, round);
        } else {
            self.request_more(key, unit, &plan, left, now, round);
        }
        self.preempt(key, unit, left, wall, now);
    }

    /// Returns the workers that have room for a unit's tasks, the preferred ones first.
    pub(super) fn offers(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        now: BootTime,
    ) -> Vec<RoomOffer> {
        let mut offers = Vec::new();
        let job = &self.jobs[key];
        if job.record.rules.permission.is_none() {
            let offer = |worker| self.offer(key, unit, plan, worker, now);
            offers.extend(self.workers.keys().filter_map(offer));
        } else {
            let granted = job.units[unit as usize].permissions.iter();
            let granted = granted.filter(|(_, grant)| grant.is_some());
            for worker in granted.filter_map(|(id, _)| self.worker_ids.get(id)) {
                offers.extend(self.offer(key, unit, plan, *worker, now));
            }
        }
        offers.sort_by_key(|offer| offer.rank);
        offers
    }

    /// Returns what a worker has for a unit's tasks, unless it has no room or may not run them.
    fn offer(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        worker: WorkerKey,
        now: BootTime,
    ) -> Option<RoomOffer> {
        let slot = &self.workers[worker];
        if !slot.usable(now) || !self.suits(key, plan, slot) {
            return None;
        }
        let interfering = self.interfering(plan, slot).next().is_some();
        if interfering && plan.best_effort {
            return None;
        }
        let free = slot.free();
        let fits = self.fits(key, unit, plan, worker, &free);
        if fits == 0 {
            return None;
        }
        let permit = self.permit(key, unit, &slot.info.id, now);
        let far = plan.affinity.as_ref().is_some_and(|r| !slot.info.labels.contains(r));
        let rank = (slot.failures > 0, interfering, far, free.cpu_millis, worker);
        let possible = !matches!(permit, Permit::Denied | Permit::Unasked);
        possible.then_some(RoomOffer { worker, fits, permit, rank })
    }

    /// Returns the tasks of a worker that tasks of a step would disturb, or be disturbed by.
    fn interfering(
        &self,
        plan: &StepPlan,
        slot: &WorkerSlot,
    ) -> impl Iterator<Item = TaskRef> {
        let sensitive = plan.best_effort || plan.latency_target.is_some();
        let places = slot.places.iter().copied().filter(move |_| sensitive);
        places.filter(|task| plan.interferes_with(self.jobs[task.job].plan(task.unit)))
    }

    /// Returns whether a worker may run tasks of a step at all.
    pub(super) fn suits(&self, key: JobKey, plan: &StepPlan, slot: &WorkerSlot) -> bool {
        let labelled = plan
            .required_label
            .as_ref()
            .is_none_or(|label| slot.info.labels.contains(label));
        labelled && slot.info.service == self.jobs[key].record.rules.service
    }

    /// Returns how many tasks of a unit fit into room on a worker.
    pub(super) fn fits(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        worker: WorkerKey,
        room: &ResourceVector,
    ) -> u32 {
        let fits = times(&plan.reserved(), room);
        if plan.max_per_worker == 0 {
            return fits;
        }
        let here = self.workers[worker].places.iter();
        let taken = here.filter(|task| task.job == key && task.unit == unit).count();
        fits.min(plan.max_per_worker.saturating_sub(taken as u32))
    }

    /// Starts tasks of a unit on the chosen workers.
    pub(super) fn start(
        &mut self,
        key: JobKey,
        unit: u32,
        chosen: &[WorkerKey],
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let slot = &self.jobs[key].units[unit as usize];
        let indices: Vec<u32> = slot
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.waits())
            .map(|(index, _)| index as u32)
            .collect();
        let gang = self.jobs[key].plan(unit).gang;
        let highest = slot.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        let shared = slot.tasks.iter().find_map(|task| task.checkpoint.clone());
        for (&worker, index) in chosen.iter().zip(indices) {
            let slot = &self.jobs[key].units[unit as usize].tasks[index as usize];
            let last = if gang { highest } else { slot.last_run };
            let checkpoint = if gang { shared.clone() } else { slot.checkpoint.clone() };
            let run = last.max(self.first_run) + 1;
            let task = TaskRef { job: key, unit, index };
            self.start_task(task, worker, run, checkpoint, now, round);
        }
    }

    /// Starts a task on a worker.
    fn start_task(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        run: u64,
        checkpoint: Option<Name>,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let id = &self.workers[worker].info.id;
        let ticket = match self.permit(task.job, task.unit, id, now) {
            Permit::Valid(ticket) => ticket,
            _ => None,
        };
        let plan = self.jobs[task.job].plan(task.unit);
        let victims: Vec<TaskRef> = match plan.latency_target {
            Some(_) => self.interfering(plan, &self.workers[worker]).collect(),
            None => Vec::new(),
        };
        // They go on where no task has users of its own.
        victims.into_iter().for_each(|task| self.stop(task, now));
        let phase = PlacePhase::Starting;
        let place =
            TaskPlace { worker, run, phase, since: now, percent: 0, progressed: now };
        self.occupy(task, place);
        let job = &self.jobs[task.job];
        round.starts.push(RunStart {
            worker,
            task: job.task_name(task),
            run,
            spec: job.record.request.spec.clone(),
            checkpoint,
            ticket,
        });
    }

    /// Asks again about workers whose permissions have expired, and keeps a gang's room; returns
    /// whether it could ask.
    pub(super) fn renew(
        &mut self,
        key: JobKey,
        unit: u32,
        chosen: &[WorkerKey],
        keep_room: bool,
        now: BootTime,
        round: &mut PlacementRound,
    ) -> bool {
        let mut names: Vec<Name> = Vec::new();
        for &worker in chosen {
            let id = &self.workers[worker].info.id;
            if !names.contains(id) {
                names.push(id.clone());
            }
        }
        let requests =
            self.request_permissions(key, unit, &names, now, &mut round.long_requests);
        let asked = !requests.is_empty();
        if keep_room && asked {
            let longest = requests
                .iter()
                .map(|request| request.call_time)
                .max()
                .unwrap_or_default();
            self.claim_room(key, unit, chosen, now + longest);
        }
        round.requests.extend(requests);
        asked
    }

    /// Asks about workers that nobody has asked about yet.
    fn request_more(
        &mut self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        needed: usize,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[key];
        let slot = &job.units[unit as usize];
        let open = slot.open_requests > 0 || now < slot.retry_after;
        if job.record.rules.permission.is_none() || open {
            return;
        }
        let mut rooms = Vec::new();
        for (worker, slot) in &self.workers {
            let usable = slot.usable(now) && self.suits(key, plan, slot);
            if !usable || self.permit(key, unit, &slot.info.id, now) != Permit::Unasked {
                continue;
            }
            let now_fits = self.fits(key, unit, plan, worker, &slot.free());
            let ever_fits = self.fits(key, unit, plan, worker, &slot.info.capacity);
            if ever_fits > 0 {
                rooms.push((worker, now_fits, ever_fits));
            }
        }
        let names = self.choose_candidates(key, plan.gang, needed, rooms);
        let requests =
            self.request_permissions(key, unit, &names, now, &mut round.long_requests);
        round.requests.extend(requests);
    }
}

/// Returns how many times a size goes into room.
pub(super) fn times(size: &ResourceVector, room: &ResourceVector) -> u32 {
    let cpu = room.cpu_millis.checked_div(size.cpu_millis);
    let memory = room.memory_bytes.checked_div(size.memory_bytes);
    let accelerators = room.accelerators.checked_div(size.accelerators).map(u64::from);
    let least = [cpu, memory, accelerators].into_iter().flatten().min();
    least.map_or(u32::MAX, |least| u32::try_from(least).unwrap_or(u32::MAX))
}

/// Chooses up to `needed` places among the offers that are admitted, the preferred ones first.
fn choose(
    offers: &[RoomOffer],
    needed: usize,
    admit: impl Fn(&RoomOffer) -> bool,
) -> Vec<WorkerKey> {
    let mut chosen = Vec::with_capacity(needed.min(64));
    for offer in offers.iter().filter(|offer| admit(offer)) {
        for _ in 0..offer.fits {
            if chosen.len() == needed {
                return chosen;
            }
            chosen.push(offer.worker);
        }
    }
    chosen
}
