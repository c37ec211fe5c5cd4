//! The options of connections.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::configure_caller_connection;
use super::configure_connection;
use super::configure_server_connection;

/// How long a sound peer may be silent.
const SOUND_SILENCE: Duration = Duration::from_secs(2);

/// By when a connection whose peer is gone must have ended.
const MAX_SILENCE: Duration = Duration::from_secs(6);

/// Sets the options of a connection.
type Configure = fn(&TcpStream);

/// A connection without traffic is probed more than once, and ends by the unanswered probes: not before a sound peer may go on,
/// and not long after. Only between processes of the system there is a user time-out, which Linux applies to probes instead
/// of their count: it would also end connections whose peer doesn't read.
#[tokio::test]
async fn silent_peers() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let cases: [(&str, Configure, bool); 3] = [
        ("process", configure_connection, true),
        ("caller", configure_caller_connection, false),
        ("server", configure_server_connection, false),
    ];
    for (name, configure, has_user_timeout) in cases {
        let stream = TcpStream::connect(address).await.expect("accepted");
        configure(&stream);
        let socket = socket2::SockRef::from(&stream);
        assert!(socket.keepalive().expect("an option"), "{name}");
        let first_probe = socket.tcp_keepalive_time().expect("an option");
        let interval = socket.tcp_keepalive_interval().expect("an option");
        let probes = socket.tcp_keepalive_retries().expect("an option");
        let user_timeout = socket.tcp_user_timeout().expect("an option");
        assert_eq!(user_timeout.is_some(), has_user_timeout, "{name}");
        let timeout = user_timeout.unwrap_or(first_probe + interval * probes);
        assert!(timeout > SOUND_SILENCE, "{name}: {timeout:?}");
        // The kernel looks at the time-out when a probe is due.
        let detected = timeout.max(first_probe) + interval;
        assert!(detected < MAX_SILENCE, "{name}: {detected:?}");
        assert!(first_probe + interval < timeout, "{name}: {timeout:?}");
    }
}
