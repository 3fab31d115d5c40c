//! The reasons for which a call is refused.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ErrorResponse;
use crate::RunState;

/// Declares the error kinds together with their responses.
macro_rules! error_kinds {
    ($($(#[doc = $doc:literal])* $kind:ident => $name:literal, $status:literal, $run:ident, $retry:expr;)*) => {
        /// The reason for which a call is refused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ErrorKind {
            $($(#[doc = $doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Returns the response for this kind.
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

/// Retrying the call unchanged does not help.
const NO_RETRY: Option<Duration> = None;
/// Another process can take the call at once.
const RETRY_NOW: Option<Duration> = Some(Duration::ZERO);
/// The condition usually ends when the next slot is released.
const SHORT_RETRY: Option<Duration> = Some(Duration::from_millis(250));
/// The condition usually ends after a takeover or one or two heartbeats.
const TWO_SECONDS: Option<Duration> = Some(Duration::from_secs(2));
/// The condition may end after a takeover or a short outage, and a retry is cheap.
const ONE_SECOND: Option<Duration> = Some(Duration::from_secs(1));
/// The condition lasts as long as an outage or a network partition.
const LONG_RETRY: Option<Duration> = Some(Duration::from_secs(10));

error_kinds! {
    /// The queue requires a key and none was sent.
    KeyMissing => "key-missing", 401, NotRun, NO_RETRY;
    /// The key is not in the configuration.
    KeyUnknown => "key-unknown", 401, NotRun, NO_RETRY;
    /// The configuration may be outdated, so the key may have been revoked.
    KeysStale => "keys-stale", 503, NotRun, LONG_RETRY;
    /// The key's team has no access to the queue or the job.
    TeamForbidden => "team-forbidden", 403, NotRun, NO_RETRY;
    /// The call requires the operators' key.
    OperatorKey => "operator-key", 403, NotRun, NO_RETRY;
    /// The queue is not in the configuration.
    QueueUnknown => "queue-unknown", 404, NotRun, NO_RETRY;
    /// The job's failure domain does not know the job.
    JobUnknown => "job-unknown", 404, NotRun, NO_RETRY;
    /// The job's description can't be parsed or contains a value out of range.
    JobMalformed => "job-malformed", 400, NotRun, NO_RETRY;
    /// No worker of the failure domain is large enough for a task of the job.
    JobNeverFits => "job-never-fits", 422, NotRun, NO_RETRY;
    /// A request header can't be parsed or contains a value out of range.
    HeaderMalformed => "header-malformed", 400, NotRun, NO_RETRY;
    /// The body is larger than the limit.
    BodyTooLarge => "body-too-large", 413, NotRun, NO_RETRY;
    /// The request body ended before it was complete.
    BodyIncomplete => "body-incomplete", 400, NotRun, NO_RETRY;
    /// The deadline can't be met under the current load.
    DeadlineUnmeetable => "deadline-unmeetable", 503, NotRun, SHORT_RETRY;
    /// The deadline passed while the request waited for a slot.
    DeadlinePassed => "deadline-passed", 504, NotRun, SHORT_RETRY;
    /// The queue has reached its maximum number of waiting requests.
    QueueFull => "queue-full", 503, NotRun, SHORT_RETRY;
    /// The team has used up its limit in the failure domain.
    TeamLimit => "team-limit", 429, NotRun, SHORT_RETRY;
    /// No usable endpoint serves the queue.
    EndpointMissing => "endpoint-missing", 503, NotRun, TWO_SECONDS;
    /// The dispatcher is still collecting the grants of a former owner.
    DomainRecovering => "domain-recovering", 503, NotRun, ONE_SECOND;
    /// The failure domain has no reachable dispatcher.
    DomainUnowned => "domain-unowned", 503, NotRun, ONE_SECOND;
    /// The home domain of the idempotency key can't be reached.
    HomeUnreachable => "home-unreachable", 503, NotRun, LONG_RETRY;
    /// No endpoint accepted a connection.
    EndpointConnect => "endpoint-connect", 502, NotRun, SHORT_RETRY;
    /// The connection to the endpoint failed after the request may have been sent.
    EndpointFailed => "endpoint-failed", 502, Unknown, SHORT_RETRY;
    /// The endpoint's response ended before it was complete.
    AnswerTruncated => "answer-truncated", 502, Unknown, SHORT_RETRY;
    /// The endpoint did not respond before the deadline.
    AnswerLate => "answer-late", 504, Unknown, SHORT_RETRY;
    /// The retry budget is used up.
    RetryBudget => "retry-budget", 503, Unknown, TWO_SECONDS;
    /// A request with this idempotency key has ended, and its response was too large to store.
    AlreadyRan => "already-ran", 409, Ran, NO_RETRY;
    /// A request with this idempotency key is still running.
    StillRunning => "still-running", 409, Unknown, SHORT_RETRY;
    /// The outcome of an earlier request with this idempotency key is unknown.
    OutcomeUnknown => "outcome-unknown", 409, Unknown, NO_RETRY;
    /// The idempotency key has been used for a different request.
    KeyReused => "idempotency-key-reused", 422, NotRun, NO_RETRY;
    /// The table of idempotency keys is full.
    RecordsFull => "records-full", 503, NotRun, LONG_RETRY;
    /// Neither the store nor another process of the domain could save the record.
    StoreUnavailable => "store-unavailable", 503, NotRun, ONE_SECOND;
    /// It is unknown whether the store has saved the record; it will be saved if possible.
    StoreUnknown => "store-unknown", 503, Unknown, LONG_RETRY;
    /// The configuration has changed since the revision on which the new one is based.
    RevisionConflict => "revision-conflict", 409, NotRun, NO_RETRY;
    /// The configuration set is invalid.
    SetInvalid => "set-invalid", 422, NotRun, NO_RETRY;
    /// It is unknown whether the configuration was published.
    PublishUnknown => "publish-unknown", 503, Unknown, TWO_SECONDS;
    /// The process has not received the configuration yet.
    ProcessStarting => "process-starting", 503, NotRun, ONE_SECOND;
    /// The process is stopping.
    ProcessStopping => "process-stopping", 503, NotRun, RETRY_NOW;
    /// The failure domain is evacuated, and no other one took the work.
    DomainEvacuated => "domain-evacuated", 503, NotRun, LONG_RETRY;
    /// No failure domain of the fleet has this name.
    DomainUnknown => "domain-unknown", 404, NotRun, NO_RETRY;
    /// Every other failure domain is evacuated already.
    DomainLast => "domain-last", 409, NotRun, NO_RETRY;
    /// The request body did not arrive in time.
    BodyLate => "body-late", 408, NotRun, NO_RETRY;
    /// Request bodies that are not complete use up the memory for them.
    BodiesFull => "bodies-full", 503, NotRun, ONE_SECOND;
    /// The job was cancelled before it arrived.
    JobWithdrawn => "job-withdrawn", 503, NotRun, LONG_RETRY;
    /// The jobs that were accepted use up the memory for jobs.
    JobsFull => "jobs-full", 503, NotRun, TWO_SECONDS;
    /// The request may have waited for long while the process was suspended.
    RequestOutdated => "request-outdated", 503, NotRun, RETRY_NOW;
}

impl std::fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.response().name)
    }
}
