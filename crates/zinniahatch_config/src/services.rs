//! Services and the backend servers that run them.

use crate::ConfigError;
use crate::section::SectionFile;
use crate::section::SectionReader;
use zinniahatch_base::prelude::*;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

string_enum! {
    /// What stands behind a service.
    pub enum ServiceKind { Engine = "engine", Plain = "plain" }
}
string_enum! {
    /// Whether a request may leave the account's home region.
    pub enum BindingRule { Home = "home", Free = "free" }
}
string_enum! {
    /// Whether a request may be sent to a backend server more than once.
    pub enum RepeatRule { Repeatable = "repeatable", Once = "once" }
}
string_enum! {
    /// How urgent the work is.
    pub enum WorkKind { Interactive = "interactive", Long = "long" }
}
string_enum! {
    /// Whether a backend server refuses an order with an old fencing number.
    pub enum FencingRule { Checked = "checked", Ignored = "ignored" }
}

domain! {
    /// One service.
    pub struct ServiceEntry {
        /// What stands behind it.
        pub kind: ServiceKind,
        /// Whether its requests stay in the account's home region.
        pub binding: BindingRule,
        /// Whether its requests may be repeated.
        pub repeat: RepeatRule,
        /// HTTP methods whose requests may not be repeated, whatever `repeat` says.
        pub once_methods: Vec<Box<str>>,
        /// HTTP methods whose requests stay in the home region, whatever `binding` says.
        pub bound_methods: Vec<Box<str>>,
        /// How urgent its requests are unless a header narrows it.
        pub work: WorkKind,
        /// Time from a request's arrival to its last byte.
        pub deadline: Duration,
        /// Largest body, in bytes.
        pub body_limit: u64,
        /// How long an answer is kept for collection.
        pub retention: Duration,
        /// Expected time one request holds a slot, until it has been measured.
        pub typical_hold: Duration,
    }

    /// One backend server's process.
    pub struct BackendEntry {
        /// Its service.
        pub service: ServiceId,
        /// Its data centre.
        pub data_centre: DataCentreId,
        /// Its address, `http://IP:port`.
        pub address: Box<str>,
        /// Requests it serves at once.
        pub slots: u16,
        /// Whether it checks fencing numbers.
        pub fencing: FencingRule,
    }
}

impl ServiceEntry {
    /// Says whether a request of this method may run at most once.
    pub fn is_once(&self, method: &str) -> bool {
        self.repeat == RepeatRule::Once || self.once_methods.iter().any(|name| &**name == method)
    }

    /// Says whether a request of this method stays in the account's home region.
    pub fn is_bound(&self, method: &str) -> bool {
        self.binding == BindingRule::Home || self.bound_methods.iter().any(|name| &**name == method)
    }
}

/// Reads the part `services`.
pub(crate) fn parse_services(
    file: &str,
    text: &str,
) -> Result<BTreeMap<ServiceId, ServiceEntry>, ConfigError> {
    let parsed = SectionFile::parse(file, text)?;
    let mut services = BTreeMap::new();
    for section in parsed.of_kinds(&["service"])? {
        services.insert(section.name.clone(), parse_service(section)?);
        section.finish()?;
    }
    Ok(services)
}

/// Reads the part `backends`, which changes far more often than the services do.
pub(crate) fn parse_backends(
    file: &str,
    text: &str,
) -> Result<BTreeMap<ReplicaId, BackendEntry>, ConfigError> {
    let parsed = SectionFile::parse(file, text)?;
    let mut backends = BTreeMap::new();
    for section in parsed.of_kinds(&["backend"])? {
        backends.insert(section.name.clone(), parse_backend(section)?);
        section.finish()?;
    }
    Ok(backends)
}

fn parse_service(section: &SectionReader) -> Result<ServiceEntry, ConfigError> {
    Ok(ServiceEntry {
        kind: section.word("kind", ServiceKind::NAMES, ServiceKind::parse, None)?,
        binding: section.word("binding", BindingRule::NAMES, BindingRule::parse, None)?,
        repeat: section.word("repeat", RepeatRule::NAMES, RepeatRule::parse, None)?,
        once_methods: parse_methods(section, "once_methods")?,
        bound_methods: parse_methods(section, "bound_methods")?,
        work: section.word(
            "work",
            WorkKind::NAMES,
            WorkKind::parse,
            Some(WorkKind::Interactive),
        )?,
        deadline: section.duration("deadline", None)?,
        body_limit: section.number("body_limit_bytes", Some(1 << 20))?,
        retention: section.duration("retention", Some(Duration::from_secs(600)))?,
        typical_hold: section.duration("typical_hold", Some(Duration::from_secs(1)))?,
    })
}

fn parse_methods(section: &SectionReader, key: &str) -> Result<Vec<Box<str>>, ConfigError> {
    let methods = section.list(key);
    for method in &methods {
        if !METHODS.contains(&&**method) {
            return Err(section.error(
                key,
                &format!("`{method}` is no method"),
                &format!("write some of: {}", METHODS.join(", ")),
            ));
        }
    }
    Ok(methods)
}

fn parse_backend(section: &SectionReader) -> Result<BackendEntry, ConfigError> {
    let backend = BackendEntry {
        service: section.text("service")?,
        data_centre: section.text("data_centre")?,
        address: section.text("address")?,
        slots: section.number("slots", None)?,
        fencing: section.word(
            "fencing",
            FencingRule::NAMES,
            FencingRule::parse,
            Some(FencingRule::Checked),
        )?,
    };
    if !backend.address.starts_with("http://") {
        return Err(section.error(
            "address",
            &format!("`{}` is no address", backend.address),
            "write http://IP:port",
        ));
    }
    if backend.slots == 0 {
        return Err(section.error(
            "slots",
            "0 slots serve nothing",
            "write at least 1, or remove the section",
        ));
    }
    Ok(backend)
}
