//! The request path: `ingress` reads a request, `serve` plans and retries it, `placement` chooses
//! the target, `send` sends it over a `connection` from the `pool`, and `response` and `relay`
//! respond to the caller; `failover` and `resume` move a stream to another replica. Each module calls only those after it in this order.

pub(crate) mod body_position;
pub(crate) mod chunks;
pub(crate) mod connection;
pub(crate) mod event_scanner;
pub(crate) mod events;
pub(crate) mod failover;
pub(crate) mod framing;
pub(crate) mod gateway_response;
pub(crate) mod held_memory;
pub(crate) mod in_flight;
pub(crate) mod ingress;
pub(crate) mod late_stop;
pub(crate) mod placement;
pub(crate) mod plan;
pub(crate) mod pool;
pub(crate) mod received;
pub(crate) mod relay;
pub(crate) mod response;
pub(crate) mod response_body;
pub(crate) mod resume;
pub(crate) mod retry_metrics;
pub(crate) mod send;
pub(crate) mod serve;
pub(crate) mod startup;
pub(crate) mod stream_metrics;
pub(crate) mod take_up;
pub(crate) mod truncation;
