//! Limits of callers that change while a connection is open, with a real entry VM.

use std::ops::RangeInclusive;
use std::time::Duration;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use zinniahatch_lab::site::HOST;
use zinniahatch_lab::site::SiteCluster;
use zinniahatch_lab::site::SiteRegion;
use zinniahatch_lab::site::wait_until;
use zinniahatch_lab::test_doubles::replica::StreamShape;

const SHAPE: StreamShape = StreamShape {
    events: 1,
    pause: Duration::ZERO,
};
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Positions of the listeners for callers and for other nodes.
const FRONT_LISTENER: usize = 0;
const PEER_LISTENER: usize = 4;
/// Time for which a connection may stay open beyond its limit.
const MAX_EXCESS: Duration = Duration::from_secs(4);

/// An answer of the entry VM.
#[derive(Debug)]
struct CallerAnswer {
    status: u16,
    /// Value of its `Keep-Alive` header.
    keep_alive: String,
}

/// A site with one entry VM, and a connection to it.
struct LimitSite {
    site: SiteCluster,
    stream: TcpStream,
    version: u64,
}

impl LimitSite {
    async fn start(name: &str, value: u64) -> Self {
        let site = SiteCluster::start(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
        let mut version = 1;
        set_limit(&site, &mut version, name, value).await;
        let stream = connect(&site, FRONT_LISTENER).await;
        Self {
            site,
            stream,
            version,
        }
    }

    /// Goes on with a new connection, to one of the entry VM's listeners.
    async fn connect(&mut self, listener: usize) {
        self.stream = connect(&self.site, listener).await;
    }

    async fn set(&mut self, name: &str, value: u64) {
        set_limit(&self.site, &mut self.version, name, value).await;
    }

    async fn write(&mut self, text: &str) {
        let written = self.stream.write_all(text.as_bytes()).await;
        written.expect("the request is written");
    }

    /// Sends a request whose head and body have at least these sizes.
    async fn ask(&mut self, head_bytes: usize, body_bytes: usize) -> CallerAnswer {
        let padding = "p".repeat(head_bytes);
        let body = "b".repeat(body_bytes);
        let head = request_head(&format!(
            "x-padding: {padding}\r\ncontent-length: {body_bytes}\r\n"
        ));
        self.write(&format!("{head}{body}")).await;
        self.read_answer().await
    }

    async fn read_answer(&mut self) -> CallerAnswer {
        let answer = timeout(ANSWER_TIMEOUT, async {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let byte = self.stream.read_u8().await;
                head.push(byte.expect("the request is answered"));
            }
            let head = String::from_utf8(head).expect("a head is text");
            let head = head.to_lowercase();
            let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
            let length =
                value("content-length: ").map_or(0, |text| text.parse().expect("a length"));
            let mut body = vec![0; length];
            let whole = self.stream.read_exact(&mut body).await;
            whole.expect("the answer is whole");
            CallerAnswer {
                status: head[9..12].parse().expect("a status"),
                keep_alive: value("keep-alive: ").unwrap_or_default().into(),
            }
        });
        answer.await.expect("the request is answered in time")
    }

    /// Asserts that nothing arrives for a time and the connection stays open.
    async fn expect_open(&mut self, time: Duration) {
        let read = timeout(time, self.stream.read_u8()).await;
        assert!(read.is_err(), "the entry VM wrote or closed: {read:?}");
    }

    /// Returns when the connection is closed.
    async fn closed_after(&mut self, limit: Duration) -> Duration {
        let began = Instant::now();
        let mut rest = Vec::new();
        let closed = timeout(limit, self.stream.read_to_end(&mut rest)).await;
        closed.expect("the connection is closed").ok();
        began.elapsed()
    }
}

/// Returns how many connections the entry VM closed for a reason.
async fn closed_count(site: &SiteCluster, reason: &str) -> u64 {
    let url = format!("http://{}/metrics", site.entries[0].addresses[2]);
    let response = reqwest::get(url).await.expect("the entry VM answers");
    let text = response.text().await.expect("the metrics are text");
    let name = format!("zinniahatch_closed_connections_total{{reason=\"{reason}\"}} ");
    let count = text.lines().find_map(|line| line.strip_prefix(&name));
    count.map_or(0, |count| count.parse().expect("a count"))
}

