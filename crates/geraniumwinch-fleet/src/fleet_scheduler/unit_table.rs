//! The units of a job: the steps of its occurrences.
//!
//! A schedule may have very many occurrences, nearly all of which are far ahead. So a unit has a state of its
//! own only from when something has happened to it until all of its tasks are done.

use std::ops::Index;
use std::ops::IndexMut;

use crate::JobPhase;
use crate::JobRecord;

use super::unit_state::UnitState;

/// The units of a job, by number.
#[derive(Debug, Default)]
pub(super) struct UnitTable {
    /// For each step, a unit to which nothing has happened; empty if there is a single occurrence, whose units
    /// have a state of their own from the beginning.
    untouched: Vec<UnitState>,
    /// For each step, a unit whose tasks are all done; empty before the first one.
    finished: Vec<UnitState>,
    /// The units that have a state of their own.
    units: Vec<Option<Box<UnitState>>>,
    /// Whether all tasks of a unit without a state of its own are done; empty before the first one.
    is_finished: Vec<bool>,
}

impl UnitTable {
    /// Creates the units of a job, with the progress from its record. An ended job has none.
    pub(super) fn new(record: &JobRecord) -> Self {
        if record.phase != JobPhase::Live {
            return UnitTable::default();
        }
        let steps = &record.request.steps;
        let states = steps.iter().map(UnitState::new);
        let count = steps.len() * record.request.occurrences() as usize;
        let mut table = UnitTable::default();
        if count <= steps.len() {
            table.units = states.take(count).map(|state| Some(Box::new(state))).collect();
        } else {
            table.untouched = states.collect();
            table.units = std::iter::repeat_with(|| None).take(count).collect();
        }
        for (&number, progress) in &record.progress {
            if let Some(plan) = steps.get(number as usize % steps.len().max(1))
                && (number as usize) < count
            {
                table[number as usize].apply_progress(plan, progress);
            }
        }
        for recorded in &record.crashes {
            if (recorded.unit as usize) < count {
                table[recorded.unit as usize].apply_crash(recorded);
            }
        }
        for &number in record.progress.keys() {
            table.settle(number as usize);
        }
        table
    }

    /// Forgets the state of a unit whose tasks are all done and of which nothing else has to be known, and
    /// returns whether it did. The units of a job with a single occurrence keep theirs.
    pub(super) fn settle(&mut self, unit: usize) -> bool {
        let settled = self.units.get(unit).and_then(|state| state.as_ref());
        let settled = settled.is_some_and(|state| state.is_settled());
        if self.untouched.is_empty() || !settled {
            return false;
        }
        if self.finished.is_empty() {
            self.finished = self.untouched.iter().map(UnitState::finished).collect();
            self.is_finished = vec![false; self.units.len()];
        }
        self.units[unit] = None;
        self.is_finished[unit] = true;
        true
    }

    /// Returns the state of a unit without one of its own.
    fn common_state(&self, unit: usize) -> &UnitState {
        let finished = self.is_finished.get(unit).is_some_and(|&finished| finished);
        let states = if finished { &self.finished } else { &self.untouched };
        &states[unit % states.len()]
    }

    /// Returns the number of units.
    pub(super) fn len(&self) -> usize {
        self.units.len()
    }

    /// Returns a unit, if there is one of that number.
    pub(super) fn get(&self, unit: usize) -> Option<&UnitState> {
        (unit < self.len()).then(|| &self[unit])
    }

    /// Returns all units, also those without a state of their own.
    pub(super) fn iter(&self) -> impl Iterator<Item = &UnitState> {
        (0..self.len()).map(|unit| &self[unit])
    }

    /// Returns the units with a state of their own, with their numbers.
    pub(super) fn touched(&self) -> impl Iterator<Item = (u32, &UnitState)> {
        let units = self.units.iter().enumerate();
        units.filter_map(|(number, unit)| Some((number as u32, unit.as_deref()?)))
    }

    /// Like [`touched`](Self::touched), to change them.
    pub(super) fn touched_mut(&mut self) -> impl Iterator<Item = &mut UnitState> {
        self.units.iter_mut().filter_map(|unit| unit.as_deref_mut())
    }

    /// Returns the numbers of the units with a state of their own.
    pub(super) fn touched_numbers(&self) -> Vec<u32> {
        self.touched().map(|(number, _)| number).collect()
    }
}

impl Index<usize> for UnitTable {
    type Output = UnitState;

    fn index(&self, unit: usize) -> &UnitState {
        match &self.units[unit] {
            Some(touched) => touched,
            None => self.common_state(unit),
        }
    }
}

impl IndexMut<usize> for UnitTable {
    fn index_mut(&mut self, unit: usize) -> &mut UnitState {
        if self.units[unit].is_none() {
            self.units[unit] = Some(Box::new(self.common_state(unit).clone()));
        }
        self.units[unit].as_mut().expect("the unit has a state of its own")
    }
}
