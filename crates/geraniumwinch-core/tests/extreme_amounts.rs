//! Amounts at the limits of their types, in the list of workers and in jobs.

mod common;

use geraniumwinch_core::JobSpec;
use geraniumwinch_core::ResourceVector;
use geraniumwinch_core::WorkerSpec;
use geraniumwinch_core::WorkerTable;

use self::common::CPU;
use self::common::ScheduledDomain;
use self::common::WORKERS;
use self::common::batch;
use self::common::size;

/// The greatest amount of each resource.
const GREATEST: ResourceVector = ResourceVector {
    cpu_millis: u64::MAX,
    memory_bytes: u64::MAX,
    accelerators: u32::MAX,
};

/// Creates the description of a worker with a capacity.
fn sized(name: &str, capacity: ResourceVector) -> WorkerSpec {
    WorkerSpec {
        name: name.into(),
        rack: "rack".into(),
        address: format!("{name}:1").into(),
        capacity,
        leaving: false,
    }
}

/// Guards against a total that wraps to nearly nothing, by which the shares of all teams are wrong.
#[test]
fn a_total_does_not_wrap() {
    let half = ResourceVector { cpu_millis: 1 << 63, ..GREATEST };
    let mut table = WorkerTable::default();
    table.set_list(&[sized("a", half), sized("b", half), sized("c", size(CPU))]);
    assert_eq!(table.total(), GREATEST);
}

/// Guards against a scheduler that ends at a worker of the greatest capacity, and starts nothing on
/// the sound ones.
#[test]
fn a_job_starts_beside_the_greatest_capacities() {
    let mut domain = ScheduledDomain::new();
    let listed = [
        sized(WORKERS[0], size(CPU)),
        sized("odd-a", GREATEST),
        sized("odd-b", GREATEST),
    ];
    domain.scheduler.set_workers(&listed);
    domain.report(WORKERS[0], &[]);
    domain.submit(batch(CPU));
    let starts = domain.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(&*starts[0].0, WORKERS[0]);
}

/// Guards against a scheduler that ends at the sum of what tasks of the greatest sizes book.
#[test]
fn tasks_of_the_greatest_sizes_leave_room_for_nothing() {
    let mut domain = ScheduledDomain::new();
    domain.scheduler.set_workers(&[sized("odd-a", GREATEST), sized("odd-b", GREATEST)]);
    domain.report("odd-a", &[]);
    domain.report("odd-b", &[]);
    let great = JobSpec { tasks: 5, size: GREATEST, ..batch(CPU) };
    domain.submit(great);
    assert_eq!(domain.starts().len(), 2);
    domain.submit(batch(CPU));
    assert!(domain.starts().is_empty());
}
