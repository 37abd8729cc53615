//! Test double of a replica on the users' platform: plain requests and streams, with switchable faults.
//!
//! It implements the platform's published protocol on a plain socket, so that it can disconnect,
//! respond twice or go silent at any byte.

use super::answer_form::AnswerBreak;
use super::answer_form::AnswerEnd;
use super::answer_form::AnswerForm;
use super::answer_form::AnswerFraming;
use super::answer_form::reset_on_drop;
use super::crashing::CrashingRequests;
use super::crashing::RequestContent;
use super::flood::FLOOD_QUERY;
use super::flood::FloodKind;
use super::head_cut::HeadCut;
use super::limit_record::LimitRecord;
use super::notice_record::NoticeRecord;
use httparse::EMPTY_HEADER;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use zinniahatch_base::prelude::*;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Version of the software that an entry names unless another one was set.
const DEFAULT_VERSION: &str = "v1";
/// Size of a read, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Header line of a stream of events.
const EVENT_STREAM_LINE: &str = "Content-Type: text/event-stream\r\n";
/// Length that a cut head announces.
const CUT_LENGTH: usize = 100;

/// Behaviour of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaBehaviour {
    /// It works.
    #[default]
    Serve,
    /// It refuses every request because it is full.
    Shed,
    /// It runs every request and responds with a failure.
    Fail,
    /// It runs every request and responds with this status, without a mark that it did not run.
    FailAs(u16),
    /// It runs every request and closes the connection without a response.
    LoseAnswer,
    /// It cuts off each stream inside an event, after this many complete ones.
    BreakAfter(u32),
    /// It gives its answers this form.
    Answer(AnswerForm),
    /// It cuts the heads of its answers as the paths of the requests describe.
    CutHeads,
    /// It answers without end where the path of the request asks for that.
    Flood(FloodKind),
    /// The heads of its health answers are ended after its name, and the connections closed.
    CutHealth,
    /// It sends the bodies of plain answers byte by byte, with this pause before each. One whose size the
    /// path asks for comes in as many equal parts as others have bytes.
    Trickle(Duration),
    /// It accepts requests and never responds.
    Mute,
}

impl ReplicaBehaviour {
    /// Returns the form of its answers.
    fn form(self) -> AnswerForm {
        match self {
            Self::Answer(form) => form,
            Self::BreakAfter(after) => AnswerForm {
                framing: AnswerFraming::Chunks,
                broken: Some(AnswerBreak {
                    after,
                    inside_event: true,
                    end: AnswerEnd::Close,
                }),
            },
            _ => AnswerForm::default(),
        }
    }
}

/// What a replica observed.
#[derive(Clone, Debug, Default)]
pub struct ReplicaObservations {
    /// Number of runs of each attempt.
    pub runs: BTreeMap<Box<str>, u32>,
    /// The account for which each attempt was run, if the request named one.
    pub accounts: BTreeMap<Box<str>, Box<str>>,
    /// Number of requests that carried a caller's credential.
    pub credentials: u32,
    /// When it last started to run a request.
    pub last_run: Option<Instant>,
    /// All runs of streams.
    pub stream_runs: Vec<StreamRun>,
    /// Number of streams whose connection the other side closed before the end.
    pub closed_early: u32,
    /// Requests that it never answered and whose connection the other side closed.
    pub closed_unanswered: BTreeSet<Box<str>>,
    /// When requests of callers reached it, and their attempts, including misdirected ones.
    pub arrivals: Vec<(Instant, Box<str>)>,
    /// Number of requests that were meant for another replica.
    pub misdirected: u32,
    /// The rate limits that it announced, and all requests that reached it.
    pub limits: LimitRecord,
    /// Its drain and backoff notices, and the callers' requests that reached it.
    pub notices: NoticeRecord,
}

/// One run of a streamed attempt.
#[derive(Clone, Debug)]
pub struct StreamRun {
    /// The attempt.
    pub attempt: Box<str>,
    /// When the replica began to work on it.
    pub began: Instant,
    /// When it was complete, the replica read that the other side closed the connection, or the replica
    /// crashed.
    pub ended: Option<Instant>,
}

