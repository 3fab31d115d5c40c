//! The slots that limit the concurrent commands to a worker.

use std::cell::RefCell;
use std::rc::Rc;

use futures_util::FutureExt;
use geraniumwinch_cell::CommandRun;
use geraniumwinch_cell::CommandSlot;
use geraniumwinch_cell::CommandSlots;
use geraniumwinch_cell::MAX_COMMANDS;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::StepName;
use geraniumwinch_fleet::TaskName;
use geraniumwinch_fleet::WorkerKey;

/// Defines tests that each get new slots and the address of a worker.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident($slots:ident, $address:ident) $body:block)*) => {
        $($(#[doc = $doc])* #[test]
        fn $name() {
            actix_rt::System::new().block_on(async {
                let $slots: Rc<CommandSlots> = Rc::default();
                let $address: Name = "10.0.0.1:1".into();
                $body
            });
        })*
    };
}

/// Returns the run of a task with the given index.
fn run(index: u32) -> CommandRun {
    let step = StepName { job: "job".into(), occurrence: 0, step: 0 };
    let task = TaskName { step, index };
    CommandRun { worker: WorkerKey::default(), task, run: 1 }
}

/// Takes all slots of a worker.
async fn fill(slots: &Rc<CommandSlots>, address: &Name) -> Vec<CommandSlot> {
    let mut taken = Vec::new();
    for index in 0..MAX_COMMANDS as u32 {
        taken.extend(slots.acquire_start(address, run(index)).await);
    }
    assert_eq!(taken.len(), MAX_COMMANDS);
    taken
}

/// Lets the commands that got a slot go on.
async fn settle() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

cases! {
    a_command_waits_until_a_slot_is_free(slots, address) {
        let mut taken = fill(&slots, &address).await;
        let mut fourth = Box::pin(slots.acquire_start(&address, run(9)));
        assert!(fourth.as_mut().now_or_never().is_none());
        assert_eq!(slots.waiting(), 1);
        let other: Name = "10.0.0.1:2".into();
        assert!(slots.acquire_start(&other, run(9)).now_or_never().is_some());
        taken.pop();
        assert!(fourth.await.is_some());
        assert_eq!(slots.waiting(), 0);
    }

    /// Guards against stops that wait for seconds behind the starts that they are to prevent (review/4).
    a_stop_goes_before_starts_that_wait(slots, address) {
        let mut taken = fill(&slots, &address).await;
        let order = Rc::new(RefCell::new(Vec::new()));
        for name in ["start 1", "start 2"] {
            let (slots, address, order) = (slots.clone(), address.clone(), order.clone());
            actix_rt::spawn(async move {
                let _slot = slots.acquire_start(&address, run(9)).await;
                order.borrow_mut().push(name);
            });
        }
        settle().await;
        let (stop_slots, stop_address, stop_order) =
            (slots.clone(), address.clone(), order.clone());
        actix_rt::spawn(async move {
            let _slot = stop_slots.acquire_stop(&stop_address).await;
            stop_order.borrow_mut().push("stop");
        });
        settle().await;
        taken.pop();
        settle().await;
        assert_eq!(*order.borrow(), ["stop", "start 1", "start 2"]);
    }

    a_withdrawn_start_gets_no_slot(slots, address) {
        let mut taken = fill(&slots, &address).await;
        let (waiting, kept) = (run(8), run(9));
        let mut withdrawn = Box::pin(slots.acquire_start(&address, waiting.clone()));
        let mut next = Box::pin(slots.acquire_start(&address, kept));
        assert!(withdrawn.as_mut().now_or_never().is_none());
        assert!(next.as_mut().now_or_never().is_none());
        assert!(slots.withdraw(&address, &waiting));
        assert!(!slots.withdraw(&address, &waiting), "it waits no longer");
        assert!(!slots.withdraw(&address, &run(0)), "it has a slot");
        assert!(withdrawn.await.is_none());
        taken.pop();
        assert!(next.await.is_some());
    }

    /// Guards against a slot that is lost with a command that was given up while it waited.
    a_command_that_no_longer_waits_passes_its_slot_on(slots, address) {
        let mut taken = fill(&slots, &address).await;
        let mut given_up = Box::pin(slots.acquire_start(&address, run(8)));
        let mut next = Box::pin(slots.acquire_start(&address, run(9)));
        assert!(given_up.as_mut().now_or_never().is_none());
        assert!(next.as_mut().now_or_never().is_none());
        drop(given_up);
        taken.pop();
        assert!(next.await.is_some());
        taken.clear();
        assert_eq!(fill(&slots, &address).await.len(), MAX_COMMANDS);
    }
}
