//! A stand-in for the platform's list of VMs, which lags behind the actual state.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::stand_in::StandInOptions;
use crate::stand_in::lock;

/// The list with its recent versions.
#[derive(Debug, Default)]
struct ListState {
    /// The versions that are shown now or later, with the times at which they were set.
    versions: VecDeque<(Instant, Value)>,
    /// The number of older versions that were dropped, which serves as the `ETag`.
    dropped: u64,
    lag: Duration,
    calls: u64,
    /// Rows of another writer, as text that may be no JSON of a VM.
    odd_rows: Vec<String>,
}

/// The injected faults.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ListFaults {
    /// The time by which the list lags, in milliseconds.
    lag_ms: u64,
}

/// Serves requests until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let list = web::Data::new(Mutex::new(ListState::default()));
    HttpServer::new(move || {
        App::new()
            .app_data(list.clone())
            .app_data(web::JsonConfig::default().limit(16 * 1024 * 1024))
            .route("/vms", web::post().to(set_list))
            .route("/vms", web::get().to(get_list))
            .route("/odd-rows", web::post().to(add_odd_rows))
            .route("/faults", web::post().to(set_faults))
            .route("/account", web::get().to(show_statistics))
    })
    .workers(1)
    .bind(options.listen)?
    .run()
    .await
}

/// Adds a new version of the list.
async fn set_list(
    list: web::Data<Mutex<ListState>>,
    body: web::Json<Value>,
) -> HttpResponse {
    lock(&list).versions.push_back((Instant::now(), body.into_inner()));
    HttpResponse::Ok().json(json!({}))
}

/// The optional filter of a request for the list.
#[derive(Debug, Deserialize)]
struct ListQuery {
    domain: Option<String>,
}

/// Returns the list as it was before the lag, or status 304 if the caller has that version.
async fn get_list(
    list: web::Data<Mutex<ListState>>,
    query: web::Query<ListQuery>,
    request: HttpRequest,
) -> HttpResponse {
    let mut list = lock(&list);
    list.calls += 1;
    let lag = list.lag;
    while list.versions.get(1).is_some_and(|(since, _)| since.elapsed() >= lag) {
        list.versions.pop_front();
        list.dropped += 1;
    }
    let etag = format!("\"{}\"", list.dropped);
    let if_none_match = request.headers().get("If-None-Match");
    let Some((_, vms)) = list.versions.front() else {
        return HttpResponse::Ok().json(json!({ "vms": [] }));
    };
    if if_none_match
        .is_some_and(|if_none_match| if_none_match.as_bytes() == etag.as_bytes())
    {
        return HttpResponse::NotModified().finish();
    }
    let in_domain =
        |vm: &&Value| query.domain.as_deref().is_none_or(|domain| vm["domain"] == domain);
    let vms: Vec<&Value> =
        vms["vms"].as_array().into_iter().flatten().filter(in_domain).collect();
    let mut rows: Vec<String> = vms.iter().map(|vm| vm.to_string()).collect();
    rows.splice(0..0, list.odd_rows.iter().cloned());
    let body = format!("{{\"vms\":[{}]}}", rows.join(","));
    let mut response = HttpResponse::Ok();
    response.insert_header(("ETag", etag)).content_type("application/json").body(body)
}

/// Adds rows of another writer to all later versions of the list, each as its text.
async fn add_odd_rows(
    list: web::Data<Mutex<ListState>>,
    rows: web::Json<Vec<String>>,
) -> HttpResponse {
    lock(&list).odd_rows.extend(rows.into_inner());
    HttpResponse::Ok().json(json!({}))
}

/// Replaces the injected faults.
async fn set_faults(
    list: web::Data<Mutex<ListState>>,
    faults: web::Json<ListFaults>,
) -> HttpResponse {
    lock(&list).lag = Duration::from_millis(faults.lag_ms);
    HttpResponse::Ok().json(json!({}))
}

/// Returns the number of calls.
async fn show_statistics(list: web::Data<Mutex<ListState>>) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "calls": lock(&list).calls }))
}
