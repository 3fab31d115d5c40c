//! Locking of mutexes regardless of poisoning.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a mutex and ignores poisoning.
///
/// The protected tables change in single steps, so a panic of a holder leaves them consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
