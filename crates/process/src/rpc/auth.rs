//! Rejects WebSocket handshakes that do not carry the shared key.

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

/// Wraps a service in a check of the shared key; without a key every handshake is accepted.
#[derive(Clone, Debug)]
pub(crate) struct AuthLayer {
    pub(crate) key: Option<SharedKey>,
}

impl<S> Layer<S> for AuthLayer {
    type Service = AuthService<S>;

    fn layer(&self, inner: S) -> AuthService<S> {
        AuthService {
            key: self.key.clone(),
            inner,
        }
    }
}

/// The service that [`AuthLayer`] creates: forwards authorized requests to `inner` and rejects the
/// others with status 401.
#[derive(Clone, Debug)]
pub(crate) struct AuthService<S> {
    key: Option<SharedKey>,
    inner: S,
}

impl<S> AuthService<S> {
    fn is_authorized<B>(&self, request: &HttpRequest<B>) -> bool {
        let Some(key) = &self.key else {
            return true;
        };
        let header = request.headers().get("authorization");
        key.matches(header.and_then(|value| value.to_str().ok()))
    }
}

impl<S, B> Service<HttpRequest<B>> for AuthService<S>
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
        if self.is_authorized(&request) {
            return Box::pin(self.inner.call(request));
        }
        let mut response = HttpResponse::new(HttpBody::empty());
        if let Ok(status) = UNAUTHORIZED.try_into() {
            *response.status_mut() = status;
        }
        Box::pin(async { Ok(response) })
    }
}
