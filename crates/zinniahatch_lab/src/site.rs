//! A small system on the users' platform: real daemons as processes, surrounded by test doubles.

mod desired;
mod requests;

use crate::cluster::daemon_path;
use crate::cluster::free_addresses;
use crate::relay::LinkState;
use crate::relay::TcpRelay;
use crate::test_doubles::crashing::CrashingRequests;
use crate::test_doubles::faults::FaultSwitch;
use crate::test_doubles::replica::FakeReplica;
use crate::test_doubles::replica::ReplicaObservations;
use crate::test_doubles::replica::StreamShape;
use crate::test_doubles::scripted_replica::ScriptedReplica;
use crate::test_doubles::serve::FakeServer;
use crate::test_doubles::store::FakeStore;
use desired::desired_state;
pub use requests::ReplicaRuns;
pub use requests::SiteLoad;
use reqwest::Client;
use serde_json::Value;
use std::fs::File;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use tokio::time::sleep;
use zinniahatch_base::prelude::*;

/// Store key to which operators write the desired state.
const DESIRED_KEY: &str = "op/config";
/// The host of every route.
pub const HOST: &str = "desk.test";
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of checks before a test gives up: with the pauses, at least 60 s, far more than a busy
/// machine needs.
const MAX_POLLS: u32 = 3_000;
/// Default time that a caller has.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of the signal SIGTERM.
const SIGTERM: i32 = 15;
/// Default retry slack of all nodes together: tests that count no retries are not to run out of them.
pub const AMPLE_RETRY_SLACK: f64 = 5_000_000.0;
/// Size of the files that an entry VM may write if it is limited, in bytes.
pub const LIMITED_FILE_BYTES: usize = 4_096;
/// Unit in which a shell takes the limit, in bytes.
const FILE_LIMIT_BLOCK: usize = 512;
/// Grace period of a planned stop, in seconds.
pub const GRACE_SECONDS: u64 = 8;

/// One region of a site.
#[derive(Clone, Copy, Debug)]
pub struct SiteRegion {
    /// Its name; the name of its only data centre is the same with the suffix `-a`.
    pub name: &'static str,
    /// Number of entry VMs.
    pub entries: usize,
    /// Number of replicas of the model service.
    pub replicas: usize,
}

impl SiteRegion {
    /// Creates a region with these numbers of entry VMs and replicas.
    pub const fn new(name: &'static str, entries: usize, replicas: usize) -> Self {
        Self {
            name,
            entries,
            replicas,
        }
    }
}

/// One entry VM.
#[derive(Debug)]
pub struct SiteEntry {
    /// Its name.
    pub name: Box<str>,
    /// Its region.
    pub region: &'static str,
    /// Listening addresses: front, readiness, control, directory, peer.
    pub addresses: Vec<Box<str>>,
    child: Option<Child>,
    /// Size of its decision log when its current process was started.
    log_bytes_before: u64,
    folder: PathBuf,
}

/// A replica that was replaced or restarted.
#[derive(Clone, Debug)]
struct RetiredReplica {
    position: usize,
    region: &'static str,
    id: Box<str>,
    observations: ReplicaObservations,
    /// Silences of the link to it.
    holds: Vec<(Instant, Instant)>,
}

/// A complete site; its processes are killed when it is dropped.
pub struct SiteCluster {
    /// The store.
    pub store: FakeStore,
    /// Faults of the store.
    pub store_faults: FaultSwitch,
    /// The entry VMs.
    pub entries: Vec<SiteEntry>,
    /// The requests that crash the replicas which run them.
    pub crashing_requests: CrashingRequests,
    /// The replicas, each with its region.
    pub replicas: Vec<(FakeReplica, &'static str)>,
    /// The link to each replica, and the relay whose address is registered for it.
    links: Vec<(LinkState, TcpRelay)>,
    /// Each region's link to the store.
    store_links: BTreeMap<&'static str, (LinkState, TcpRelay)>,
    /// The observations of replicas that were replaced or restarted.
    retired: Vec<RetiredReplica>,
    shape: StreamShape,
    /// Version of the software of replicas that start from now on, if their events name one.
    released: Option<Box<str>>,
    /// Whether the site has client accounts, so that revoked keys must be refused after a bounded time.
    has_accounts: bool,
    /// Retries that all nodes together may send in a window in addition to a share of the requests.
    retry_slack: f64,
    /// Memory that the entry VMs are told to have, in MiB.
    memory_mib: Option<u32>,
    /// File descriptors that the entry VMs are told to have, and have.
    open_files: Option<u32>,
    server: FakeServer,
    regions: Vec<SiteRegion>,
    folder: PathBuf,
    keep_folder: bool,
}

impl SiteCluster {
    /// Starts a site and waits until every entry VM is ready.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started.
    pub async fn start(regions: &[SiteRegion], shape: StreamShape) -> Self {
        Self::start_with_retry_slack(regions, shape, AMPLE_RETRY_SLACK).await
    }

