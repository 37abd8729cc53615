//! Services and the backend servers that run them.

use crate::ConfigError;
use crate::section::SectionFile;
use crate::section::SectionReader;
use zinniahatch_base::prelude::*;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

string_enum! {
    /// The kind of backend behind a service.
    pub enum ServiceKind { Engine = "engine", Plain = "plain" }
}
string_enum! {
    /// Whether a request may be served outside the account's home region.
    pub enum BindingRule { Home = "home", Free = "free" }
}
string_enum! {
    /// Whether a request may be sent to a backend server more than once.
    pub enum RepeatRule { Repeatable = "repeatable", Once = "once" }
}
string_enum! {
    /// The urgency of the work.
    pub enum WorkKind { Interactive = "interactive", Long = "long" }
}
string_enum! {
    /// Whether a backend server rejects an order with an old fencing token.
    pub enum FencingRule { Checked = "checked", Ignored = "ignored" }
}

domain! {
    /// One service.
    pub struct ServiceEntry {
        /// The kind of backend behind the service.
        pub kind: ServiceKind,
        /// Whether requests are bound to the account's home region.
        pub binding: BindingRule,
        /// Whether requests may be repeated.
        pub repeat: RepeatRule,
        /// HTTP methods whose requests may not be repeated, regardless of `repeat`.
        pub once_methods: Vec<Box<str>>,
        /// HTTP methods whose requests stay in the home region, regardless of `binding`.
        pub bound_methods: Vec<Box<str>>,
        /// The urgency of requests, unless a header narrows it.
        pub work: WorkKind,
        /// Maximum time from a request's arrival to the last byte of its response.
        pub deadline: Duration,
        /// Maximum body size in bytes.
        pub body_limit: u64,
        /// Time for which a response is retained for collection by its caller.
        pub retention: Duration,
        /// Expected time for which a request occupies a slot, used until it has been measured.
        pub typical_hold: Duration,
    }

    /// One backend server process.
    pub struct BackendEntry {
        /// The service.
        pub service: ServiceId,
        /// The data centre.
        pub data_centre: DataCentreId,
        /// The address, `http://IP:port`.
        pub address: Box<str>,
        /// Number of requests that it serves concurrently.
        pub slots: u16,
        /// Whether it checks fencing tokens.
        pub fencing: FencingRule,
    }
}

impl ServiceEntry {
    /// Returns whether a request with this method may run at most once.
    pub fn is_once(&self, method: &str) -> bool {
        self.repeat == RepeatRule::Once || self.once_methods.iter().any(|name| &**name == method)
    }

    /// Returns whether a request with this method is bound to the account's home region.
    pub fn is_bound(&self, method: &str) -> bool {
        self.binding == BindingRule::Home || self.bound_methods.iter().any(|name| &**name == method)
    }
}

/// Parses the part `services`.
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

/// Parses the part `backends`, which is separate because it changes far more often than `services`.
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
        kind: section.choice("kind", ServiceKind::NAMES, ServiceKind::parse, None)?,
        binding: section.choice("binding", BindingRule::NAMES, BindingRule::parse, None)?,
        repeat: section.choice("repeat", RepeatRule::NAMES, RepeatRule::parse, None)?,
        once_methods: parse_methods(section, "once_methods")?,
        bound_methods: parse_methods(section, "bound_methods")?,
        work: section.choice(
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
        fencing: section.choice(
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
