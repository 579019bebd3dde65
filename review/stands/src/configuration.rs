//! The configurations of the cases, and the operator who sends them.

use std::thread;
use std::time::{Duration, Instant};

use crate::callers::HOST;
use crate::http;
use crate::installation::{Installation, Role};
use crate::record::Record;

/// Three queues, `/one/`, `/two/` and `/three/`, of these services.
pub fn configuration(version: u64, services: [&str; 3]) -> String {
    let route = |name: &str, prefix: &str, priority: u32, service: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"unsafe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":4000,\"Priority\":{priority},\"Service\":\"{service}\",\"MaxAttempts\":{attempts},\"Stretch\":1.6}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"RejectsOverload\":true,\"Headroom\":false}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{},{}],\"Services\":[{},{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        route("r-one", "/one/", 0, services[0], 2),
        route("r-two", "/two/", 1, services[1], 4),
        route("r-three", "/three/", 2, services[2], 3),
        service("alpha"),
        service("beta"),
    )
}

/// Sends a configuration until it is acknowledged.
pub fn configure(
    installation: &Installation,
    record: &Record,
    text: &str,
    limit: Duration,
) -> bool {
    let until = Instant::now() + limit;
    let mut turn = 0;
    while Instant::now() < until {
        let control = Role::Control(turn % installation.controls);
        turn += 1;
        let address = installation.interface(control);
        let host = address.to_string();
        let wait = Duration::from_millis(1_000);
        let outcome = http::call(address, "PUT", "/api/config", &host, &[], text, wait);
        record.write(&format!(
            "PUT config at {}: {}",
            control.name(),
            outcome.show()
        ));
        if outcome.status() == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(150));
    }
    false
}
