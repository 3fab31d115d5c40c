//! The learned speeds of workers.

use std::collections::HashMap;
use std::time::Duration;

use crate::Name;
use crate::WorkerSpeed;

/// The maximum number of remembered workers, listed or not.
const MAX_WORKERS: usize = 4096;
/// The number of known workers of a kind from which on their mean is the prior of further ones.
const MIN_KIND_WORKERS: usize = 4;
/// The standard deviation of logarithms up to which the workers of a kind count as alike.
const MAX_KIND_DEVIATION: f64 = 0.15;
/// The factor between two speeds that count as different.
const SPEED_STEP: f64 = 1.25;

/// A worker as the table knows it.
#[derive(Debug)]
struct SpeedEntry {
    incarnation: u64,
    /// The labels that workers of one kind share.
    kind: Vec<Name>,
    speed: WorkerSpeed,
}

/// The learned speeds of workers, relative to the mean of all known ones.
///
/// A worker that is not known counts as an ordinary one, or as its kind if the workers of that kind
/// are alike.
#[derive(Debug, Default)]
pub struct SpeedTable {
    entries: HashMap<Name, SpeedEntry>,
    /// The sum of the logarithms of known workers, and their number.
    sum: f64,
    known: usize,
}

impl SpeedTable {
    /// Adds a worker or takes it up again. What is known of it is kept unless it restarted as another
    /// kind.
    pub fn list(&mut self, id: &Name, incarnation: u64, kind: Vec<Name>) {
        if let Some(entry) = self.entries.get_mut(id) {
            if entry.incarnation == incarnation || entry.kind == kind {
                entry.incarnation = incarnation;
                entry.kind = kind;
                return;
            }
            self.remove(&id.clone());
        }
        self.make_room();
        let speed = WorkerSpeed::new(self.kind_prior(&kind));
        self.entries.insert(id.clone(), SpeedEntry { incarnation, kind, speed });
    }

    /// Adds the end of a run on a worker. `expected` is how long it takes on an ordinary worker.
    pub fn observe(
        &mut self,
        id: &str,
        expected: Duration,
        observed: Duration,
        now: Duration,
    ) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let before = known_logarithm(entry);
        entry.speed.observe(expected, observed, now);
        let after = known_logarithm(entry);
        self.count(before, -1);
        self.count(after, 1);
    }

    /// Returns the speed of a worker, relative to the mean of all known ones.
    pub fn speed(&self, id: &str) -> f64 {
        self.relative(id).exp()
    }

    /// Returns the speed of a worker in steps above that of an ordinary one; workers that are a step
    /// or more apart count as unlike.
    pub fn speed_step(&self, id: &str) -> i32 {
        (self.relative(id) / SPEED_STEP.ln()).round() as i32
    }

    /// Returns the logarithm of a worker's relative speed.
    fn relative(&self, id: &str) -> f64 {
        let Some(entry) = self.entries.get(id) else { return 0.0 };
        let logarithm = entry.speed.logarithm();
        let is_ordinary = !entry.speed.is_known() && logarithm == 0.0;
        if is_ordinary { 0.0 } else { logarithm - self.mean() }
    }

    /// Returns the standard deviation of the logarithms of known speeds.
    pub fn spread(&self) -> f64 {
        deviation(self.entries.values().filter_map(known_logarithm), self.mean())
    }

    /// Returns the number of workers whose speeds are known.
    pub fn known_workers(&self) -> usize {
        self.known
    }

    /// Returns the mean logarithm of the known speeds.
    fn mean(&self) -> f64 {
        self.sum / self.known.max(1) as f64
    }

    /// Returns the logarithm that is assumed for a new worker of a kind.
    fn kind_prior(&self, kind: &[Name]) -> f64 {
        let alike = self.entries.values().filter(|entry| entry.kind == kind);
        let known: Vec<f64> = alike.filter_map(known_logarithm).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let is_alike = deviation(known.iter().copied(), mean) <= MAX_KIND_DEVIATION;
        if known.len() >= MIN_KIND_WORKERS && is_alike { mean } else { 0.0 }
    }

    /// Adds a known speed to the sum, or removes it with the sign -1.
    fn count(&mut self, logarithm: Option<f64>, sign: i8) {
        let Some(logarithm) = logarithm else { return };
        self.sum += logarithm * f64::from(sign);
        self.known = self.known.saturating_add_signed(isize::from(sign));
    }

    /// Removes a worker.
    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.count(known_logarithm(&entry), -1);
        }
    }

    /// Drops the worker without an end for the longest time if there are too many.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_WORKERS {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.speed.updated());
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.remove(&id);
        }
    }
}

/// Returns the logarithm of a worker's speed if it is known.
fn known_logarithm(entry: &SpeedEntry) -> Option<f64> {
    entry.speed.is_known().then(|| entry.speed.logarithm())
}

/// Returns the standard deviation of values around their mean.
fn deviation(values: impl Iterator<Item = f64>, mean: f64) -> f64 {
    let (mut squares, mut count) = (0.0, 0usize);
    for value in values {
        squares += (value - mean) * (value - mean);
        count += 1;
    }
    (squares / count.max(1) as f64).sqrt()
}
