//! The HTTP server of a cell process.
//!
//! Uses the HTTP/1 service underneath `actix-web` directly on the single thread of the process, so
//! that no request is passed between threads.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::log_event;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::CellError;
use crate::ProcessShutdown;
use crate::WorkKind;
use crate::WorkMeter;
use crate::cell_error::ListenSnafu;
use crate::connection_exchanges::ConnectionExchanges;
use crate::connection_exchanges::OpenExchange;
use crate::exchange_body::ExchangeBody;
use crate::exchange_stream::ExchangeStream;
use crate::task_guard::catch_panic;
use crate::task_guard::spawn_loop;

/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(15);
/// The timeout for receiving request headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The maximum number of connections that wait to be accepted. The client's system retries a
/// connection beyond it only after 1 s.
const LISTEN_BACKLOG: u32 = 1024;

/// A completely received request.
#[derive(Debug)]
pub struct HttpRequest {
    /// The HTTP method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body; `None` if it exceeds the size limit.
    pub body: Option<Bytes>,
}

impl HttpRequest {
    /// Returns a header if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The content type of the body; empty if there is none.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
    /// The value of the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl HttpResponse {
    /// Creates a response without a body.
    pub fn empty(status: u16) -> Self {
        HttpResponse::new(status, "", Bytes::new())
    }

    /// Creates a response with a body.
    pub fn new(status: u16, content_type: &'static str, body: Bytes) -> Self {
        HttpResponse { status, content_type, body, retry_after: None, close: false }
    }
}

/// A request handler.
pub type HttpHandler = Rc<dyn Fn(HttpRequest) -> LocalBoxFuture<'static, HttpResponse>>;

/// A listen address and its request handler.
pub struct HttpListener {
    address: SocketAddr,
    handler: HttpHandler,
    max_body: Rc<Cell<usize>>,
    shutdown: Rc<ProcessShutdown>,
    meter: Option<(WorkKind, Rc<WorkMeter>)>,
}

impl HttpListener {
    /// Creates a listener. The handler receives bodies of more than `max_body` bytes as `None`.
    pub fn new(
        address: SocketAddr,
        max_body: Rc<Cell<usize>>,
        handler: HttpHandler,
        shutdown: Rc<ProcessShutdown>,
    ) -> Self {
        HttpListener { address, handler, max_body, shutdown, meter: None }
    }

    /// Counts the time spent on the connections as a kind of work.
    pub fn metered(mut self, kind: WorkKind, meter: &Rc<WorkMeter>) -> Self {
        self.meter = Some((kind, Rc::clone(meter)));
        self
    }

