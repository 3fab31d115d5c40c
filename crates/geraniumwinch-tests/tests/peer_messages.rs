//! Messages between the processes of the own interface, with a peer that the test plays.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_core::JobId;
use geraniumwinch_tests::CellPlan;
use geraniumwinch_tests::TestCell;
use geraniumwinch_tests::run_test;
use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::MirrorBatch;
use geraniumwinch_wire::PeerEnvelope;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// How long the process may take for a response.
const RESPONSE_TIME: Duration = Duration::from_secs(30);

/// A peer that the test plays.
struct TestPeer {
    identity: PeerIdentity,
    listener: TcpListener,
    /// The connection from the process, once it has opened one.
    responses: Option<TcpStream>,
    requests: TcpStream,
    calls: u128,
}

impl TestPeer {
    /// Connects to a process.
    async fn connect(own: SocketAddr, process: SocketAddr) -> TestPeer {
        let (name, domain) = ("entry-zone-a-9".into(), "zone-a".into());
        let identity = PeerIdentity { name, domain, address: own };
        let listener = TcpListener::bind(own).await.expect("listening");
        let requests = TcpStream::connect(process).await.expect("connecting");
        TestPeer { identity, listener, responses: None, requests, calls: 0 }
    }

    /// Calls the process and returns its response.
    async fn call(&mut self, body: PeerMessage) -> PeerMessage {
        self.calls += 1;
        let (from, correlation) = (self.identity.clone(), self.calls);
        let envelope = PeerEnvelope { from, correlation, is_response: false, body };
        let message = envelope.encode().expect("the message encodes");
        let length = u32::try_from(message.len()).expect("the message is short");
        self.requests.write_u32_le(length).await.expect("sending the length");
        self.requests.write_all(&message).await.expect("sending the message");
        let response = tokio::time::timeout(RESPONSE_TIME, self.receive()).await;
        let response = response.expect("the process responds");
        assert_eq!((response.correlation, response.is_response), (correlation, true));
        response.body
    }

    /// Receives a message.
    async fn receive(&mut self) -> PeerEnvelope {
        if self.responses.is_none() {
            let accepted = self.listener.accept().await.expect("accepting");
            self.responses = Some(accepted.0);
        }
        let stream = self.responses.as_mut().expect("a connection");
        let length = stream.read_u32_le().await.expect("receiving the length");
        let mut message = vec![0; length as usize];
        stream.read_exact(&mut message).await.expect("receiving the message");
        PeerEnvelope::decode(&message).expect("the message decodes")
    }
}

/// Creates a batch of about a megabyte.
fn large_batch(sequence: u64) -> MirrorBatch {
    let job = |serial| JobId { domain: "zone-a".into(), epoch: 7, serial };
    let entries =
        (0..80_000).map(|serial| JournalEntry::JobCancelled { job: job(serial) });
    let batch = MirrorBatch { epoch: 7, sequence, entries: entries.collect() };
    assert!(batch.encoded_bytes() > 700_000, "{} bytes", batch.encoded_bytes());
    batch
}

/// Guards against accepted jobs that are lost since a process mirrors more than fits into one response.
#[test]
fn more_than_a_message_can_be_mirrored() {
    run_test(async {
        let cell = TestCell::start(CellPlan::new(1, 1, 1, 1)).await;
        let own = cell.peer_address(0, 9);
        let mut peer = TestPeer::connect(own, cell.peer_address(0, 0)).await;
        for sequence in 1..=8 {
            let append = PeerMessage::MirrorAppend(large_batch(sequence));
            assert_eq!(peer.call(append).await, PeerMessage::Done);
        }
        let (mut after, mut sequences) = (None, Vec::new());
        loop {
            let request = PeerMessage::MirrorRequest { after };
            let response = peer.call(request).await;
            let PeerMessage::MirrorResponse(page) = response else {
                panic!("the response has another type")
            };
            let Some(last) = page.last() else { break };
            after = Some((last.epoch, last.sequence));
            sequences.extend(page.iter().map(|batch| batch.sequence));
        }
        assert_eq!(sequences, (1..=8).collect::<Vec<u64>>());
    });
}
