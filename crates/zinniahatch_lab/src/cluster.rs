//! A complete system on loopback addresses: test doubles in this process, daemons as child processes.

use crate::history::HistoryLog;
use crate::relay::LinkState;
use crate::relay::TcpRelay;
use crate::test_doubles::backend::FakeBackend;
use crate::test_doubles::directory::FakeDirectory;
use crate::test_doubles::engine::EngineSpeed;
use crate::test_doubles::engine::FakeEngine;
use crate::test_doubles::faults::FaultSwitch;
use crate::test_doubles::serve::FakeServer;
use crate::test_doubles::store::FakeStore;
use crate::users::UserPlan;
use std::fs;
use std::io::PipeReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::net::unix::pipe::Sender;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;
use zinniahatch_config::ClusterConfig;
use zinniahatch_config::ConfigHead;
use zinniahatch_config::RouteRule;
use zinniahatch_platform::VmState;

mod prepare;

pub use prepare::free_addresses;
pub use prepare::host_of;

use prepare::bootstrap;
use prepare::make_nodes;
use prepare::make_relays;
use prepare::settings_text;
use prepare::start_backends;

/// Longest time for a node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const SECRET: &str = "lab-secret-of-the-nodes";

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);
static NEXT_ADDRESS: AtomicU64 = AtomicU64::new(0);

/// Options of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Speed of the engines.
    pub speed: EngineSpeed,
    /// Service time of a plain service.
    pub plain_time: Duration,
    /// What plain services send after the id of each answer before they close the connection, in place of
    /// serving.
    pub plain_rest: Option<&'static str>,
    /// Interval at which nodes send their usage counts to the node that merges them.
    pub seal: Duration,
    /// Interval at which usage counts are merged into the store.
    pub merge: Duration,
    /// Rule by which the daemons place requests.
    pub route: RouteRule,
    /// Longest time a caller may take to send a request body.
    pub body_timeout: Duration,
    /// Whether all backend servers share the address of one test double, for clusters of design size.
    pub shared_backends: bool,
    /// Log level of the daemons.
    pub log_level: &'static str,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            speed: EngineSpeed::default(),
            plain_time: Duration::from_millis(15),
            plain_rest: None,
            seal: Duration::from_millis(500),
            merge: Duration::from_secs(2),
            route: RouteRule::Score,
            body_timeout: Duration::from_secs(10),
            shared_backends: false,
            log_level: "info",
        }
    }
}

/// One node and its daemon process.
pub struct NodeHandle {
    /// Its name.
    pub name: NodeId,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its HTTP address for callers.
    pub http: Box<str>,
    /// Its address for control messages of other nodes.
    pub peer: Box<str>,
    /// Path of its settings file.
    pub settings: PathBuf,
    /// Path of its log.
    pub log: PathBuf,
    child: Option<Child>,
}

impl NodeHandle {
    fn spawn(&mut self, output: Stdio, errors: Stdio) {
        let child = Command::new(daemon_path())
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("zinniahatchd is built; run cargo build --workspace first");
        self.child = Some(child);
    }
}

/// A running cluster; its processes are killed when it is dropped.
pub struct LabCluster {
    /// The user's plan, with the addresses of the test doubles in its configuration parts.
    pub plan: UserPlan,
    /// The history that backend servers and the load generator write.
    pub history: HistoryLog,
    /// The store.
    pub store: FakeStore,
    /// Faults of each region's access to the store.
    pub store_faults: BTreeMap<RegionId, FaultSwitch>,
    /// The directory and the VM list.
    pub directory: FakeDirectory,
    /// The engines by name.
    pub engines: BTreeMap<ReplicaId, Arc<FakeEngine>>,
    /// Every backend server by name.
    pub backends: BTreeMap<ReplicaId, Arc<FakeBackend>>,
    /// The nodes.
    pub nodes: Vec<NodeHandle>,
    /// The link between each pair of regions.
    pub links: BTreeMap<(RegionId, RegionId), LinkState>,
    /// URL of a store endpoint without faults.
    pub store_url: String,
    backend_servers: BTreeMap<ReplicaId, FakeServer>,
    _servers: Vec<FakeServer>,
    _relays: Vec<TcpRelay>,
    folder: PathBuf,
}

