//! Entry VMs as separate processes, and the record of a run.

use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The command of the deploy file.
const DAEMON: &str = "target/release/zinniahatchd";

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Mutex::new(file) }
    }

    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {text}");
    }
}

/// Says why a case couldn't run, and ends it. What it started is ended as its owners are dropped.
pub fn give_up(record: &Record, why: &str) -> ! {
    record.note(&format!("the case couldn't run: {why}"));
    println!("the case couldn't run: {why}");
    std::panic::resume_unwind(Box::new("the case couldn't run"))
}

/// The machines of a deployment: region, zone and number of entry VMs, as on the site aqsu-frost.
pub const REGIONS: [(&str, &str, usize); 3] = [
    ("almaty", "almaty-hall-a", 3),
    ("shymkent", "shymkent-hall-b", 2),
    ("karaganda", "karaganda-hall-c", 2),
];

/// Ports of all machines: front, readiness, control, directory and the first internal one.
pub struct Ports([u16; 5]);

impl Ports {
    /// Finds ports that are free at all machines.
    pub fn find() -> Self {
        let ports = [(); 5].map(|()| loop {
            let held = TcpListener::bind((address(0, 0), 0)).expect("a port is free");
            let port = held.local_addr().expect("it is bound").port();
            if all_machines().iter().skip(1).all(|ip| TcpListener::bind((*ip, port)).is_ok()) {
                break port;
            }
        });
        Self(ports)
    }
}

/// The address of a machine by its region and number; each has its own loopback address.
fn address(region: usize, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 86, region as u8 + 1, number as u8 + 1)
}

fn all_machines() -> Vec<Ipv4Addr> {
    let machines = |(region, row): (usize, &(&str, &str, usize))| (0..row.2).map(move |number| address(region, number));
    REGIONS.iter().enumerate().flat_map(machines).collect()
}

/// One entry VM.
pub struct Entry {
    child: Child,
    folder: PathBuf,
    pub name: String,
    pub front: SocketAddr,
    pub directory: SocketAddr,
    readiness: SocketAddr,
}

impl Entry {
    /// Starts the process with settings as `platform/entry.ini` gives them on the site aqsu-frost.
    pub fn start(region: usize, number: usize, ports: &Ports, store: SocketAddr) -> Self {
        let (region_name, zone, _) = REGIONS[region];
        let name = format!("front-{zone}-{}", number + 1);
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let at = ports.0.map(|port| SocketAddr::from((address(region, number), port)));
        let seeds = [0, 1, 2].map(|region| format!("{}:{}", address(region, 0), ports.0[2])).join(",");
        let regions = REGIONS.map(|(region, zone, _)| format!("{zone} = {region}\n")).concat();
        let settings = format!(
            "[node]\nname = {name}\nregion = {region_name}\ndata_centre = {zone}\nprocessor = 0.25\n\
             memory = 260\nopen_files = 4100\nseeds = {seeds}\n\n[listen]\nfront = {}\nreadiness = {}\n\
             control = {}\ndirectory = {}\npeer = {}\n\n[regions]\n{regions}\n[store]\n\
             address = {store}\nlease_least = 1000ms\nhistory = 20s\nvalue_most = 1048576\n\n[bounds]\n\
             repeat_ratio = 0.2\nrepeat_window = 10s\nrepeat_slack = 54\ncold_overrun = 1.5\n\
             cold_slack = 3\ngrace = 8s\ndirectory_ttl_most = 5s\n",
            at[0], at[1], at[2], at[3], at[4]
        );
        let file = folder.join("local.yaml");
        fs::write(&file, settings).expect("the settings can be written");
        let child = spawn(&folder);
        Self { child, folder, name, front: at[0], directory: at[3], readiness: at[1] }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.child = spawn(&self.folder);
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.asks_ready()
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self, record: &Record) {
        for _ in 0..400 {
            if self.asks_ready() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        give_up(record, "the entry VM isn't ready after 20 s");
    }

    fn asks_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else { return false };
        let asked = stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        let mut line = String::new();
        asked.is_ok() && BufReader::new(stream).read_line(&mut line).is_ok() && line.contains(" 200 ")
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Waits until a text stands in the log of the process.
    pub fn wait_logged(&self, text: &str, record: &Record) {
        for _ in 0..400 {
            if fs::read_to_string(Path::new(&self.log_path())).is_ok_and(|log| log.contains(text)) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        give_up(record, "the entry VM doesn't learn of a replica in 20 s");
    }
}

/// Starts the daemon as the deploy file says, with the settings in a folder.
fn spawn(folder: &Path) -> Child {
    let log = OpenOptions::new().create(true).append(true).open(folder.join("log"));
    let log = log.expect("the log can be written");
    Command::new(DAEMON)
        .env("ZINNIAHATCH_BOOT", folder.join("local.yaml"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log can be shared"))
        .stderr(log)
        .spawn()
        .expect("the daemon has been built")
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
