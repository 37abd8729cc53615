//! The operators' desired state in the form that the gateway uses.

use crate::DesiredAccount;
use zinniahatch_base::prelude::*;

/// Engine rank of the most urgent routes.
const URGENT_ENGINE_RANK: u8 = 3;
/// Engine rank of all other routes, which is the engines' default; with a higher number a route
/// would be served after all other users of the engine.
const DEFAULT_ENGINE_RANK: u8 = 5;

domain! {
    /// How often a request of a route may be executed.
    #[derive(Copy, Eq)]
    pub enum RepeatKind {
        /// May be executed more than once.
        Idempotent,
        /// May be executed at most once for each attempt of the caller.
        Once,
        /// An event stream; executed at most once, unless the route allows resuming.
        Streaming,
    }

    /// One of the services to which a route sends requests.
    pub struct WeightedTarget {
        /// The service.
        pub service: ServiceId,
        /// Its weight relative to the other targets of the route.
        pub weight: u32,
    }

    /// One route.
    pub struct DesiredRoute {
        /// Its name.
        pub name: Box<str>,
        /// The host that a request must name.
        pub host: Box<str>,
        /// The path prefix; begins and ends with a slash.
        pub path_prefix: Box<str>,
        /// How often a request may be executed.
        pub repeat: RepeatKind,
        /// Maximum time until the complete response.
        pub timeout: Duration,
        /// Latency target: the time to the response, or to its first event, up to which a request
        /// earns its full score.
        pub goal: Duration,
        /// Priority among the routes; 0 is the most urgent.
        pub priority: u8,
        /// Services that receive the requests; more than one entry is a traffic split.
        pub targets: Vec<WeightedTarget>,
        /// Maximum number of backend servers to which one attempt of a caller may be sent.
        pub max_attempts: u32,
        /// Whether an interrupted stream may be resumed at another replica.
        pub resumable: bool,
        /// Maximum pause between events for a response to count as in time; 0 is no limit.
        pub pause_limit: Duration,
        /// Regions that may serve the requests and store their data; empty allows all.
        pub homes: BTreeSet<RegionId>,
        /// Whether callers need no key.
        pub open: bool,
    }

    /// One service.
    pub struct DesiredService {
        /// Path of its health check.
        pub health_path: Box<str>,
        /// Connections that one replica accepts from all callers together.
        pub max_channels: u32,
        /// How long a replica is cold after its start.
        pub warmup: Duration,
        /// Requests per second that a cold replica accepts; 0 if the service has no warm-up.
        pub cold_rate: f64,
        /// Tokens that fit in a replica's KV cache; 0 for plain services.
        pub kv_tokens: u64,
        /// Time in which one replica copies a cached token from another; zero if it cannot.
        pub copy_token: Duration,
    }

    /// Size limits and time-outs for callers.
    pub struct CallerLimits {
        /// Maximum size of a request's head, in bytes.
        pub max_header_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub max_body_bytes: usize,
        /// Time-out for receiving a head.
        pub header_timeout: Duration,
        /// Time after which an idle connection is closed.
        pub idle_timeout: Duration,
    }

    /// The complete desired state.
    pub struct DesiredState {
        /// Its version; a process never returns to a lower one.
        pub version: u64,
        /// The routes.
        pub routes: Vec<DesiredRoute>,
        /// The services by name.
        pub services: BTreeMap<ServiceId, DesiredService>,
        /// Limits for callers.
        pub limits: CallerLimits,
        /// The client accounts; empty if callers need no key.
        pub accounts: Vec<DesiredAccount>,
    }
}

/// Returns the rank that requests of a priority get in an engine.
///
/// Three ranks are used, because with two, short verdicts of priority 1 waited behind the longest
/// prompts of priority 2: 545 of 16,582 were late, compared with 476 with three.
pub fn engine_rank(priority: u8) -> u8 {
    URGENT_ENGINE_RANK
        .saturating_add(priority)
        .min(DEFAULT_ENGINE_RANK)
}

impl DesiredRoute {
    /// Returns whether a request may be sent to a second replica after the first may have executed
    /// it.
    pub fn may_repeat(&self) -> bool {
        match self.repeat {
            RepeatKind::Idempotent => true,
            RepeatKind::Once => false,
            RepeatKind::Streaming => self.resumable,
        }
    }

    /// Returns whether a region may serve the route.
    pub fn allows(&self, region: &str) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// Returns whether requests go to several services.
    pub fn is_split(&self) -> bool {
        self.targets.len() > 1
    }

    /// Returns the target with the tag of a service.
    pub fn target_of(&self, service: ShortTag) -> Option<&WeightedTarget> {
        let mut targets = self.targets.iter();
        targets.find(|target| tag_of(&target.service) == service)
    }

    /// Picks the target of a request by a hash of its id, so that every node picks the same one.
    pub fn target(&self, request: &str) -> Option<&WeightedTarget> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first();
        }
        let mut point = u64::from(tag_of(request)) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(target);
            }
            point -= weight;
        }
        None
    }
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a desired state is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
