//! Crowds of clients that send much and don't finish.
//!
//! Each test runs alone. It checks that the process lives within the memory and the descriptors that its
//! settings give it, and that an ordinary request is answered while the crowd stays and afterwards. It
//! judges no times and no share of requests.

use std::time::Duration;

use awc::http::Method;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::ClientCrowd;
use geraniumwinch_tests::CrowdRequest;
use geraniumwinch_tests::FLEET_HOST;
use geraniumwinch_tests::FLEET_KEY;
use geraniumwinch_tests::FleetCell;
use geraniumwinch_tests::ProcessLimits;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::TestClient;
use geraniumwinch_tests::UsageWatch;
use geraniumwinch_tests::wait_until;
use test_case::test_case;

/// The memory of the process in megabytes.
const MEMORY_MB: u64 = 64;
/// The number of clients that send bodies.
const CLIENTS: usize = 240;
/// Descriptors that are enough for all clients of a crowd.
const MANY_DESCRIPTORS: usize = 4_000;
/// Descriptors that are fewer than the clients of a crowd.
const FEW_DESCRIPTORS: usize = 256;
/// The number of clients that use up descriptors.
const DESCRIPTOR_CLIENTS: usize = 400;
/// How long the crowd stays after it has sent what it could.
const STAY: Duration = Duration::from_secs(2);

/// The interfaces of a process.
#[derive(Debug, Clone, Copy)]
enum Interface {
    Clients,
    Readiness,
    Peers,
    Metrics,
}

/// A key of the own interface.
const OWN_KEY: &str = "Bearer key-of-yard-a";

/// Returns the head of a crowd's requests without the headers that describe the body.
fn head(key: Option<&str>) -> String {
    let key = key.map_or_else(String::new, |key| format!("Authorization: {key}\r\n"));
    format!("POST /jobs/00000000000000ff HTTP/1.1\r\nHost: {FLEET_HOST}\r\n{key}")
}

/// Sends a crowd to an interface of a process and checks what must hold.
async fn withstand(
    interface: Interface,
    key: Option<&str>,
    clients: usize,
    descriptors: usize,
    request: CrowdRequest,
) {
    let limits = ProcessLimits { memory_mb: MEMORY_MB, descriptors };
    let mut cell = FleetCell::start_limited(1, 2, limits).await;
    assert_eq!(cell.submit(0, "00000000000000a1", "100", 1).await, 200);
    let pid = cell.process(0).pid();
    let address = cell.listen_addresses(0)[interface as usize];
    let watch = UsageWatch::begin(pid, address);
    let crowd = ClientCrowd::gather(address, clients, &head(key), request).await;
    wait_until("an ordinary request is answered beside the crowd", async || {
        cell.submit(0, "00000000000000a2", "100", 1).await == 200
    })
    .await;
    tokio::time::sleep(STAY).await;
    drop(crowd);
    wait_until("an ordinary request is answered after the crowd", async || {
        cell.submit(0, "00000000000000a3", "100", 1).await == 200
    })
    .await;
    assert_eq!(cell.process(0).exit_code(), None, "the process has ended");
    check_peak(&watch, descriptors);
}

/// Sends a crowd to an entry process of the own interface and checks what must hold.
async fn withstand_at_entry(
    key: Option<&str>,
    clients: usize,
    descriptors: usize,
    request: CrowdRequest,
) {
    let mut plan = CellPlan::new(1, 1, 2, 0);
    plan.settings = vec![
        ("limits", "body-bytes", (256 << 10).to_string()),
        ("limits", "memory-mb", MEMORY_MB.to_string()),
        ("limits", "descriptors", descriptors.to_string()),
    ];
    let mut cell = TestCell::start(plan).await;
    let client = TestClient::default();
    let url = format!("{}/v1/queues/exchange/requests/price?ms=5", cell.entry_url(0, 0));
    let headers = [("Authorization", OWN_KEY)];
    let ordinary =
        async || client.send(Method::POST, &url, &headers, "body").await.status == 200;
    wait_until("an ordinary request is answered before the crowd", ordinary).await;
    let address = cell.entry_url(0, 0).trim_start_matches("http://").parse();
    let address = address.expect("the address of the process");
    let pid = cell.entries[&(0, 0)].pid();
    let watch = UsageWatch::begin(pid, address);
    let key = key.map_or_else(String::new, |key| format!("Authorization: {key}\r\n"));
    let head = format!(
        "POST /v1/queues/exchange/requests/price HTTP/1.1\r\nHost: {address}\r\n{key}"
    );
    let crowd = ClientCrowd::gather(address, clients, &head, request).await;
    wait_until("an ordinary request is answered beside the crowd", ordinary).await;
    tokio::time::sleep(STAY).await;
    drop(crowd);
    wait_until("an ordinary request is answered after the crowd", ordinary).await;
    let process = cell.entries.get_mut(&(0, 0)).expect("the entry process");
    assert_eq!(process.exit_code(), None, "the process has ended");
    check_peak(&watch, descriptors);
}

