//! Checks that under faults each domain has one owner, no worker is overcommitted and no task runs
//! in two places.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::home_domain;
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

/// A fault of a domain that runs tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OwnerFault {
    Kill,
    FreezePastLease,
    StoreOutage,
    StoreOutageAndFreeze,
    LostResponses,
    FrozenWorkers,
    CutWorkers,
    LostStartResponses,
    BlankStartResponses,
}

/// Returns an idempotency key whose home domain is the first one.
fn local_key(cell: &TestCell, name: &str) -> String {
    let domains: Vec<Name> =
        cell.plan.domains.iter().map(|domain| domain.name.as_str().into()).collect();
    let is_local = |key: &String| {
        let parts: [&[u8]; 4] = [b"job", b"yard-a", b"exchange", key.as_bytes()];
        home_domain(&RecordDigest::of(&parts), &domains) == Some(&domains[0])
    };
    let mut keys = (0..100).map(|number| format!("{name}-{number}"));
    keys.find(is_local).expect("a key whose home is the first domain")
}

/// Submits a batch job, with retries under the same key, and returns its identifier.
async fn submit(cell: &TestCell, entry: usize, tasks: usize, run_time_ms: u64) -> String {
    let key = local_key(cell, &format!("job-of-{tasks}"));
    let headers = [KEY, ("Idempotency-Key", key.as_str())];
    let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(0, entry));
    let body = format!(
        r#"{{"kind":"batch","tasks":{tasks},"cpu_millis":3000,"memory_bytes":1000000,
            "run_time_ms":{run_time_ms}}}"#
    );
    let client = TestClient::default();
    let mut responses = Vec::new();
    for _ in 0..40 {
        let response = client.send(Method::POST, &url, &headers, body.clone()).await;
        if response.status == 202 {
            return response.field("job");
        }
        responses.push((response.status, response.field("error")));
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    panic!("the job was not accepted: {responses:?}");
}

/// Injects a fault into the first domain and clears it if it is temporary.
async fn inject_fault(cell: &mut TestCell, owner: usize, fault: OwnerFault) {
    let workers = format!("{}200:", cell.addresses.domain_prefix(0));
    match fault {
        OwnerFault::Kill => cell.entries.get_mut(&(0, owner)).unwrap().kill(),
        OwnerFault::FreezePastLease => {
            cell.entries[&(0, owner)].freeze();
            tokio::time::sleep(Duration::from_millis(7000)).await;
            cell.entries[&(0, owner)].resume();
        }
        OwnerFault::StoreOutage => {
            cell.set_store_faults(json!({ "down": true })).await;
            tokio::time::sleep(Duration::from_millis(7000)).await;
            cell.set_store_faults(json!({})).await;
        }
        OwnerFault::StoreOutageAndFreeze => {
            cell.set_store_faults(json!({ "down": true })).await;
            cell.entries[&(0, owner)].freeze();
            tokio::time::sleep(Duration::from_millis(5000)).await;
            cell.entries[&(0, owner)].resume();
            tokio::time::sleep(Duration::from_millis(2000)).await;
            cell.set_store_faults(json!({})).await;
        }
        OwnerFault::LostResponses => {
            cell.set_store_faults(json!({ "lose_answers": 20 })).await;
            cell.entries.get_mut(&(0, owner)).unwrap().kill();
        }
        OwnerFault::FrozenWorkers => {
            cell.stand_ins["worker-zone-a"].freeze();
            tokio::time::sleep(Duration::from_millis(7000)).await;
            cell.stand_ins["worker-zone-a"].resume();
        }
        OwnerFault::CutWorkers => {
            let port = format!("{workers}600");
            cell.set_rules(json!([{ "to": port, "mode": "cut" }])).await;
            tokio::time::sleep(Duration::from_millis(7000)).await;
            cell.set_rules(json!([])).await;
        }
        OwnerFault::LostStartResponses => {
            inject_worker_faults(cell, json!({ "lose_answers": 5 })).await;
        }
        OwnerFault::BlankStartResponses => {
            inject_worker_faults(cell, json!({ "blank_answers": 5 })).await;
        }
    }
}

/// Injects faults into every worker.
async fn inject_worker_faults(cell: &TestCell, faults: serde_json::Value) {
    for url in cell.worker_urls() {
        TestClient::default().post_json(&format!("{url}/faults"), &faults).await;
    }
}