    /// Starts a site with a retry slack of all nodes together, and waits until every entry VM is ready.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started.
    pub async fn start_with_retry_slack(
        regions: &[SiteRegion],
        shape: StreamShape,
        slack: f64,
    ) -> Self {
        let cluster = Self::prepare(regions, shape).await;
        cluster.start_prepared(slack).await
    }

    /// Starts a site with client accounts, and waits until every entry VM is ready.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started.
    pub async fn start_with_accounts(
        regions: &[SiteRegion],
        shape: StreamShape,
        accounts: &Value,
    ) -> Self {
        let mut cluster = Self::prepare(regions, shape).await;
        cluster.has_accounts = true;
        cluster.configure_accounts(2, accounts);
        cluster.start_entries().await;
        cluster
    }

    /// Starts the entry VMs of a site that was set up, with a retry slack of all nodes together, and
    /// waits until every one is ready.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started.
    pub async fn start_prepared(mut self, slack: f64) -> Self {
        self.retry_slack = slack;
        self.start_entries().await;
        self
    }

    /// Tells entry VMs that start from now on how much memory they have, in MiB.
    pub fn set_memory(&mut self, mib: u32) {
        self.memory_mib = Some(mib);
    }

    /// Limits the file descriptors of entry VMs that start from now on.
    pub fn set_open_files(&mut self, count: u32) {
        self.open_files = Some(count);
    }

    async fn start_entries(&mut self) {
        for index in 0..self.entries.len() {
            self.spawn(index);
        }
        for index in 0..self.entries.len() {
            self.wait_ready(index).await;
        }
        self.wait_discovered().await;
    }

    /// Sets up everything but starts no entry VM.
    ///
    /// # Panics
    ///
    /// Panics if a folder cannot be made.
    pub async fn prepare(regions: &[SiteRegion], shape: StreamShape) -> Self {
        let store = FakeStore::default();
        let store_faults = FaultSwitch::default();
        let server = store.start_endpoint(store_faults.clone()).await;
        let name = format!("zinnia-site-{}-{}", std::process::id(), server.address);
        let folder = std::env::temp_dir().join(name.replace(':', "-"));
        std::fs::create_dir_all(&folder).expect("a folder can be made");
        let crashing_requests = CrashingRequests::default();
        let mut replicas = Vec::new();
        let mut links = Vec::new();
        let mut store_links = BTreeMap::new();
        for region in regions {
            store_links.insert(region.name, start_link(&server.address).await);
            for number in 0..region.replicas {
                let id = format!("i-{}-{number}", region.name);
                let replica = FakeReplica::start(&id, shape, &crashing_requests).await;
                links.push(start_replica_link(&replica).await);
                replicas.push((replica, region.name));
            }
        }
        let mut entries = Vec::new();
        for region in regions {
            for number in 0..region.entries {
                entries.push(SiteEntry {
                    name: format!("{}-{number}", region.name).into(),
                    region: region.name,
                    addresses: free_addresses(5),
                    child: None,
                    log_bytes_before: 0,
                    folder: folder.clone(),
                });
            }
        }
        let cluster = Self {
            store,
            store_faults,
            entries,
            crashing_requests,
            replicas,
            links,
            store_links,
            retired: Vec::new(),
            shape,
            released: None,
            has_accounts: false,
            retry_slack: AMPLE_RETRY_SLACK,
            memory_mib: None,
            open_files: None,
            server,
            regions: regions.to_vec(),
            folder,
            keep_folder: false,
        };
        cluster.configure(1, &[]);
        for index in 0..cluster.replicas.len() {
            cluster.register(index, "ready");
        }
        cluster
    }

