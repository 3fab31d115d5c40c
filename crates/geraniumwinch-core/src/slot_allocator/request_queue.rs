//! The requests that wait in one queue, by team and deadline.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::EndpointKey;
use crate::ErrorKind;
use crate::TeamKey;
use crate::TeamLedger;

use super::QueuePolicy;
use super::SlotOutcome;
use super::SlotRequest;

/// The weight of the newest observation in the mean service time.
const MEAN_GAIN: f64 = 0.1;

/// The number of a team's requests that are looked at behind one that no free endpoint may serve.
const LOOK_AHEAD: usize = 4;

/// The place of a request within its team: by deadline, then by arrival.
type QueuePosition = (Instant, u64);

/// The requests that wait in one queue.
///
/// The team with the least use for its weight goes first; within a team the earliest deadline does.
#[derive(Debug)]
pub(super) struct RequestQueue<C> {
    policy: QueuePolicy,
    teams: BTreeMap<Option<TeamKey>, BTreeMap<QueuePosition, SlotRequest<C>>>,
    places: HashMap<u128, (Option<TeamKey>, QueuePosition)>,
    deadlines: BTreeMap<QueuePosition, u128>,
    arrivals: u64,
    mean_service: Option<f64>,
}

impl<C> RequestQueue<C> {
    /// Creates an empty line.
    pub(super) fn new(policy: QueuePolicy) -> Self {
        RequestQueue {
            policy,
            teams: BTreeMap::new(),
            places: HashMap::new(),
            deadlines: BTreeMap::new(),
            arrivals: 0,
            mean_service: None,
        }
    }

    /// Returns the policy.
    pub(super) fn policy(&self) -> &QueuePolicy {
        &self.policy
    }

    /// Replaces the policy.
    pub(super) fn set_policy(&mut self, policy: QueuePolicy) {
        self.policy = policy;
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Takes a request in, or refuses it if it can't be served in time.
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
        let place = (request.deadline, self.arrivals);
        self.places.insert(request.id, (request.team, place));
        self.deadlines.insert(place, request.id);
        self.teams.entry(request.team).or_default().insert(place, request);
        None
    }

    /// Estimates the wait of a new request from those ahead of it.
    fn expected_wait(&self, slots: u32) -> Duration {
        let mean = self.mean_service.unwrap_or(0.0);
        Duration::from_secs_f64(self.len() as f64 * mean / f64::from(slots.max(1)))
    }

    /// Includes one observed service time in the mean.
    pub(super) fn observe(&mut self, service: Duration) {
        let seconds = service.as_secs_f64();
        let mean = self.mean_service.get_or_insert(seconds);
        *mean += MEAN_GAIN * (seconds - *mean);
    }

    /// Removes the request that is served next, with the endpoint that `choose` finds for it.
    ///
    /// A request that no free endpoint may serve does not hold up those behind it.
    pub(super) fn take_next(
        &mut self,
        ledger: &TeamLedger,
        choose: impl Fn(&SlotRequest<C>) -> Option<EndpointKey>,
    ) -> Option<(SlotRequest<C>, EndpointKey)> {
        let mut passed: Vec<Option<TeamKey>> = Vec::new();
        loop {
            let team = self.next_team(ledger, &passed)?;
            let requests = self.teams[&team].iter().take(LOOK_AHEAD);
            let found = requests
                .filter_map(|(&place, request)| choose(request).map(|key| (place, key)))
                .next();
            match found {
                Some((place, key)) => return Some((self.remove(team, place)?, key)),
                None => passed.push(team),
            }
        }
    }

    /// Returns the team with the least use for its weight that may run more and was not passed over.
    fn next_team(
        &self,
        ledger: &TeamLedger,
        passed: &[Option<TeamKey>],
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
            self.teams.keys().filter(|team| allowed(team) && !passed.contains(team));
        teams.min_by(|left, right| rank(left).total_cmp(&rank(right))).copied()
    }

    /// Removes a request by its identifier and returns its context.
    pub(super) fn cancel(&mut self, id: u128) -> Option<C> {
        let &(team, place) = self.places.get(&id)?;
        self.remove(team, place).map(|request| request.context)
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
            let (team, _) = self.places[&id];
            let request = self.remove(team, (deadline, arrival));
            let request = request.expect("every place holds a request");
            outcomes.push(request.refuse(ErrorKind::DeadlinePassed));
        }
    }

    /// Refuses every waiting request.
    pub(super) fn refuse_all(self, kind: ErrorKind) -> Vec<SlotOutcome<C>> {
        let requests = self.teams.into_values().flat_map(BTreeMap::into_values);
        requests.map(|request| request.refuse(kind)).collect()
    }

    /// Removes the request at a place.
    fn remove(
        &mut self,
        team: Option<TeamKey>,
        place: QueuePosition,
    ) -> Option<SlotRequest<C>> {
        let requests = self.teams.get_mut(&team)?;
        let request = requests.remove(&place)?;
        if requests.is_empty() {
            self.teams.remove(&team);
        }
        self.places.remove(&request.id);
        self.deadlines.remove(&place);
        Some(request)
    }
}