impl LabCluster {
    /// Starts a cluster and waits until every node is ready.
    ///
    /// # Panics
    ///
    /// Panics if a test double or daemon cannot be started, or a node is not ready in time.
    pub async fn start(plan: UserPlan, options: &ClusterOptions) -> Self {
        let mut cluster = Self::prepare(plan, options).await;
        for index in 0..cluster.nodes.len() {
            cluster.spawn(index);
        }
        cluster.wait_ready().await;
        cluster
    }

    /// Starts the test doubles and writes the settings files, but starts no daemon.
    ///
    /// # Panics
    ///
    /// Panics if a test double cannot be started or a file cannot be written.
    pub async fn prepare(mut plan: UserPlan, options: &ClusterOptions) -> Self {
        let history = HistoryLog::default();
        let store = FakeStore::default();
        let mut servers = Vec::new();
        let mut store_faults = BTreeMap::new();
        let mut store_urls = BTreeMap::new();
        for region in &plan.regions {
            let switch = FaultSwitch::default();
            let server = store.start_endpoint(switch.clone()).await;
            store_urls.insert(region.region.clone(), server.url());
            store_faults.insert(region.region.clone(), switch);
            servers.push(server);
        }
        let own = store.start_endpoint(FaultSwitch::default()).await;
        let store_url = own.url();
        servers.push(own);
        let directory = FakeDirectory::default();
        let directory_server = directory.start().await;
        let directory_url = directory_server.url();
        servers.push(directory_server);
        let (engines, backends, backend_servers) =
            start_backends(&mut plan, options, &history, &directory).await;
        bootstrap(&plan, &store_url).await;
        let folder = std::env::temp_dir().join(format!(
            "zinnia-lab-{}-{}",
            std::process::id(),
            NEXT_FOLDER.fetch_add(1, Ordering::Relaxed)
        ));
        fs::create_dir_all(&folder).expect("the folder for settings can be made");
        let nodes = make_nodes(&plan, &folder);
        let config = config_of(&plan);
        let mut relays = Vec::new();
        let mut links = BTreeMap::new();
        for node in &nodes {
            let translate =
                make_relays(&config, &plan, &nodes, node, &mut links, &mut relays).await;
            let text = settings_text(
                node,
                &nodes,
                &store_urls[&node.region],
                &directory_url,
                &translate,
                options,
            );
            fs::write(&node.settings, text).expect("the settings can be written");
        }
        Self {
            plan,
            history,
            store,
            store_faults,
            directory,
            engines,
            backends,
            nodes,
            links,
            store_url,
            backend_servers,
            _servers: servers,
            _relays: relays,
            folder,
        }
    }