    /// Writes a desired state, as the operator does; `more` lists additional plain routes.
    pub fn configure(&self, version: u64, more: &[&str]) {
        let state = desired_state(version, more);
        self.store.write(DESIRED_KEY, &state.to_string());
    }

    /// Returns a desired state without client accounts, to be changed and written.
    pub fn desired_state(&self, version: u64) -> Value {
        desired_state(version, &[])
    }

    /// Writes a desired state with additional plain routes and an idle timeout of callers' connections.
    pub fn configure_idle_timeout(&self, version: u64, more: &[&str], millis: u64) {
        let mut state = desired_state(version, more);
        state["limits"]["idle_timeout_ms"] = millis.into();
        self.write_desired_state(&state);
    }

    /// Writes a desired state, as the operator does.
    pub fn write_desired_state(&self, state: &Value) {
        self.store.write(DESIRED_KEY, &state.to_string());
    }

    /// Removes the desired state from the store.
    pub fn remove_desired_state(&self) {
        self.store.remove(DESIRED_KEY);
    }

    /// Writes a desired state with other limits, and waits until each entry VM has it in force.
    pub async fn set_limits(&self, change: impl Fn(&mut Value)) {
        let mut state = self.desired_state(2);
        change(&mut state["limits"]);
        self.write_desired_state(&state);
        for index in 0..self.entries.len() {
            wait_until("the limits are in force", async || {
                self.log(index).contains("\"to\":2")
            })
            .await;
        }
    }

    /// Writes a desired state with client accounts.
    pub fn configure_accounts(&self, version: u64, accounts: &Value) {
        let mut state = desired_state(version, &[]);
        state["tenants"] = accounts.clone();
        self.store.write(DESIRED_KEY, &state.to_string());
    }

    /// Writes the store entry of a replica.
    pub fn register(&self, index: usize, state: &str) {
        let (replica, region) = &self.replicas[index];
        let zone = format!("{region}-a");
        let key = format!("servers/{}", replica.id);
        let address = &self.links[index].1.address;
        let entry = replica.entry_at(address, "desk", &zone, state);
        self.store.write(&key, &entry);
    }

    /// Writes the store entry of a replica of a region that is not one of the site's own.
    pub fn register_scripted(&self, replica: &ScriptedReplica, region: &str) {
        let entry = replica.entry("desk", &format!("{region}-a"));
        self.store.write(&format!("servers/{}", replica.id), &entry);
    }

    /// Sets the version of a replica's software and writes its store entry.
    pub fn set_version(&self, index: usize, version: &str) {
        self.replicas[index].0.set_version(version);
        self.register(index, "ready");
    }

    /// Sets the version of the software of replicas that start from now on.
    pub fn release_version(&mut self, version: &str) {
        self.released = Some(version.into());
    }

    /// Writes the store entry of a replica that is cold for the time `left`.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not JSON.
    pub fn register_cold(&self, index: usize, left: Duration) {
        let (replica, region) = &self.replicas[index];
        let zone = format!("{region}-a");
        let entry = replica.entry_at(&self.links[index].1.address, "desk", &zone, "ready");
        let mut entry: Value = serde_json::from_str(&entry).expect("an entry is JSON");
        entry["cold_left_ms"] = Value::from(left.as_millis() as u64);
        let key = format!("servers/{}", replica.id);
        self.store.write(&key, &entry.to_string());
    }

    /// Writes the entries of all replicas again, as after a restore of the store, and removes stale
    /// ones.
    ///
    /// `state` returns the state in the entry of each replica, or `None` if it has no entry.
    pub fn register_all(&self, state: impl Fn(usize) -> Option<&'static str>) {
        for key in self.store.keys("servers/") {
            let belongs_to =
                |(replica, _): &(FakeReplica, _)| key.ends_with(&format!("/{}", replica.id));
            if !self.replicas.iter().any(belongs_to) {
                self.store.remove(&key);
            }
        }
        for index in 0..self.replicas.len() {
            match state(index) {
                Some(state) => self.register(index, state),
                None => self.unregister(index),
            }
        }
    }

