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
