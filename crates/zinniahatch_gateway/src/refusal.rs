//! Refusals: a result code and details for the caller.

use serde::Serialize;
use zinniahatch_base::prelude::*;
use zinniahatch_protocol::EntryAddress;

/// Why a request gets no response from a backend server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) entries: Vec<EntryAddress>,
    pub(crate) key: Option<Box<str>>,
    pub(crate) detail: Option<Box<str>>,
    /// Whether the connection closes since the request was not read to its end.
    pub(crate) closes: bool,
}

/// JSON body of a refusal.
#[derive(Serialize)]
pub(crate) struct RefusalBody<'a> {
    code: u16,
    name: &'a str,
    execution: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    entries: Vec<&'a str>,
}

impl Refusal {
    pub(crate) fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
            entries: Vec::new(),
            key: None,
            detail: None,
            closes: false,
        }
    }

    /// Refuses a request that was not read to its end.
    pub(crate) fn unread(code: ResultCode) -> Self {
        Self {
            closes: true,
            ..Self::new(code)
        }
    }

    pub(crate) fn detail(code: ResultCode, detail: &str) -> Self {
        Self {
            detail: Some(detail.into()),
            ..Self::new(code)
        }
    }

    pub(crate) fn retry_after(code: ResultCode, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..Self::new(code)
        }
    }

    pub(crate) fn body(&self) -> RefusalBody<'_> {
        RefusalBody {
            code: self.code.number(),
            name: self.code.name(),
            execution: self.code.execution().as_str(),
            message: self.code.text(),
            detail: self.detail.as_deref(),
            retry_after_ms: self.retry_after.map(|after| after.as_millis() as u64),
            key: self.key.as_deref(),
            entries: self.entries.iter().map(|entry| &*entry.http).collect(),
        }
    }
}
