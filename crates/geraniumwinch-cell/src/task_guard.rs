//! Tasks of the process that must not end unnoticed.
//!
//! A panic ends a task only, so the process would go on without a part of itself. Each panic is logged
//! and counted. A loop of the process is started anew. What a task of the owner had begun may be left
//! half done in memory, so the process gives up the ownership: the next owner begins with what the store
//! and the workers say.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::log_event;

use crate::cell_metrics;
use crate::owner_authority::OwnerAuthority;

/// The delay before a loop that has ended by a panic is started anew.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Awaits a task's work. Returns `None` after a panic.
pub(crate) async fn catch_panic<T>(
    task: &'static str,
    work: impl Future<Output = T>,
) -> Option<T> {
    let result = AssertUnwindSafe(work).catch_unwind().await;
    result.inspect_err(|panic| report_panic(task, &**panic)).ok()
}

/// Like [`catch_panic`], for work of the owner, whose ownership ends with a panic.
pub(crate) async fn catch_owner_panic<T>(
    task: &'static str,
    authority: &OwnerAuthority,
    work: impl Future<Output = T>,
) -> Option<T> {
    let result = catch_panic(task, work).await;
    if result.is_none() {
        authority.report_panic();
    }
    result
}

/// Spawns a loop of the process, which is started anew after a panic.
pub(crate) fn spawn_loop(
    task: &'static str,
    start: impl Fn() -> LocalBoxFuture<'static, ()> + 'static,
) {
    actix_rt::spawn(async move {
        while catch_panic(task, start()).await.is_none() {
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

/// Spawns a task of the owner, whose ownership ends if the task panics.
pub(crate) fn spawn_owner_task(
    task: &'static str,
    authority: &Rc<OwnerAuthority>,
    work: impl Future<Output = ()> + 'static,
) -> JoinHandle<()> {
    let authority = Rc::clone(authority);
    actix_rt::spawn(async move {
        // The panic has been handled.
        let _ = catch_owner_panic(task, &authority, work).await;
    })
}

/// Logs and counts a panic.
fn report_panic(task: &'static str, panic: &(dyn Any + Send)) {
    let text = panic.downcast_ref::<&str>().copied();
    let message = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    let message = message.unwrap_or_default();
    log_event!(Error, "task-panicked", task = task, message = message);
    cell_metrics::count_panic(task);
}
