//! Admission by an owner whose first polls of the workers failed once.

mod common;

use self::common::UNIX_TIME;
use self::common::record;
use self::common::rules;
use self::common::step;

cases! {
    /// Guards against refusals by a new owner when each worker missed one poll.
    one_missed_poll_leaves_the_capacity(cell) {
        let ids: Vec<String> = (0..10).map(|number| format!("w{number}")).collect();
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let workers = cell.list_workers(&ids);
        cell.accept("bulk", record(rules(1), vec![step(20, 1000)]));
        cell.scheduler.update_waiting_load(UNIX_TIME);
        let job = record(rules(1), vec![step(1, 1000)]);
        let before = cell.scheduler.admission_load(&job);
        for worker in workers {
            cell.scheduler.mark_silent(worker, cell.now);
        }
        let after = cell.scheduler.admission_load(&job);
        assert!(before < 0.1 && after < 1.0, "load {before:.2} before, {after:.2} after");
    }
}
