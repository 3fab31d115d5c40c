//! Configuration: one winner a revision, in force everywhere within seconds, never reverted; keys.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::OPERATOR_KEY;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::default_configuration;
use geraniumwinch_tests::run_test;
use geraniumwinch_tests::wait_until;
use serde_json::json;

/// The key of the team that is withdrawn.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// The time after which a change is in force and a withdrawn key is refused.
const IN_FORCE: Duration = Duration::from_millis(4000);

/// Returns a set without the key of yard-a.
fn set_without_key() -> String {
    let set = default_configuration(1000);
    let start = set.find("[key yard-a]").expect("the set has the key");
    let end =
        start + set[start..].find("[key yard-b]").expect("the set has the other key");
    format!("{}{}", &set[..start], &set[end..])
}

/// Returns the set of a round of an operator.
fn set_of(operator: &str, round: u64) -> String {
    format!(
        "{}\n[share {operator}]\nweight = {}\n",
        default_configuration(1000),
        round + 1
    )
}

/// Reads the revision in force in a process; 0 stands for no answer.
async fn revision_at(cell: &TestCell, domain: usize, index: usize) -> u64 {
    let url = format!("{}/v1/configuration", cell.entry_url(domain, index));
    let key = format!("Bearer {OPERATOR_KEY}");
    let headers = [("Authorization", key.as_str())];
    let client = TestClient::new(Duration::from_millis(1000));
    let answer = client.send(Method::GET, &url, &headers, "").await;
    let tag = answer.header("etag").unwrap_or_default();
    tag.trim_matches('"').parse().unwrap_or(0)
}

/// Sends a keyed request and returns its status and error.
async fn ask(cell: &TestCell, domain: usize, index: usize, queue: &str) -> (u16, String) {
    let url =
        format!("{}/v1/queues/{queue}/requests/price", cell.entry_url(domain, index));
    let headers = if queue == "open" { vec![] } else { vec![KEY] };
    let answer = TestClient::default().send(Method::GET, &url, &headers, "").await;
    (answer.status, answer.field("error"))
}

#[test]
fn of_two_racing_operators_one_wins_each_revision() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 1, 1)).await;
        let mut revision = 1;
        for round in 0..50 {
            let (left_set, right_set) = (set_of("left", round), set_of("right", round));
            let left = cell.publish(0, 0, revision, &left_set);
            let right = cell.publish(1, 1, revision, &right_set);
            let (left, right) = futures_util::future::join(left, right).await;
            let winners =
                [&left, &right].iter().filter(|answer| answer.status == 200).count();
            assert_eq!(winners, 1, "{:?} {:?}", left.body, right.body);
            let loser = if left.status == 200 { &right } else { &left };
            assert_eq!(loser.field("error"), "revision-conflict");
            revision += 1;
            let told = format!("\"{revision}\"");
            assert_eq!(
                loser.header("etag"),
                Some(told.as_str()),
                "the loser is told to rebase"
            );
        }
        wait_until("every process has the last revision", async || {
            let mut seen = BTreeSet::new();
            for (domain, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                seen.insert(revision_at(&cell, domain, index).await);
            }
            seen == BTreeSet::from([revision])
        })
        .await;
    });
}

#[test]
fn lost_answers_and_restarts_never_revert_a_revision() {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(2, 2, 1, 1).proxied()).await;
        let mut seen = [[1_u64; 2]; 2];
        let mut revision = 1;
        for round in 0..20 {
            cell.set_store_faults(json!({ "lose_answers": round % 3 })).await;
            match round {
                5 => {
                    cell.entries.get_mut(&(0, 1)).unwrap().kill();
                    cell.start_entry(0, 1);
                    // A new process has no revision yet, which is no step back.
                    seen[0][1] = 0;
                }
                8 => cell.set_rules(cell.isolation_rules(1)).await,
                12 => cell.set_rules(json!([])).await,
                14 => cell.entries[&(1, 1)].freeze(),
                17 => cell.entries[&(1, 1)].resume(),
                _ => {}
            }
            let answer = cell.publish(0, 0, revision, &set_of("only", round)).await;
            assert_eq!(answer.status, 200, "round {round}: {:?}", answer.body);
            revision += 1;
            for (domain, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                let now = revision_at(&cell, domain, index).await;
                let last = &mut seen[domain][index];
                assert!(now == 0 || now >= *last, "from {last} back to {now}");
                *last = now.max(*last);
            }
        }
        wait_until("every process has the last revision", async || {
            let mut all = true;
            for (domain, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                all &= revision_at(&cell, domain, index).await == revision;
            }
            all
        })
        .await;
    });
}