// The last case guards against a task in two places: a response without a result was taken for a refusal.
#[test_case(OwnerFault::Kill; "the owner is killed")]
#[test_case(OwnerFault::FreezePastLease; "the owner is frozen past its lease and resumed")]
#[test_case(OwnerFault::StoreOutage; "the store is out for longer than every lease")]
#[test_case(OwnerFault::StoreOutageAndFreeze; "the store is out while the owner is frozen")]
#[test_case(OwnerFault::LostResponses; "the owner is killed and responses of the store are lost")]
#[test_case(OwnerFault::FrozenWorkers; "every worker is frozen past the task leases")]
#[test_case(OwnerFault::CutWorkers; "every worker is cut off past the task leases")]
#[test_case(OwnerFault::LostStartResponses; "responses to start commands are lost")]
#[test_case(OwnerFault::BlankStartResponses; "responses to start commands are blank")]
fn every_task_runs_in_one_place_while(fault: OwnerFault) {
    run_test(async {
        let plan = CellPlan::new(2, 3, 1, 4).proxied().setting(
            "workers",
            "task-lease-ms",
            "3000",
        );
        let mut cell = TestCell::start(plan).await;
        let owner = cell.owner_of(0).await.expect("an owner");
        let entry = (owner + 1) % 3;
        let mut jobs = vec![submit(&cell, entry, 30, 1500).await];
        tokio::time::sleep(Duration::from_millis(500)).await;
        inject_fault(&mut cell, owner, fault).await;
        jobs.push(submit(&cell, entry, 10, 300).await);
        let client = TestClient::default();
        for job in &jobs {
            let url = format!("{}/v1/jobs/{job}", cell.entry_url(0, entry));
            wait_until(&format!("job {job} ends"), async || {
                client.send(Method::GET, &url, &[KEY], "").await.field("state") == "ended"
            })
            .await;
        }
        let ledger = cell.ledger().await;
        assert_eq!(ledger.overcommits, 0, "a worker ran tasks beyond its capacity");
        assert!(
            ledger.overlapping_tasks().is_empty(),
            "{:?}",
            ledger.overlapping_tasks()
        );
        assert_eq!(ledger.succeeded(), 40, "every task must succeed");
        if matches!(fault, OwnerFault::StoreOutage) {
            assert_eq!(
                cell.owner_of(0).await,
                Some(owner),
                "an outage must not move the ownership"
            );
        }
    });
}

/// Waits until a process has owned the first domain without interruption for `time`; returns which.
///
/// On a busy machine, a process can be delayed for longer than its lease and lose the ownership.
async fn settled_owner(cell: &TestCell, time: Duration) -> usize {
    loop {
        let before = ownership(cell).await;
        tokio::time::sleep(time).await;
        match before {
            Some(before) if ownership(cell).await == Some(before) => return before.0,
            _ => {}
        }
    }
}

/// Returns the owner of the first domain and its epoch.
async fn ownership(cell: &TestCell) -> Option<(usize, u64)> {
    let owner = cell.owner_of(0).await?;
    let status = cell.status(0, owner).await;
    let epoch = &status["domains"][0]["report"]["digest"]["owner"]["epoch"];
    epoch.as_u64().map(|epoch| (owner, epoch))
}

#[test]
fn a_takeover_reserves_slots_and_grants_the_rest_at_once() {
    run_test(async {
        let set = default_configuration(1000)
            .replace("default-deadline-ms = 10000", "default-deadline-ms = 5000")
            .replace("max-deadline-ms = 20000", "max-deadline-ms = 6000");
        let mut cell =
            TestCell::start(CellPlan::new(1, 2, 3, 1).with_configuration(set)).await;
        // Only after it has owned the domain for longer than the longest deadline are its slots
        // known to have been granted under the rule that limits its own share.
        let owner = settled_owner(&cell, Duration::from_millis(9000)).await;
        cell.entries.get_mut(&(0, owner)).unwrap().kill();
        // Of 8 slots, 3 may be in use by the lost owner and 2 by other domains.
        wait_until("3 of 8 slots of each endpoint are free", async || {
            let status = cell.status(0, 1 - owner).await;
            let queue = &status["domains"][0]["report"]["digest"]["queues"][0];
            queue["free"] == 9 && queue["slots"] == 24
        })
        .await;
        wait_until("every slot is free", async || {
            let status = cell.status(0, 1 - owner).await;
            status["domains"][0]["report"]["digest"]["queues"][0]["free"] == 24
        })
        .await;
    });
}