/// Sends a crowd to the port for peers of an entry process that owns its domain, and checks what must hold
/// for a request through another process. `message` is what each client sends.
async fn withstand_at_peer_port(
    clients: usize,
    descriptors: usize,
    message: &str,
    request: CrowdRequest,
) {
    let mut plan = CellPlan::new(1, 2, 2, 0);
    plan.settings = vec![
        ("limits", "memory-mb", MEMORY_MB.to_string()),
        ("limits", "descriptors", descriptors.to_string()),
    ];
    let mut cell = TestCell::start(plan).await;
    let owner = cell.owner_of(0).await.expect("an owner");
    let client = TestClient::default();
    let other = cell.entry_url(0, 1 - owner);
    let url = format!("{other}/v1/queues/exchange/requests/price?ms=5");
    let headers = [("Authorization", OWN_KEY)];
    let ordinary =
        async || client.send(Method::POST, &url, &headers, "body").await.status == 200;
    wait_until("an ordinary request is answered before the crowd", ordinary).await;
    let address = cell.peer_address(0, owner);
    let watch = UsageWatch::begin(cell.entries[&(0, owner)].pid(), address);
    let crowd = ClientCrowd::gather(address, clients, message, request).await;
    assert!(!crowd.is_empty());
    wait_until("an ordinary request is answered beside the crowd", ordinary).await;
    tokio::time::sleep(STAY).await;
    wait_until("an ordinary request is answered beside the crowd", ordinary).await;
    drop(crowd);
    wait_until("an ordinary request is answered after the crowd", ordinary).await;
    let process = cell.entries.get_mut(&(0, owner)).expect("the entry process");
    assert_eq!(process.exit_code(), None, "the process has ended");
    check_peak(&watch, descriptors);
}

/// Checks that the peak of a process is within its limits.
fn check_peak(watch: &UsageWatch, descriptors: usize) {
    let peak = watch.peak();
    let (used, open) = (peak.memory / 1_000_000, peak.descriptors);
    println!("at most {used} MB and {open} descriptors");
    assert!(used <= MEMORY_MB, "the process used {used} MB of {MEMORY_MB}");
    assert!(open <= descriptors, "{open} descriptors of {descriptors} were open");
}

/// Guards against a process that runs out of memory when clients don't finish large bodies, or send bodies
/// beyond the limit (issue 56).
#[test_case(CrowdRequest::WholeBody; "whole_bodies")]
#[test_case(CrowdRequest::BodyInPieces; "bodies_in_pieces")]
#[test_case(CrowdRequest::LargeChunk; "large_chunks")]
#[test_case(CrowdRequest::TinyChunks; "tiny_chunks")]
#[test_case(CrowdRequest::AnnouncedExcess; "bodies_announced_beyond_the_limit")]
#[test_case(CrowdRequest::SentExcess; "bodies_sent_beyond_the_limit")]
fn bodies_of_a_crowd_stay_within_the_memory(request: CrowdRequest) {
    let key = Some(FLEET_KEY);
    let work = withstand(Interface::Clients, key, CLIENTS, MANY_DESCRIPTORS, request);
    actix_rt::System::new().block_on(work);
}

/// Guards against the same by clients without a valid key (issue 56).
#[test]
fn bodies_without_a_key_stay_within_the_memory() {
    let request = CrowdRequest::WholeBody;
    let work = withstand(Interface::Clients, None, CLIENTS, MANY_DESCRIPTORS, request);
    actix_rt::System::new().block_on(work);
}