/// Returns the head of a request with additional header lines.
fn request_head(lines: &str) -> String {
    format!(
        "POST /plain/t HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: a\r\nx-time-remaining: 9000\r\n{lines}\r\n"
    )
}

async fn connect(site: &SiteCluster, listener: usize) -> TcpStream {
    let stream = TcpStream::connect(&*site.entries[0].addresses[listener]).await;
    stream.expect("the entry VM listens")
}

/// Puts a limit in force.
async fn set_limit(site: &SiteCluster, version: &mut u64, name: &str, value: u64) {
    *version += 1;
    let mut state = site.desired_state(*version);
    state["limits"][name] = value.into();
    site.write_desired_state(&state);
    let line = format!("\"to\":{version}");
    wait_until("the limit is in force", async || {
        site.log(0).contains(&line)
    })
    .await;
}

fn within(limit: Duration) -> RangeInclusive<Duration> {
    limit..=limit + MAX_EXCESS
}

/// Guards against a connection that is closed and leaves no sign of the reason.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_is_counted_by_reason() {
    let mut site = LimitSite::start("idle_timeout_ms", 1_000).await;
    assert_eq!(site.ask(0, 0).await.status, 200);
    let limit = Duration::from_secs(1);
    let closed = site.closed_after(limit + MAX_EXCESS).await;
    assert!(within(limit).contains(&closed), "closed after {closed:?}");
    assert_eq!(closed_count(&site.site, "idle").await, 1);
}

/// Guards against a connection that is closed sooner than its last answer said.
#[tokio::test(flavor = "multi_thread")]
async fn raised_idle_timeout_is_kept() {
    let mut site = LimitSite::start("idle_timeout_ms", 1_000).await;
    assert_eq!(site.ask(0, 0).await.keep_alive, "timeout=1");
    site.set("idle_timeout_ms", 6_000).await;
    assert_eq!(site.ask(0, 0).await.keep_alive, "timeout=6");
    site.expect_open(Duration::from_millis(5_800)).await;
    assert_eq!(site.ask(0, 0).await.status, 200);
}

/// Guards against a connection that is closed by a limit which its last answer did not name, and
/// against one that stays open for longer than the limit in force.
#[tokio::test(flavor = "multi_thread")]
async fn lowered_idle_timeout_follows_its_announcement() {
    let mut site = LimitSite::start("idle_timeout_ms", 9_000).await;
    assert_eq!(site.ask(0, 0).await.keep_alive, "timeout=9");
    site.set("idle_timeout_ms", 1_000).await;
    site.expect_open(Duration::from_millis(8_500)).await;
    assert_eq!(site.ask(0, 0).await.keep_alive, "timeout=1");
    let limit = Duration::from_secs(1);
    let closed = site.closed_after(limit + MAX_EXCESS).await;
    assert!(within(limit).contains(&closed), "closed after {closed:?}");
}

/// Guards against a head that is judged by the limit in force when its connection was opened.
#[test_case(16_384, 65_536, 200; "raised")]
#[test_case(65_536, 16_384, 431; "lowered")]
#[tokio::test(flavor = "multi_thread")]
async fn head_size_limit_is_the_one_in_force(before: u64, after: u64, status: u16) {
    const HEAD_BYTES: usize = 40_000;
    let mut site = LimitSite::start("max_header_bytes", before).await;
    assert_eq!(site.ask(0, 0).await.status, 200);
    site.set("max_header_bytes", after).await;
    assert_eq!(site.ask(HEAD_BYTES, 0).await.status, status);
}

/// Guards against a head that is taken in without a bound because it does not end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_head_is_refused() {
    const LIMIT: u64 = 16_384;
    let mut site = LimitSite::start("max_header_bytes", LIMIT).await;
    let head = request_head(&"p".repeat(4 * LIMIT as usize));
    site.write(head.trim_end()).await;
    assert_eq!(site.read_answer().await.status, 431);
    site.closed_after(MAX_EXCESS).await;
    assert_eq!(closed_count(&site.site, "large-head").await, 1);
}

