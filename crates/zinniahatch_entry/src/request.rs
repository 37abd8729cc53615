//! The way of a request: `ingress` reads it, `serve` plans and tries it, `placing` chooses, `call` sends it through a
//! `channel` from the `pool`, `answering` and `relay` answer. Each module calls only those after it.

pub(crate) mod answer;
pub(crate) mod answering;
pub(crate) mod call;
pub(crate) mod channel;
pub(crate) mod chunks;
pub(crate) mod events;
pub(crate) mod ingress;
pub(crate) mod open_call;
pub(crate) mod placing;
pub(crate) mod plan;
pub(crate) mod pool;
pub(crate) mod received;
pub(crate) mod refusal;
pub(crate) mod relay;
pub(crate) mod resume;
pub(crate) mod serve;
pub(crate) mod starting;
