//! The units of a job: the steps of its occurrences.
//!
//! A schedule may have very many occurrences, nearly all of which are far ahead. So a unit has a state of its
//! own only once something has happened to it.

use std::ops::Index;
use std::ops::IndexMut;

use crate::JobPhase;
use crate::JobRecord;

use super::unit_state::UnitState;

/// The units of a job, by number.
#[derive(Debug)]
pub(super) struct UnitTable {
    /// For each step, a unit to which nothing has happened.
    untouched: Vec<UnitState>,
    /// The units; `None` if nothing has happened to one.
    units: Vec<Option<Box<UnitState>>>,
}

impl UnitTable {
    /// Creates the units of a job, with the progress from its record. An ended job has none.
    pub(super) fn new(record: &JobRecord) -> Self {
        if record.phase != JobPhase::Live {
            return UnitTable { untouched: Vec::new(), units: Vec::new() };
        }
        let steps = &record.request.steps;
        let untouched: Vec<UnitState> = steps.iter().map(UnitState::new).collect();
        let count = steps.len() * record.request.occurrences() as usize;
        let units = std::iter::repeat_with(|| None).take(count).collect();
        let mut table = UnitTable { untouched, units };
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
        table
    }

    /// Returns the number of units.
    pub(super) fn len(&self) -> usize {
        self.units.len()
    }

    /// Returns a unit, if there is one of that number.
    pub(super) fn get(&self, unit: usize) -> Option<&UnitState> {
        (unit < self.len()).then(|| &self[unit])
    }

    /// Returns all units, also those to which nothing has happened.
    pub(super) fn iter(&self) -> impl Iterator<Item = &UnitState> {
        (0..self.len()).map(|unit| &self[unit])
    }

    /// Returns the units to which something has happened, with their numbers.
    pub(super) fn touched(&self) -> impl Iterator<Item = (u32, &UnitState)> {
        let units = self.units.iter().enumerate();
        units.filter_map(|(number, unit)| Some((number as u32, unit.as_deref()?)))
    }

    /// Like [`touched`](Self::touched), to change them.
    pub(super) fn touched_mut(&mut self) -> impl Iterator<Item = &mut UnitState> {
        self.units.iter_mut().filter_map(|unit| unit.as_deref_mut())
    }

    /// Returns the numbers of the units to which something has happened.
    pub(super) fn touched_numbers(&self) -> Vec<u32> {
        self.touched().map(|(number, _)| number).collect()
    }
}

impl Index<usize> for UnitTable {
    type Output = UnitState;

    fn index(&self, unit: usize) -> &UnitState {
        match &self.units[unit] {
            Some(touched) => touched,
            None => &self.untouched[unit % self.untouched.len()],
        }
    }
}

impl IndexMut<usize> for UnitTable {
    fn index_mut(&mut self, unit: usize) -> &mut UnitState {
        let untouched = &self.untouched;
        self.units[unit]
            .get_or_insert_with(|| Box::new(untouched[unit % untouched.len()].clone()))
    }
}
