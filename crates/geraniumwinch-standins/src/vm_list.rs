//! A stand-in for the lagging list of VMs.

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

/// The list with its history.
#[derive(Debug, Default)]
struct ListState {
    versions: VecDeque<(Instant, Value)>,
    passed: u64,
    lag: Duration,
    calls: u64,
}

/// The switches of faults.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ListFaults {
    /// How far the list lags, in milliseconds.
    lag_ms: u64,
}

/// Serves until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let list = web::Data::new(Mutex::new(ListState::default()));
    HttpServer::new(move || {
        App::new()
            .app_data(list.clone())
            .app_data(web::JsonConfig::default().limit(16 * 1024 * 1024))
            .route("/vms", web::post().to(set_list))
            .route("/vms", web::get().to(show_list))
            .route("/faults", web::post().to(set_faults))
            .route("/account", web::get().to(account))
    })
    .workers(1)
    .bind(options.listen)?
    .run()
    .await
}

/// Replaces the list.
async fn set_list(
    list: web::Data<Mutex<ListState>>,
    body: web::Json<Value>,
) -> HttpResponse {
    lock(&list).versions.push_back((Instant::now(), body.into_inner()));
    HttpResponse::Ok().json(json!({}))
}

/// Which part of the list is wanted.
#[derive(Debug, Deserialize)]
struct ListQuery {
    domain: Option<String>,
}

/// Shows the list as it was some time ago, unless the caller has it.
async fn show_list(
    list: web::Data<Mutex<ListState>>,
    query: web::Query<ListQuery>,
    request: HttpRequest,
) -> HttpResponse {
    let mut list = lock(&list);
    list.calls += 1;
    let lag = list.lag;
    while list.versions.get(1).is_some_and(|(since, _)| since.elapsed() >= lag) {
        list.versions.pop_front();
        list.passed += 1;
    }
    let tag = format!("\"{}\"", list.passed);
    let known = request.headers().get("If-None-Match");
    let Some((_, vms)) = list.versions.front() else {
        return HttpResponse::Ok().json(json!({ "vms": [] }));
    };
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return HttpResponse::NotModified().finish();
    }
    let wanted =
        |vm: &&Value| query.domain.as_deref().is_none_or(|domain| vm["domain"] == domain);
    let vms: Vec<&Value> =
        vms["vms"].as_array().into_iter().flatten().filter(wanted).collect();
    HttpResponse::Ok().insert_header(("ETag", tag)).json(json!({ "vms": vms }))
}

/// Sets the switches of faults.
async fn set_faults(
    list: web::Data<Mutex<ListState>>,
    faults: web::Json<ListFaults>,
) -> HttpResponse {
    lock(&list).lag = Duration::from_millis(faults.lag_ms);
    HttpResponse::Ok().json(json!({}))
}

/// Tells what the list has seen.
async fn account(list: web::Data<Mutex<ListState>>) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "calls": lock(&list).calls }))
}