#[derive(Debug, Default)]
struct FakeReplicaState {
    /// Until when it is cold.
    cold_until: Option<Instant>,
    behaviour: ReplicaBehaviour,
    /// Version of its software, if its events name it.
    version: Option<Box<str>>,
    /// Whether its responses announce that it is leaving.
    leaving: bool,
    /// Name of an undocumented header in complete responses.
    extra_header: Option<Box<str>>,
    /// The value of `Retry-After` in refusals.
    backoff: Option<Box<str>>,
    observations: ReplicaObservations,
}

/// Length and pace of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamShape {
    /// Number of events.
    pub events: u32,
    /// Pause before each event.
    pub pause: Duration,
}

/// A running replica; it stops when dropped.
#[derive(Debug)]
pub struct FakeReplica {
    /// Its id, which a restarted replica may reuse.
    pub id: Box<str>,
    /// Start time, in Unix milliseconds.
    pub started_ms: u64,
    /// Where it listens.
    pub address: SocketAddrV4,
    state: Arc<Mutex<FakeReplicaState>>,
    ended: CancellationToken,
    task: JoinHandle<()>,
}

impl FakeReplica {
    /// Starts a replica on a free port; it crashes when it runs a crashing request.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(id: &str, shape: StreamShape, crashing: &CrashingRequests) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let Ok(SocketAddr::V4(address)) = listener.local_addr() else {
            panic!("an IPv4 address was bound");
        };
        let state = Arc::new(Mutex::new(FakeReplicaState::default()));
        let serving = ReplicaServer {
            id: id.into(),
            shape,
            state: Arc::clone(&state),
            crashing: crashing.clone(),
            ended: CancellationToken::new(),
        };
        let ended = serving.ended.clone();
        let task = tokio::spawn(async move {
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let serving = serving.clone();
                    let ended = serving.ended.clone();
                    tokio::spawn(ended.run_until_cancelled_owned(serving.run(stream)));
                }
            };
            serving.ended.run_until_cancelled(accept).await;
        });
        Self {
            id: id.into(),
            started_ms: unix_millis(),
            address,
            state,
            ended,
            task,
        }
    }

    /// Crashes the replica: connections close in the middle of responses, new ones are refused.
    pub fn crash(&self) {
        self.ended.cancel();
    }

    /// Returns the token that is cancelled when it crashes.
    pub fn ended(&self) -> &CancellationToken {
        &self.ended
    }

    /// Switches its behaviour.
    pub fn set_behaviour(&self, behaviour: ReplicaBehaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Sets the version of its software, which its entry and its events name from now on.
    pub fn set_version(&self, version: &str) {
        lock(&self.state).version = Some(version.into());
    }

    /// Returns the version of its software, if it was set.
    pub fn version(&self) -> Option<Box<str>> {
        lock(&self.state).version.clone()
    }

    /// Announces a rate limit in every response from now on, or none.
    pub fn set_rate_limit(&self, rate: Option<RequestRate>) {
        lock(&self.state)
            .observations
            .limits
            .record_limit(rate, Instant::now());
    }

    /// Says in its health responses that it is cold for the time `left`; its entry does not change.
    pub fn set_cold(&self, left: Duration) {
        lock(&self.state).cold_until = Some(Instant::now() + left);
    }

    /// Announces in every response from now on that it is leaving.
    pub fn announce_leaving(&self) {
        lock(&self.state).leaving = true;
    }

    /// Adds an undocumented header to complete responses.
    pub fn add_header(&self, name: &str) {
        lock(&self.state).extra_header = Some(name.into());
    }

    /// Asks for a backoff, in seconds, in every refusal from now on, or for none.
    pub fn request_backoff(&self, backoff: Option<&str>) {
        lock(&self.state).backoff = backoff.map(Box::from);
    }

    /// Returns what it observed so far; runs of streams that go on are returned as ending now.
    pub fn observations(&self) -> ReplicaObservations {
        let mut observations = lock(&self.state).observations.clone();
        for run in &mut observations.stream_runs {
            run.ended.get_or_insert_with(Instant::now);
        }
        observations
    }

    /// Returns its entry in the platform's store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        self.entry_at(&self.address.to_string(), service, zone, state)
    }

    /// Returns its entry in the platform's store with another address, such as that of a relay.
    pub fn entry_at(&self, address: &str, service: &str, zone: &str, state: &str) -> String {
        let version = self.version().unwrap_or_else(|| DEFAULT_VERSION.into());
        store_entry(service, address, zone, state, &version, self.started_ms)
    }
}