/// Guards against a new owner that grants slots which another process still holds, since it takes members
/// that it can't read from the store for none. In the other case they report while it reads its state.
#[test_case("/members/"; "that can not be read")]
#[test_case(""; "that report early")]
fn a_takeover_awaits_the_slots_of_members(unreadable: &str) {
    run_test(async {
        let set = default_configuration(1000)
            .replace("default-deadline-ms = 10000", "default-deadline-ms = 6000")
            .replace("max-deadline-ms = 20000", "max-deadline-ms = 6000");
        let plan = CellPlan::new(1, 3, 1, 1).with_configuration(set);
        let mut cell = TestCell::start(plan).await;
        let owner = settled_owner(&cell, Duration::from_millis(9000)).await;
        let others: Vec<usize> = (0..3).filter(|&index| index != owner).collect();
        let (holder, successor) = (others[0], others[1]);
        let url = |index, ms| {
            let entry = cell.entry_url(0, index);
            format!("{entry}/v1/queues/exchange/requests/price?ms={ms}")
        };
        // The holder has seven of the eight slots, and can't claim the domain itself.
        let held: Vec<_> = (0..7).map(|_| spawn_request(url(holder, 5700))).collect();
        let small = url(successor, 20);
        tokio::time::sleep(Duration::from_millis(300)).await;
        cell.entries[&(0, holder)].freeze();
        cell.set_store_faults(json!({ "unreadable": unreadable })).await;
        cell.entries.get_mut(&(0, owner)).unwrap().kill();
        let load: Vec<_> = (0..8).map(|_| spawn_load(small.clone(), 5000)).collect();
        tokio::time::sleep(Duration::from_millis(2700)).await;
        cell.set_store_faults(json!({})).await;
        cell.entries[&(0, holder)].resume();
        for task in load.into_iter().chain(held) {
            task.await.expect("the task ends");
        }
        assert_eq!(cell.ledger().await.over_slots, 0, "slots were granted twice");
    });
}

/// Sends a request in a task of its own.
fn spawn_request(url: String) -> actix_rt::task::JoinHandle<()> {
    actix_rt::spawn(async move {
        let response = TestClient::default().send(Method::GET, &url, &[KEY], "").await;
        assert_eq!(response.status, 200, "{:?}", response.body);
    })
}

/// Sends requests one after the other for a time in milliseconds, whatever becomes of them.
fn spawn_load(url: String, time_ms: u64) -> actix_rt::task::JoinHandle<()> {
    actix_rt::spawn(async move {
        let started = std::time::Instant::now();
        while started.elapsed() < Duration::from_millis(time_ms) {
            TestClient::default().send(Method::GET, &url, &[KEY], "").await;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
}

#[test]
fn running_tasks_survive_a_takeover() {
    run_test(async {
        let mut cell = TestCell::start(CellPlan::new(2, 2, 1, 40)).await;
        let owner = cell.owner_of(0).await.expect("an owner");
        let other = 1 - owner;
        let url = format!("{}/v1/queues/exchange/jobs", cell.entry_url(0, other));
        let body =
            r#"{"kind":"service","tasks":600,"cpu_millis":500,"memory_bytes":1000000}"#;
        let client = TestClient::default();
        let response = client.send(Method::POST, &url, &[KEY], body).await;
        assert_eq!(response.status, 202, "{:?}", response.body);
        wait_until("the tasks run", async || cell.ledger().await.tasks.len() == 500)
            .await;
        cell.entries.get_mut(&(0, owner)).unwrap().kill();
        wait_until("the new owner has recovered the tasks", async || {
            let status = cell.status(0, other).await;
            let report = &status["domains"][0]["report"];
            report["digest"]["owner"]["epoch"] == 2 && report["tasks_placed"] == 500
        })
        .await;
        let ledger = cell.ledger().await;
        assert!(
            ledger.tasks.values().all(|runs| runs.len() == 1 && runs[0].2 == "running")
        );
    });
}

// Guards against an owner that sends no heartbeats any more: the answer to a heartbeat with
// acknowledgements arrived after its worker had left the VM list and returned.
#[test]
fn workers_that_leave_the_list_and_return_are_still_sent_heartbeats() {
    run_test(async {
        let plan = CellPlan::new(2, 2, 1, 4)
            .setting("workers", "heartbeat-ms", "50")
            .setting("workers", "task-lease-ms", "3000")
            .setting("vm-list", "poll-ms", "50");
        let cell = TestCell::start(plan).await;
        submit(&cell, 0, 200, 100).await;
        inject_worker_faults(&cell, json!({ "slow_ms": 400 })).await;
        let client = TestClient::default();
        let url = cell.vm_list_url("/vms");
        let list = client.get_json(&url).await;
        for _ in 0..20 {
            client.post_json(&url, &json!({ "vms": [] })).await;
            tokio::time::sleep(Duration::from_millis(120)).await;
            client.post_json(&url, &list).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        inject_worker_faults(&cell, json!({})).await;
        let job = submit(&cell, 0, 10, 100).await;
        let url = format!("{}/v1/jobs/{job}", cell.entry_url(0, 0));
        wait_until("a job ends", async || {
            client.send(Method::GET, &url, &[KEY], "").await.field("state") == "ended"
        })
        .await;
    });
}
