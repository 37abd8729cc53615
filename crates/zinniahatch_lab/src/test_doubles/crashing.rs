//! Requests that end each replica which begins to run them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;

/// What repeats of a request have in common, whatever their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestContent {
    /// The path.
    pub path: Box<str>,
    /// The caller's credential, empty where it sends none.
    pub caller: Box<str>,
    /// The body.
    pub body: Vec<u8>,
}

impl RequestContent {
    /// Makes the content of a call without a body, of a caller without a credential.
    pub fn from_path(path: &str) -> Self {
        Self {
            path: path.into(),
            ..Self::default()
        }
    }
}

/// The fatal requests of a site, and how many replicas ended under each; shared by its replicas.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequests(Arc<Mutex<BTreeMap<RequestContent, u32>>>);

impl CrashingRequests {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestContent, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a request fatal from now on.
    pub fn add(&self, content: RequestContent) {
        self.lock().entry(content).or_default();
    }

    /// Counts the end of a replica if the request that it begins is fatal; tells whether it is.
    pub(crate) fn count_crash(&self, content: &RequestContent) -> bool {
        self.lock()
            .get_mut(content)
            .map(|crashes| *crashes += 1)
            .is_some()
    }

    /// Gives how many replicas have ended under a request.
    pub fn crashes(&self, content: &RequestContent) -> u32 {
        self.lock().get(content).copied().unwrap_or(0)
    }

    /// Gives the fatal requests.
    pub fn contents(&self) -> Vec<RequestContent> {
        self.lock().keys().cloned().collect()
    }
}
