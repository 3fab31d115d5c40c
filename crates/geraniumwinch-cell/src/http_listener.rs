//! The HTTP server of a cell process.
//!
//! Uses the HTTP/1 service underneath `actix-web` directly on the single thread of the process, so
//! that no request is passed between threads.

use std::cell::Cell;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Request;
use actix_rt::task::JoinHandle;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use futures_util::FutureExt;
use geraniumwinch_core::log_event;
use geraniumwinch_intake::VmLimits;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::CellError;
use crate::ListenerLimits;
use crate::ProcessShutdown;
use crate::RequestHandler;
use crate::WorkKind;
use crate::WorkMeter;
use crate::cell_error::ListenSnafu;
use crate::connection_exchanges::ConnectionExchanges;
use crate::connection_table::ConnectionTable;
use crate::exchange_stream::ExchangeStream;
use crate::http_exchange::HttpExchange;
use crate::task_guard::catch_panic;
use crate::task_guard::spawn_loop;

/// How long a connection stays open after a response to a request whose body is not read to its end, so
/// that the client can read the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// The size of a connection's receive buffer in the system, in bytes.
const RECEIVE_BUFFER: u32 = 32 * 1024;
/// The delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The maximum number of connections that wait to be accepted. The client's system retries a
/// connection beyond it only after 1 s.
const LISTEN_BACKLOG: u32 = 1024;

/// The handler of a listener's requests.
pub type HttpHandler = Rc<dyn RequestHandler>;

/// A listen address and its request handler.
pub struct HttpListener {
    address: SocketAddr,
    handler: HttpHandler,
    limits: ListenerLimits,
    shutdown: Rc<ProcessShutdown>,
    meter: Option<(WorkKind, Rc<WorkMeter>)>,
}

impl HttpListener {
    /// Creates a listener, which refuses bodies of more than `max_body` bytes and otherwise has the limits
    /// that the system's allow.
    pub fn new(
        address: SocketAddr,
        max_body: Rc<Cell<usize>>,
        handler: HttpHandler,
        shutdown: Rc<ProcessShutdown>,
    ) -> Self {
        let limits = ListenerLimits::new(max_body, &VmLimits::detect(None, None));
        HttpListener { address, handler, limits, shutdown, meter: None }
    }

    /// Sets what the connections may use.
    pub fn limited(mut self, limits: ListenerLimits) -> Self {
        self.limits = limits;
        self
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
        let connections = ConnectionTable::new(self.shutdown.clock(), &self.limits);
        while self.serve_with_timeouts(listener, &connections).await {}
    }

    /// Accepts and serves connections until the timeouts change. Returns `false` once the process takes
    /// no further connections.
    async fn serve_with_timeouts(
        &self,
        listener: &TcpListener,
        connections: &Rc<ConnectionTable>,
    ) -> bool {
        let timeouts = self.limits.timeouts.get();
        let exchange = HttpExchange {
            handler: Rc::clone(&self.handler),
            limits: self.limits.clone(),
            shutdown: Rc::clone(&self.shutdown),
        };
        let respond = move |request: Request| exchange.clone().run(request);
        let service = HttpService::build()
            .keep_alive(KeepAlive::Timeout(timeouts.idle))
            .client_request_timeout(timeouts.header)
            .client_disconnect_timeout(LINGER_TIME)
            .on_connect_ext(|stream: &ExchangeStream, data| {
                data.insert(Rc::clone(&stream.exchanges));
            })
            .h1(fn_service(respond))
            .new_service(())
            .await;
        let Ok(service) = service else {
            log_event!(Error, "listener-failed", address = self.address);
            return false;
        };
        let service = Rc::new(service);
        while self.limits.timeouts.get() == timeouts {
            match next_connection(listener, connections, &self.shutdown).await {
                None => return false,
                Some(Ok((stream, peer))) => {
                    // A connection without `TCP_NODELAY` is slower but usable.
                    let _ = stream.set_nodelay(true);
                    let place = connections.open();
                    let exchanges =
                        ConnectionExchanges::new(Rc::clone(&self.shutdown), place);
                    let stream = ExchangeStream::new(stream, Rc::clone(&exchanges));
                    let service = Rc::clone(&service);
                    let connection = async move {
                        // The server logs why a connection ends early.
                        let _ = service.call((stream, Some(peer))).await;
                    };
                    let task = self.spawn(connection);
                    exchanges.place.set_task(task);
                }
                Some(Err(error)) => {
                    log_event!(Warn, "accept-failed", error = error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        true
    }

    /// Spawns the task of a connection.
    fn spawn(&self, connection: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
        let connection = catch_panic("connection", connection).map(|_| ());
        match &self.meter {
            Some((kind, meter)) => actix_rt::spawn(meter.meter(*kind, connection)),
            None => actix_rt::spawn(connection),
        }
    }
}

/// Accepts a connection. Once the process refuses requests, returns only those that clients have already
/// opened, and then `None`.
async fn next_connection(
    listener: &TcpListener,
    connections: &ConnectionTable,
    shutdown: &ProcessShutdown,
) -> Option<std::io::Result<(TcpStream, SocketAddr)>> {
    let accept = async {
        connections.await_room().await;
        listener.accept().await
    };
    tokio::select! {
        biased;
        accepted = accept => Some(accepted),
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
    // A system without this keeps more of what clients send before it is read.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
