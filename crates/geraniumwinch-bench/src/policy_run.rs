//! Compares placement policies on seeded workloads by team shares, utilization and wait times.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::JobKind;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::ResourceVector;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::placement_policy::FirstFitPolicy;
use crate::placement_policy::PlacementPolicy;
use crate::placement_policy::SchedulerPolicy;
use crate::placement_policy::StartedTask;
use crate::placement_policy::fleet_capacity;
use crate::sample_set::SampleSet;

/// The random seed of the workloads.
const SEED: u64 = 11;
/// The number of workers in the fleet.
const WORKERS: usize = 50;
/// The number of teams, all of equal weight.
const TEAMS: usize = 3;
/// The simulated duration of a run.
const RUN_TIME: Duration = Duration::from_secs(600);
/// The window over which team shares are averaged.
const WINDOW: Duration = Duration::from_secs(60);
/// The warm-up that shares and utilization leave out, since shares only converge as tasks end.
const WARM_UP: Duration = Duration::from_secs(120);
/// A gigabyte in bytes.
const GIGABYTE: u64 = 1 << 30;

/// The arrival of a task.
#[derive(Debug, Clone)]
struct TaskArrival {
    time: Duration,
    team: usize,
    spec: JobSpec,
}

/// Runs every workload under every policy and prints a CSV table.
pub fn run() {
    println!(
        "workload,policy,share_distance_points,booked_cpu,booked_memory,class,waits,\
         p50_ms,p99_ms,p999_ms"
    );
    let workloads = [("all-full", full_workload()), ("urgent-mix", urgent_workload())];
    for (name, arrivals) in &workloads {
        run_policy(name, "board", &mut SchedulerPolicy::new(WORKERS, TEAMS), arrivals);
        run_policy(name, "first-fit", &mut FirstFitPolicy::new(WORKERS), arrivals);
    }
}

/// Creates the specification of a batch job with one task.
fn batch_job(cores: f64, gigabytes: u64, seconds: f64, urgent: bool) -> JobSpec {
    JobSpec {
        kind: JobKind::Batch,
        tasks: 1,
        size: ResourceVector {
            cpu_millis: (cores * 1000.0) as u64,
            memory_bytes: gigabytes * GIGABYTE,
            accelerators: 0,
        },
        run_time_ms: (seconds * 1000.0) as u64,
        urgent,
        checkpointable: false,
    }
}

/// Creates a backlog in which one team floods the queue with small tasks, one has tasks of many cores
/// and one has tasks with much memory.
fn full_workload() -> Vec<TaskArrival> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut arrivals = Vec::new();
    let counts = [40_000, 4000, 4000];
    for (team, count) in counts.into_iter().enumerate() {
        for _ in 0..count {
            let seconds = rng.random_range(10.0..40.0);
            let spec = match team {
                0 => batch_job(0.5, 1, seconds, false),
                1 => batch_job(4.0, 8, seconds, false),
                _ => batch_job(1.0, 16, seconds, false),
            };
            let time = Duration::from_millis(rng.random_range(0..1000));
            arrivals.push(TaskArrival { time, team, spec });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.time);
    arrivals
}

/// Creates a Poisson stream of batch tasks that keeps the fleet nearly full, 5% of them urgent.
fn urgent_workload() -> Vec<TaskArrival> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut arrivals = Vec::new();
    let mut time = Duration::ZERO;
    while time < RUN_TIME {
        time += Duration::from_secs_f64(-f64::ln(1.0 - rng.random::<f64>()) / 15.0);
        let urgent = rng.random_bool(0.05);
        let cores = f64::from(rng.random_range(1..=8_u32)) * 0.5;
        let seconds = if urgent { 5.0 } else { rng.random_range(5.0..45.0) };
        let spec = batch_job(cores, rng.random_range(1..=8), seconds, urgent);
        let team = rng.random_range(0..TEAMS);
        arrivals.push(TaskArrival { time, team, spec });
    }
    arrivals
}

/// The statistics of a run.
#[derive(Default)]
struct RunStatistics {
    /// The wait times of urgent (`true`) and other tasks.
    waits: BTreeMap<bool, SampleSet>,
    /// The average dominant share of each team, by the number of the window.
    shares: BTreeMap<u64, [f64; TEAMS]>,
    /// The booked fractions of CPU and memory after the warm-up, multiplied by seconds.
    booked: [f64; 2],
    /// The seconds after the warm-up.
    time: f64,
}

