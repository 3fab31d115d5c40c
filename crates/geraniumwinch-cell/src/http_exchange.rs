//! An exchange of the HTTP server: a request and its response.

use std::convert::Infallible;
use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::header;
use bytes::Bytes;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_intake::BodyLease;
use geraniumwinch_intake::discard_body;
use geraniumwinch_intake::read_body;

use crate::ListenerLimits;
use crate::ProcessShutdown;
use crate::cell_metrics;
use crate::connection_exchanges::ConnectionExchanges;
use crate::connection_exchanges::OpenExchange;
use crate::exchange_body::ExchangeBody;
use crate::http_listener::HttpHandler;
use crate::http_message::HttpRequest;
use crate::http_message::HttpResponse;

/// What the exchanges of a listener share.
#[derive(Clone)]
pub(crate) struct HttpExchange {
    pub(crate) handler: HttpHandler,
    pub(crate) limits: ListenerLimits,
    pub(crate) shutdown: Rc<ProcessShutdown>,
}

impl HttpExchange {
    /// Reads a request and returns the handler's response.
    pub(crate) async fn run(
        self,
        mut request: Request,
    ) -> Result<Response<ExchangeBody>, Infallible> {
        let connection = request.conn_data::<Rc<ConnectionExchanges>>().cloned();
        // Each connection of the listener has its exchanges.
        let connection = connection.expect("the exchanges of the connection");
        let open = connection.begin();
        let mut payload = request.take_payload();
        let (mut response, is_read) = tokio::select! {
            // A response that is ready is delivered, also after the cutoff.
            biased;
            responded = self.respond(&request, &mut payload, &open) => responded,
            // The handler's part may be done or not.
            () = self.shutdown.await_cutoff() => (HttpResponse::empty(504), false),
        };
        response.close |= self.shutdown.has_begun() || !is_read;
        Ok(render(response, open, (!is_read).then_some(payload)))
    }

    /// Reads a request's body and has the handler respond to the request. Also returns whether the body
    /// was read to its end.
    async fn respond(
        &self,
        request: &Request,
        payload: &mut Payload,
        open: &OpenExchange,
    ) -> (HttpResponse, bool) {
        let lease = self.limits.bodies.open();
        let head = request.head();
        let mut received = HttpRequest {
            method: head.method.as_str().to_owned(),
            path: head.uri.path().to_owned(),
            headers: head.headers().clone(),
            body: Bytes::new(),
        };
        if !matches!(payload, Payload::None) {
            open.set_receiving(true);
            let refusal = self.handler.check_head(&received);
            if let Some(response) = refusal {
                let announced = announced_length(request);
                let limits = self.limits.body();
                let end = discard_body(payload, announced, &limits, &lease).await;
                return (response, end.is_ok());
            }
            match self.read_body(request, payload, &lease).await {
                Ok(body) => received.body = body,
                Err(kind) => {
                    cell_metrics::count_refusal(kind);
                    return (self.handler.refuse_body(kind), false);
                }
            }
            open.set_receiving(false);
        }
        // What the body takes counts until the response is there.
        (self.handler.handle(received).await, true)
    }

    /// Reads a request's body.
    async fn read_body(
        &self,
        request: &Request,
        payload: &mut Payload,
        lease: &BodyLease,
    ) -> Result<Bytes, ErrorKind> {
        let limits = self.limits.body();
        read_body(payload, announced_length(request), &limits, lease).await
    }
}

/// Returns the length of a request's body, if its head says it.
fn announced_length(request: &Request) -> Option<u64> {
    request.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Converts a response to the type of `actix-http`. `unread` is the rest of the request's body, if it was
/// not read to its end.
fn render(
    response: HttpResponse,
    exchange: OpenExchange,
    unread: Option<Payload>,
) -> Response<ExchangeBody> {
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
    let body = ExchangeBody::new(response.body, exchange, unread);
    builder.finish().set_body(body)
}
