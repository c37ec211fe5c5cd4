//! A stand-in for a plain server: echoes requests and counts them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::Response;
use axum::response::IntoResponse;
use axum::routing::any;
use tokio::net::TcpListener;

#[derive(Default)]
struct Shared {
    calls: Mutex<HashMap<String, u32>>,
    delay: Mutex<Duration>,
}

/// A running plain server.
pub struct Plain {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Plain {
    /// Starts a plain server on the loopback interface.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared = Arc::new(Shared::default());
        let router = Router::new()
            .fallback(any(echo))
            .with_state(Arc::clone(&shared));
        tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Self { address, shared }
    }

    /// The address at which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How often each request (method, URI and body) was received.
    #[must_use]
    pub fn calls(&self) -> HashMap<String, u32> {
        self.shared
            .calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Delays each response by `delay` from now on.
    pub fn set_delay(&self, delay: Duration) {
        *self
            .shared
            .delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = delay;
    }
}

async fn echo(State(plain): State<Arc<Shared>>, request: Request) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = axum::body::to_bytes(body, usize::MAX)
        .await
        .unwrap_or_default();
    let text = format!(
        "{} {} {}",
        parts.method,
        parts.uri,
        String::from_utf8_lossy(&body)
    );
    let delay = *plain.delay.lock().unwrap_or_else(PoisonError::into_inner);
    {
        let mut calls = plain.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry(text.clone()).or_default() += 1;
    }
    tokio::time::sleep(delay).await;
    text.into_response()
}