#[test]
fn each_revision_has_the_content_that_was_published() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(3, 3, 1, 1)).await;
        let key = format!("Bearer {OPERATOR_KEY}");
        let headers = [("Authorization", key.as_str())];
        let client = TestClient::default();
        for round in 0..60 {
            let answer = cell.publish(0, 0, round + 1, &set_of("only", round)).await;
            assert_eq!(answer.status, 200, "round {round}: {:?}", answer.body);
            for url in cell.entry_urls() {
                let url = format!("{url}/v1/configuration");
                let answer = client.send(Method::GET, &url, &headers, "").await;
                let tag = answer
                    .header("etag")
                    .unwrap_or_default()
                    .trim_matches('"')
                    .to_owned();
                let revision: u64 = tag.parse().expect("a revision");
                assert!(revision <= round + 2, "revision {revision} was never published");
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let weight =
                    format!("[share only]\nweight = {}\n", revision.saturating_sub(1));
                assert!(revision < 2 || text.contains(&weight), "{revision}: {text}");
            }
        }
    });
}

#[test]
fn a_change_is_in_force_everywhere_within_four_seconds() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(3, 2, 1, 1)).await;
        let answer = cell.publish(1, 0, 1, &set_of("only", 1)).await;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        let began = Instant::now();
        tokio::time::sleep(IN_FORCE).await;
        for domain in 0..3 {
            for index in 0..2 {
                assert_eq!(
                    revision_at(&cell, domain, index).await,
                    2,
                    "{:?}",
                    began.elapsed()
                );
            }
        }
    });
}

#[test]
fn a_withdrawn_key_stops_while_answers_are_lost() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 2, 1)).await;
        assert_eq!(ask(&cell, 0, 0, "exchange").await.0, 200);
        cell.set_store_faults(json!({ "lose_answers": 2 })).await;
        assert_eq!(cell.publish(0, 0, 1, &set_without_key()).await.status, 200);
        tokio::time::sleep(IN_FORCE).await;
        for (domain, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            let (status, error) = ask(&cell, domain, index, "exchange").await;
            assert_eq!((status, error.as_str()), (401, "key-unknown"));
            assert_eq!(ask(&cell, domain, index, "open").await.0, 200);
        }
    });
}

#[test]
fn a_key_withdrawn_elsewhere_stops_in_a_domain_that_is_cut_off() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 2, 1).proxied()).await;
        cell.set_rules(cell.isolation_rules(1)).await;
        assert_eq!(cell.publish(0, 0, 1, &set_without_key()).await.status, 200);
        tokio::time::sleep(IN_FORCE).await;
        for index in 0..2 {
            let (status, error) = ask(&cell, 1, index, "exchange").await;
            assert_eq!((status, error.as_str()), (503, "keys-stale"));
            assert_eq!(ask(&cell, 1, index, "open").await.0, 200);
        }
        cell.set_rules(json!([])).await;
        wait_until("the domain has rejoined", async || {
            ask(&cell, 1, 0, "exchange").await.1 == "key-unknown"
        })
        .await;
    });
}

#[test]
fn keyed_work_goes_on_in_a_full_outage_of_the_store() {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(2, 2, 2, 1)).await;
        cell.set_store_faults(json!({ "down": true })).await;
        let owner = cell.owner_of(0).await.expect("an owner");
        cell.entries.get_mut(&(0, 1 - owner)).unwrap().kill();
        tokio::time::sleep(IN_FORCE * 2).await;
        for (domain, index) in [(0, owner), (1, 0), (1, 1)] {
            let (status, error) = ask(&cell, domain, index, "exchange").await;
            assert_eq!(status, 200, "domain {domain}: {error}");
        }
        cell.set_store_faults(json!({})).await;
        assert_eq!(cell.publish(1, 0, 1, &set_without_key()).await.status, 200);
        tokio::time::sleep(IN_FORCE).await;
        assert_eq!(ask(&cell, 0, owner, "exchange").await.1, "key-unknown");
    });
}
