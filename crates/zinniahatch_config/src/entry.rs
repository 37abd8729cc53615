//! Settings of an entry VM that runs on the users' platform.

use crate::ConfigError;
use crate::section::SectionFile;
use crate::section::SectionReader;
use std::net::SocketAddrV4;
use zinniahatch_base::prelude::*;

/// Maximum time-to-live of a directory response; the platform may set a lower bound.
const MAX_DIRECTORY_TTL: Duration = Duration::from_secs(2);

/// Maximum wait of one watch, slightly below the maximum that the store allows.
///
/// Every watch costs a call even if nothing changed, so long waits are cheaper. They do not delay the
/// detection of a lost store or connection, which TCP keep-alive and the renewals of the node's key
/// provide.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(28);
/// Maximum wait of a watch as a fraction of the time for which the store keeps its history.
///
/// With a wait of 28 s and a history of 20 s, every watch without changes ended with a compaction
/// error, and nodes took the store for faulty.
const HISTORY_FRACTION: f64 = 0.7;
/// Default time for which the platform's key-value store keeps its history.
const STORE_HISTORY: Duration = Duration::from_secs(20);
/// Default maximum number of bytes of a value of the store.
const MAX_VALUE_BYTES: u64 = 1 << 20;

/// Default number of file descriptors of an entry VM.
const DEFAULT_OPEN_FILES: u32 = 4096;
/// Fewest file descriptors with which an entry VM can work.
const MIN_OPEN_FILES: u32 = 128;
/// Default memory of an entry VM, in MiB.
const DEFAULT_MEMORY_MIB: u32 = 1_024;

domain! {
    /// Addresses on which an entry VM listens.
    pub struct ListenSettings {
        /// For callers.
        pub front: SocketAddrV4,
        /// For readiness checks.
        pub readiness: SocketAddrV4,
        /// For operators and metrics.
        pub control: SocketAddrV4,
        /// For callers that look up which entry VM to use.
        pub directory: SocketAddrV4,
        /// For other entry VMs: datagrams and forwarded requests.
        pub peer: SocketAddrV4,
    }

    /// Bounds that all entry VMs observe collectively.
    pub struct BoundSettings {
        /// Retries per window, as a share of the requests.
        pub repeat_ratio: f64,
        /// The window of the retry bound.
        pub repeat_window: Duration,
        /// Retries per window on top of that share.
        pub repeat_slack: f64,
        /// Requests per second to a cold replica, as a multiple of the rate that it can take.
        pub cold_overrun: f64,
        /// Requests per second to a cold replica on top of that.
        pub cold_slack: f64,
        /// Grace period between the request to stop and the kill.
        pub grace: Duration,
        /// Time-to-live of a directory response.
        pub directory_ttl: Duration,
        /// Time after which no node may accept a revoked API key, even if it is cut off from the store.
        ///
        /// `None` allows nodes that are cut off to go on accepting the keys that they know.
        pub revoke: Option<Duration>,
        /// Usage of an account beyond its allowance in a window, as a share of the allowance.
        pub quota_overrun: f64,
        /// Units of usage on top of that.
        pub quota_slack: f64,
    }

    /// The settings of an entry VM.
    pub struct EntrySettings {
        /// The node's name.
        pub name: NodeId,
        /// The node's region.
        pub region: RegionId,
        /// The node's data centre.
        pub data_centre: DataCentreId,
        /// The listen addresses.
        pub listen: ListenSettings,
        /// The region of each data centre.
        pub regions: BTreeMap<DataCentreId, RegionId>,
        /// Share of a processor core available to the VM, in hundredths.
        ///
        /// Nodes with a higher share are preferred for tasks that one node does for its region.
        pub cpu_share: u32,
        /// Memory available to the process, in MiB.
        pub memory_mib: u32,
        /// File descriptors available to the process.
        pub open_files: u32,
        /// Addresses of a few entry VMs to contact first; only the IP address is used.
        pub seeds: Vec<SocketAddrV4>,
        /// Address of the platform's key-value store.
        pub store: SocketAddrV4,
        /// Shortest lease that the store grants.
        pub min_lease: Duration,
        /// Time for which the store keeps the history of its changes.
        pub store_history: Duration,
        /// Maximum number of bytes of a value of the store.
        pub max_value_bytes: u64,
        /// The collective bounds.
        pub bounds: BoundSettings,
        /// Maximum number of decision log lines per second, per kind of line.
        pub log_rate_limit: u32,
    }
}