/// Returns the entry of a replica in the platform's store.
pub(super) fn store_entry(
    service: &str,
    address: &str,
    zone: &str,
    state: &str,
    version: &str,
    started_ms: u64,
) -> String {
    serde_json::json!({"service": service, "address": address,
        "zone": zone, "version": version, "slots": 8, "state": state, "cold_left_ms": 0,
        "sequence": 1, "born": started_ms})
    .to_string()
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Drop for FakeReplica {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<FakeReplicaState>) -> MutexGuard<'_, FakeReplicaState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Records the end of a run when dropped, however the run ends.
struct StreamRunGuard {
    state: Arc<Mutex<FakeReplicaState>>,
    index: usize,
}

impl StreamRunGuard {
    fn start(state: &Arc<Mutex<FakeReplicaState>>, attempt: &str) -> Self {
        let runs = &mut lock(state).observations.stream_runs;
        runs.push(StreamRun {
            attempt: attempt.into(),
            began: Instant::now(),
            ended: None,
        });
        Self {
            state: Arc::clone(state),
            index: runs.len() - 1,
        }
    }
}

impl Drop for StreamRunGuard {
    fn drop(&mut self) {
        let runs = &mut lock(&self.state).observations.stream_runs;
        runs[self.index].ended = Some(Instant::now());
    }
}

#[derive(Clone)]
struct ReplicaServer {
    id: Box<str>,
    shape: StreamShape,
    state: Arc<Mutex<FakeReplicaState>>,
    crashing: CrashingRequests,
    ended: CancellationToken,
}

/// A request as parsed by the replica.
pub(super) struct ReplicaRequest {
    pub(super) content: RequestContent,
    /// Ids of the parts of its prompt, without the last.
    parts: Vec<Box<str>>,
    pub(super) attempt: Box<str>,
    /// The client account named by the entry VM.
    account: Option<Box<str>>,
    expected: Option<Box<str>>,
    last_event: u32,
}

impl ReplicaServer {
    async fn run(self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            if !self.respond(&mut stream, &request).await {
                return;
            }
        }
    }

    /// Responds to a request; returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, request: &ReplicaRequest) -> bool {
        lock(&self.state)
            .observations
            .limits
            .record_arrival(Instant::now());
        if &*request.content.path == "/health" {
            if lock(&self.state).behaviour == ReplicaBehaviour::CutHealth {
                let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\n\r\n", self.id);
                // The connection is closed whether or not this arrives.
                let _ = stream.write_all(head.as_bytes()).await;
                return false;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\n{}{}{}Content-Length: 0\r\n\r\n",
                self.id,
                self.cold_line(),
                self.limit_line(),
                self.leaving_line("")
            );
            return stream.write_all(head.as_bytes()).await.is_ok();
        }
        let arrival = (Instant::now(), request.attempt.clone());
        lock(&self.state).observations.arrivals.push(arrival);
        self.crashing.note_arrival(&request.parts);
        let misdirected = request
            .expected
            .as_deref()
            .is_some_and(|expected| expected != &*self.id);
        if misdirected {
            lock(&self.state).observations.misdirected += 1;
            return self
                .refuse(stream, request, "421 Misdirected Request")
                .await;
        }
        let behaviour = {
            let mut state = lock(&self.state);
            let notices = &mut state.observations.notices;
            notices.record_arrival(&request.attempt, Instant::now());
            state.behaviour
        };
        if behaviour == ReplicaBehaviour::Shed {
            return self
                .refuse(stream, request, "503 Service Unavailable")
                .await;
        }
        if behaviour == ReplicaBehaviour::Mute {
            return self.wait_for_close(stream, request).await;
        }
        {
            let mut state = lock(&self.state);
            *state
                .observations
                .runs
                .entry(request.attempt.clone())
                .or_default() += 1;
            state.observations.last_run = Some(Instant::now());
            state.observations.credentials += u32::from(!request.content.caller.is_empty());
            if let Some(account) = &request.account {
                let accounts = &mut state.observations.accounts;
                accounts.insert(request.attempt.clone(), account.clone());
            }
        }
        if self
            .crashing
            .count_crash(&request.content, &request.parts, &self.id)
        {
            return self.crash_during(stream, request).await;
        }
        if behaviour == ReplicaBehaviour::CutHeads
            && let Some(cut) = HeadCut::of_path(&request.content.path)
        {
            return self.cut_head(stream, request, cut).await;
        }
        match (behaviour, requested_bytes(&request.content.path)) {
            (ReplicaBehaviour::LoseAnswer, _) => false,
            (ReplicaBehaviour::Flood(kind), _) if request.content.path.ends_with(FLOOD_QUERY) => {
                self.flood(stream, request, kind).await
            }
            (ReplicaBehaviour::FailAs(status), _) => {
                self.plain(stream, request, &format!("{status} Failed"))
                    .await
            }
            (ReplicaBehaviour::Fail, Some(bytes)) => {
                self.large(stream, request, "500 Internal Error", bytes)
                    .await
            }
            (ReplicaBehaviour::Fail, None) => {
                self.plain(stream, request, "500 Internal Error").await
            }
            _ if request.content.path.starts_with("/stream") => {
                self.events(stream, request, behaviour.form()).await
            }
            (ReplicaBehaviour::Answer(form), bytes) => {
                self.plain_in_form(stream, request, form, bytes).await
            }
            (ReplicaBehaviour::Trickle(pause), _) => self.trickle(stream, request, pause).await,
            (_, Some(bytes)) => self.large(stream, request, "200 OK", bytes).await,
            _ => self.plain(stream, request, "200 OK").await,
        }
    }

    /// Answers nothing until the other side closes the connection.
    async fn wait_for_close(&self, stream: &TcpStream, request: &ReplicaRequest) -> bool {
        // The other side sends nothing more, so that any result means that it has closed.
        let _ = stream.peek(&mut [0]).await;
        let closed = &mut lock(&self.state).observations.closed_unanswered;
        closed.insert(request.attempt.clone());
        false
    }

    /// Returns the header line that says for how long it is cold; empty if it is warm.
    fn cold_line(&self) -> String {
        let left = lock(&self.state).cold_until;
        let left = left.map(|until| until.saturating_duration_since(Instant::now()));
        left.filter(|left| !left.is_zero())
            .map(|left| format!("X-Cold-Remaining: {}\r\n", left.as_millis()))
            .unwrap_or_default()
    }

    /// Returns the header line that announces the rate limit; empty if there is none.
    fn limit_line(&self) -> String {
        let rate = lock(&self.state).observations.limits.rate();
        rate.map_or_else(String::new, |rate| format!("Server-Limit: {rate}\r\n"))
    }

    /// Returns the header line that announces that it is leaving; empty if it is not.
    fn leaving_line(&self, attempt: &str) -> &'static str {
        let mut state = lock(&self.state);
        if !state.leaving {
            return "";
        }
        let notices = &mut state.observations.notices;
        notices.record_leaving(attempt, Instant::now());
        "Server-Leaving: 1\r\n"
    }

    /// Returns the undocumented header line; empty if there is none.
    fn extra_header_line(&self) -> String {
        let name = lock(&self.state).extra_header.clone();
        name.map_or_else(String::new, |name| format!("{name}: 1\r\n"))
    }

    /// Returns the header line that asks for a backoff; empty if it asks for none.
    fn backoff_line(&self, attempt: &str) -> String {
        let mut state = lock(&self.state);
        let Some(backoff) = state.backoff.clone() else {
            return String::new();
        };
        let duration = backoff.parse().ok();
        if let Some(duration) =
            duration.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        {
            let notices = &mut state.observations.notices;
            notices.record_backoff(attempt, duration, Instant::now());
        }
        format!("Retry-After: {backoff}\r\n")
    }

    fn head(&self, request: &ReplicaRequest, status: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {}\r\nKeep-Alive: timeout=5\r\n{}{}",
            request.attempt,
            self.limit_line(),
            self.leaving_line(&request.attempt)
        )
    }

    async fn refuse(&self, stream: &mut TcpStream, request: &ReplicaRequest, status: &str) -> bool {
        let backoff = if status.starts_with("503") {
            self.backoff_line(&request.attempt)
        } else {
            String::new()
        };
        let text = format!(
            "{}{backoff}X-Not-Executed: 1\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.head(request, status),
            self.id
        );
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    async fn plain(&self, stream: &mut TcpStream, request: &ReplicaRequest, status: &str) -> bool {
        let body = format!("{}@{}", request.attempt, self.id);
        let text = format!(
            "{}X-Server-Seal: {}\r\nX-Server-Load: 1,0,8\r\n{}Content-Length: {}\r\n\r\n{body}",
            self.head(request, status),
            self.id,
            self.extra_header_line(),
            body.len()
        );
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Returns the head of an answer whose body has a length.
    fn sealed_head(&self, request: &ReplicaRequest, status: &str, length: usize) -> String {
        format!(
            "{}X-Server-Seal: {}\r\nContent-Length: {length}\r\n\r\n",
            self.head(request, status),
            self.id
        )
    }

    /// Sends a plain answer of a size.
    async fn large(
        &self,
        stream: &mut TcpStream,
        request: &ReplicaRequest,
        status: &str,
        bytes: usize,
    ) -> bool {
        let head = self.sealed_head(request, status, bytes);
        stream.write_all(head.as_bytes()).await.is_ok()
            && stream.write_all(&vec![b'x'; bytes]).await.is_ok()
    }

    /// Sends a plain answer in small parts.
    async fn trickle(
        &self,
        stream: &mut TcpStream,
        request: &ReplicaRequest,
        pause: Duration,
    ) -> bool {
        let bytes = requested_bytes(&request.content.path);
        let text = format!("{}@{}", request.attempt, self.id);
        let part = bytes.map_or(1, |bytes| bytes.div_ceil(text.len()));
        let body = bytes.map_or_else(|| text.into_bytes(), |bytes| vec![b'x'; bytes]);
        let head = self.sealed_head(request, "200 OK", body.len());
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for bytes in body.chunks(part) {
            sleep(pause).await;
            if stream.write_all(bytes).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Starts a stream and crashes in the middle of it, which breaks all other responses too.
    async fn crash_during(&self, stream: &mut TcpStream, request: &ReplicaRequest) -> bool {
        let head = format!(
            "{}X-Server-Seal: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.head(request, "200 OK"),
            self.id
        );
        // The crash follows whether or not this succeeds.
        let _ = stream.write_all(head.as_bytes()).await;
        sleep(self.shape.pause).await;
        self.ended.cancel();
        false
    }

    /// Sends a plain answer in another form than the usual one.
    async fn plain_in_form(
        &self,
        stream: &mut TcpStream,
        request: &ReplicaRequest,
        form: AnswerForm,
        bytes: Option<usize>,
    ) -> bool {
        let body = bytes.map_or_else(
            || format!("{}@{}", request.attempt, self.id),
            |bytes| "x".repeat(bytes),
        );
        let head = self.head_in_form(request, form, "", body.len());
        let sent = match form.broken {
            Some(_) => &body[..body.len() / 2],
            None => &body,
        };
        let started = stream.write_all(head.as_bytes()).await;
        if started.is_err() || form.write_part(stream, sent).await.is_err() {
            return false;
        }
        match form.broken {
            Some(broken) => self.break_off(stream, broken.end).await,
            None => form.finish(stream).await,
        }
    }

    /// Returns the head of a success in a form; `more` is a further header line or empty.
    fn head_in_form(
        &self,
        request: &ReplicaRequest,
        form: AnswerForm,
        more: &str,
        length: usize,
    ) -> String {
        format!(
            "{}X-Server-Seal: {}\r\n{more}{}\r\n",
            self.head(request, "200 OK"),
            self.id,
            form.header_line(length)
        )
    }

    /// Answers without end.
    async fn flood(
        &self,
        stream: &mut TcpStream,
        request: &ReplicaRequest,
        kind: FloodKind,
    ) -> bool {
        let head = self.head(request, "200 OK");
        let head = format!("{head}X-Server-Seal: {}\r\n{EVENT_STREAM_LINE}", self.id);
        kind.run(stream, &head).await;
        false
    }

    /// Sends the beginning of a head and breaks the answer off.
    async fn cut_head(
        &self,
        stream: &mut TcpStream,
        request: &ReplicaRequest,
        cut: HeadCut,
    ) -> bool {
        let is_stream = request.content.path.starts_with("/stream");
        let more = if is_stream { EVENT_STREAM_LINE } else { "" };
        let head = self.head_in_form(request, cut.form(), more, CUT_LENGTH);
        // The answer breaks off next; whether these bytes arrive does not matter.
        let _ = stream.write_all(cut.apply(&head).as_bytes()).await;
        self.break_off(stream, cut.end).await
    }

    async fn events(
        &self,
        stream: &mut TcpStream,
        request: &ReplicaRequest,
        form: AnswerForm,
    ) -> bool {
        let _run = StreamRunGuard::start(&self.state, &request.attempt);
        let version = lock(&self.state).version.clone();
        let version = version.map_or_else(String::new, |version| format!(" {version}"));
        let padding = "x".repeat(requested_bytes(&request.content.path).unwrap_or_default());
        let mut events = Vec::new();
        for id in request.last_event + 1..=self.shape.events {
            let event = format!("id: {id}\ndata: {}{version}{padding}\n\n", request.attempt);
            events.push(event);
        }
        let length = events.iter().map(String::len).sum();
        let head = self.head_in_form(request, form, EVENT_STREAM_LINE, length);
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for (sent, event) in events.iter().enumerate() {
            if !self.pause(stream).await {
                lock(&self.state).observations.closed_early += 1;
                return false;
            }
            if let Some(broken) = form.broken.filter(|broken| broken.after == sent as u32) {
                let torn = if broken.inside_event {
                    &event[..event.len() / 2]
                } else {
                    ""
                };
                // The answer breaks off next; whether these bytes arrive does not matter.
                let _ = form.write_part(stream, torn).await;
                return self.break_off(stream, broken.end).await;
            }
            if form.write_part(stream, event).await.is_err() {
                lock(&self.state).observations.closed_early += 1;
                return false;
            }
        }
        form.finish(stream).await
    }

    /// Breaks off an answer; returns whether the connection stays open.
    async fn break_off(&self, stream: &mut TcpStream, end: AnswerEnd) -> bool {
        match end {
            AnswerEnd::Close => {}
            AnswerEnd::Reset => reset_on_drop(stream),
            AnswerEnd::Silence => std::future::pending().await,
            AnswerEnd::Crash => {
                sleep(self.shape.pause).await;
                self.ended.cancel();
            }
        }
        false
    }

    /// Waits before an event; returns `false` if the other side closed the connection meanwhile.
    async fn pause(&self, stream: &mut TcpStream) -> bool {
        let mut byte = [0_u8; 1];
        tokio::select! {
            () = sleep(self.shape.pause) => true,
            read = stream.peek(&mut byte) => matches!(read, Ok(count) if count > 0),
        }
    }
}

/// Returns the size that a path asks for in its query.
fn requested_bytes(path: &str) -> Option<usize> {
    path.split_once("?bytes=")?.1.parse().ok()
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReplicaRequest> {
    loop {
        if let Some((mut request, used, body)) = parse_request(buffer) {
            while buffer.len() < used + body {
                read_some(stream, buffer).await?;
            }
            request.content.body = buffer[used..used + body].to_vec();
            buffer.drain(..used + body);
            return Some(request);
        }
        read_some(stream, buffer).await?;
    }
}

pub(super) async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = vec![0; READ_BYTES];
    let count = stream
        .read(&mut bytes)
        .await
        .ok()
        .filter(|count| *count > 0)?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(())
}

/// Parses the head of a request; returns it with the lengths of its head and body once it is whole.
pub(super) fn parse_request(buffer: &[u8]) -> Option<(ReplicaRequest, usize, usize)> {
    let mut lines = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let Ok(httparse::Status::Complete(used)) = parsed.parse(buffer) else {
        return None;
    };
    let text = |name: &str| {
        let mut headers = parsed.headers.iter();
        let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok().map(Box::<str>::from)
    };
    let number = |name: &str| text(name).and_then(|value| value.parse::<u32>().ok());
    let mut parts: Vec<Box<str>> = text("x-prompt-prefix")
        .unwrap_or_default()
        .split(',')
        .filter_map(|part| part.split(':').next().map(Box::from))
        .collect();
    parts.pop();
    let request = ReplicaRequest {
        parts,
        content: RequestContent {
            path: parsed.path.unwrap_or_default().into(),
            caller: text("authorization").unwrap_or_default(),
            body: Vec::new(),
        },
        attempt: text("x-attempt-id").unwrap_or_default(),
        account: text("x-tenant"),
        expected: text("x-expect-instance"),
        last_event: number("last-event-id").unwrap_or(0),
    };
    let body = number("content-length").unwrap_or(0) as usize;
    Some((request, used, body))
}
