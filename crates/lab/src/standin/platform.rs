//! A stand-in for the platform's list of hosts.

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
    /// Starts a platform on the loopback interface, with an empty list.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let list = Arc::new(Mutex::new(json!({ "version": 0, "hosts": [] })));
        let router = Router::new()
            .route("/hosts", get(get_hosts))
            .with_state(Arc::clone(&list));
        tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Self { address, list }
    }

    /// The address at which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list: the name of each host, and whether it is leaving.
    pub fn set_hosts(&self, version: u64, hosts: &[(&str, bool)]) {
        let hosts: Vec<_> = hosts
            .iter()
            .map(|(name, leaving)| json!({ "name": name, "leaving": leaving }))
            .collect();
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        *list = json!({ "version": version, "hosts": hosts });
    }
}

async fn get_hosts(State(list): State<Arc<Mutex<Value>>>) -> Json<Value> {
    Json(list.lock().unwrap_or_else(PoisonError::into_inner).clone())
}
