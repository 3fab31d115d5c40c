//! Checks that non-idempotent requests run at most once under faults, and that a request reported
//! as "not run" has not run.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::RequestLoad;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::check_outcomes;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::summarize_outcomes;
use serde_json::json;
use test_case::test_case;

/// The API key of the team that sends the requests.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");

/// A fault that is injected in the middle of a load.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LoadFault {
    KillEntry,
    FreezeEntry,
    KillOwner,
    FreezeOwner,
    CutDomains,
    DropResponses,
    FreezeResponses,
    BreakEndpoints,
    StoreDown,
    StoreLosesResponses,
}

/// The time after which a temporary fault is cleared.
const FAULT_DURATION: Duration = Duration::from_millis(6000);

/// Injects a fault and clears it after [`FAULT_DURATION`], except that killed processes stay down.
async fn inject_fault(cell: &mut TestCell, fault: LoadFault) {
    let owner = cell.owner_of(0).await.unwrap_or(0);
    let other = 1 - owner;
    let domain = cell.addresses.domain_prefix(0);
    let endpoints = format!("{domain}100:");
    match fault {
        LoadFault::KillEntry => cell.entries.get_mut(&(0, other)).unwrap().kill(),
        LoadFault::KillOwner => cell.entries.get_mut(&(0, owner)).unwrap().kill(),
        LoadFault::FreezeEntry => cell.entries[&(0, other)].freeze(),
        LoadFault::FreezeOwner => cell.entries[&(0, owner)].freeze(),
        LoadFault::CutDomains => cell.set_rules(cell.isolation_rules(0)).await,
        LoadFault::DropResponses => {
            cell.set_rules(json!([{ "to": endpoints, "mode": "drop-answers" }])).await;
        }
        LoadFault::FreezeResponses => {
            cell.set_rules(json!([{ "to": endpoints, "mode": "freeze-answers" }])).await;
        }
        LoadFault::BreakEndpoints => break_endpoints(cell, true).await,
        LoadFault::StoreDown => cell.set_store_faults(json!({ "down": true })).await,
        LoadFault::StoreLosesResponses => {
            cell.set_store_faults(json!({ "lose_answers": 10 })).await;
        }
    }
    tokio::time::sleep(FAULT_DURATION).await;
    match fault {
        LoadFault::FreezeEntry => cell.entries[&(0, other)].resume(),
        LoadFault::FreezeOwner => cell.entries[&(0, owner)].resume(),
        LoadFault::BreakEndpoints => break_endpoints(cell, false).await,
        LoadFault::StoreDown => cell.set_store_faults(json!({})).await,
        _ => cell.set_rules(json!([])).await,
    }
}

/// Sets whether the executors of the first domain break the connection of every request.
async fn break_endpoints(cell: &TestCell, broken: bool) {
    let client = TestClient::default();
    let count = cell.plan.domains[0].executors;
    for url in cell.executor_urls().into_iter().take(count) {
        client.post_json(&format!("{url}/faults"), &json!({ "break_all": broken })).await;
    }
}

#[test_case(LoadFault::KillEntry, 11; "an entry is killed")]
#[test_case(LoadFault::FreezeEntry, 12; "an entry is frozen and resumed")]
#[test_case(LoadFault::KillOwner, 13; "the dispatcher is killed")]
#[test_case(LoadFault::FreezeOwner, 14; "the dispatcher is frozen and resumed")]
#[test_case(LoadFault::CutDomains, 15; "a domain is cut off and rejoins")]
#[test_case(LoadFault::DropResponses, 16; "responses of endpoints are dropped")]
#[test_case(LoadFault::FreezeResponses, 17; "responses of endpoints are late")]
#[test_case(LoadFault::BreakEndpoints, 18; "endpoints break their connections")]
#[test_case(LoadFault::StoreDown, 19; "the store is down")]
#[test_case(LoadFault::StoreLosesResponses, 20; "the store loses responses to writes")]
fn runs_at_most_once_while(fault: LoadFault, seed: u64) {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(2, 2, 3, 1).proxied()).await;
        let load = RequestLoad {
            seed,
            requests: 400,
            interval: Duration::from_millis(20),
            deadline: Duration::from_millis(3000),
        };
        let urls = cell.entry_urls();
        let outcomes = actix_rt::spawn(async move { load.run(urls).await });
        tokio::time::sleep(Duration::from_millis(1500)).await;
        inject_fault(&mut cell, fault).await;
        let outcomes = outcomes.await.expect("the load task panicked");
        println!("{fault:?}: {}", summarize_outcomes(&outcomes));
        tokio::time::sleep(Duration::from_millis(500)).await;
        check_outcomes(&outcomes, &cell.ledger().await);
        let answered = outcomes.iter().filter(|outcome| outcome.ran()).count();
        assert!(answered > outcomes.len() / 3, "only {answered} requests succeeded");
    });
}

