//! Malformed, oversized and foreign messages are refused without harm.

use geraniumwinch_wire::MAX_MESSAGE_BYTES;
use geraniumwinch_wire::PeerEnvelope;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;
use geraniumwinch_wire::WireError;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assume;
use proptest::proptest;
use proptest::test_runner::RngSeed;

/// The cases of the generated tests.
const CASES: u32 = 500;
/// The seed of the generated tests.
const SEED: u64 = 20261203;

/// Creates a message.
fn envelope() -> PeerEnvelope {
    PeerEnvelope {
        from: PeerIdentity {
            name: "entry".into(),
            domain: "zone".into(),
            address: "127.0.0.1:9080".parse().expect("an address"),
        },
        correlation: 7,
        is_response: false,
        body: PeerMessage::OwnerRequest,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in vec(any::<u8>(), 0..600)) {
        let _ = PeerEnvelope::decode(&bytes);
        let marked: Vec<u8> = [b"gw\x01".as_slice(), &bytes].concat();
        let _ = PeerEnvelope::decode(&marked);
    }

    #[test]
    fn a_truncated_message_is_refused(length in 0..30_usize) {
        let bytes = envelope().encode().expect("a message");
        prop_assume!(length < bytes.len());
        prop_assert!(PeerEnvelope::decode(&bytes[..length]).is_err());
    }
}

#[test]
fn a_message_reads_back_as_it_was_written() {
    let bytes = envelope().encode().expect("a message");
    assert_eq!(PeerEnvelope::decode(&bytes).expect("a message"), envelope());
}

#[test]
fn foreign_and_oversized_messages_are_told_apart() {
    let foreign = PeerEnvelope::decode(b"GET / HTTP/1.1");
    assert!(matches!(foreign, Err(WireError::ProtocolMismatch { .. })));
    let oversized = PeerEnvelope::decode(&vec![0; MAX_MESSAGE_BYTES + 1]);
    assert!(matches!(oversized, Err(WireError::Oversized { .. })));
}
