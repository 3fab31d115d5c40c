//! The handlers of commands to the workers.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;

use crate::fleet::CommandRefusal;
use crate::fleet::FleetFaults;
use crate::fleet::PORT_STEP;
use crate::fleet::SharedStore;
use crate::fleet::SharedWorkers;
use crate::stand_in::lock;
use crate::stand_in::unix_millis;

use super::JobWorker;
use super::wire_command::WireCommand;

/// The interval at which a waiting hold call checks for ended runs, and a held call for its release.
const HOLD_POLL: Duration = Duration::from_millis(10);
/// How long a response is withheld that should not arrive in time.
const WITHHELD_RESPONSE: Duration = Duration::from_secs(2);
/// The header with the id of the incarnation that a command is for.
const EXPECT_INSTANCE: &str = "Geraniumwinch-Expect-Instance";

/// Adds the routes of the workers.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/-/run-start", web::post().to(start))
        .route("/-/run-stop", web::post().to(stop))
        .route("/-/hold", web::post().to(hold));
}

/// Returns the worker that a request is for.
fn worker_for<'a>(
    workers: &'a SharedWorkers,
    request: &HttpRequest,
) -> &'a Mutex<JobWorker> {
    &workers[worker_index(request)]
}

/// Returns the index of the worker that a request is for.
///
/// The ports of the workers follow the store's port in order.
fn worker_index(request: &HttpRequest) -> usize {
    let port = request.app_config().local_addr().port();
    usize::from(port).wrapping_sub(1) % PORT_STEP
}

/// Returns the response to a command that the worker does not execute, if any: none in time while
/// the worker is down, and a refusal of commands for another incarnation.
async fn reject(
    store: &SharedStore,
    worker: &Mutex<JobWorker>,
    expected: Option<&str>,
) -> Option<HttpResponse> {
    let down = lock(worker).is_down(store);
    if down {
        tokio::time::sleep(WITHHELD_RESPONSE).await;
        return Some(HttpResponse::ServiceUnavailable().finish());
    }
    let misdirected = expected.is_some_and(|id| id != lock(worker).id);
    misdirected.then(|| HttpResponse::MisdirectedRequest().finish())
}

/// Returns the id of the incarnation that a command is for.
fn expected_instance(request: &HttpRequest) -> Option<String> {
    let header = request.headers().get(EXPECT_INSTANCE)?;
    header.to_str().ok().map(str::to_owned)
}

/// Delays every third start command by the injected delay.
async fn delay_start(store: &SharedStore, worker: &Mutex<JobWorker>) {
    let late_ms = lock(store).faults.orders_late_ms;
    let number = {
        let mut worker = lock(worker);
        worker.start_commands += 1;
        worker.start_commands
    };
    if late_ms > 0 && number.is_multiple_of(3) {
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
    }
}

/// Withholds the response to every third poll, if that fault is injected.
async fn withhold_response(store: &SharedStore, worker: &Mutex<JobWorker>) {
    let unanswered = lock(store).faults.polls_unanswered;
    let number = {
        let mut worker = lock(worker);
        worker.polls += 1;
        worker.polls
    };
    if unanswered && number.is_multiple_of(3) {
        tokio::time::sleep(WITHHELD_RESPONSE).await;
    }
}

/// Waits as long as an injected fault holds a call back.
async fn await_release(store: &SharedStore, is_held: impl Fn(&FleetFaults) -> bool) {
    while is_held(&lock(store).faults) {
        tokio::time::sleep(HOLD_POLL).await;
    }
}

/// Returns how a worker refuses commands, if it does.
fn refusal(store: &SharedStore, worker: usize) -> Option<CommandRefusal> {
    let (refusing, refusal) = lock(store).faults.refusing_worker?;
    (refusing == worker).then_some(refusal)
}

/// Starts a run.
///
/// The command is executed in a task of its own, so that it completes even if the caller disconnects
/// or the worker restarts meanwhile: the next incarnation executes it then.
async fn start(
    store: SharedStore,
    workers: SharedWorkers,
    request: HttpRequest,
    command: web::Json<WireCommand>,
) -> HttpResponse {
    let worker = worker_index(&request);
    let command = command.into_inner();
    let received_ms = unix_millis();
    let expected = expected_instance(&request);
    let started = actix_rt::spawn(async move {
        let copy = lock(&workers[worker]).count_copy(&command);
        await_release(&store, |faults| faults.holds_start(worker, copy)).await;
        delay_start(&store, &workers[worker]).await;
        if let Some(response) =
            reject(&store, &workers[worker], expected.as_deref()).await
        {
            return response;
        }
        let refusal = refusal(&store, worker);
        let unanswered = lock(&store).faults.starts_unanswered;
        let response = {
            let mut worker = lock(&workers[worker]);
            let result = match refusal {
                None => worker.start(command, received_ms),
                Some(CommandRefusal::Ticket) => Err("ticket"),
                Some(CommandRefusal::Unhealthy) => {
                    return HttpResponse::ServiceUnavailable().finish();
                }
            };
            worker.command_response(result)
        };
        if unanswered {
            tokio::time::sleep(WITHHELD_RESPONSE).await;
        }
        response
    });
    started.await.unwrap_or_else(|_| HttpResponse::InternalServerError().finish())
}

/// Stops a run.
async fn stop(
    store: SharedStore,
    workers: SharedWorkers,
    request: HttpRequest,
    command: web::Json<WireCommand>,
) -> HttpResponse {
    if refusal(&store, worker_index(&request)) == Some(CommandRefusal::Unhealthy) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    await_release(&store, |faults| faults.stops_held).await;
    let worker = worker_for(&workers, &request);
    let expected = expected_instance(&request);
    if let Some(response) = reject(&store, worker, expected.as_deref()).await {
        return response;
    }
    let mut worker = lock(worker);
    let result = worker.stop(&command);
    worker.command_response(result)
}

/// Acknowledges ended runs and extends the lease; returns the lists of running and ended runs once
/// there is an unacknowledged end or the wait is over.
async fn hold(
    store: SharedStore,
    workers: SharedWorkers,
    request: HttpRequest,
    command: web::Json<WireCommand>,
) -> HttpResponse {
    let token = command.fencing_token;
    await_release(&store, |faults| faults.holds_poll(token)).await;
    let worker = worker_for(&workers, &request);
    let expected = expected_instance(&request);
    if let Some(response) = reject(&store, worker, expected.as_deref()).await {
        return response;
    }
    withhold_response(&store, worker).await;
    let end = Instant::now() + Duration::from_millis(command.wait_ms);
    let incarnation = {
        let mut worker = lock(worker);
        worker.unacknowledged.retain(|(number, _)| *number > command.last_seen);
        worker.incarnation
    };
    let report = loop {
        {
            let mut worker = lock(worker);
            worker.end_due_runs();
            if worker.incarnation != incarnation {
                break None;
            }
            if let Err(reason) = worker.accept_command(&command) {
                return worker.command_response(Err(reason));
            }
            if !worker.unacknowledged.is_empty() || Instant::now() >= end {
                break Some(worker.take_report());
            }
        }
        tokio::time::sleep(HOLD_POLL).await;
    };
    let Some(report) = report else {
        await_release(&store, |faults| faults.holds_poll(token)).await;
        return HttpResponse::ServiceUnavailable().finish();
    };
    let delay_ms = lock(&store).faults.report_delay_ms;
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    HttpResponse::Ok().json(report)
}
