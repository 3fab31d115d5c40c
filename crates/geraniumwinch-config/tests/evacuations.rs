//! Requests to evacuate failure domains, and their form in the store.

use std::time::Duration;

use geraniumwinch_config::ConfigHead;
use geraniumwinch_config::EvacuationProblem;
use geraniumwinch_config::EvacuationSet;
use geraniumwinch_core::Name;
use serde::Deserialize;
use test_case::test_case;

/// The time of the requests, since 1970.
const NOW: Duration = Duration::from_secs(1_800_000_000);

/// Returns the names of the domains of the fleet.
fn fleet() -> Vec<Name> {
    ["zone-a", "zone-b", "zone-c"].map(Name::from).into()
}

/// Requests an evacuation.
fn request(
    set: &mut EvacuationSet,
    domain: &str,
    last: bool,
) -> Result<bool, EvacuationProblem> {
    set.request(&domain.into(), &fleet(), last, NOW)
}

#[test]
fn a_repeated_request_keeps_its_time_and_changes_nothing() {
    let mut set = EvacuationSet::default();
    assert_eq!(request(&mut set, "zone-a", false), Ok(true));
    let later = set.request(&"zone-a".into(), &fleet(), false, NOW * 2);
    assert_eq!(later, Ok(false));
    let since_ms = set.get("zone-a").expect("the domain is evacuated").since_ms;
    assert_eq!(u128::from(since_ms), NOW.as_millis());
    assert_eq!(set.take_back(&"zone-a".into(), &fleet()), Ok(true));
    assert_eq!(set.take_back(&"zone-a".into(), &fleet()), Ok(false));
    assert!(set.is_empty());
}

#[test]
fn the_last_domain_needs_an_explicit_request() {
    let mut set = EvacuationSet::default();
    assert_eq!(request(&mut set, "zone-a", false), Ok(true));
    assert_eq!(request(&mut set, "zone-b", false), Ok(true));
    let problem = request(&mut set, "zone-c", false).expect_err("a problem");
    assert!(problem.to_string().contains("`--last`"), "{problem}");
    assert_eq!(set.iter().count(), 2, "a refused request changes nothing");
    assert_eq!(request(&mut set, "zone-a", false), Ok(false), "a repeat is no problem");
    assert_eq!(request(&mut set, "zone-c", true), Ok(true));
}

#[test_case(true; "a request")]
#[test_case(false; "taking back")]
fn an_unknown_domain_is_refused(requests: bool) {
    let mut set = EvacuationSet::default();
    let result = match requests {
        true => request(&mut set, "zone-d", true),
        false => set.take_back(&"zone-d".into(), &fleet()),
    };
    let problem = result.expect_err("a problem").to_string();
    assert!(
        problem.contains("zone-d") && problem.contains("zone-a, zone-b"),
        "{problem}"
    );
}

#[test]
fn a_domain_that_left_the_fleet_can_be_taken_back() {
    let mut set = EvacuationSet::default();
    assert_eq!(request(&mut set, "zone-c", false), Ok(true));
    assert_eq!(set.take_back(&"zone-c".into(), &fleet()[..2]), Ok(true));
}

/// The head as earlier versions read it.
#[derive(Debug, Deserialize)]
struct FormerHead {
    revision: u64,
    digest: String,
}

/// The head as earlier versions wrote it.
const FORMER_HEAD: &str = r#"{"revision":7,"change":"00ff","digest":"ab12"}"#;

// Guards a rolling update: earlier versions must go on with a head that names evacuated domains.
#[test]
fn heads_are_compatible_with_earlier_versions() {
    let mut head: ConfigHead = serde_json::from_str(FORMER_HEAD).expect("a head");
    assert!(head.evacuated.is_empty());
    assert_eq!(serde_json::to_string(&head).expect("JSON"), FORMER_HEAD);
    assert_eq!(request(&mut head.evacuated, "zone-a", false), Ok(true));
    let text = serde_json::to_string(&head).expect("JSON");
    let former: FormerHead = serde_json::from_str(&text).expect("a head");
    assert_eq!((former.revision, former.digest.as_str()), (7, "ab12"));
    assert_eq!(serde_json::from_str::<ConfigHead>(&text).expect("a head"), head);
}
