//! Checks that domains that are cut off keep working, that limits hold across the fleet, and that
//! accepted jobs are never lost.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::default_configuration;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::json;
use test_case::test_case;

/// The API key of the team that submits the jobs.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");

/// Submits a batch job through the first process of a domain and returns the response.
async fn submit(
    cell: &TestCell,
    domain: usize,
    tasks: usize,
    run_time_ms: u64,
) -> geraniumwinch_tests::TestResponse {
    let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(domain, 0));
    let body = format!(
        r#"{{"kind":"batch","tasks":{tasks},"cpu_millis":500,"memory_bytes":1000000,
            "run_time_ms":{run_time_ms}}}"#
    );
    TestClient::default().send(Method::POST, &url, &[KEY], body).await
}

/// Waits until a number of tasks have succeeded.
async fn await_succeeded(cell: &TestCell, tasks: usize) {
    let description = format!("{tasks} tasks have succeeded");
    wait_until(&description, async || cell.ledger().await.succeeded() >= tasks).await;
}

#[test]
fn the_limit_holds_across_the_fleet_while_a_domain_is_cut_off() {
    run_test(async {
        let plan = CellPlan::new(3, 1, 1, 3)
            .proxied()
            .with_configuration(default_configuration(20));
        let cell = TestCell::start(plan).await;
        for domain in 0..3 {
            assert_eq!(submit(&cell, domain, 20, 700).await.status, 202);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        cell.set_rules(cell.isolation_rules(2)).await;
        tokio::time::sleep(Duration::from_millis(2000)).await;
        cell.set_rules(json!([])).await;
        await_succeeded(&cell, 60).await;
        let ledger = cell.ledger().await;
        assert!(
            ledger.most_running() <= 20,
            "{} tasks ran at once",
            ledger.most_running()
        );
        assert!(ledger.overlapping_tasks().is_empty());
    });
}

#[test_case(false; "without faults")]
#[test_case(true; "while a granting owner is killed and responses are lost")]
fn allowances_move_to_the_domain_that_has_the_work(faults: bool) {
    run_test(async {
        let plan =
            CellPlan::new(3, 2, 1, 3).with_configuration(default_configuration(21));
        let mut cell = TestCell::start(plan).await;
        assert_eq!(submit(&cell, 0, 60, 1500).await.status, 202);
        if faults {
            for round in 0..3 {
                cell.set_store_faults(json!({ "lose_answers": 3 })).await;
                tokio::time::sleep(Duration::from_millis(700)).await;
                let owner = cell.owner_of(1).await.unwrap_or(round % 2);
                cell.entries.get_mut(&(1, owner)).unwrap().kill();
                cell.start_entry(1, owner);
            }
            cell.set_store_faults(json!({})).await;
        }
        await_succeeded(&cell, 60).await;
        let most = cell.ledger().await.most_running();
        assert!(most <= 21, "{most} tasks ran at once, over the limit");
        assert!(most > 7, "only {most} tasks ran at once, the equal share of one domain");
    });
}

#[test]
fn a_lowered_limit_holds_once_it_is_in_force() {
    run_test(async {
        let cell = TestCell::start(
            CellPlan::new(3, 1, 1, 3).with_configuration(default_configuration(30)),
        )
        .await;
        assert_eq!(submit(&cell, 0, 60, 1000).await.status, 202);
        tokio::time::sleep(Duration::from_millis(4000)).await;
        assert_eq!(cell.publish(1, 0, 1, &default_configuration(9)).await.status, 200);
        // The limit is in force within 4 s, and tasks started before end within another second.
        tokio::time::sleep(Duration::from_millis(5500)).await;
        let client = TestClient::default();
        for _ in 0..20 {
            let mut running = 0;
            for url in cell.worker_urls() {
                let account = client.get_json(&format!("{url}/account")).await;
                running += account["running"].as_u64().unwrap_or(0);
            }
            assert!(running <= 9, "{running} tasks run");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        await_succeeded(&cell, 60).await;
    });
}

#[test]
fn a_cut_off_domain_runs_what_it_accepted() {
    run_test(async {
        let plan = CellPlan::new(2, 2, 2, 2).proxied().setting(
            "workers",
            "task-lease-ms",
            "2000",
        );
        let cell = TestCell::start(plan).await;
        assert_eq!(submit(&cell, 1, 40, 1500).await.status, 202);
        cell.set_rules(cell.isolation_rules(1)).await;
        tokio::time::sleep(Duration::from_millis(6000)).await;
        let client = TestClient::default();
        let url = format!("{}/v1/queues/open/requests/price", cell.entry_url(1, 0));
        assert_eq!(client.send(Method::GET, &url, &[], "").await.status, 200);
        assert_eq!(
            cell.ledger().await.succeeded(),
            40,
            "running and waiting tasks must continue"
        );
        cell.set_rules(json!([])).await;
        wait_until("work with a key is accepted again", async || {
            submit(&cell, 1, 10, 100).await.status == 202
        })
        .await;
        await_succeeded(&cell, 50).await;
        let ledger = cell.ledger().await;
        assert!(ledger.overlapping_tasks().is_empty());
        assert!(
            ledger.tasks.values().all(|runs| runs.len() == 1),
            "no task may run again"
        );
    });
}

#[test]
fn accepted_jobs_survive_the_kill_of_every_entry() {
    run_test(async {
        let plan = CellPlan::new(2, 2, 1, 2).setting("workers", "task-lease-ms", "2000");
        let mut cell = TestCell::start(plan).await;
        for domain in 0..2 {
            assert_eq!(submit(&cell, domain, 20, 500).await.status, 202);
        }
        cell.entries.values_mut().for_each(|process| process.kill());
        cell.start_entries().await;
        await_succeeded(&cell, 40).await;
        let ledger = cell.ledger().await;
        assert!(ledger.overlapping_tasks().is_empty());
        assert_eq!(ledger.overcommits, 0);
    });
}

#[test]
fn a_job_accepted_during_a_store_outage_survives_its_dispatcher() {
    run_test(async {
        let plan = CellPlan::new(1, 3, 1, 2).setting("workers", "task-lease-ms", "2000");
        let mut cell = TestCell::start(plan).await;
        let owner = cell.owner_of(0).await.expect("an owner");
        // A process that has joined is named in the store's record after one or two heartbeats.
        // Before that, a successor would not ask it for the records that it keeps, and the
        // dispatcher does not rely on it.
        tokio::time::sleep(Duration::from_millis(1500)).await;
        cell.set_store_faults(json!({ "down": true })).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let response = submit(&cell, 0, 20, 400).await;
        assert_eq!(response.status, 202, "{:?}", response.body);
        cell.entries.get_mut(&(0, owner)).unwrap().kill();
        tokio::time::sleep(Duration::from_millis(1000)).await;
        cell.set_store_faults(json!({})).await;
        await_succeeded(&cell, 20).await;
        assert!(cell.ledger().await.overlapping_tasks().is_empty());
    });
}

#[test]
fn a_single_process_reports_whether_a_job_ran_during_a_store_outage() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(1, 1, 1, 1)).await;
        cell.set_store_faults(json!({ "down": true })).await;
        let first = submit(&cell, 0, 1, 100).await;
        assert_eq!(
            first.field("run"),
            "unknown",
            "the first write may have taken effect"
        );
        let second = submit(&cell, 0, 7, 100).await;
        assert_eq!(second.field("error"), "store-unavailable");
        assert!(second.not_run() && second.header("retry-after").is_some());
        cell.set_store_faults(json!({})).await;
        wait_until("a job is accepted", async || {
            submit(&cell, 0, 1, 100).await.status == 202
        })
        .await;
        await_succeeded(&cell, 2).await;
        assert_eq!(cell.ledger().await.tasks.len(), 2, "the refused job must not run");
    });
}
