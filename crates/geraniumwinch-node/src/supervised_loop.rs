//! Supervised loops.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::log_event;

/// The wait before a loop that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a loop and starts it again whenever it ends or panics.
pub(crate) fn supervise(
    name: &'static str,
    start: impl Fn() -> LocalBoxFuture<'static, ()> + 'static,
) {
    actix_rt::spawn(async move {
        loop {
            let ended = actix_rt::spawn(start()).await;
            let reason = if ended.is_err() { "panic" } else { "end" };
            log_event!(Error, "child-restarted", child = name, reason = reason);
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}
