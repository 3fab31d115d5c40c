//! The share that a request body has in the budget.

use std::task::Context;
use std::task::Poll;

use crate::BodyBudget;
use crate::body_budget::BodyKey;

/// The share that a request body has in the budget, until it is dropped.
#[derive(Debug)]
pub struct BodyLease {
    budget: BodyBudget,
    key: BodyKey,
}

impl BodyLease {
    /// Creates the share of a body that was added to the budget.
    pub(crate) fn new(budget: BodyBudget, key: BodyKey) -> Self {
        BodyLease { budget, key }
    }

    /// Adds bytes and returns whether there is room for them.
    pub fn grow(&self, bytes: usize) -> bool {
        self.budget.grow(self.key, bytes)
    }

    /// Waits until the memory for the added bytes is free, since bodies that were given up for it may not be
    /// dropped yet; the result is whether this body was not given up meanwhile.
    pub fn poll_room(&self, context: &mut Context<'_>) -> Poll<bool> {
        self.budget.poll_room(self.key, context.waker())
    }

    /// Records that nothing of the body is kept any more.
    pub fn release(&self) {
        self.budget.release(self.key);
    }

    /// Records that the body is complete, so that it is not given up any more; returns whether it had not
    /// been given up.
    pub fn complete(&self) -> bool {
        self.budget.complete(self.key)
    }

    /// Waits until the body is given up for another one.
    pub fn poll_given_up(&self, context: &mut Context<'_>) -> Poll<()> {
        self.budget.poll_given_up(self.key, context.waker())
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.close(self.key);
    }
}
