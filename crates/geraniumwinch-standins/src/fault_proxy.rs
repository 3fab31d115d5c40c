//! A TCP proxy that delays, cuts, freezes or drops traffic by a connection's source and target.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

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

/// The interval at which the rules are checked for frozen bytes and for cut connections.
const RULE_POLL: Duration = Duration::from_millis(10);

/// A listening address and the target of its connections.
#[derive(Debug, Clone, Deserialize)]
struct ProxyRoute {
    listen: SocketAddr,
    target: SocketAddr,
}

/// The average number of reads between two that a lossy link delays.
const LOSS_INTERVAL: u32 = 8;

/// The effect of a rule on the traffic that it matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RuleMode {
    /// Close open connections, and new ones at once.
    Cut,
    /// Hold back bytes in both directions.
    Freeze,
    /// Hold back bytes from the source.
    FreezeRequests,
    /// Hold back bytes to the source.
    #[serde(rename = "freeze-answers")]
    FreezeResponses,
    /// Close the connection when the target sends a response.
    #[serde(rename = "drop-answers")]
    DropResponses,
    /// Forward bytes after a delay.
    Delay,
    /// Forward some bytes after a delay, like a link that loses packets and sends them again.
    Lossy,
}

/// A rule for matching traffic; the first rule that matches a connection applies.
#[derive(Debug, Clone, Deserialize)]
struct ProxyRule {
    /// A prefix of the source's IP address.
    #[serde(default)]
    from: String,
    /// A prefix of the listening address that the source connected to, as `IP:PORT`.
    #[serde(default)]
    at: String,
    /// A prefix of the target's address, as `IP:PORT`.
    #[serde(default)]
    to: String,
    mode: RuleMode,
    /// Whether connections that are opened later do not match.
    #[serde(default)]
    open_only: bool,
    /// When the rule was set.
    #[serde(skip, default = "Instant::now")]
    set_at: Instant,
    /// The delay in milliseconds.
    #[serde(default)]
    ms: u64,
}

/// The rules, shared by all connections.
type Rules = Arc<Mutex<Vec<ProxyRule>>>;

/// The bytes forwarded from a source to a target, and back.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct ByteCount {
    requests: u64,
    responses: u64,
}

/// The forwarded bytes by source IP address and target address.
type ByteCounts = Arc<Mutex<BTreeMap<(String, String), ByteCount>>>;

/// The state shared by the proxy's handlers and connections.
#[derive(Debug, Clone, Default)]
struct ProxyState {
    rules: Rules,
    counts: ByteCounts,
}

/// The addresses of a connection, and the shared state.
#[derive(Debug, Clone)]
struct ProxyConnection {
    from: String,
    at: String,
    to: String,
    opened_at: Instant,
    state: ProxyState,
}

impl ProxyConnection {
    /// Returns the first rule that matches the connection.
    fn rule(&self) -> Option<ProxyRule> {
        let rules = lock(&self.state.rules);
        let matches = |rule: &&ProxyRule| {
            self.from.starts_with(&rule.from)
                && self.at.starts_with(&rule.at)
                && self.to.starts_with(&rule.to)
                && (!rule.open_only || self.opened_at < rule.set_at)
        };
        rules.iter().find(matches).cloned()
    }

    /// Counts forwarded bytes.
    fn add_bytes(&self, bytes: usize, is_response: bool) {
        let mut counts = lock(&self.state.counts);
        let count = counts.entry((self.from.clone(), self.to.clone())).or_default();
        if is_response {
            count.responses += bytes as u64;
        } else {
            count.requests += bytes as u64;
        }
    }

    /// Returns whether a rule cuts the connection.
    fn is_cut(&self) -> bool {
        self.rule().is_some_and(|rule| rule.mode == RuleMode::Cut)
    }
}

/// Serves requests until the process ends; the listening address is that of the control calls.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let state = web::Data::new(ProxyState::default());
    HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .route("/routes", web::post().to(add_routes))
            .route("/rules", web::post().to(set_rules))
            .route("/account", web::get().to(show_byte_counts))
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

/// Returns the forwarded bytes.
async fn show_byte_counts(state: web::Data<ProxyState>) -> HttpResponse {
    let counts = lock(&state.counts);
    let rows = counts.iter().map(|((from, to), count)| {
        json!({ "from": from, "to": to, "requests": count.requests, "answers": count.responses })
    });
    HttpResponse::Ok().json(rows.collect::<Vec<_>>())
}

/// Listens for connections of further routes.
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
                let connection = ProxyConnection {
                    from: from.ip().to_string(),
                    at: route.listen.to_string(),
                    to: route.target.to_string(),
                    opened_at: Instant::now(),
                    state: state.clone(),
                };
                actix_rt::spawn(forward_connection(stream, route.target, connection));
            }
        });
    }
    HttpResponse::Ok().json(json!({}))
}

/// Forwards the bytes of a connection in both directions.
async fn forward_connection(
    source: TcpStream,
    target: SocketAddr,
    connection: ProxyConnection,
) {
    if connection.is_cut() {
        return;
    }
    let Ok(target) = TcpStream::connect(target).await else { return };
    let _ = source.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (source_read, source_write) = source.into_split();
    let (target_read, target_write) = target.into_split();
    let cut_watch = async {
        while !connection.is_cut() {
            tokio::time::sleep(RULE_POLL).await;
        }
    };
    tokio::select! {
        () = forward_bytes(source_read, target_write, &connection, false) => {}
        () = forward_bytes(target_read, source_write, &connection, true) => {}
        () = cut_watch => {}
    }
}

/// Forwards the bytes of one direction until either side closes the connection.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    connection: &ProxyConnection,
    is_response: bool,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if count == 0 {
            // The other direction may still have bytes to forward.
            let _ = to.shutdown().await;
            tokio::time::sleep(Duration::from_secs(1)).await;
            return;
        }
        if !apply_rules(connection, is_response).await {
            return;
        }
        connection.add_bytes(count, is_response);
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Applies the rules to bytes, waiting while they are held back; returns whether to forward them.
async fn apply_rules(connection: &ProxyConnection, is_response: bool) -> bool {
    loop {
        let Some(rule) = connection.rule() else { return true };
        let held = match rule.mode {
            RuleMode::Cut => return false,
            RuleMode::DropResponses if is_response => return false,
            RuleMode::DropResponses => return true,
            RuleMode::Delay => {
                tokio::time::sleep(Duration::from_millis(rule.ms)).await;
                return true;
            }
            RuleMode::Lossy => {
                if rand::random_ratio(1, LOSS_INTERVAL) {
                    tokio::time::sleep(Duration::from_millis(rule.ms)).await;
                }
                return true;
            }
            RuleMode::Freeze => true,
            RuleMode::FreezeRequests => !is_response,
            RuleMode::FreezeResponses => is_response,
        };
        if !held {
            return true;
        }
        tokio::time::sleep(RULE_POLL).await;
    }
}
