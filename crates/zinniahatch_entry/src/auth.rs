//! Authentication and quotas: the client account of a request, the validity of its key, and its
//! remaining allowance.

pub(crate) mod allowances;
pub(crate) mod boot_clock;
pub(crate) mod identity;
pub(crate) mod proofs;