    /// Removes the entry of a replica, as when it has left or its lease has expired.
    pub fn unregister(&self, index: usize) {
        let id = &self.replicas[index].0.id;
        self.store.remove(&format!("servers/{id}"));
    }

    /// Replaces a replica by another one with a new id and address.
    pub async fn replace_replica(&mut self, index: usize) {
        self.unregister(index);
        let number = self.retired.len();
        let region = self.replicas[index].1;
        let id = format!("i-{region}-{index}-{number}");
        self.start_replica(index, &id).await;
    }

    /// Restarts a replica under the same id, without its former state.
    pub async fn restart_replica(&mut self, index: usize) {
        let id = self.replicas[index].0.id.clone();
        self.start_replica(index, &id).await;
    }

    /// Replaces each replica that has crashed; returns their indices.
    pub async fn replace_crashed(&mut self) -> Vec<usize> {
        let crashed = |(replica, _): &(FakeReplica, &str)| replica.ended().is_cancelled();
        let indices: Vec<usize> = (0..self.replicas.len())
            .filter(|index| crashed(&self.replicas[*index]))
            .collect();
        for index in &indices {
            self.replace_replica(*index).await;
        }
        indices
    }

    async fn start_replica(&mut self, index: usize, id: &str) {
        let region = self.replicas[index].1;
        let replica = FakeReplica::start(id, self.shape, &self.crashing_requests).await;
        if let Some(version) = &self.released {
            replica.set_version(version);
        }
        let link = start_replica_link(&replica).await;
        let (old_link, _) = std::mem::replace(&mut self.links[index], link);
        let old = std::mem::replace(&mut self.replicas[index].0, replica);
        self.retired.push(RetiredReplica {
            position: index,
            region,
            id: old.id.clone(),
            observations: old.observations(),
            holds: old_link.holds(),
        });
        drop(old);
        self.register(index, "ready");
    }

    /// Returns the link to a replica.
    pub fn link(&self, index: usize) -> &LinkState {
        &self.links[index].0
    }

    /// Returns a region's link to the store.
    pub fn store_link(&self, region: &str) -> &LinkState {
        &self.store_links[region].0
    }

    /// Writes a stale entry: that of a former replica whose address has since been assigned to this
    /// one.
    pub fn register_stale(&self, index: usize, id: &str) {
        let (replica, region) = &self.replicas[index];
        let zone = format!("{region}-a");
        let key = format!("servers/{id}");
        self.store
            .write(&key, &replica.entry("desk", &zone, "ready"));
    }

    /// Returns the store's address.
    pub fn store_address(&self) -> &str {
        &self.server.address
    }

    fn settings(&self, index: usize) -> String {
        let entry = &self.entries[index];
        let [front, readiness, control, directory, peer] = &entry.addresses[..] else {
            panic!("an entry VM has five addresses");
        };
        // All entry VMs of a lab share one IP address and get new ports in each run, so that seeds
        // cannot name them; they find each other through their keys in the store.
        let memory = self
            .memory_mib
            .map_or_else(String::new, |mib| format!("memory = {mib}\n"));
        let open_files = self
            .open_files
            .map_or_else(String::new, |count| format!("open_files = {count}\n"));
        let mut text = format!(
            "[node]\nname = {}\nregion = {}\ndata_centre = {}-a\n{memory}{open_files}\n[listen]\nfront = {front}\n\
             readiness = {readiness}\ncontrol = {control}\ndirectory = {directory}\npeer = {peer}\n\
             \n[regions]\n",
            entry.name, entry.region, entry.region
        );
        for region in &self.regions {
            text += &format!("{}-a = {}\n", region.name, region.name);
        }
        let revoke = if self.has_accounts {
            "revoke = 5s\n"
        } else {
            ""
        };
        text += &format!(
            "\n[store]\naddress = {}\n\n[bounds]\nrepeat_slack = {}\ngrace = {GRACE_SECONDS}s\n{revoke}\
             \n[log]\nlines_per_second = 1000\n",
            self.store_links[entry.region].1.address, self.retry_slack
        );
        text
    }

