//! Runs random faults from a seed, and checks the runs that the stand-ins report.

use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::RequestLoad;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::check_outcomes;
use geraniumwinch_tests::default_configuration;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::summarize_outcomes;
use geraniumwinch_tests::wait_until;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

/// The API key of the team that submits the work.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// The duration over which faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(20);
/// The number of tasks that each team may run at the same time in the fleet.
const LIMIT: u32 = 60;

/// Injects a random fault, clears it after a random time and returns its description.
///
/// Lost and slow responses of the store last until the next fault of the store.
async fn inject_fault(cell: &mut TestCell, rng: &mut SmallRng) -> String {
    let domain = rng.random_range(0..2);
    let index = rng.random_range(0..3);
    let time = Duration::from_millis(rng.random_range(300..4000));
    let prefix = cell.addresses.domain_prefix(domain);
    let entry = (domain, index);
    let kind = rng.random_range(0..9);
    match kind {
        0 | 1 => {
            cell.entries.get_mut(&entry).expect("an entry").kill();
            tokio::time::sleep(time).await;
            cell.start_entry(domain, index);
        }
        2 => {
            cell.entries[&entry].freeze();
            tokio::time::sleep(time).await;
            cell.entries[&entry].resume();
        }
        3 => {
            cell.entries[&entry].terminate();
            wait_until("the process has exited", async || {
                cell.entries.get_mut(&entry).expect("an entry").exit_code().is_some()
            })
            .await;
            cell.start_entry(domain, index);
        }
        4 => {
            cell.set_store_faults(json!({ "down": true })).await;
            tokio::time::sleep(time).await;
            cell.set_store_faults(json!({})).await;
        }
        5 => cell.set_store_faults(json!({ "lose_answers": 5, "slow_ms": 20 })).await,
        6 => apply_rules(cell, cell.isolation_rules(domain), time).await,
        7 => {
            let to = format!("{prefix}100:");
            apply_rules(cell, json!([{ "to": to, "mode": "drop-answers" }]), time).await;
        }
        _ => {
            let name = format!("worker-{}", cell.plan.domains[domain].name);
            cell.stand_ins[&name].freeze();
            tokio::time::sleep(time).await;
            cell.stand_ins[&name].resume();
        }
    }
    format!("{kind}@{domain}.{index}/{}ms", time.as_millis())
}

/// Applies proxy rules for the given time.
async fn apply_rules(cell: &TestCell, rules: Value, time: Duration) {
    cell.set_rules(rules).await;
    tokio::time::sleep(time).await;
    cell.set_rules(json!([])).await;
}

/// Submits jobs with idempotency keys until they are accepted; returns their number of tasks.
async fn submit_jobs(urls: Vec<String>, seed: u64) -> usize {
    let client = TestClient::default();
    let mut tasks = 0;
    for number in 0..10 {
        let key = format!("job-{seed}-{number}");
        let headers = [KEY, ("Idempotency-Key", key.as_str())];
        let body = r#"{"kind":"batch","tasks":8,"cpu_millis":2000,"memory_bytes":1000000,
            "run_time_ms":400}"#;
        let mut attempt = number;
        loop {
            let url = format!("{}/v1/queues/exchange/jobs", urls[attempt % urls.len()]);
            if client.send(Method::POST, &url, &headers, body).await.status == 202 {
                break;
            }
            attempt += 1;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        tasks += 8;
        tokio::time::sleep(Duration::from_millis(1200)).await;
    }
    tasks
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn no_task_is_lost_and_nothing_runs_twice_under(seed: u64) {
    run_seed(seed);
}

#[test]
#[ignore = "a longer run for `make soak`, which names the seed"]
fn soak() {
    let seed = std::env::var("SOAK_SEED").ok().and_then(|text| text.parse().ok());
    run_seed(seed.expect("SOAK_SEED holds a number"));
}

/// Sends requests and jobs while the faults of a seed are injected, and checks the results.
fn run_seed(seed: u64) {
    run_test(async {
        let plan = CellPlan::new(2, 3, 3, 3)
            .proxied()
            .with_configuration(default_configuration(LIMIT))
            .setting("workers", "task-lease-ms", "2000")
            .setting("stop", "notice-ms", "200");
        let mut cell = TestCell::start(plan).await;
        let load = RequestLoad {
            seed,
            requests: 800,
            interval: Duration::from_millis(25),
            deadline: Duration::from_millis(3000),
        };
        let urls = cell.entry_urls();
        let jobs = actix_rt::spawn(submit_jobs(urls.clone(), seed));
        let load = actix_rt::spawn(async move { load.run(urls).await });
        let mut rng = SmallRng::seed_from_u64(seed);
        let started = Instant::now();
        let mut faults = Vec::new();
        while started.elapsed() < FAULT_PERIOD {
            faults.push(inject_fault(&mut cell, &mut rng).await);
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..1500))).await;
        }
        cell.set_store_faults(json!({})).await;
        println!("faults {}", faults.join(" "));
        let outcomes = load.await.expect("the load task panicked");
        let tasks = jobs.await.expect("the submitting task panicked");
        println!("requests {}", summarize_outcomes(&outcomes));
        let description = format!("{tasks} tasks have succeeded");
        wait_until(&description, async || cell.ledger().await.succeeded() >= tasks).await;
        tokio::time::sleep(Duration::from_millis(3000)).await;
        let ledger = cell.ledger().await;
        check_outcomes(&outcomes, &ledger);
        assert_eq!(ledger.overcommits, 0, "a worker ran tasks beyond its capacity");
        assert!(
            ledger.overlapping_tasks().is_empty(),
            "{:?}",
            ledger.overlapping_tasks()
        );
        assert_eq!(
            ledger.tasks.len(),
            tasks,
            "exactly the tasks of the accepted jobs must have run"
        );
        assert!(
            ledger.most_running() <= i64::from(LIMIT),
            "{} tasks ran at once",
            ledger.most_running()
        );
    });
}
