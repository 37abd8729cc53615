//! Requests that crash each replica that runs them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use zinniahatch_base::prelude::*;

/// The content of a request, which its repeats share whatever their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestContent {
    /// The path.
    pub path: Box<str>,
    /// The caller's credential; empty if it sends none.
    pub caller: Box<str>,
    /// The body.
    pub body: Vec<u8>,
}

impl RequestContent {
    /// Creates the content of a request with neither body nor credential.
    pub fn from_path(path: &str) -> Self {
        Self {
            path: path.into(),
            ..Self::default()
        }
    }
}

/// The crashing requests of a site with the number of replicas that each has crashed; shared by all
/// replicas.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequests(Arc<Mutex<BTreeMap<RequestContent, u32>>>);

impl CrashingRequests {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<RequestContent, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a request a crashing one from now on.
    pub fn add(&self, content: RequestContent) {
        self.lock().entry(content).or_default();
    }

    /// Counts a crash if the request that a replica starts to run is a crashing one; returns whether it
    /// is.
    pub(crate) fn count_crash(&self, content: &RequestContent) -> bool {
        self.lock()
            .get_mut(content)
            .map(|crashes| *crashes += 1)
            .is_some()
    }

    /// Returns the number of replicas that a request has crashed.
    pub fn crashes(&self, content: &RequestContent) -> u32 {
        self.lock().get(content).copied().unwrap_or(0)
    }

    /// Returns the crashing requests.
    pub fn contents(&self) -> Vec<RequestContent> {
        self.lock().keys().cloned().collect()
    }
}
