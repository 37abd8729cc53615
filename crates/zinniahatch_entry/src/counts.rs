//! Who got what: counts on their way to the store.

pub(crate) mod count_desk;
pub(crate) mod counting;