impl EntrySettings {
    /// Parses and validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first problem with its file, section, key and remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let parsed = SectionFile::parse(file, text)?;
        parsed.of_kinds(&["node", "listen", "regions", "store", "bounds", "log"])?;
        let node = parsed.single("node")?;
        let listen = parsed.single("listen")?;
        let store = parsed.single("store")?;
        let log = parsed.optional("log");
        let settings = Self {
            name: node.text("name")?,
            region: node.text("region")?,
            data_centre: node.text("data_centre")?,
            listen: ListenSettings {
                front: address(listen, "front")?,
                readiness: address(listen, "readiness")?,
                control: address(listen, "control")?,
                directory: address(listen, "directory")?,
                peer: address(listen, "peer")?,
            },
            regions: parsed
                .single("regions")?
                .pairs()
                .map(|(key, value)| (key.into(), value.into()))
                .collect(),
            cpu_share: cpu_share(node)?,
            memory_mib: memory(node)?,
            open_files: open_files(node)?,
            seeds: seeds(node)?,
            store: address(store, "address")?,
            min_lease: store.duration("lease_least", Some(Duration::from_secs(1)))?,
            store_history: store.duration("history", Some(STORE_HISTORY))?,
            max_value_bytes: store.number("value_most", Some(MAX_VALUE_BYTES))?,
            bounds: bounds(parsed.optional("bounds"))?,
            log_rate_limit: log.map_or(Ok(50), |section| {
                section.number("lines_per_second", Some(50))
            })?,
        };
        for section in [Some(node), Some(listen), Some(store), log]
            .into_iter()
            .flatten()
        {
            section.finish()?;
        }
        Ok(settings)
    }

    /// Returns whether a settings file belongs to an entry VM on the platform.
    pub fn matches_file(text: &str) -> bool {
        text.lines().any(|line| line.trim() == "[listen]")
    }

    /// Returns how long a watch waits for changes.
    pub fn watch_wait(&self) -> Duration {
        self.store_history
            .mul_f64(HISTORY_FRACTION)
            .min(MAX_WATCH_WAIT)
    }

    /// Returns the maximum requests per second to a cold replica, from the rate that it can take.
    pub fn cold_bound(&self, rate: f64) -> f64 {
        rate * self.bounds.cold_overrun + self.bounds.cold_slack
    }
}

fn address(section: &SectionReader, key: &str) -> Result<SocketAddrV4, ConfigError> {
    let value = section.text(key)?;
    value.parse().map_err(|_| {
        section.error(
            key,
            &format!("`{value}` is no address"),
            "write IP:port with an IPv4 number",
        )
    })
}

/// Reads the share of a processor core, by default a whole core.
fn cpu_share(node: &SectionReader) -> Result<u32, ConfigError> {
    const HUNDREDTHS: f64 = 100.0;
    let share: f64 = node.number("processor", Some(1.0))?;
    if share > 0.0 && share.is_finite() {
        return Ok((share * HUNDREDTHS).round().max(1.0) as u32);
    }
    Err(node.error(
        "processor",
        &format!("`{share}` is no share of a core"),
        "write a number above 0, such as 0.25",
    ))
}

fn open_files(node: &SectionReader) -> Result<u32, ConfigError> {
    let open_files = node.number("open_files", Some(DEFAULT_OPEN_FILES))?;
    if open_files >= MIN_OPEN_FILES {
        return Ok(open_files);
    }
    Err(node.error(
        "open_files",
        "there are too few file descriptors",
        "write a number of at least 128, such as 4100",
    ))
}

fn memory(node: &SectionReader) -> Result<u32, ConfigError> {
    let memory = node.number("memory", Some(DEFAULT_MEMORY_MIB))?;
    if memory > 0 {
        return Ok(memory);
    }
    Err(node.error(
        "memory",
        "there is no memory",
        "write a number of MiB above 0, such as 260",
    ))
}

fn seeds(node: &SectionReader) -> Result<Vec<SocketAddrV4>, ConfigError> {
    let mut seeds = Vec::new();
    for seed in node.list("seeds") {
        let parsed = seed.parse().map_err(|_| {
            node.error(
                "seeds",
                &format!("`{seed}` is no address"),
                "write IP:port, separated by commas",
            )
        })?;
        seeds.push(parsed);
    }
    Ok(seeds)
}

/// Reads the bounds; the defaults are those of the users' platform.
fn bounds(section: Option<&SectionReader>) -> Result<BoundSettings, ConfigError> {
    let mut bounds = BoundSettings {
        repeat_ratio: 0.2,
        repeat_window: Duration::from_secs(10),
        repeat_slack: 10.0,
        cold_overrun: 1.0,
        cold_slack: 0.0,
        grace: Duration::from_secs(8),
        directory_ttl: MAX_DIRECTORY_TTL,
        revoke: None,
        quota_overrun: 0.0,
        quota_slack: 0.0,
    };
    let Some(section) = section else {
        return Ok(bounds);
    };
    bounds.repeat_ratio = section.number("repeat_ratio", Some(bounds.repeat_ratio))?;
    bounds.repeat_window = section.duration("repeat_window", Some(bounds.repeat_window))?;
    bounds.repeat_slack = section.number("repeat_slack", Some(bounds.repeat_slack))?;
    bounds.cold_overrun = section.number("cold_overrun", Some(bounds.cold_overrun))?;
    bounds.cold_slack = section.number("cold_slack", Some(bounds.cold_slack))?;
    bounds.grace = section.duration("grace", Some(bounds.grace))?;
    let max_ttl = section.duration("directory_ttl_most", Some(MAX_DIRECTORY_TTL))?;
    bounds.directory_ttl = max_ttl.min(MAX_DIRECTORY_TTL);
    let revoke = section.duration("revoke", Some(Duration::ZERO))?;
    bounds.revoke = (!revoke.is_zero()).then_some(revoke);
    bounds.quota_overrun = section.number("quota_overrun", Some(0.0))?;
    bounds.quota_slack = section.number("quota_slack", Some(0.0))?;
    section.finish()?;
    Ok(bounds)
}
