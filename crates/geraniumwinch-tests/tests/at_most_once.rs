//! Non-idempotent requests run at most once, and "not run" is true, under every fault.

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

/// The key of the team that requests are sent for.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");

/// A fault that strikes in the middle of a load.
#[derive(Debug, Clone, Copy, PartialEq)]
enum MidwayFault {
    KillEntry,
    FreezeEntry,
    KillOwner,
    FreezeOwner,
    CutDomains,
    DropAnswers,
    FreezeAnswers,
    BreakEndpoints,
    StoreDown,
    StoreLosesAnswers,
}

/// How long a passing fault lasts.
const FAULT_TIME: Duration = Duration::from_millis(6000);

/// Strikes a cell with a fault and mends what passes.
async fn strike(cell: &mut TestCell, fault: MidwayFault) {
    let owner = cell.owner_of(0).await.unwrap_or(0);
    let other = 1 - owner;
    let domain = cell.addresses.domain_prefix(0);
    let endpoints = format!("{domain}100:");
    match fault {
        MidwayFault::KillEntry => cell.entries.get_mut(&(0, other)).unwrap().kill(),
        MidwayFault::KillOwner => cell.entries.get_mut(&(0, owner)).unwrap().kill(),
        MidwayFault::FreezeEntry => cell.entries[&(0, other)].freeze(),
        MidwayFault::FreezeOwner => cell.entries[&(0, owner)].freeze(),
        MidwayFault::CutDomains => cell.set_rules(cell.isolation_rules(0)).await,
        MidwayFault::DropAnswers => {
            cell.set_rules(json!([{ "to": endpoints, "mode": "drop-answers" }])).await;
        }
        MidwayFault::FreezeAnswers => {
            cell.set_rules(json!([{ "to": endpoints, "mode": "freeze-answers" }])).await;
        }
        MidwayFault::BreakEndpoints => break_endpoints(cell, true).await,
        MidwayFault::StoreDown => cell.set_store_faults(json!({ "down": true })).await,
        MidwayFault::StoreLosesAnswers => {
            cell.set_store_faults(json!({ "lose_answers": 10 })).await;
        }
    }
    tokio::time::sleep(FAULT_TIME).await;
    match fault {
        MidwayFault::FreezeEntry => cell.entries[&(0, other)].resume(),
        MidwayFault::FreezeOwner => cell.entries[&(0, owner)].resume(),
        MidwayFault::BreakEndpoints => break_endpoints(cell, false).await,
        MidwayFault::StoreDown => cell.set_store_faults(json!({})).await,
        _ => cell.set_rules(json!([])).await,
    }
}

/// Switches the breaking of connections by the first domain's executors.
async fn break_endpoints(cell: &TestCell, broken: bool) {
    let client = TestClient::default();
    let count = cell.plan.domains[0].executors;
    for url in cell.executor_urls().into_iter().take(count) {
        client.post_json(&format!("{url}/faults"), &json!({ "break_all": broken })).await;
    }
}

#[test_case(MidwayFault::KillEntry, 11; "an entry is killed")]
#[test_case(MidwayFault::FreezeEntry, 12; "an entry is frozen and thawed")]
#[test_case(MidwayFault::KillOwner, 13; "the dispatcher is killed")]
#[test_case(MidwayFault::FreezeOwner, 14; "the dispatcher is frozen and thawed")]
#[test_case(MidwayFault::CutDomains, 15; "a domain is cut off and rejoins")]
#[test_case(MidwayFault::DropAnswers, 16; "answers of endpoints are dropped")]
#[test_case(MidwayFault::FreezeAnswers, 17; "answers of endpoints come late")]
#[test_case(MidwayFault::BreakEndpoints, 18; "endpoints break their connections")]
#[test_case(MidwayFault::StoreDown, 19; "the store is down")]
#[test_case(MidwayFault::StoreLosesAnswers, 20; "the store loses answers to writes")]
fn runs_at_most_once_while(fault: MidwayFault, seed: u64) {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(2, 2, 3, 1).proxied()).await;
        let load = RequestLoad {
            seed,
            requests: 400,
            spacing: Duration::from_millis(20),
            deadline: Duration::from_millis(3000),
        };
        let urls = cell.entry_urls();
        let outcomes = actix_rt::spawn(async move { load.run(urls).await });
        tokio::time::sleep(Duration::from_millis(1500)).await;
        strike(&mut cell, fault).await;
        let outcomes = outcomes.await.expect("the load ends");
        println!("{fault:?}: {}", summarize_outcomes(&outcomes));
        tokio::time::sleep(Duration::from_millis(500)).await;
        check_outcomes(&outcomes, &cell.ledger().await);
        let answered = outcomes.iter().filter(|outcome| outcome.ran()).count();
        assert!(answered > outcomes.len() / 3, "only {answered} were answered");
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
        let answers = futures_util::future::join_all(calls).await;
        assert_eq!(cell.ledger().await.runs_of("crate-1"), 1);
        for answer in answers.iter().filter(|answer| !answer.ran()) {
            assert_eq!(answer.field("error"), "still-running");
            assert!(answer.header("retry-after").is_some());
        }
        assert!(answers.iter().any(|answer| answer.ran()));
        for entry in cell.entry_urls() {
            let url = format!("{entry}/v1/queues/exchange/requests/order?ms=300");
            let answer = client.send(Method::POST, &url, &headers, "one crate").await;
            assert!(answer.ran(), "{:?}", answer.body);
            assert_eq!(answer.header("idempotency-replayed"), Some("true"));
            assert_eq!(answer.field("unique"), "crate-1");
        }
        assert_eq!(cell.ledger().await.runs_of("crate-1"), 1);
    });
}

/// Sends a request to executors until one answers, as a carrier would that repeats whatever fails.
async fn carry_naively(executors: &[String], unique: &str) -> bool {
    let client = TestClient::default();
    for executor in executors {
        let url = format!("{executor}/order?ms=5");
        let answer =
            client.send(Method::POST, &url, &[("Unique", unique)], "one crate").await;
        if answer.status == 200 && !answer.body.is_empty() {
            return true;
        }
    }
    false
}

#[test]
fn a_naive_carrier_fails_the_same_checks() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 1, 3, 1)).await;
        break_endpoints(&cell, true).await;
        let executors = cell.executor_urls();
        let mut answered = 0;
        for number in 0..20 {
            let unique = format!("naive-{number}");
            answered += usize::from(carry_naively(&executors, &unique).await);
        }
        let ledger = cell.ledger().await;
        let doubled = ledger.requests.values().filter(|runs| **runs > 1).count();
        assert_eq!(
            (answered, doubled),
            (20, 20),
            "each request ran on every broken executor too"
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
        let answer = client.send(Method::POST, &url, &headers, "one crate").await;
        assert!(answer.ran(), "{:?}", answer.body);
        let headers = [KEY, ("Unique", "second"), ("Idempotency-Key", "order-2")];
        let answer = client.send(Method::POST, &url, &headers, "two crates").await;
        assert_eq!(answer.field("error"), "idempotency-key-reused");
        assert!(answer.not_run());
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
            let answer = client.send(Method::POST, &url, &headers, "").await;
            if answer.ran() {
                continue;
            }
            refused += 1;
            assert_eq!(answer.field("error"), "home-unreachable");
            assert!(answer.not_run() && answer.header("retry-after").is_some());
            assert_eq!(cell.ledger().await.runs_of(&key), 0);
        }
        assert!(
            (1..20).contains(&refused),
            "{refused} of 20 have their home in the other domain"
        );
    });
}