#[test]
fn a_key_runs_once_through_every_entry_at_once_and_later() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 3, 1)).await;
        let client = TestClient::default();
        let headers = [KEY, ("Unique", "crate-1"), ("Idempotency-Key", "order-1")];
        let calls = (0..24).map(|number| {
            let urls = cell.entry_urls();
            let entry = urls[number % urls.len()].clone();
            let client = client.clone();
            async move {
                let url = format!("{entry}/v1/queues/exchange/requests/order?ms=300");
                client.send(Method::POST, &url, &headers, "one crate").await
            }
        });
        let responses = futures_util::future::join_all(calls).await;
        assert_eq!(cell.ledger().await.runs_of("crate-1"), 1);
        for response in responses.iter().filter(|response| !response.ran()) {
            assert_eq!(response.field("error"), "still-running");
            assert!(response.header("retry-after").is_some());
        }
        assert!(responses.iter().any(|response| response.ran()));
        for entry in cell.entry_urls() {
            let url = format!("{entry}/v1/queues/exchange/requests/order?ms=300");
            let response = client.send(Method::POST, &url, &headers, "one crate").await;
            assert!(response.ran(), "{:?}", response.body);
            assert_eq!(response.header("idempotency-replayed"), Some("true"));
            assert_eq!(response.field("unique"), "crate-1");
        }
        assert_eq!(cell.ledger().await.runs_of("crate-1"), 1);
    });
}

/// Sends a request to one executor after the other until one responds, like a client that retries
/// after every failure.
async fn retry_until_success(executors: &[String], unique: &str) -> bool {
    let client = TestClient::default();
    for executor in executors {
        let url = format!("{executor}/order?ms=5");
        let response =
            client.send(Method::POST, &url, &[("Unique", unique)], "one crate").await;
        if response.status == 200 && !response.body.is_empty() {
            return true;
        }
    }
    false
}

/// Guards against checks that can't fail: a client that retries without knowing whether its request
/// has run must cause double runs.
#[test]
fn a_client_that_always_retries_fails_the_same_checks() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 1, 3, 1)).await;
        break_endpoints(&cell, true).await;
        let executors = cell.executor_urls();
        let mut answered = 0;
        for number in 0..20 {
            let unique = format!("naive-{number}");
            answered += usize::from(retry_until_success(&executors, &unique).await);
        }
        let ledger = cell.ledger().await;
        let run_twice = ledger.requests.values().filter(|runs| **runs > 1).count();
        assert_eq!(
            (answered, run_twice),
            (20, 20),
            "each request must also have run on the broken executors"
        );
    });
}

#[test]
fn a_key_that_is_reused_for_another_request_is_refused() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 1, 1, 1)).await;
        let client = TestClient::default();
        let headers = [KEY, ("Unique", "first"), ("Idempotency-Key", "order-2")];
        let url = format!("{}/v1/queues/exchange/requests/order", cell.entry_url(0, 0));
        let response = client.send(Method::POST, &url, &headers, "one crate").await;
        assert!(response.ran(), "{:?}", response.body);
        let headers = [KEY, ("Unique", "second"), ("Idempotency-Key", "order-2")];
        let response = client.send(Method::POST, &url, &headers, "two crates").await;
        assert_eq!(response.field("error"), "idempotency-key-reused");
        assert!(response.not_run());
        assert_eq!(cell.ledger().await.runs_of("second"), 0);
    });
}

#[test]
fn a_key_whose_home_is_cut_off_is_refused_at_once() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 1, 2, 1).proxied()).await;
        cell.set_rules(cell.isolation_rules(1)).await;
        tokio::time::sleep(Duration::from_millis(3000)).await;
        let client = TestClient::default();
        let url = format!("{}/v1/queues/open/requests/order", cell.entry_url(0, 0));
        let mut refused = 0;
        for number in 0..20 {
            let key = format!("order-{number}");
            let headers = [("Unique", key.as_str()), ("Idempotency-Key", key.as_str())];
            let response = client.send(Method::POST, &url, &headers, "").await;
            if response.ran() {
                continue;
            }
            refused += 1;
            assert_eq!(response.field("error"), "home-unreachable");
            assert!(response.not_run() && response.header("retry-after").is_some());
            assert_eq!(cell.ledger().await.runs_of(&key), 0);
        }
        assert!(
            (1..20).contains(&refused),
            "{refused} of 20 keys have their home in the domain that is cut off"
        );
    });
}