/// Simulates a workload under a policy and prints its CSV rows.
fn run_policy(
    workload: &str,
    name: &str,
    policy: &mut dyn PlacementPolicy,
    arrivals: &[TaskArrival],
) {
    let start = Instant::now();
    let total = fleet_capacity(WORKERS);
    let mut task_ends: BinaryHeap<Reverse<(Duration, usize, u64)>> = BinaryHeap::new();
    let mut next = 0;
    let mut now = Duration::ZERO;
    let mut used = [ResourceVector::default(); TEAMS];
    let mut running: BTreeMap<usize, u64> = BTreeMap::new();
    let mut statistics = RunStatistics::default();
    loop {
        let arrival = arrivals.get(next).map(|arrival| arrival.time);
        let end = task_ends.peek().map(|Reverse((time, ..))| *time);
        let Some(time) = [arrival, end].into_iter().flatten().min() else { break };
        if time > RUN_TIME {
            break;
        }
        statistics.add_interval(now, time, &used, &total);
        now = time;
        if end == Some(time) {
            let Reverse((_, index, attempt)) = task_ends.pop().expect("an end is due");
            // The end is stale if the task was preempted: it then has a newer attempt, or none.
            if running.get(&index) == Some(&attempt) {
                running.remove(&index);
                used[arrivals[index].team].subtract(&arrivals[index].spec.size);
                policy.finish(index, start + now);
            }
        } else {
            let task = &arrivals[next];
            policy.submit(next, task.team, &task.spec, start + now);
            next += 1;
        }
        let (started, stopped) = policy.decide(start + now);
        for index in stopped {
            if running.remove(&index).is_some() {
                used[arrivals[index].team].subtract(&arrivals[index].spec.size);
            }
        }
        for StartedTask { index, attempt } in started {
            let task = &arrivals[index];
            running.insert(index, attempt);
            used[task.team].add(&task.spec.size);
            statistics.waits.entry(task.spec.urgent).or_default().add(now - task.time);
            let end = now + Duration::from_millis(task.spec.run_time_ms);
            task_ends.push(Reverse((end, index, attempt)));
        }
    }
    statistics.print(workload, name);
}

impl RunStatistics {
    /// Adds the resources in use between two times.
    fn add_interval(
        &mut self,
        from: Duration,
        to: Duration,
        used: &[ResourceVector; TEAMS],
        total: &ResourceVector,
    ) {
        let seconds = (to - from).as_secs_f64();
        let window = from.as_secs() / WINDOW.as_secs();
        let shares = self.shares.entry(window).or_default();
        let mut sum = ResourceVector::default();
        for (team, used) in used.iter().enumerate() {
            shares[team] += used.dominant_share(total) * seconds / WINDOW.as_secs_f64();
            sum.add(used);
        }
        if from >= WARM_UP {
            self.time += seconds;
            self.booked[0] += sum.cpu_millis as f64 / total.cpu_millis as f64 * seconds;
            self.booked[1] +=
                sum.memory_bytes as f64 / total.memory_bytes as f64 * seconds;
        }
    }

    /// Returns the largest distance of a team's share from the mean share in any window after the
    /// warm-up, in percentage points.
    fn max_share_distance(&self) -> f64 {
        let first = WARM_UP.as_secs() / WINDOW.as_secs();
        let last = RUN_TIME.as_secs() / WINDOW.as_secs() - 1;
        let windows = self.shares.range(first..last);
        let distances = windows.flat_map(|(_, shares)| {
            let mean = shares.iter().sum::<f64>() / TEAMS as f64;
            shares.map(|share| (share - mean).abs() * 100.0)
        });
        distances.fold(0.0, f64::max)
    }

    /// Prints the CSV rows of the run, one for each class of tasks.
    fn print(mut self, workload: &str, policy: &str) {
        let distance = self.max_share_distance();
        let [cpu, memory] = self.booked.map(|booked| booked / self.time);
        for (urgent, waits) in &mut self.waits {
            let class = if *urgent { "urgent" } else { "normal" };
            let millis = |time: Duration| time.as_secs_f64() * 1000.0;
            println!(
                "{workload},{policy},{distance:.1},{cpu:.3},{memory:.3},{class},{},{:.0},{:.0},{:.0}",
                waits.len(),
                millis(waits.quantile(0.5)),
                millis(waits.quantile(0.99)),
                millis(waits.quantile(0.999)),
            );
        }
    }
}