    /// Starts an entry VM; its decision log goes to a file.
    ///
    /// # Panics
    ///
    /// Panics if the daemon cannot be started.
    pub fn spawn(&mut self, index: usize) {
        self.place_settings(index);
        self.spawn_process(index);
    }

    /// Returns the path of an entry VM's settings file.
    pub fn settings_path(&self, index: usize) -> PathBuf {
        let name = &self.entries[index].name;
        self.folder.join(format!("{name}.ini"))
    }

    /// Writes the settings file of an entry VM.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written.
    pub fn place_settings(&self, index: usize) {
        let text = self.settings(index);
        std::fs::write(self.settings_path(index), text).expect("settings can be written");
    }

    /// Starts an entry VM with the settings file that is there.
    ///
    /// # Panics
    ///
    /// Panics if the daemon cannot be started.
    pub fn spawn_process(&mut self, index: usize) {
        let command = match self.open_files {
            Some(count) => {
                let mut command = Command::new("sh");
                command.args(["-c", "ulimit -n \"$0\" && exec \"$@\""]);
                command.arg(count.to_string()).arg(daemon_path());
                command
            }
            None => Command::new(daemon_path()),
        };
        self.spawn_command(index, command);
    }

    /// Starts an entry VM that may write files of [`LIMITED_FILE_BYTES`], such as its decision log.
    ///
    /// # Panics
    ///
    /// Panics if the daemon cannot be started.
    pub fn spawn_with_file_limit(&mut self, index: usize) {
        self.place_settings(index);
        let blocks = LIMITED_FILE_BYTES / FILE_LIMIT_BLOCK;
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -f {blocks} && exec \"$0\" \"$@\""))
            .arg(daemon_path());
        self.spawn_command(index, command);
    }

    /// Starts an entry VM by a command that takes the daemon's arguments.
    fn spawn_command(&mut self, index: usize, mut command: Command) {
        let settings = self.settings_path(index);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(index))
            .expect("a log can be opened");
        self.entries[index].log_bytes_before = log.metadata().map_or(0, |log| log.len());
        let errors = File::options()
            .create(true)
            .append(true)
            .open(self.errors_path(index))
            .expect("a file for errors can be opened");
        let child = command
            .arg("--config")
            .arg(&settings)
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon is built");
        self.entries[index].child = Some(child);
    }

    /// Returns the path of an entry VM's decision log.
    pub fn log_path(&self, index: usize) -> PathBuf {
        let entry = &self.entries[index];
        entry.folder.join(format!("{}.log", entry.name))
    }

    /// Returns an entry VM's decision log.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.log_path(index)).unwrap_or_default()
    }

    fn errors_path(&self, index: usize) -> PathBuf {
        let name = &self.entries[index].name;
        self.folder.join(format!("{name}.errors"))
    }

    /// Returns what an entry VM has written to standard error.
    pub fn errors(&self, index: usize) -> String {
        std::fs::read_to_string(self.errors_path(index)).unwrap_or_default()
    }

    /// Kills an entry VM.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.entries[index].child.take() {
            // Fails if the process has already ended, which is fine.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends an entry VM SIGTERM, which starts a planned stop.
    pub fn terminate(&self, index: usize) {
        self.signal(index, "-TERM");
    }

    /// Sends a signal, such as `-STOP`, to an entry VM.
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(child) = &self.entries[index].child {
            // Fails if the process has already ended, which is fine.
            let _ = Command::new("kill")
                .args([signal, &child.id().to_string()])
                .status();
        }
    }

    /// Returns the mask of the signals that an entry VM catches.
    ///
    /// # Panics
    ///
    /// Panics if it has no process or `/proc` does not report the mask.
    pub fn caught_signals(&self, index: usize) -> u64 {
        let line = self.status_line(index, "SigCgt:");
        u64::from_str_radix(line.trim(), 16).expect("the mask is hexadecimal")
    }

    /// Returns the most memory that an entry VM has held so far, in KiB.
    ///
    /// # Panics
    ///
    /// Panics if it has no process or `/proc` does not report it.
    pub fn peak_memory_kib(&self, index: usize) -> u64 {
        let line = self.status_line(index, "VmHWM:");
        let number = line.trim().trim_end_matches(" kB");
        number.parse().expect("the peak is a number")
    }

    /// Returns a line of the status that `/proc` reports of an entry VM.
    fn status_line(&self, index: usize, name: &str) -> String {
        let child = self.entries[index]
            .child
            .as_ref()
            .expect("the entry VM has a process");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.expect("the process has a status");
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.expect("the status lists it").into()
    }

    /// Returns whether an entry VM was started and not killed.
    pub fn has_process(&self, index: usize) -> bool {
        self.entries[index].child.is_some()
    }

    /// Returns the folder of the settings files and decision logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Keeps the folder when the site is dropped, so that the logs of a failure can be read.
    pub fn keep_logs(&mut self) {
        self.keep_folder = true;
    }

    /// Returns whether an entry VM's process exited successfully; `None` if it has not ended.
    pub fn ended(&mut self, index: usize) -> Option<bool> {
        let child = self.entries[index].child.as_mut()?;
        child.try_wait().ok()?.map(|status| status.success())
    }

    /// Returns whether SIGTERM killed an entry VM before its program installed the signal handler.
    ///
    /// An unchanged log shows that the program had not started.
    pub fn terminated_before_start(&mut self, index: usize) -> bool {
        let entry = &mut self.entries[index];
        let status = entry.child.as_mut().map(Child::try_wait);
        let Some(Ok(Some(status))) = status else {
            return false;
        };
        let log = std::fs::metadata(self.log_path(index)).map_or(0, |log| log.len());
        status.signal() == Some(SIGTERM) && log == self.entries[index].log_bytes_before
    }

    /// Waits until an entry VM reports that it is ready.
    pub async fn wait_ready(&self, index: usize) {
        let client = Client::new();
        wait_until("the entry VM is ready", async || {
            self.is_ready(index, &client).await
        })
        .await;
    }

    /// Returns whether an entry VM reports that it is ready.
    pub async fn is_ready(&self, index: usize, client: &Client) -> bool {
        let url = format!("http://{}/readiness", self.entries[index].addresses[1]);
        let response = client.get(&url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Waits until every entry VM has discovered the others.
    async fn wait_discovered(&self) {
        for index in 0..self.entries.len() {
            for region in &self.regions {
                let entries = self.entries.iter();
                let fronts: BTreeSet<Box<str>> = entries
                    .filter(|entry| entry.region == region.name)
                    .map(|entry| entry.addresses[0].clone())
                    .collect();
                wait_until("the entry VMs have discovered each other", async || {
                    self.resolve(index, region.name).await == fronts
                })
                .await;
            }
        }
    }
}

impl Drop for SiteCluster {
    fn drop(&mut self) {
        for index in 0..self.entries.len() {
            self.kill(index);
        }
        if std::thread::panicking() {
            println!("logs: {}", self.folder.display());
            return;
        }
        if self.keep_folder {
            return;
        }
        // Leftovers of a temporary folder do no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the path of the operators' command-line tool, which is built into the same folder as the
/// daemon.
pub fn tool_path() -> PathBuf {
    daemon_path().with_file_name("zinniactl")
}

/// Starts a link without faults to an address.
async fn start_link(address: &str) -> (LinkState, TcpRelay) {
    let link = LinkState::default();
    let relay = TcpRelay::start(address, Duration::ZERO, link.clone()).await;
    (link, relay)
}

/// Starts a link without faults to a replica; it closes when the replica crashes.
async fn start_replica_link(replica: &FakeReplica) -> (LinkState, TcpRelay) {
    let link = LinkState::default();
    let to = replica.address.to_string();
    let ended = replica.ended().clone();
    let relay = TcpRelay::start_until(&to, Duration::ZERO, link.clone(), ended).await;
    (link, relay)
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold in time.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if holds().await {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("waited in vain: {what}");
}
