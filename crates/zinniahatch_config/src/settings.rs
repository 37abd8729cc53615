//! Settings of one node: its identity, its addresses and those of the platform's services.

use crate::ConfigError;
use crate::section::SectionFile;
use crate::section::SectionReader;
use zinniahatch_base::prelude::*;

/// Minimum length of the shared secret; a shorter one could be guessed.
const MIN_SECRET_BYTES: usize = 16;

string_enum! {
    /// The placement policy for requests; all but the first are baselines for comparison.
    pub enum RouteRule { Score = "score", Home = "home", LeastLoaded = "least-loaded", RandomTwo = "random-two" }
}

domain! {
    /// The settings of one node process.
    pub struct NodeSettings {
        /// The node's name.
        pub name: NodeId,
        /// The node's data centre.
        pub data_centre: DataCentreId,
        /// The node's region.
        pub region: RegionId,
        /// Listen address for callers, operators and forwarded requests, `IP:port`.
        pub listen: Box<str>,
        /// Listen address for control messages between nodes, `IP:port`.
        pub peer_listen: Box<str>,
        /// The secret shared by all nodes.
        pub secret: Box<str>,
        /// Control addresses of nodes to contact first.
        pub seeds: Vec<Box<str>>,
        /// Translation of other nodes' addresses, where they are reached under a different address:
        /// through a tunnel or a network address translation between data centres.
        pub translate: BTreeMap<Box<str>, Box<str>>,
        /// Address of the key-value store.
        pub store: Box<str>,
        /// Address of the directory in which callers look up entry VMs.
        pub directory: Box<str>,
        /// Address of the platform's VM list.
        pub vm_list: Box<str>,
        /// The placement policy for requests.
        pub route: RouteRule,
        /// Timeout for receiving a request body.
        pub body_timeout: Duration,
        /// Maximum memory for stored responses on this node, in bytes.
        pub answer_memory: usize,
        /// Maximum time for which a planned stop waits for requests in progress.
        pub stop_timeout: Duration,
        /// Interval at which usage counts are sealed and copied to the node that merges them.
        ///
        /// A crash loses at most the counts of one interval.
        pub seal_interval: Duration,
        /// Interval at which usage reports are merged into the store.
        pub merge_interval: Duration,
        /// Retention of hourly usage reports in the store, in hours.
        pub report_hours: u64,
        /// Log level.
        pub log_level: Box<str>,
        /// Log file; empty logs to the console.
        pub log_file: Box<str>,
    }
}

impl NodeSettings {
    /// Parses and validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first problem with its file, section, key and remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let parsed = SectionFile::parse(file, text)?;
        parsed.of_kinds(&[
            "node",
            "platform",
            "translate",
            "routing",
            "limits",
            "reports",
            "log",
        ])?;
        let node = parsed.single("node")?;
        let platform = parsed.single("platform")?;
        let limits = parsed.optional("limits");
        let reports = parsed.optional("reports");
        let log = parsed.optional("log");
        let translate = parsed.optional("translate");
        let routing = parsed.optional("routing");
        let settings = Self {
            name: node.text("name")?,
            data_centre: node.text("data_centre")?,
            region: node.text("region")?,
            listen: node.text("listen")?,
            peer_listen: node.text("peer_listen")?,
            secret: node.text("secret")?,
            seeds: node.list("seeds"),
            translate: read_translations(translate)?,
            store: platform.text("store")?,
            directory: platform.text("directory")?,
            vm_list: platform.text("vm_list")?,
            route: match routing {
                Some(section) => section.choice(
                    "rule",
                    RouteRule::NAMES,
                    RouteRule::parse,
                    Some(RouteRule::Score),
                )?,
                None => RouteRule::Score,
            },
            body_timeout: limits.map_or(Ok(Duration::from_secs(10)), |section| {
                section.duration("body_timeout", Some(Duration::from_secs(10)))
            })?,
            answer_memory: limits.map_or(Ok(16 << 20), |section| {
                section.number("answer_memory_bytes", Some(16 << 20))
            })?,
            stop_timeout: limits.map_or(Ok(Duration::from_secs(120)), |section| {
                section.duration("stop_timeout", Some(Duration::from_secs(120)))
            })?,
            seal_interval: reports.map_or(Ok(Duration::from_secs(10)), |section| {
                section.duration("seal_interval", Some(Duration::from_secs(10)))
            })?,
            merge_interval: reports.map_or(Ok(Duration::from_secs(60)), |section| {
                section.duration("merge_interval", Some(Duration::from_secs(60)))
            })?,
            report_hours: reports.map_or(Ok(24 * 35), |section| {
                section.number("keep_hours", Some(24 * 35))
            })?,
            log_level: log
                .and_then(|section| section.optional_text("level"))
                .unwrap_or_else(|| "info".into()),
            log_file: log
                .and_then(|section| section.optional_text("file"))
                .unwrap_or_default(),
        };
        if settings.secret.len() < MIN_SECRET_BYTES {
            return Err(node.error(
                "secret",
                "the secret is too short",
                "write at least 16 characters, the same on every node",
            ));
        }
        for (key, value) in [
            ("listen", &settings.listen),
            ("peer_listen", &settings.peer_listen),
        ] {
            if value.parse::<std::net::SocketAddr>().is_err() {
                return Err(node.error(key, &format!("`{value}` is no address"), "write IP:port"));
            }
        }
        for section in [Some(node), Some(platform), routing, limits, reports, log]
            .into_iter()
            .flatten()
        {
            section.finish()?;
        }
        Ok(settings)
    }
}

/// Reads pairs of addresses in the form `1 = 10.0.0.1:80 10.1.0.1:80`.
///
/// INI treats both `=` and `:` as separators, so a key cannot contain an address; both addresses are
/// part of the value.
fn read_translations(
    section: Option<&SectionReader>,
) -> Result<BTreeMap<Box<str>, Box<str>>, ConfigError> {
    let mut table = BTreeMap::new();
    let Some(section) = section else {
        return Ok(table);
    };
    for (key, value) in section.pairs() {
        let Some((from, to)) = value.split_once(' ') else {
            return Err(section.error(
                key,
                &format!("`{value}` is no pair of addresses"),
                "write IP:port IP:port",
            ));
        };
        for address in [from, to] {
            if address.trim().parse::<std::net::SocketAddr>().is_err() {
                return Err(section.error(
                    key,
                    &format!("`{address}` is no address"),
                    "write IP:port IP:port",
                ));
            }
        }
        table.insert(from.trim().into(), to.trim().into());
    }
    Ok(table)
}
