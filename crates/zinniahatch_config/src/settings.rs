//! Settings of one node: its names, its addresses, the platform's addresses.

use crate::ConfigError;
use crate::section::SectionFile;
use crate::section::SectionReader;
use zinniahatch_base::prelude::*;

/// Fewest characters of the shared secret; shorter ones can be guessed.
const SECRET_LENGTH: usize = 16;

string_enum! {
    /// How a place for a request is chosen; all but the first are baselines to compare with.
    pub enum RouteRule { Score = "score", Home = "home", LeastLoaded = "least-loaded", RandomTwo = "random-two" }
}

domain! {
    /// What a process learns from its settings file.
    pub struct NodeSettings {
        /// The node's name.
        pub name: NodeId,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Its region.
        pub region: RegionId,
        /// Address for callers, operators and forwarded requests, `IP:port`.
        pub listen: Box<str>,
        /// Address for control messages between nodes, `IP:port`.
        pub peer_listen: Box<str>,
        /// The secret that nodes share.
        pub secret: Box<str>,
        /// Control addresses of nodes to contact first.
        pub seeds: Vec<Box<str>>,
        /// Addresses of other nodes as they are reached from here, where they differ: through a
        /// tunnel or an address translation between data centres.
        pub translate: BTreeMap<Box<str>, Box<str>>,
        /// Address of the key-value service.
        pub store: Box<str>,
        /// Address of the directory for clients.
        pub directory: Box<str>,
        /// Address of the list of VMs.
        pub vm_list: Box<str>,
        /// How a place for a request is chosen.
        pub route: RouteRule,
        /// Longest time for a caller to send its body.
        pub body_timeout: Duration,
        /// Bytes of kept answers that this node holds at most.
        pub answer_memory: usize,
        /// Longest time a planned stop waits for requests in progress.
        pub stop_timeout: Duration,
        /// Interval at which counts are sealed and copied to their merger: what a death can lose.
        pub seal_interval: Duration,
        /// Interval at which accounts are merged into the store.
        pub merge_interval: Duration,
        /// Hours for which hourly accounts are kept in the store.
        pub report_hours: u64,
        /// Log level.
        pub log_level: Box<str>,
        /// Log file; empty logs to the console.
        pub log_file: Box<str>,
    }
}

impl NodeSettings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// Names file, section, key and what would be right.
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
            translate: read_translation(translate)?,
            store: platform.text("store")?,
            directory: platform.text("directory")?,
            vm_list: platform.text("vm_list")?,
            route: match routing {
                Some(section) => section.word(
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
                .and_then(|section| section.maybe("level"))
                .unwrap_or_else(|| "info".into()),
            log_file: log
                .and_then(|section| section.maybe("file"))
                .unwrap_or_default(),
        };
        if settings.secret.len() < SECRET_LENGTH {
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

/// Reads pairs of addresses; INI takes `=` and `:` as separators, so a key has no colon and the
/// pair stands in the value, `1 = 10.0.0.1:80 10.1.0.1:80`.
fn read_translation(
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
