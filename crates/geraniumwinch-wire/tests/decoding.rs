//! Decoding of malformed, oversized and foreign messages, which must fail without a panic.

use geraniumwinch_core::ErrorKind;
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

/// Number of cases of each property test.
const CASES: u32 = 500;
/// Random seed of the property tests.
const SEED: u64 = 20261203;

/// Creates a valid envelope.
fn envelope() -> PeerEnvelope {
    PeerEnvelope {
        from: PeerIdentity {
            name: "entry".into(),
            domain: "zone".into(),
            address: "127.0.0.1:9080".parse().expect("a valid address"),
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
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..600)) {
        let _ = PeerEnvelope::decode(&bytes);
        let with_header: Vec<u8> = [b"gw\x01".as_slice(), &bytes].concat();
        let _ = PeerEnvelope::decode(&with_header);
    }

    #[test]
    fn a_truncated_message_is_rejected(length in 0..30_usize) {
        let bytes = envelope().encode().expect("a valid message");
        prop_assume!(length < bytes.len());
        prop_assert!(PeerEnvelope::decode(&bytes[..length]).is_err());
    }
}

#[test]
fn a_message_survives_a_round_trip() {
    let bytes = envelope().encode().expect("a valid message");
    assert_eq!(PeerEnvelope::decode(&bytes).expect("a valid message"), envelope());
}

/// Returns the last two bytes of an encoded message.
fn last_bytes(body: PeerMessage) -> [u8; 2] {
    let bytes = PeerEnvelope { body, ..envelope() }.encode().expect("a valid message");
    bytes[bytes.len() - 2..].try_into().expect("two bytes")
}

// Guards a rolling update: what former versions send and receive keeps its number on the wire.
#[test]
fn messages_and_error_kinds_keep_their_numbers() {
    let stopping = PeerMessage::Refused(ErrorKind::ProcessStopping);
    assert_eq!(last_bytes(stopping), [23, 36]);
    assert_eq!(last_bytes(PeerMessage::Refused(ErrorKind::KeyMissing)), [23, 0]);
}

#[test]
fn foreign_and_oversized_messages_give_different_errors() {
    let foreign = PeerEnvelope::decode(b"GET / HTTP/1.1");
    assert!(matches!(foreign, Err(WireError::ProtocolMismatch { .. })));
    let oversized = PeerEnvelope::decode(&vec![0; MAX_MESSAGE_BYTES + 1]);
    assert!(matches!(oversized, Err(WireError::Oversized { .. })));
}