/// Guards against the same on the other interfaces of a process (issue 56).
#[test_case(Interface::Readiness; "readiness")]
#[test_case(Interface::Peers; "peers")]
#[test_case(Interface::Metrics; "metrics")]
fn bodies_at_other_interfaces_stay_within_the_memory(interface: Interface) {
    let request = CrowdRequest::WholeBody;
    let work = withstand(interface, None, CLIENTS, MANY_DESCRIPTORS, request);
    actix_rt::System::new().block_on(work);
}

/// Guards against clients that use up the descriptors of a process, so that nobody else is answered while
/// they stay (issue 56).
#[test_case(CrowdRequest::BodyInPieces; "unfinished_bodies")]
#[test_case(CrowdRequest::TinyChunks; "unfinished_chunks")]
#[test_case(CrowdRequest::UnfinishedHead; "unfinished_heads")]
#[test_case(CrowdRequest::Silence; "silent_connections")]
fn connections_of_a_crowd_leave_descriptors(request: CrowdRequest) {
    let (clients, descriptors) = (DESCRIPTOR_CLIENTS, FEW_DESCRIPTORS);
    let work =
        withstand(Interface::Clients, Some(FLEET_KEY), clients, descriptors, request);
    actix_rt::System::new().block_on(work);
}

/// Guards against the same in an entry process of the own interface (issue 56, related path).
#[test_case(CrowdRequest::WholeBody; "whole_bodies")]
#[test_case(CrowdRequest::LargeChunk; "large_chunks")]
#[test_case(CrowdRequest::TinyChunks; "tiny_chunks")]
#[test_case(CrowdRequest::AnnouncedExcess; "bodies_announced_beyond_the_limit")]
#[test_case(CrowdRequest::SentExcess; "bodies_sent_beyond_the_limit")]
fn bodies_of_a_crowd_at_an_entry_stay_within_the_memory(request: CrowdRequest) {
    let work = withstand_at_entry(Some(OWN_KEY), CLIENTS, MANY_DESCRIPTORS, request);
    actix_rt::System::new().block_on(work);
}

/// Guards against the same by clients without a key (issue 56, related path).
#[test]
fn bodies_without_a_key_at_an_entry_stay_within_the_memory() {
    let request = CrowdRequest::WholeBody;
    let work = withstand_at_entry(None, CLIENTS, MANY_DESCRIPTORS, request);
    actix_rt::System::new().block_on(work);
}

/// Guards against clients that use up the descriptors of an entry process (issue 56, related path).
#[test_case(CrowdRequest::WholeBody; "unfinished_bodies")]
#[test_case(CrowdRequest::UnfinishedHead; "unfinished_heads")]
#[test_case(CrowdRequest::Silence; "silent_connections")]
fn connections_of_a_crowd_leave_descriptors_at_an_entry(request: CrowdRequest) {
    let (clients, descriptors) = (DESCRIPTOR_CLIENTS, FEW_DESCRIPTORS);
    let work = withstand_at_entry(Some(OWN_KEY), clients, descriptors, request);
    actix_rt::System::new().block_on(work);
}

/// The length of a message of 1,000,000 bytes, as it precedes the message.
const MESSAGE_LENGTH: &str = "@B\u{f}\0";

/// Guards against a process that runs out of memory when what connects to its port for peers doesn't finish
/// messages, or is not a peer (issue 56, related path).
#[test_case(MESSAGE_LENGTH, 999_999; "unfinished_messages")]
#[test_case("POST /peer HTTP/1.1\r\n\r\n", 999_999; "foreign_messages")]
fn messages_of_a_crowd_stay_within_the_memory(start: &str, bytes: usize) {
    let message = format!("{start}{}", "x".repeat(bytes));
    let request = CrowdRequest::UnfinishedHead;
    let work = withstand_at_peer_port(CLIENTS, MANY_DESCRIPTORS, &message, request);
    actix_rt::System::new().block_on(work);
}

/// Guards against what uses up the descriptors of a process at its port for peers (issue 56, related path).
#[test_case(CrowdRequest::Silence; "silent_connections")]
#[test_case(CrowdRequest::UnfinishedHead; "unfinished_lengths")]
fn connections_of_a_crowd_leave_descriptors_at_the_peer_port(request: CrowdRequest) {
    let (clients, descriptors) = (DESCRIPTOR_CLIENTS, FEW_DESCRIPTORS);
    let work = withstand_at_peer_port(clients, descriptors, "@B", request);
    actix_rt::System::new().block_on(work);
}
