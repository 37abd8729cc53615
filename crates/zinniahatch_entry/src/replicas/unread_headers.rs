//! Headers of replicas' answers that nobody reads, listed to operators.
//!
//! What a replica says of itself in a header that is new goes unheeded until somebody sees that it is there.

use crate::core::EntryCore;
use http::HeaderMap;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use std::cell::RefCell;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::unknown_headers;

/// Names that are told apart at most; the rest are counted together.
const MOST_NAMES: usize = 32;
/// Longest name that is told apart.
const LONGEST_NAME: usize = 64;
/// Under which the rest are counted.
const OTHERS: &str = "others";

/// Counts by name.
#[derive(Debug)]
pub(crate) struct UnreadHeaders {
    counter: IntCounterVec,
    names: RefCell<BTreeSet<Box<str>>>,
}

impl UnreadHeaders {
    /// Makes and registers the counter.
    ///
    /// # Errors
    ///
    /// A name is taken or wrong.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = Opts::new(
            "zinniahatch_unread_headers_total",
            "Answers of replicas with a header that nobody reads, by its name.",
        );
        let counter = IntCounterVec::new(counter, &["name"])?;
        registry.register(Box::new(counter.clone()))?;
        Ok(Self {
            counter,
            names: RefCell::default(),
        })
    }

    /// Counts a name; tells whether it was not seen before.
    fn note(&self, name: &str) -> bool {
        let mut names = self.names.borrow_mut();
        let known = names.contains(name);
        let room = names.len() < MOST_NAMES && name.len() <= LONGEST_NAME;
        let label = if known || room { name } else { OTHERS };
        self.counter.with_label_values(&[label]).inc();
        !known && room && names.insert(name.into())
    }
}

/// Counts the headers of a replica's answer that nobody reads, and logs each name once.
pub(crate) fn note_unread(core: &EntryCore, replica: Option<&ReplicaId>, headers: &HeaderMap) {
    for name in unknown_headers(headers) {
        if core.metrics.notices.unread.note(name.as_str()) {
            core.log.write(
                "unread-header",
                serde_json::json!({"name": name.as_str(), "replica": replica}),
            );
        }
    }
}
