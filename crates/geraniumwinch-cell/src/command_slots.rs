//! Limits the concurrent commands to each worker.
//!
//! A command without a response keeps its slot until its timeout, so others may wait for seconds. A
//! decision that was made before the wait may be outdated after it, so whoever gets a slot checks again
//! whether the command is to be sent. Stops go first, and a start whose run is to be stopped is
//! withdrawn while it waits.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;

use geraniumwinch_core::Name;
use tokio::sync::oneshot;

use crate::CommandRun;

/// The maximum number of concurrent commands to a worker. Each takes one of the connections that a
/// worker admits, and the connections of owners that lost power stay open at the worker.
pub const MAX_COMMANDS: usize = 3;

/// Hands a slot to a command that waits for it.
type SlotSender = oneshot::Sender<CommandSlot>;

/// The slots for commands to each worker, by address.
#[derive(Debug, Default)]
pub struct CommandSlots {
    lines: RefCell<HashMap<Name, CommandLine>>,
}

/// The open and the waiting commands to one worker. Commands wait only while all slots are taken.
#[derive(Debug, Default)]
struct CommandLine {
    open: usize,
    stops: VecDeque<SlotSender>,
    starts: VecDeque<WaitingStart>,
}

/// A start command that waits for a slot.
#[derive(Debug)]
struct WaitingStart {
    run: CommandRun,
    sender: SlotSender,
}

/// The right to send one command, until it is dropped.
#[derive(Debug)]
pub struct CommandSlot {
    slots: Rc<CommandSlots>,
    address: Name,
}

impl CommandSlots {
    /// Waits for a slot for a command to start a run. Returns `None` if the start is withdrawn meanwhile.
    pub async fn acquire_start(
        self: &Rc<Self>,
        address: &Name,
        run: CommandRun,
    ) -> Option<CommandSlot> {
        if let Some(slot) = self.try_acquire(address) {
            return Some(slot);
        }
        let (sender, receiver) = oneshot::channel();
        self.wait_in(address, |line| line.starts.push_back(WaitingStart { run, sender }));
        receiver.await.ok()
    }

    /// Waits for a slot for a command to stop a run, before all starts.
    pub async fn acquire_stop(self: &Rc<Self>, address: &Name) -> Option<CommandSlot> {
        if let Some(slot) = self.try_acquire(address) {
            return Some(slot);
        }
        let (sender, receiver) = oneshot::channel();
        self.wait_in(address, |line| line.stops.push_back(sender));
        receiver.await.ok()
    }

    /// Withdraws the command to start a run if it waits for a slot, and returns whether it did.
    pub fn withdraw(&self, address: &Name, run: &CommandRun) -> bool {
        let mut lines = self.lines.borrow_mut();
        let Some(line) = lines.get_mut(address) else { return false };
        let position = line.starts.iter().position(|start| start.run == *run);
        position.and_then(|position| line.starts.remove(position)).is_some()
    }

    /// Returns the number of commands that wait for a slot.
    pub fn waiting(&self) -> usize {
        let lines = self.lines.borrow();
        lines.values().map(|line| line.stops.len() + line.starts.len()).sum()
    }

    /// Takes a free slot, if there is one.
    fn try_acquire(self: &Rc<Self>, address: &Name) -> Option<CommandSlot> {
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(address.clone()).or_default();
        if line.open >= MAX_COMMANDS {
            return None;
        }
        line.open += 1;
        Some(CommandSlot { slots: Rc::clone(self), address: address.clone() })
    }

    /// Adds a command to those that wait for a worker's slots.
    fn wait_in(&self, address: &Name, push: impl FnOnce(&mut CommandLine)) {
        push(self.lines.borrow_mut().entry(address.clone()).or_default());
    }

    /// Returns who gets a slot that has become free, or frees it.
    fn next_waiting(&self, address: &Name) -> Option<SlotSender> {
        let mut lines = self.lines.borrow_mut();
        let line = lines.get_mut(address)?;
        let start = |line: &mut CommandLine| Some(line.starts.pop_front()?.sender);
        let next = line.stops.pop_front().or_else(|| start(line));
        if next.is_none() {
            line.open -= 1;
            if line.open == 0 {
                lines.remove(address);
            }
        }
        next
    }
}

impl CommandSlot {
    /// Returns the address of the worker that the command may be sent to.
    pub fn address(&self) -> &Name {
        &self.address
    }
}

impl Drop for CommandSlot {
    fn drop(&mut self) {
        if let Some(next) = self.slots.next_waiting(&self.address) {
            let (slots, address) = (Rc::clone(&self.slots), self.address.clone());
            // If nobody waits there any more, the slot is dropped, and so passed on, at once.
            let _ = next.send(CommandSlot { slots, address });
        }
    }
}
