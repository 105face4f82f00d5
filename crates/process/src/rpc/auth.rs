//! Rejects handshakes that do not present the shared key.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use jsonrpsee::server::HttpBody;
use jsonrpsee::server::HttpRequest;
use jsonrpsee::server::HttpResponse;
use tower::Layer;
use tower::Service;

use crate::shared_key::SharedKey;

const UNAUTHORIZED: u16 = 401;

/// Wraps a service with the check of the key; without a key every handshake passes.
#[derive(Clone, Debug)]
pub(crate) struct AuthLayer {
    pub(crate) key: Option<SharedKey>,
}

impl<S> Layer<S> for AuthLayer {
    type Service = Auth<S>;

    fn layer(&self, inner: S) -> Auth<S> {
        Auth {
            key: self.key.clone(),
            inner,
        }
    }
}

/// The wrapped service.
#[derive(Clone, Debug)]
pub(crate) struct Auth<S> {
    key: Option<SharedKey>,
    inner: S,
}

impl<S> Auth<S> {
    fn admits<B>(&self, request: &HttpRequest<B>) -> bool {
        let Some(key) = &self.key else {
            return true;
        };
        let header = request.headers().get("authorization");
        key.matches(header.and_then(|value| value.to_str().ok()))
    }
}

impl<S, B> Service<HttpRequest<B>> for Auth<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse>,
    S::Future: Send + 'static,
    S::Error: 'static,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, S::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest<B>) -> Self::Future {
        if self.admits(&request) {
            return Box::pin(self.inner.call(request));
        }
        let mut response = HttpResponse::new(HttpBody::empty());
        if let Ok(status) = UNAUTHORIZED.try_into() {
            *response.status_mut() = status;
        }
        Box::pin(async { Ok(response) })
    }
}
