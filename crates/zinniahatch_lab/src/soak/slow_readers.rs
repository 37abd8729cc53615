//! Callers that read large answers slowly, so that entry VMs stop while these are on their way.

use super::invariants::OutcomeLog;
use super::plan::SoakFault;
use super::plan::SoakPlan;
use crate::site::SiteCluster;
use crate::slow_reading::SlowReading;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use zinniahatch_base::prelude::*;

/// Size of a body, more than the kernel buffers of a connection whose caller has a small buffer.
const BODY_BYTES: usize = 8 << 20;
/// Number of pauses while a body is read: 2.5 s in all, within the grace period.
const READ_PAUSES: usize = 50;
/// Pause before another request.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);
/// Time around a fault of an entry VM within which its answers may be lost.
const FAULT_SLACK: Duration = Duration::from_secs(1);

/// All callers that read slowly, one an entry VM.
pub(crate) struct SlowReaders {
    ended: CancellationToken,
    tasks: Vec<JoinHandle<Vec<TornAnswer>>>,
}

/// An answer that began and ended before it was whole.
#[derive(Clone, Debug)]
struct TornAnswer {
    /// Index of the entry VM.
    entry: usize,
    attempt: String,
    began: Instant,
    ended: Instant,
    bytes: usize,
}

impl SlowReaders {
    /// Starts the callers.
    pub(crate) fn start(site: &SiteCluster) -> Self {
        let ended = CancellationToken::new();
        let tasks = (0..site.entries.len()).map(|entry| {
            let reader = SlowReader {
                entry,
                front: site.entries[entry].addresses[0].clone(),
                ended: ended.clone(),
            };
            tokio::spawn(reader.run())
        });
        let tasks = tasks.collect();
        Self { ended, tasks }
    }

    /// Waits for the last answers and checks that each that began was whole, unless its entry VM was
    /// killed or paused meanwhile.
    pub(crate) async fn check(
        self,
        site: &SiteCluster,
        plan: &SoakPlan,
        started: Instant,
        log: &OutcomeLog,
    ) {
        self.ended.cancel();
        for task in self.tasks {
            for torn in task.await.expect("a caller does not panic") {
                let disturbed = plan.faults.iter().any(|planned| {
                    let disturbs = match planned.fault {
                        SoakFault::KillAll => true,
                        SoakFault::KillEntry(entry) | SoakFault::FreezeEntry(entry) => {
                            entry == torn.entry
                        }
                        _ => false,
                    };
                    disturbs
                        && started + planned.at <= torn.ended + FAULT_SLACK
                        && torn.began <= started + planned.until + FAULT_SLACK
                });
                if disturbed {
                    continue;
                }
                log.record_violation(format!(
                    "{} ended after {} of {BODY_BYTES} bytes and {:?} at {}",
                    torn.attempt,
                    torn.bytes,
                    torn.ended - torn.began,
                    site.entries[torn.entry].name
                ));
            }
        }
    }
}

struct SlowReader {
    entry: usize,
    front: Box<str>,
    ended: CancellationToken,
}

impl SlowReader {
    async fn run(self) -> Vec<TornAnswer> {
        let mut torn = Vec::new();
        for number in 0.. {
            if self.ended.is_cancelled() {
                break;
            }
            let attempt = format!("slow{}-{number}", self.entry);
            torn.extend(self.read(attempt).await);
            sleep(REQUEST_PAUSE).await;
        }
        torn
    }

    /// Reads an answer; returns how it was torn if it is a success that is not whole.
    async fn read(&self, attempt: String) -> Option<TornAnswer> {
        let begun = SlowReading::begin(&self.front, "once", &attempt, BODY_BYTES).await;
        let mut reading = begun.ok()?;
        if !reading.answer.starts_with(b"HTTP/1.1 200") {
            return None;
        }
        let began = Instant::now();
        let read = reading.read_to(BODY_BYTES, READ_PAUSES).await;
        read.is_err().then(|| TornAnswer {
            entry: self.entry,
            attempt,
            began,
            ended: Instant::now(),
            bytes: reading.answer.len(),
        })
    }
}
