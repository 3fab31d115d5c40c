//! The tasks of a unit.
//!
//! A step may have very many tasks, of which only as many can run as the workers hold. So a task has a state
//! of its own only while something is known of it beyond that it waits or is done.

use std::collections::BTreeMap;
use std::ops::Index;
use std::ops::IndexMut;
use std::sync::LazyLock;

use crate::BootTime;

use super::task_state::TaskState;

/// The state of a task to which nothing has happened.
static UNTOUCHED: LazyLock<TaskState> = LazyLock::new(TaskState::default);
/// The state of a task that is done and of which nothing else has to be known.
static SETTLED: LazyLock<TaskState> =
    LazyLock::new(|| TaskState { done: true, ..TaskState::default() });

/// The tasks of a unit, by index.
#[derive(Debug, Clone)]
pub(super) struct TaskTable {
    count: u32,
    /// Whether a task is done and of which nothing else has to be known; empty before the first one.
    settled: Vec<bool>,
    /// The other tasks to which something has happened.
    touched: BTreeMap<u32, Box<TaskState>>,
}

impl TaskTable {
    /// Creates tasks to which nothing has happened.
    pub(super) fn new(count: u32) -> Self {
        TaskTable { count, settled: Vec::new(), touched: BTreeMap::new() }
    }

    /// Returns as many tasks that are done.
    pub(super) fn finished(&self) -> Self {
        let settled = vec![true; self.len()];
        TaskTable { count: self.count, settled, touched: BTreeMap::new() }
    }

    /// Returns the number of tasks.
    pub(super) fn len(&self) -> usize {
        self.count as usize
    }

    /// Returns whether there is a task of an index.
    pub(super) fn contains(&self, index: u32) -> bool {
        index < self.count
    }

    /// Returns a task to change it, if there is one of that index.
    pub(super) fn get_mut(&mut self, index: u32) -> Option<&mut TaskState> {
        self.contains(index).then(|| &mut self[index as usize])
    }

    /// Returns the tasks of which something is known beyond that they wait or are done, with their indices.
    pub(super) fn touched(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        self.touched.iter().map(|(&index, state)| (index, &**state))
    }

    /// Like [`touched`](Self::touched), to change them.
    pub(super) fn touched_mut(&mut self) -> impl Iterator<Item = &mut TaskState> {
        self.touched.values_mut().map(|state| &mut **state)
    }

    /// Returns the indices of the tasks that are done, in their order.
    pub(super) fn done(&self) -> Vec<u32> {
        let settled = self.settled.iter().zip(0..).filter(|&(&settled, _)| settled);
        let touched = self.touched().filter(|(_, task)| task.done);
        let mut done: Vec<u32> = settled.map(|(_, index)| index).collect();
        done.extend(touched.map(|(index, _)| index));
        done.sort_unstable();
        done
    }

    /// Returns the indices of the tasks that wait and may start now, in their order.
    pub(super) fn startable(&self, now: BootTime) -> impl Iterator<Item = u32> {
        let open = (0..self.count).filter(|&index| !self.is_settled(index as usize));
        open.filter(move |&index| self[index as usize].is_startable(now))
    }

    /// Returns the number of tasks that wait and may start now.
    pub(super) fn count_startable(&self, now: BootTime) -> usize {
        let settled = self.settled.iter().filter(|&&settled| settled).count();
        let held = self.touched().filter(|(_, task)| !task.is_startable(now)).count();
        self.len() - settled - held
    }

    /// Forgets what is known of a task if it is done and nothing else has to be known of it.
    pub(super) fn settle(&mut self, index: u32) {
        if self.touched.get(&index).is_some_and(|state| state.is_settled()) {
            self.touched.remove(&index);
            if self.touched.is_empty() {
                // The map gives its memory back.
                self.touched = BTreeMap::new();
            }
            self.settled.resize(self.count as usize, false);
            self.settled[index as usize] = true;
        }
    }

    /// Returns whether a task is done and nothing else has to be known of it.
    fn is_settled(&self, index: usize) -> bool {
        self.settled.get(index).is_some_and(|&settled| settled)
    }
}

impl Index<usize> for TaskTable {
    type Output = TaskState;

    fn index(&self, index: usize) -> &TaskState {
        assert!(index < self.len(), "the unit has no task {index}");
        match self.touched.get(&(index as u32)) {
            Some(state) => state,
            None if self.is_settled(index) => &SETTLED,
            None => &UNTOUCHED,
        }
    }
}

impl IndexMut<usize> for TaskTable {
    fn index_mut(&mut self, index: usize) -> &mut TaskState {
        assert!(index < self.len(), "the unit has no task {index}");
        let known = if self.is_settled(index) { &SETTLED } else { &UNTOUCHED };
        if let Some(settled) = self.settled.get_mut(index) {
            *settled = false;
        }
        self.touched
            .entry(index as u32)
            .or_insert_with(|| Box::new(TaskState::clone(known)))
    }
}
