//! The requests waiting in one queue, ordered by team and deadline.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::EndpointKey;
use crate::ErrorKind;
use crate::TeamKey;
use crate::TeamLedger;
use crate::scaled_time;

use super::QueuePolicy;
use super::SlotOutcome;
use super::SlotRequest;

/// The weight of a new observation in the moving average of the service time.
const MEAN_GAIN: f64 = 0.1;

/// The number of a team's requests that are considered in each round, so that requests which no free
/// endpoint may serve do not block the ones behind them.
const LOOK_AHEAD: usize = 4;

/// The sort key of a request within its team: the deadline, then the order of arrival.
type QueuePosition = (Instant, u64);

/// The requests waiting in one queue.
///
/// The team with the lowest weighted usage is served first, and within a team the request with the
/// earliest deadline.
#[derive(Debug)]
pub(super) struct RequestQueue<C> {
    policy: QueuePolicy,
    teams: BTreeMap<Option<TeamKey>, BTreeMap<QueuePosition, SlotRequest<C>>>,
    positions: HashMap<u128, (Option<TeamKey>, QueuePosition)>,
    deadlines: BTreeMap<QueuePosition, u128>,
    arrivals: u64,
    mean_service: Option<f64>,
}

impl<C> RequestQueue<C> {
    /// Creates an empty queue.
    pub(super) fn new(policy: QueuePolicy) -> Self {
        RequestQueue {
            policy,
            teams: BTreeMap::new(),
            positions: HashMap::new(),
            deadlines: BTreeMap::new(),
            arrivals: 0,
            mean_service: None,
        }
    }

    /// Returns the policy of the queue.
    pub(super) fn policy(&self) -> &QueuePolicy {
        &self.policy
    }

    /// Replaces the policy of the queue.
    pub(super) fn set_policy(&mut self, policy: QueuePolicy) {
        self.policy = policy;
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Queues a request, or returns a refusal if the queue is full or the deadline can't be met.
    pub(super) fn admit(
        &mut self,
        request: SlotRequest<C>,
        slots: u32,
        now: Instant,
    ) -> Option<SlotOutcome<C>> {
        let wait = self.expected_wait(slots);
        if self.len() >= self.policy.max_waiting {
            return Some(request.refuse_after(ErrorKind::QueueFull, wait));
        }
        if now + wait >= request.deadline {
            return Some(request.refuse_after(ErrorKind::DeadlineUnmeetable, wait));
        }
        self.arrivals += 1;
        let position = (request.deadline, self.arrivals);
        self.positions.insert(request.id, (request.team, position));
        self.deadlines.insert(position, request.id);
        self.teams.entry(request.team).or_default().insert(position, request);
        None
    }

    /// Estimates the waiting time of a new request from the queue length and the mean service time.
    fn expected_wait(&self, slots: u32) -> Duration {
        let mean = self.mean_service.unwrap_or(0.0);
        scaled_time(
            Duration::from_secs(1),
            self.len() as f64 * mean / f64::from(slots.max(1)),
        )
    }

    /// Updates the mean service time with an observation.
    pub(super) fn observe_service_time(&mut self, service: Duration) {
        let seconds = service.as_secs_f64();
        let mean = self.mean_service.get_or_insert(seconds);
        *mean += MEAN_GAIN * (seconds - *mean);
    }

    /// Removes the request to be served next, and returns it with the endpoint that `choose` selects.
    ///
    /// A request for which `choose` finds no endpoint does not block the requests behind it.
    pub(super) fn take_next(
        &mut self,
        ledger: &TeamLedger,
        choose: impl Fn(&SlotRequest<C>) -> Option<EndpointKey>,
    ) -> Option<(SlotRequest<C>, EndpointKey)> {
        let mut skipped: Vec<Option<TeamKey>> = Vec::new();
        loop {
            let team = self.next_team(ledger, &skipped)?;
            let requests = self.teams[&team].iter().take(LOOK_AHEAD);
            let found = requests
                .filter_map(|(&position, request)| {
                    choose(request).map(|key| (position, key))
                })
                .next();
            match found {
                Some((position, key)) => {
                    return Some((self.remove(team, position)?, key));
                }
                None => skipped.push(team),
            }
        }
    }

    /// Returns the team with the lowest weighted usage among those that are within their allowance and
    /// have not been skipped.
    fn next_team(
        &self,
        ledger: &TeamLedger,
        skipped: &[Option<TeamKey>],
    ) -> Option<Option<TeamKey>> {
        let rank = |team: &Option<TeamKey>| match *team {
            Some(team) => ledger.weighted_running(team),
            None => 0.0,
        };
        let allowed = |team: &Option<TeamKey>| match *team {
            Some(team) => ledger.allows(team, 1),
            None => true,
        };
        let teams =
            self.teams.keys().filter(|team| allowed(team) && !skipped.contains(team));
        teams.min_by(|left, right| rank(left).total_cmp(&rank(right))).copied()
    }

    /// Removes a request by its identifier, and returns its context.
    pub(super) fn cancel(&mut self, id: u128) -> Option<C> {
        let &(team, position) = self.positions.get(&id)?;
        self.remove(team, position).map(|request| request.context)
    }

    /// Refuses the requests whose deadline has passed.
    pub(super) fn refuse_late(
        &mut self,
        now: Instant,
        outcomes: &mut Vec<SlotOutcome<C>>,
    ) {
        while let Some((&(deadline, arrival), &id)) = self.deadlines.first_key_value() {
            if deadline > now {
                return;
            }
            let (team, _) = self.positions[&id];
            let request = self.remove(team, (deadline, arrival));
            let request = request.expect("every position holds a request");
            outcomes.push(request.refuse(ErrorKind::DeadlinePassed));
        }
    }

    /// Refuses all waiting requests and leaves the queue empty.
    pub(super) fn drain(&mut self, kind: ErrorKind) -> Vec<SlotOutcome<C>> {
        self.positions.clear();
        self.deadlines.clear();
        let teams = std::mem::take(&mut self.teams).into_values();
        let requests = teams.flat_map(BTreeMap::into_values);
        requests.map(|request| request.refuse(kind)).collect()
    }

    /// Refuses all waiting requests.
    pub(super) fn refuse_all(mut self, kind: ErrorKind) -> Vec<SlotOutcome<C>> {
        self.drain(kind)
    }

    /// Removes the request at a position.
    fn remove(
        &mut self,
        team: Option<TeamKey>,
        position: QueuePosition,
    ) -> Option<SlotRequest<C>> {
        let requests = self.teams.get_mut(&team)?;
        let request = requests.remove(&position)?;
        if requests.is_empty() {
            self.teams.remove(&team);
        }
        self.positions.remove(&request.id);
        self.deadlines.remove(&position);
        Some(request)
    }
}
