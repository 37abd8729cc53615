//! Usage counts: each request is counted once, whatever its outcome.

use crate::GatewayCore;
use crate::admit::CallerIdentity;
use crate::core::epoch_seconds;
use crate::response::TokenUsage;
use std::sync::Arc;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_report::CountKey;
use zinniahatch_report::CountRow;

const SECONDS_PER_HOUR: u64 = 3_600;
/// Millionths per currency unit.
const MICROS_PER_UNIT: f64 = 1e6;

/// Counts one request when its result is recorded, or as abandoned by the caller when it is
/// dropped.
pub(crate) struct CountGuard {
    core: Arc<GatewayCore>,
    config: Arc<ClusterConfig>,
    key: Option<CountKey>,
    arrived: Instant,
    first_byte: Option<Duration>,
    usage: TokenUsage,
}

impl CountGuard {
    pub(crate) fn new(
        core: &Arc<GatewayCore>,
        config: &Arc<ClusterConfig>,
        caller_identity: &CallerIdentity,
        service: &ServiceId,
        arrived: Instant,
    ) -> Self {
        let key = CountKey {
            hour: epoch_seconds() / SECONDS_PER_HOUR,
            account: caller_identity.account.clone(),
            caller: caller_identity.caller.clone(),
            home: caller_identity.entry.home.clone(),
            served: core.identity.region.clone(),
            // The name of a service that is not configured is untrusted input and is not stored.
            service: if config.services.contains_key(service) {
                service.clone()
            } else {
                "unknown".into()
            },
            preset: config.preset_name.clone(),
            code: 0,
        };
        Self {
            core: Arc::clone(core),
            config: Arc::clone(config),
            key: Some(key),
            arrived,
            first_byte: None,
            usage: TokenUsage::default(),
        }
    }

    /// Records the time to the first byte, once.
    pub(crate) fn mark_first_byte(&mut self) {
        self.first_byte.get_or_insert(self.arrived.elapsed());
    }

    /// Sets the token usage of the response.
    pub(crate) fn set_usage(&mut self, usage: TokenUsage) {
        self.usage = usage;
    }

    /// Sets the region that served the request.
    pub(crate) fn set_served_region(&mut self, region: &RegionId) {
        if let Some(key) = &mut self.key {
            key.served.clone_from(region);
        }
    }

    /// Disables this guard, because the node to which the caller is connected counts the request.
    pub(crate) fn leave_to_sender(&mut self) {
        self.key = None;
    }

    /// Counts the request with its result code.
    pub(crate) fn record_result(&mut self, code: ResultCode) {
        let Some(mut key) = self.key.take() else {
            return;
        };
        self.core.counters.count_result(code);
        key.code = code.number();
        let outside_home = key.served != key.home;
        let mut row = CountRow {
            requests: 1,
            ..CountRow::default()
        };
        if code.execution() != Execution::NotRun {
            let price = self
                .config
                .prices
                .get(&key.service)
                .cloned()
                .unwrap_or_default();
            let usage = self.usage;
            row.tokens_in = usage.prompt_tokens;
            row.tokens_cached = usage.cached_tokens;
            row.tokens_out = usage.completion_tokens;
            let cost = price.cost(
                usage.prompt_tokens,
                usage.cached_tokens,
                usage.completion_tokens,
                outside_home,
            );
            row.cost_micros = (cost * MICROS_PER_UNIT) as u64;
        }
        if let Some(first) = self.first_byte {
            row.first_byte.record(first);
        }
        row.whole.record(self.arrived.elapsed());
        self.core.counts().add(key, &row);
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.record_result(ResultCode::CallerGone);
    }
}
