//! Entry VMs as separate processes, and the record of a run.

use std::fs::{self, File};
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

/// Says why a case couldn't run, and ends.
pub fn give_up(record: &Record, why: &str) -> ! {
    record.note(&format!("the case couldn't run: {why}"));
    println!("the case couldn't run: {why}");
    std::process::exit(2);
}

/// One entry VM.
pub struct Entry {
    child: Child,
    folder: PathBuf,
    pub front: SocketAddr,
    readiness: SocketAddr,
}

/// Returns addresses that are free now.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let held: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free"))
        .collect();
    held.iter().map(|listener| listener.local_addr().expect("it is bound")).collect()
}

impl Entry {
    /// Starts the process with settings as `platform/entry.ini` gives them on a small deployment.
    pub fn start(name: &str, region: &str, store: SocketAddr) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let at = free_addresses(5);
        let settings = format!(
            "[node]\nname = {name}\nregion = {region}\ndata_centre = {region}-a\nprocessor = 0.25\n\
             memory = 260\nopen_files = 4100\nseeds =\n\n[listen]\nfront = {}\nreadiness = {}\n\
             control = {}\ndirectory = {}\npeer = {}\n\n[regions]\n{region}-a = {region}\n\n[store]\n\
             address = {store}\nlease_least = 1000ms\nhistory = 20s\nvalue_most = 1048576\n\n[bounds]\n\
             repeat_ratio = 0.2\nrepeat_window = 10s\nrepeat_slack = 54\ncold_overrun = 1.5\n\
             cold_slack = 3\ngrace = 8s\ndirectory_ttl_most = 5s\n",
            at[0], at[1], at[2], at[3], at[4]
        );
        let file = folder.join("local.yaml");
        fs::write(&file, settings).expect("the settings can be written");
        let log = File::create(folder.join("log")).expect("the log can be written");
        let child = Command::new(DAEMON)
            .env("ZINNIAHATCH_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the daemon has been built");
        Self { child, folder, front: at[0], readiness: at[1] }
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

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
