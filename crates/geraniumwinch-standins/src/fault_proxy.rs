//! A TCP proxy that delays, cuts, freezes and drops by the source and the target of a connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::stand_in::StandInOptions;
use crate::stand_in::lock;

/// The time between two looks at the rules of a frozen direction.
const POLL: Duration = Duration::from_millis(10);

/// A listening address and where its connections lead.
#[derive(Debug, Clone, Deserialize)]
struct ProxyRoute {
    listen: SocketAddr,
    target: SocketAddr,
}

/// What a rule does to the bytes it applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RuleMode {
    /// Close the connections and refuse new ones.
    Cut,
    /// Hold the bytes back in both directions.
    Freeze,
    /// Hold back what comes from the source.
    FreezeRequests,
    /// Hold back what goes to the source.
    FreezeAnswers,
    /// Close the connection instead of passing an answer on.
    DropAnswers,
    /// Pass the bytes on later.
    Delay,
}

/// A rule; the first that applies counts.
#[derive(Debug, Clone, Deserialize)]
struct ProxyRule {
    /// The beginning of the source's IP address.
    #[serde(default)]
    from: String,
    /// The beginning of the address that the source has connected to, as `IP:PORT`.
    #[serde(default)]
    at: String,
    /// The beginning of the target's address, as `IP:PORT`.
    #[serde(default)]
    to: String,
    mode: RuleMode,
    /// The delay in milliseconds.
    #[serde(default)]
    ms: u64,
}

/// The rules.
type Rules = Arc<Mutex<Vec<ProxyRule>>>;

/// The bytes that went from a source to a target, and back.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct ByteCount {
    requests: u64,
    answers: u64,
}

/// The bytes by source and target.
type ByteCounts = Arc<Mutex<BTreeMap<(String, String), ByteCount>>>;

/// What the proxy's handlers share.
#[derive(Debug, Clone, Default)]
struct ProxyState {
    rules: Rules,
    counts: ByteCounts,
}

/// The two ends of a connection.
#[derive(Debug, Clone)]
struct Ends {
    from: String,
    at: String,
    to: String,
    state: ProxyState,
}

impl Ends {
    /// Returns the rule that applies to the connection.
    fn rule(&self) -> Option<ProxyRule> {
        let rules = lock(&self.state.rules);
        let applies = |rule: &&ProxyRule| {
            self.from.starts_with(&rule.from)
                && self.at.starts_with(&rule.at)
                && self.to.starts_with(&rule.to)
        };
        rules.iter().find(applies).cloned()
    }

    /// Counts bytes that pass.
    fn count(&self, bytes: usize, answers: bool) {
        let mut counts = lock(&self.state.counts);
        let count = counts.entry((self.from.clone(), self.to.clone())).or_default();
        if answers {
            count.answers += bytes as u64;
        } else {
            count.requests += bytes as u64;
        }
    }

    /// Returns whether the connection is cut.
    fn cut(&self) -> bool {
        self.rule().is_some_and(|rule| rule.mode == RuleMode::Cut)
    }
}

/// Serves until the process ends; the control calls come to the address in the options.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let state = web::Data::new(ProxyState::default());
    HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .route("/routes", web::post().to(add_routes))
            .route("/rules", web::post().to(set_rules))
            .route("/account", web::get().to(account))
    })
    .workers(1)
    .bind(options.listen)?
    .run()
    .await
}

/// Replaces the rules.
async fn set_rules(
    state: web::Data<ProxyState>,
    rules: web::Json<Vec<ProxyRule>>,
) -> HttpResponse {
    *lock(&state.rules) = rules.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Tells the bytes that passed.
async fn account(state: web::Data<ProxyState>) -> HttpResponse {
    let counts = lock(&state.counts);
    let rows = counts.iter().map(|((from, to), count)| {
        json!({ "from": from, "to": to, "requests": count.requests, "answers": count.answers })
    });
    HttpResponse::Ok().json(rows.collect::<Vec<_>>())
}

/// Begins to listen for further routes.
async fn add_routes(
    state: web::Data<ProxyState>,
    routes: web::Json<Vec<ProxyRoute>>,
) -> HttpResponse {
    for route in routes.into_inner() {
        let Ok(listener) = TcpListener::bind(route.listen).await else {
            return HttpResponse::Conflict().json(json!({ "listen": route.listen }));
        };
        let state = ProxyState::clone(&state);
        actix_rt::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let ends = Ends {
                    from: from.ip().to_string(),
                    at: route.listen.to_string(),
                    to: route.target.to_string(),
                    state: state.clone(),
                };
                actix_rt::spawn(pass(stream, route.target, ends));
            }
        });
    }
    HttpResponse::Ok().json(json!({}))
}

/// Passes the bytes of one connection in both directions.
async fn pass(source: TcpStream, target: SocketAddr, ends: Ends) {
    if ends.cut() {
        return;
    }
    let Ok(target) = TcpStream::connect(target).await else { return };
    let _ = source.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (source_read, source_write) = source.into_split();
    let (target_read, target_write) = target.into_split();
    let watch = async {
        while !ends.cut() {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::select! {
        () = pass_one_way(source_read, target_write, &ends, false) => {}
        () = pass_one_way(target_read, source_write, &ends, true) => {}
        () = watch => {}
    }
}

/// Passes the bytes of one direction until either end closes.
async fn pass_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    ends: &Ends,
    answers: bool,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if count == 0 {
            // The other direction may still have bytes to pass on.
            let _ = to.shutdown().await;
            tokio::time::sleep(Duration::from_secs(1)).await;
            return;
        }
        if !admit(ends, answers).await {
            return;
        }
        ends.count(count, answers);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits until bytes may pass; returns whether they do at all.
async fn admit(ends: &Ends, answers: bool) -> bool {
    loop {
        let Some(rule) = ends.rule() else { return true };
        let held = match rule.mode {
            RuleMode::Cut => return false,
            RuleMode::DropAnswers if answers => return false,
            RuleMode::DropAnswers => return true,
            RuleMode::Delay => {
                tokio::time::sleep(Duration::from_millis(rule.ms)).await;
                return true;
            }
            RuleMode::Freeze => true,
            RuleMode::FreezeRequests => !answers,
            RuleMode::FreezeAnswers => answers,
        };
        if !held {
            return true;
        }
        tokio::time::sleep(POLL).await;
    }
}
