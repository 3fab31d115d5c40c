//! What placement passes cost on a full cell.

mod common;

use std::time::Duration;

use geraniumwinch_fleet::PermissionCost;
use geraniumwinch_fleet::PermissionGrant;
use geraniumwinch_fleet::QueueRules;

use self::common::LONG_REQUESTS;
use self::common::TestCell;
use self::common::UNIX_TIME;
use self::common::record;
use self::common::rules;
use self::common::step;

/// The number of workers.
const WORKERS: usize = 40;
/// The number of workers that each waiting step may look at on average.
const MAX_SEARCHED: u64 = 2;

/// Creates the rules of an urgent queue that requires permissions.
fn permitted() -> QueueRules {
    let permission = Some(PermissionCost {
        base: Duration::from_millis(10),
        per_worker: Duration::from_micros(100),
        validity: Duration::from_secs(60),
    });
    QueueRules { permission, ..rules(0) }
}

/// Fills all workers with urgent tasks.
fn fill(cell: &mut TestCell) {
    let ids: Vec<String> = (0..WORKERS).map(|index| format!("w{index}")).collect();
    cell.add_workers(&ids.iter().map(String::as_str).collect::<Vec<&str>>());
    cell.accept("full", record(rules(0), vec![step(WORKERS as u32, 16_000)]));
    assert_eq!(cell.start_all().len(), WORKERS);
}

/// Runs passes and allows all requests until no step requests more.
fn allow_all(cell: &mut TestCell) {
    loop {
        let round = cell.scheduler.place(UNIX_TIME, cell.now, LONG_REQUESTS);
        assert!(round.starts.is_empty(), "the cell is full");
        if round.requests.is_empty() {
            return;
        }
        for request in round.requests {
            let until = cell.now + Duration::from_secs(60);
            let grants = request.workers.iter().map(|worker| PermissionGrant {
                worker: worker.clone(),
                ticket: "ticket".into(),
                until,
            });
            let grants = grants.collect();
            cell.scheduler.permission_response(&request.step, &request.workers, grants);
        }
        cell.wait(1);
    }
}

cases! {
    /// Load: a burst of urgent jobs on a full cell. Guards against passes that search all permitted
    /// workers for each waiting step, so that few passes are made and nothing is in time for long.
    a_pass_over_a_full_cell_searches_no_workers_for_each_waiting_step(cell) {
        fill(&mut cell);
        for jobs in [30, 300] {
            for index in 0..jobs {
                let id = format!("job-{jobs}-{index}");
                cell.accept(&id, record(permitted(), vec![step(1, 4_000)]));
            }
            allow_all(&mut cell);
            cell.wait(150);
            cell.scheduler.take_pass_tally();
            cell.place();
            let tally = cell.scheduler.take_pass_tally();
            assert!(tally.visited >= jobs, "{tally:?}");
            let searched = tally.searched;
            let bound = WORKERS as u64 + tally.visited * MAX_SEARCHED;
            assert!(searched <= bound, "{searched} of at most {bound}");
        }
    }
}