    /// Binds the address and serves it. Takes no further connections once the process refuses requests.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn start(self) -> Result<(), CellError> {
        let address = self.address;
        let listener = listen(address).context(ListenSnafu { address })?;
        let server = Rc::new((self, listener));
        spawn_loop("listener", move || {
            let server = Rc::clone(&server);
            async move { server.0.serve(&server.1).await }.boxed_local()
        });
        Ok(())
    }

    /// Accepts and serves connections.
    async fn serve(&self, listener: &TcpListener) {
        let shutdown = Rc::clone(&self.shutdown);
        let handler = Rc::clone(&self.handler);
        let max_body = Rc::clone(&self.max_body);
        let respond = move |request: Request| {
            exchange(request, Rc::clone(&handler), max_body.get(), Rc::clone(&shutdown))
        };
        let service = HttpService::build()
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            .client_request_timeout(HEADER_TIMEOUT)
            .on_connect_ext(|stream: &ExchangeStream, data| {
                data.insert(Rc::clone(&stream.exchanges));
            })
            .h1(fn_service(respond))
            .new_service(())
            .await;
        let Ok(service) = service else {
            log_event!(Error, "listener-failed", address = self.address);
            return;
        };
        let service = Rc::new(service);
        while let Some(accepted) = next_connection(listener, &self.shutdown).await {
            match accepted {
                Ok((stream, peer)) => {
                    // A connection without `TCP_NODELAY` is slower but usable.
                    let _ = stream.set_nodelay(true);
                    let exchanges = ConnectionExchanges::new(Rc::clone(&self.shutdown));
                    let stream = ExchangeStream::new(stream, exchanges);
                    let service = Rc::clone(&service);
                    let connection =
                        async move { service.call((stream, Some(peer))).await };
                    let connection = catch_panic("connection", connection);
                    match &self.meter {
                        Some((kind, meter)) => {
                            actix_rt::spawn(meter.meter(*kind, connection));
                        }
                        None => {
                            actix_rt::spawn(connection);
                        }
                    }
                }
                Err(error) => {
                    log_event!(Warn, "accept-failed", error = error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Accepts a connection. Once the process refuses requests, returns only those that clients have already
/// opened, and then `None`.
async fn next_connection(
    listener: &TcpListener,
    shutdown: &ProcessShutdown,
) -> Option<std::io::Result<(TcpStream, SocketAddr)>> {
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted),
        () = shutdown.await_refusals() => open_connection(listener).map(Ok),
    }
}

/// Returns a connection that a client has opened, if there is one. It asks the system, since the runtime
/// may not have been told of the latest connections.
fn open_connection(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    let socket = listener.as_fd().try_clone_to_owned().ok()?;
    let (stream, address) = std::net::TcpListener::from(socket).accept().ok()?;
    stream.set_nonblocking(true).ok()?;
    Some((TcpStream::from_std(stream).ok()?, address))
}

/// Binds an address and listens on it.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket =
        if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Reads a request and returns the handler's response.
async fn exchange(
    mut request: Request,
    handler: HttpHandler,
    max_body: usize,
    shutdown: Rc<ProcessShutdown>,
) -> Result<Response<ExchangeBody>, Infallible> {
    let connection = request.conn_data::<Rc<ConnectionExchanges>>().cloned();
    let connection =
        connection.unwrap_or_else(|| ConnectionExchanges::new(Rc::clone(&shutdown)));
    let open = connection.begin();
    let mut response = tokio::select! {
        // A response that is ready is delivered, also after the cutoff.
        biased;
        response = respond(&mut request, handler, max_body) => response,
        // The handler's part may be done or not.
        () = shutdown.await_cutoff() => HttpResponse::empty(504),
    };
    response.close |= shutdown.has_begun();
    Ok(render(response, open))
}

/// Reads a request and has the handler respond to it.
async fn respond(
    request: &mut Request,
    handler: HttpHandler,
    max_body: usize,
) -> HttpResponse {
    let Some(body) = read_body(request, max_body).await else {
        return HttpResponse { close: true, ..HttpResponse::empty(400) };
    };
    let head = request.head();
    let request = HttpRequest {
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        headers: head.headers().clone(),
        body,
    };
    handler(request).await
}

/// Reads a body. Returns `None` if it is truncated and `Some(None)` if it is too large.
async fn read_body(request: &mut Request, max_body: usize) -> Option<Option<Bytes>> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    let mut fits = true;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.ok()?;
        fits = fits && body.len() + chunk.len() <= max_body;
        if fits {
            body.extend_from_slice(&chunk);
        }
    }
    Some(fits.then(|| body.freeze()))
}

/// Converts a response to the type of `actix-http`.
fn render(response: HttpResponse, exchange: OpenExchange) -> Response<ExchangeBody> {
    let status = StatusCode::from_u16(response.status)
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    if !response.content_type.is_empty() {
        builder.insert_header((header::CONTENT_TYPE, response.content_type));
    }
    if let Some(time) = response.retry_after {
        let seconds = time.as_micros().div_ceil(1_000_000);
        builder.insert_header((header::RETRY_AFTER, seconds.to_string()));
    }
    if response.close {
        builder.force_close();
    }
    let body = ExchangeBody::new(response.body, exchange);
    builder.finish().set_body(body)
}
