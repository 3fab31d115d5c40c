//! The handler of an HTTP listener's requests.

use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::ErrorKind;

use crate::http_message::HttpRequest;
use crate::http_message::HttpResponse;

/// The handler of an HTTP listener's requests.
pub trait RequestHandler {
    /// Returns the response to a request that is refused whatever its body is, by its head alone. Its body
    /// is not kept.
    fn check_head(&self, _: &HttpRequest) -> Option<HttpResponse> {
        None
    }

    /// Returns the response to a request whose body was not taken in.
    fn refuse_body(&self, kind: ErrorKind) -> HttpResponse {
        HttpResponse::empty(kind.response().status)
    }

    /// Responds to a request.
    fn handle(&self, request: HttpRequest) -> LocalBoxFuture<'static, HttpResponse>;
}

impl<F> RequestHandler for F
where
    F: Fn(HttpRequest) -> LocalBoxFuture<'static, HttpResponse>,
{
    fn handle(&self, request: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        self(request)
    }
}
