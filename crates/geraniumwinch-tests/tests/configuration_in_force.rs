//! Checks that one publication wins each revision, that a revision is in force everywhere within
//! seconds and never reverted, and that withdrawn keys are refused.

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

/// The API key that is withdrawn.
const KEY: (&str, &str) = ("Authorization", "Bearer key-of-yard-a");
/// The time within which a change is in force and a withdrawn key is refused.
const IN_FORCE: Duration = Duration::from_millis(4000);

/// Returns a configuration set without the key of yard-a.
fn set_without_key() -> String {
    let set = default_configuration(1000);
    let start = set.find("[key yard-a]").expect("the section of the key");
    let end =
        start + set[start..].find("[key yard-b]").expect("the section of the other key");
    format!("{}{}", &set[..start], &set[end..])
}

/// Returns the configuration set that an operator publishes in a round.
fn set_for_round(operator: &str, round: u64) -> String {
    format!(
        "{}\n[share {operator}]\nweight = {}\n",
        default_configuration(1000),
        round + 1
    )
}

/// Returns the revision in force in a process; 0 if there is none or no response.
async fn revision_at(cell: &TestCell, domain: usize, index: usize) -> u64 {
    let url = format!("{}/v1/configuration", cell.entry_url(domain, index));
    let key = format!("Bearer {OPERATOR_KEY}");
    let headers = [("Authorization", key.as_str())];
    let client = TestClient::new(Duration::from_millis(1000));
    let response = client.send(Method::GET, &url, &headers, "").await;
    let tag = response.header("etag").unwrap_or_default();
    tag.trim_matches('"').parse().unwrap_or(0)
}

/// Sends a request, with a key unless the queue is open, and returns its status and error.
async fn send_request(
    cell: &TestCell,
    domain: usize,
    index: usize,
    queue: &str,
) -> (u16, String) {
    let url =
        format!("{}/v1/queues/{queue}/requests/price", cell.entry_url(domain, index));
    let headers = if queue == "open" { vec![] } else { vec![KEY] };
    let response = TestClient::default().send(Method::GET, &url, &headers, "").await;
    (response.status, response.field("error"))
}

#[test]
fn of_two_racing_operators_one_wins_each_revision() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 1, 1)).await;
        let mut revision = 1;
        for round in 0..50 {
            let (left_set, right_set) =
                (set_for_round("left", round), set_for_round("right", round));
            let left = cell.publish(0, 0, revision, &left_set);
            let right = cell.publish(1, 1, revision, &right_set);
            let (left, right) = futures_util::future::join(left, right).await;
            let winners =
                [&left, &right].iter().filter(|response| response.status == 200).count();
            assert_eq!(winners, 1, "{:?} {:?}", left.body, right.body);
            let loser = if left.status == 200 { &right } else { &left };
            assert_eq!(loser.field("error"), "revision-conflict");
            revision += 1;
            let current_tag = format!("\"{revision}\"");
            assert_eq!(
                loser.header("etag"),
                Some(current_tag.as_str()),
                "the conflict must name the current revision"
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
fn lost_responses_and_restarts_never_revert_a_revision() {
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
                    // A restarted process has no revision yet, which is not a reversion.
                    seen[0][1] = 0;
                }
                8 => cell.set_rules(cell.isolation_rules(1)).await,
                12 => cell.set_rules(json!([])).await,
                14 => cell.entries[&(1, 1)].freeze(),
                17 => cell.entries[&(1, 1)].resume(),
                _ => {}
            }
            let response =
                cell.publish(0, 0, revision, &set_for_round("only", round)).await;
            assert_eq!(response.status, 200, "round {round}: {:?}", response.body);
            revision += 1;
            for (domain, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                let now = revision_at(&cell, domain, index).await;
                let last = &mut seen[domain][index];
                assert!(
                    now == 0 || now >= *last,
                    "revision {last} was reverted to {now}"
                );
                *last = now.max(*last);
            }
        }
        wait_until("every process has the last revision", async || {
            let mut all_current = true;
            for (domain, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
                all_current &= revision_at(&cell, domain, index).await == revision;
            }
            all_current
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
            let response =
                cell.publish(0, 0, round + 1, &set_for_round("only", round)).await;
            assert_eq!(response.status, 200, "round {round}: {:?}", response.body);
            for url in cell.entry_urls() {
                let url = format!("{url}/v1/configuration");
                let response = client.send(Method::GET, &url, &headers, "").await;
                let tag = response
                    .header("etag")
                    .unwrap_or_default()
                    .trim_matches('"')
                    .to_owned();
                let revision: u64 = tag.parse().expect("a revision");
                assert!(
                    revision <= round + 2,
                    "revision {revision} was not published yet"
                );
                let text = String::from_utf8_lossy(&response.body).into_owned();
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
        let response = cell.publish(1, 0, 1, &set_for_round("only", 1)).await;
        assert_eq!(response.status, 200, "{:?}", response.body);
        let started = Instant::now();
        tokio::time::sleep(IN_FORCE).await;
        for domain in 0..3 {
            for index in 0..2 {
                assert_eq!(
                    revision_at(&cell, domain, index).await,
                    2,
                    "{:?}",
                    started.elapsed()
                );
            }
        }
    });
}

#[test]
fn a_withdrawn_key_is_refused_although_responses_are_lost() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 2, 1)).await;
        assert_eq!(send_request(&cell, 0, 0, "exchange").await.0, 200);
        cell.set_store_faults(json!({ "lose_answers": 2 })).await;
        assert_eq!(cell.publish(0, 0, 1, &set_without_key()).await.status, 200);
        tokio::time::sleep(IN_FORCE).await;
        for (domain, index) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            let (status, error) = send_request(&cell, domain, index, "exchange").await;
            assert_eq!((status, error.as_str()), (401, "key-unknown"));
            assert_eq!(send_request(&cell, domain, index, "open").await.0, 200);
        }
    });
}

#[test]
fn a_withdrawn_key_is_refused_in_a_domain_that_is_cut_off() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(2, 2, 2, 1).proxied()).await;
        cell.set_rules(cell.isolation_rules(1)).await;
        assert_eq!(cell.publish(0, 0, 1, &set_without_key()).await.status, 200);
        tokio::time::sleep(IN_FORCE).await;
        for index in 0..2 {
            let (status, error) = send_request(&cell, 1, index, "exchange").await;
            assert_eq!((status, error.as_str()), (503, "keys-stale"));
            assert_eq!(send_request(&cell, 1, index, "open").await.0, 200);
        }
        cell.set_rules(json!([])).await;
        wait_until("the domain has reconnected", async || {
            send_request(&cell, 1, 0, "exchange").await.1 == "key-unknown"
        })
        .await;
    });
}

#[test]
fn requests_with_a_key_succeed_during_a_store_outage() {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(2, 2, 2, 1)).await;
        cell.set_store_faults(json!({ "down": true })).await;
        let owner = cell.owner_of(0).await.expect("an owner");
        cell.entries.get_mut(&(0, 1 - owner)).unwrap().kill();
        tokio::time::sleep(IN_FORCE * 2).await;
        for (domain, index) in [(0, owner), (1, 0), (1, 1)] {
            let (status, error) = send_request(&cell, domain, index, "exchange").await;
            assert_eq!(status, 200, "domain {domain}: {error}");
        }
        cell.set_store_faults(json!({})).await;
        assert_eq!(cell.publish(1, 0, 1, &set_without_key()).await.status, 200);
        tokio::time::sleep(IN_FORCE).await;
        assert_eq!(send_request(&cell, 0, owner, "exchange").await.1, "key-unknown");
    });
}
