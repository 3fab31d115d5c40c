//! Reading of request bodies.

use std::future::poll_fn;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use geraniumwinch_core::ErrorKind;
use tokio::time::Instant;

use crate::BodyLease;
use crate::BodyLimits;
use crate::Result;

/// Reads a body as far as its limits and its lease allow. `announced` is its length, if the head says it.
///
/// # Errors
///
/// Fails if the body exceeds a limit, is given up, or ends before it is complete.
pub async fn read_body<S, E>(
    payload: &mut S,
    announced: Option<u64>,
    limits: &BodyLimits,
    lease: &BodyLease,
) -> Result<Bytes>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin,
{
    if announced.is_some_and(|length| length > limits.max_bytes as u64) {
        return Err(ErrorKind::BodyTooLarge);
    }
    let body = collect(payload, limits, lease).await;
    if body.is_err() {
        lease.release();
    }
    body
}

/// Reads a body to its end.
async fn collect<S, E>(
    payload: &mut S,
    limits: &BodyLimits,
    lease: &BodyLease,
) -> Result<Bytes>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin,
{
    let due = Instant::now() + limits.max_time;
    let mut body = Vec::new();
    while let Some(chunk) = next_chunk(payload, limits, due, lease).await? {
        append(&mut body, &chunk, limits.max_bytes, lease).await?;
    }
    if lease.complete() { Ok(body.into()) } else { Err(ErrorKind::BodiesFull) }
}

/// Reads a body whose request is refused, and keeps nothing of it.
///
/// # Errors
///
/// Fails if the body exceeds a limit or ends before it is complete.
pub async fn discard_body<S, E>(
    payload: &mut S,
    announced: Option<u64>,
    limits: &BodyLimits,
    lease: &BodyLease,
) -> Result<()>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin,
{
    let mut left = limits.max_bytes;
    if announced.is_some_and(|length| length > left as u64) {
        return Err(ErrorKind::BodyTooLarge);
    }
    let due = Instant::now() + limits.max_time;
    while let Some(chunk) = next_chunk(payload, limits, due, lease).await? {
        left = left.checked_sub(chunk.len()).ok_or(ErrorKind::BodyTooLarge)?;
    }
    Ok(())
}

/// Returns the next chunk of a body, or `None` if it is complete.
async fn next_chunk<S, E>(
    payload: &mut S,
    limits: &BodyLimits,
    due: Instant,
    lease: &BodyLease,
) -> Result<Option<Bytes>>
where
    S: Stream<Item = std::result::Result<Bytes, E>> + Unpin,
{
    let until = due.min(Instant::now() + limits.max_pause);
    let given_up = poll_fn(|context| lease.poll_given_up(context));
    tokio::select! {
        biased;
        () = given_up => Err(ErrorKind::BodiesFull),
        chunk = tokio::time::timeout_at(until, payload.next()) => match chunk {
            Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
            Ok(Some(Err(_))) => Err(ErrorKind::BodyIncomplete),
            Ok(None) => Ok(None),
            Err(_) => Err(ErrorKind::BodyLate),
        },
    }
}

/// Appends a chunk to a body. Its memory grows by doubling, and no further than the limit.
async fn append(
    body: &mut Vec<u8>,
    chunk: &[u8],
    max_bytes: usize,
    lease: &BodyLease,
) -> Result<()> {
    let needed = body.len() + chunk.len();
    if needed > max_bytes {
        return Err(ErrorKind::BodyTooLarge);
    }
    if needed > body.capacity() {
        let capacity = needed.max(body.capacity() * 2).min(max_bytes);
        if !lease.grow(capacity - body.capacity()) {
            return Err(ErrorKind::BodiesFull);
        }
        if !poll_fn(|context| lease.poll_room(context)).await {
            return Err(ErrorKind::BodiesFull);
        }
        body.reserve_exact(capacity - body.len());
    }
    body.extend_from_slice(chunk);
    Ok(())
}
