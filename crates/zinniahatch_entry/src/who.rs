//! Who asks: the client account of a request, for how long its key counts, and what it may still use.

pub(crate) mod allowances;
pub(crate) mod boot_clock;
pub(crate) mod identity;
pub(crate) mod proofs;
