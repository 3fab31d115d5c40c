//! The closed list of reasons for which a call is refused.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ErrorResponse;
use crate::RunState;

/// Declares the kinds and their answers in one table.
macro_rules! error_kinds {
    ($($(#[doc = $doc:literal])* $kind:ident => $name:literal, $status:literal, $run:ident, $retry:expr;)*) => {
        /// A reason for which a call is refused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ErrorKind {
            $($(#[doc = $doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Returns the answer of this kind.
            pub const fn response(self) -> ErrorResponse {
                match self {
                    $(ErrorKind::$kind => ErrorResponse {
                        name: $name,
                        status: $status,
                        run: RunState::$run,
                        retry_after: $retry,
                    },)*
                }
            }
        }
    };
}

/// The caller should not repeat the call unchanged.
const NEVER: Option<Duration> = None;
/// The condition usually ends with the next released slot.
const SOON: Option<Duration> = Some(Duration::from_millis(250));
/// The condition usually ends within a takeover or a heartbeat or two.
const SECONDS: Option<Duration> = Some(Duration::from_secs(2));
/// The condition may end with a takeover or a short outage, and a repetition costs little.
const ONE_SECOND: Option<Duration> = Some(Duration::from_secs(1));
/// The condition ends when an outage or a partition ends.
const OUTAGE: Option<Duration> = Some(Duration::from_secs(10));

error_kinds! {
    /// The queue requires a key and none was sent.
    KeyMissing => "key-missing", 401, NotRun, NEVER;
    /// The key is not in the configuration.
    KeyUnknown => "key-unknown", 401, NotRun, NEVER;
    /// The configuration is not known to be fresh, so a key may have been withdrawn.
    KeysStale => "keys-stale", 503, NotRun, OUTAGE;
    /// The key's team may not use the queue or see the job.
    TeamForbidden => "team-forbidden", 403, NotRun, NEVER;
    /// The call needs the operators' key.
    OperatorKey => "operator-key", 403, NotRun, NEVER;
    /// The queue is not in the configuration.
    QueueUnknown => "queue-unknown", 404, NotRun, NEVER;
    /// The job is not known to its failure domain.
    JobUnknown => "job-unknown", 404, NotRun, NEVER;
    /// The job's description can't be read or holds a value out of range.
    JobMalformed => "job-malformed", 400, NotRun, NEVER;
    /// No worker of the failure domain could ever hold one of the job's tasks.
    JobNeverFits => "job-never-fits", 422, NotRun, NEVER;
    /// A header of the request can't be read or holds a value out of range.
    HeaderMalformed => "header-malformed", 400, NotRun, NEVER;
    /// The body is larger than the limit.
    BodyTooLarge => "body-too-large", 413, NotRun, NEVER;
    /// The caller's body ended before it was whole.
    BodyIncomplete => "body-incomplete", 400, NotRun, NEVER;
    /// The deadline can't be met at the present load.
    DeadlineUnmeetable => "deadline-unmeetable", 503, NotRun, SOON;
    /// The deadline passed while the request waited for a slot.
    DeadlinePassed => "deadline-passed", 504, NotRun, SOON;
    /// The queue already holds its greatest number of waiting requests.
    QueueFull => "queue-full", 503, NotRun, SOON;
    /// The team runs as much as its upper limit allows here.
    TeamLimit => "team-limit", 429, NotRun, SOON;
    /// No live endpoint serves the queue.
    EndpointMissing => "endpoint-missing", 503, NotRun, SECONDS;
    /// The dispatcher is still learning what a former owner granted.
    DomainRecovering => "domain-recovering", 503, NotRun, ONE_SECOND;
    /// The failure domain has no reachable dispatcher.
    DomainUnowned => "domain-unowned", 503, NotRun, ONE_SECOND;
    /// The home domain of the idempotency key can't be reached.
    HomeUnreachable => "home-unreachable", 503, NotRun, OUTAGE;
    /// No endpoint accepted a connection.
    EndpointConnect => "endpoint-connect", 502, NotRun, SOON;
    /// The connection to the endpoint broke after the request may have been sent.
    EndpointFailed => "endpoint-failed", 502, Unknown, SOON;
    /// The endpoint's answer ended before it was whole.
    AnswerTruncated => "answer-truncated", 502, Unknown, SOON;
    /// The endpoint did not answer before the deadline.
    AnswerLate => "answer-late", 504, Unknown, SOON;
    /// The budget for repeated attempts is used up.
    RetryBudget => "retry-budget", 503, Unknown, SECONDS;
    /// A request with this idempotency key has ended and its answer was too large to keep.
    AlreadyRan => "already-ran", 409, Ran, NEVER;
    /// A request with this idempotency key is being executed.
    StillRunning => "still-running", 409, Unknown, SOON;
    /// The outcome of an earlier request with this idempotency key is not known.
    OutcomeUnknown => "outcome-unknown", 409, Unknown, NEVER;
    /// The idempotency key was used before for another request.
    KeyReused => "idempotency-key-reused", 422, NotRun, NEVER;
    /// The table of idempotency keys is full.
    RecordsFull => "records-full", 503, NotRun, OUTAGE;
    /// Neither the store nor another process of the domain could keep the record.
    StoreUnavailable => "store-unavailable", 503, NotRun, ONE_SECOND;
    /// It is not known whether the store has kept the record; it will be if it can be.
    StoreUnknown => "store-unknown", 503, Unknown, OUTAGE;
    /// The configuration has moved on since the revision it is based on.
    RevisionConflict => "revision-conflict", 409, NotRun, NEVER;
    /// The configuration set has errors.
    SetInvalid => "set-invalid", 422, NotRun, NEVER;
    /// It is not known whether the configuration was published.
    PublishUnknown => "publish-unknown", 503, Unknown, SECONDS;
    /// The process has not learnt the configuration yet.
    ProcessStarting => "process-starting", 503, NotRun, ONE_SECOND;
    /// The process is stopping.
    ProcessStopping => "process-stopping", 503, NotRun, SOON;
}

impl std::fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.response().name)
    }
}
