//! Supervision of background loops.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::log_event;

/// Delay before a loop that has ended is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a loop and restarts it whenever it returns or panics.
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