/// Guards against a request that is refused for good by a node that does not know the limits yet.
#[test_case(40_000, 0; "head")]
#[test_case(0, 6_000_000; "body")]
#[tokio::test(flavor = "multi_thread")]
async fn size_is_not_judged_before_limits_are_known(head_bytes: usize, body_bytes: usize) {
    let mut site = SiteCluster::prepare(&[SiteRegion::new("north", 1, 1)], SHAPE).await;
    site.store_link("north").cut();
    site.spawn(0);
    wait_until("the entry VM listens", async || {
        let address = &*site.entries[0].addresses[FRONT_LISTENER];
        TcpStream::connect(address).await.is_ok()
    })
    .await;
    let stream = connect(&site, FRONT_LISTENER).await;
    let version = 1;
    let mut site = LimitSite {
        site,
        stream,
        version,
    };
    assert_eq!(site.ask(head_bytes, body_bytes).await.status, 503);
}

/// Guards against a body that is judged by the limit in force when its connection was opened.
#[test_case(16_384, 65_536, 200; "raised")]
#[test_case(65_536, 16_384, 413; "lowered")]
#[tokio::test(flavor = "multi_thread")]
async fn body_size_limit_is_the_one_in_force(before: u64, after: u64, status: u16) {
    const BODY_BYTES: usize = 40_000;
    let mut site = LimitSite::start("max_body_bytes", before).await;
    assert_eq!(site.ask(0, 0).await.status, 200);
    site.set("max_body_bytes", after).await;
    assert_eq!(site.ask(0, BODY_BYTES).await.status, status);
}

/// Guards against a forwarded request that is refused because the node that it is forwarded to follows
/// a version with lower limits than the node which accepted it.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_request_is_not_judged_again() {
    const BYTES: usize = 40_000;
    let mut site = LimitSite::start("max_body_bytes", 16_384).await;
    assert_eq!(site.ask(0, BYTES).await.status, 413);
    site.connect(PEER_LISTENER).await;
    assert_eq!(site.ask(BYTES, BYTES).await.status, 200);
}

/// Guards against a head that arrives within its own time and is dropped because its connection was
/// idle before.
#[tokio::test(flavor = "multi_thread")]
async fn slow_head_has_its_own_time() {
    let mut site = LimitSite::start("idle_timeout_ms", 2_000).await;
    assert_eq!(site.ask(0, 0).await.status, 200);
    site.expect_open(Duration::from_millis(1_900)).await;
    let head = request_head("");
    let (first, last) = head.split_at(head.len() / 2);
    site.write(first).await;
    site.expect_open(Duration::from_millis(2_900)).await;
    site.write(last).await;
    assert_eq!(site.read_answer().await.status, 200);
}

/// Guards against a head that is dropped by the limit in force when its connection was opened.
#[tokio::test(flavor = "multi_thread")]
async fn raised_header_timeout_applies_to_open_connection() {
    let mut site = LimitSite::start("idle_timeout_ms", 1_000).await;
    let head = request_head("");
    let (first, last) = head.split_at(head.len() / 2);
    site.write(first).await;
    site.set("header_timeout_ms", 8_000).await;
    site.expect_open(Duration::from_millis(7_500)).await;
    site.write(last).await;
    assert_eq!(site.read_answer().await.status, 200);
}

/// Guards against a head that never ends and keeps its connection for as long as an idle one, and
/// against one that is dropped without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_head_is_refused() {
    let mut site = LimitSite::start("header_timeout_ms", 1_000).await;
    assert_eq!(site.ask(0, 0).await.status, 200);
    let head = request_head("");
    site.write(&head[..head.len() / 2]).await;
    assert_eq!(site.read_answer().await.status, 408);
    site.closed_after(MAX_EXCESS).await;
    assert_eq!(closed_count(&site.site, "slow-head").await, 1);
}

/// Guards against a request that has arrived at an idle connection and is dropped because the time of
/// the connection passed while the entry VM was paused.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_waits_is_answered() {
    const PAUSE: Duration = Duration::from_millis(3_500);
    let mut site = LimitSite::start("idle_timeout_ms", 1_000).await;
    assert_eq!(site.ask(0, 0).await.status, 200);
    site.site.signal(0, "-STOP");
    site.write(&request_head("")).await;
    site.expect_open(PAUSE).await;
    site.site.signal(0, "-CONT");
    assert_eq!(site.read_answer().await.status, 200);
}
