//! Requests that end each replica which begins to run them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;

/// What repeats of a request have in common, whatever their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallContent {
    /// The path.
    pub path: Box<str>,
    /// The caller's credential, empty where it sends none.
    pub caller: Box<str>,
    /// The body.
    pub body: Vec<u8>,
}

impl CallContent {
    /// Makes the content of a call without a body, of a caller without a credential.
    pub fn of_path(path: &str) -> Self {
        Self {
            path: path.into(),
            ..Self::default()
        }
    }
}

/// The fatal requests of a site, and how many replicas ended under each; shared by its replicas.
#[derive(Clone, Debug, Default)]
pub struct FatalBook(Arc<Mutex<BTreeMap<CallContent, u32>>>);

impl FatalBook {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallContent, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a request fatal from now on.
    pub fn add(&self, content: CallContent) {
        self.lock().entry(content).or_default();
    }

    /// Counts the end of a replica if the request that it begins is fatal; tells whether it is.
    pub(crate) fn note_begun(&self, content: &CallContent) -> bool {
        self.lock()
            .get_mut(content)
            .map(|ends| *ends += 1)
            .is_some()
    }

    /// Gives how many replicas have ended under a request.
    pub fn ends(&self, content: &CallContent) -> u32 {
        self.lock().get(content).copied().unwrap_or(0)
    }

    /// Gives the fatal requests.
    pub fn contents(&self) -> Vec<CallContent> {
        self.lock().keys().cloned().collect()
    }
}