    /// Returns the index of a node.
    ///
    /// # Panics
    ///
    /// Panics if there is no such node.
    pub fn index_of(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|node| &*node.name == name)
            .expect("the cluster has a node of this name")
    }

    /// Starts a node's process.
    ///
    /// # Panics
    ///
    /// Panics if the daemon's binary is not built.
    pub fn spawn(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.log)
            .expect("the log can be written");
        let errors = log.try_clone().expect("a file handle can be copied");
        node.spawn(log.into(), errors.into());
    }

    /// Starts a node's process whose output goes to a full pipe that nobody reads while the returned reader is kept.
    ///
    /// # Panics
    ///
    /// Panics if there is no pipe or the daemon's binary is not built.
    pub async fn spawn_unread(&mut self, index: usize) -> PipeReader {
        let (reader, writer) = std::io::pipe().expect("there is a pipe");
        let sender = Sender::from_owned_fd(writer.into()).expect("a pipe can be written to");
        sender.writable().await.expect("a pipe can be written to");
        while sender.try_write(b" ").is_ok() {}
        let output = sender.into_blocking_fd().expect("a pipe can block");
        let errors = output.try_clone().expect("a file handle can be copied");
        self.nodes[index].spawn(output.into(), errors.into());
        reader
    }

    /// Waits until every started node is ready.
    ///
    /// # Panics
    ///
    /// Panics if a node is not ready in time or its process has ended. In the latter case, whatever
    /// responds at its address is another process.
    pub async fn wait_ready(&mut self) {
        let client = reqwest::Client::new();
        for index in 0..self.nodes.len() {
            if self.process(index).is_none() {
                continue;
            }
            let started = Instant::now();
            let http = self.nodes[index].http.clone();
            while !is_ready(&client, &http).await
                && self.ended(index).is_none()
                && started.elapsed() <= READY_TIMEOUT
            {
                sleep(POLL_INTERVAL).await;
            }
            if self.ended(index).is_some() || started.elapsed() > READY_TIMEOUT {
                let node = &self.nodes[index];
                let log = fs::read_to_string(&node.log).unwrap_or_default();
                panic!("{} does not serve: {log}", node.name);
            }
        }
    }

    /// Kills a node's process.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a node SIGTERM, which starts a planned stop.
    pub fn terminate(&self, index: usize) {
        self.signal(index, "-TERM");
    }

    /// Freezes a node with SIGSTOP, or lets it continue with SIGCONT.
    pub fn freeze(&self, index: usize, frozen: bool) {
        self.signal(index, if frozen { "-STOP" } else { "-CONT" });
    }

    /// Tells a node with SIGHUP that its settings have changed.
    pub fn hang_up(&self, index: usize) {
        self.signal(index, "-HUP");
    }

    /// Returns a node's process id.
    pub fn process(&self, index: usize) -> Option<u32> {
        self.nodes[index].child.as_ref().map(Child::id)
    }

    /// Returns whether a node's process exited successfully; `None` if it has not ended.
    pub fn ended(&mut self, index: usize) -> Option<bool> {
        let child = self.nodes[index].child.as_mut()?;
        child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.success())
    }

    /// Kills a backend server.
    pub fn kill_backend(&self, name: &str) {
        if let Some(server) = self.backend_servers.get(name) {
            server.kill();
        }
    }

    /// Marks a backend server as leaving, in its own state and on the VM list.
    pub fn leave_backend(&self, name: &str) {
        if let Some(backend) = self.backends.get(name) {
            backend.leave();
        }
        self.directory.set_state(name, VmState::Leaving);
    }

    /// Returns the links between a region and all others.
    pub fn links_of(&self, region: &str) -> Vec<LinkState> {
        self.links
            .iter()
            .filter(|((one, other), _)| &**one == region || &**other == region)
            .map(|(_, link)| link.clone())
            .collect()
    }

    fn signal(&self, index: usize, signal: &str) {
        if let Some(process) = self.process(index) {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(process.to_string())
                .status();
        }
    }
}

impl Drop for LabCluster {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Builds the configuration of a plan.
///
/// # Panics
///
/// Panics if the plan is invalid.
pub fn config_of(plan: &UserPlan) -> ClusterConfig {
    let head = ConfigHead {
        revision: 1,
        preset: plan.preset.into(),
        ..ConfigHead::default()
    };
    ClusterConfig::build(&head, &plan.parts).expect("the plan is a valid configuration")
}

/// Returns whether a node reports that it is ready.
pub async fn is_ready(client: &reqwest::Client, http: &str) -> bool {
    let request = client
        .get(format!("http://{http}/readyz"))
        .timeout(Duration::from_secs(1));
    matches!(request.send().await, Ok(response) if response.status().is_success())
}

/// Returns the path of the daemon's binary, which is built into the same folder as the running one.
pub(crate) fn daemon_path() -> PathBuf {
    let own = std::env::current_exe().expect("a running program has a path");
    let folder = own.parent().expect("the binary is in a folder");
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    folder.join("zinniahatchd")
}
