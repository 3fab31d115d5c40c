//! A task whose time is counted.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use crate::WorkKind;
use crate::WorkMeter;

/// A task whose time is counted as a kind of work.
pub struct MeteredWork<F> {
    meter: Rc<WorkMeter>,
    kind: WorkKind,
    work: Pin<Box<F>>,
}

impl<F> MeteredWork<F> {
    /// Wraps a task.
    pub(crate) fn new(meter: Rc<WorkMeter>, kind: WorkKind, work: F) -> Self {
        MeteredWork { meter, kind, work: Box::pin(work) }
    }
}

impl<F: Future> Future for MeteredWork<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let MeteredWork { meter, kind, work } = &mut *self;
        meter.time(*kind, || work.as_mut().poll(context))
    }
}
