//! The platform's list of hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

/// A running platform.
pub struct Platform {
    address: SocketAddr,
    list: Arc<Mutex<Value>>,
}

impl Platform {
    /// Starts a platform on loopback with an empty list.
    ///
    /// # Panics
    ///
    /// If no port can be had.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let list = Arc::new(Mutex::new(json!({ "version": 0, "hosts": [] })));
        let router = Router::new()
            .route("/hosts", get(tell))
            .with_state(Arc::clone(&list));
        tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Self { address, list }
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells this list from now on: names, and whether each leaves.
    pub fn tell(&self, version: u64, hosts: &[(&str, bool)]) {
        let hosts: Vec<_> = hosts
            .iter()
            .map(|(name, leaving)| json!({ "name": name, "leaving": leaving }))
            .collect();
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        *list = json!({ "version": version, "hosts": hosts });
    }
}

async fn tell(State(list): State<Arc<Mutex<Value>>>) -> Json<Value> {
    Json(list.lock().unwrap_or_else(PoisonError::into_inner).clone())
}
