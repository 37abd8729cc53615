//! Metric of unknown headers in responses of replicas.
//!
//! A replica may announce something in a new header; the gateway ignores it until an operator sees
//! that the header exists.

use crate::core::EntryCore;
use http::HeaderMap;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use std::cell::RefCell;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::unknown_headers;

/// Maximum distinct names; further ones are counted together.
const MAX_NAMES: usize = 32;
/// Longest name that is counted separately.
const MAX_NAME_LEN: usize = 64;
/// Label for all other names.
const OTHERS: &str = "others";

/// Counts of unknown headers by name.
#[derive(Debug)]
pub(crate) struct UnknownHeaders {
    counter: IntCounterVec,
    names: RefCell<BTreeSet<Box<str>>>,
}

impl UnknownHeaders {
    /// Creates and registers the counter.
    ///
    /// # Errors
    ///
    /// The metric name is invalid or already registered.
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

    /// Counts a name and returns whether it was seen for the first time.
    fn note(&self, name: &str) -> bool {
        let mut names = self.names.borrow_mut();
        let known = names.contains(name);
        let room = names.len() < MAX_NAMES && name.len() <= MAX_NAME_LEN;
        let label = if known || room { name } else { OTHERS };
        self.counter.with_label_values(&[label]).inc();
        !known && room && names.insert(name.into())
    }
}

/// Counts the unknown headers of a replica's response, and logs each name once.
pub(crate) fn note_unknown_headers(
    core: &EntryCore,
    replica: Option<&ReplicaId>,
    headers: &HeaderMap,
) {
    for name in unknown_headers(headers) {
        if core.metrics.notices.unknown_headers.note(name.as_str()) {
            core.log.write(
                "unread-header",
                serde_json::json!({"name": name.as_str(), "replica": replica}),
            );
        }
    }
}
