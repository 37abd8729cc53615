//! Beginning and ending the faults of a plan.

use super::plan::PlannedFault;
use super::plan::SoakFault;
use super::plan::SoakPlan;
use super::promises::PromiseBook;
use crate::relay::LinkDirection;
use crate::site::SiteCluster;
use crate::site::wait_until;
use crate::test_doubles::faults::ServiceMode;
use crate::test_doubles::replica::ReplicaBehaviour;
use crate::test_doubles::store::StoreSnapshot;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;

/// Time within which replicas that have left get no more work, and a reserve for a busy machine.
const LEAVE_TIME: Duration = Duration::from_secs(6);
/// Time after trouble with the store for which nodes may still be behind.
const NEWS_TIME: Duration = Duration::from_secs(6);

/// A beginning or an end.
#[derive(Clone, Copy, Debug)]
struct BoardStep {
    at: Duration,
    begins: bool,
    planned: PlannedFault,
}

/// The faults that are on.
#[derive(Debug)]
pub(crate) struct FaultBoard {
    steps: Vec<BoardStep>,
    plan: SoakPlan,
    /// When the faults began.
    pub(crate) began: Instant,
    /// The version of the desired state, and the routes that were added.
    version: u64,
    added: Vec<String>,
    /// When each replica that is leaving began to.
    leaving: BTreeMap<usize, Instant>,
    /// Entry VMs that were asked to stop.
    stopping: BTreeSet<usize>,
    /// The copies from which the store comes back, by the time of their making.
    copies: Vec<StoreSnapshot>,
    /// Data centres that the operator has evacuated.
    evacuated: BTreeSet<&'static str>,
    /// How many faults hold each thing, so that the first to end does not mend it for the others.
    holds: BTreeMap<String, u32>,
}

impl FaultBoard {
    pub(crate) fn new(plan: &SoakPlan) -> Self {
        let mut steps: Vec<BoardStep> = Vec::new();
        for planned in &plan.faults {
            for (at, begins) in [(planned.at, true), (planned.until, false)] {
                steps.push(BoardStep {
                    at,
                    begins,
                    planned: *planned,
                });
            }
        }
        steps.sort_by_key(|step| step.at);
        Self {
            steps,
            plan: plan.clone(),
            began: Instant::now(),
            version: 1,
            added: Vec::new(),
            leaving: BTreeMap::new(),
            stopping: BTreeSet::new(),
            copies: Vec::new(),
            evacuated: BTreeSet::new(),
            holds: BTreeMap::new(),
        }
    }

    /// Gives the names of the routes that were added.
    pub(crate) fn added(&self) -> Vec<&str> {
        self.added.iter().map(String::as_str).collect()
    }

    /// Plays all faults to their end.
    pub(crate) async fn play(&mut self, site: &mut SiteCluster, book: &PromiseBook) {
        let start = Instant::now();
        self.began = start;
        for step in std::mem::take(&mut self.steps) {
            sleep_until((start + step.at).into()).await;
            if step.begins {
                self.begin(site, step.planned.fault).await;
            } else {
                self.end(site, &step.planned, book).await;
            }
            self.look_for_ends(site, book);
            for index in site.replace_crashed().await {
                // What takes the place of a crashed replica does not leave.
                self.leaving.remove(&index);
            }
        }
    }

    /// Notes entry VMs that ended though nobody asked them to, or with an error, and starts them anew. One that was
    /// asked to while its program was being loaded could not heed that.
    fn look_for_ends(&mut self, site: &mut SiteCluster, book: &PromiseBook) {
        for index in 0..site.entries.len() {
            let stopping = self.stopping.contains(&index);
            match site.ended(index) {
                None => continue,
                Some(true) if stopping => continue,
                Some(_) if stopping && site.terminated_before_start(index) => book.note_unheard(),
                Some(_) => {
                    book.note_broken(format!("{} ended by itself", site.entries[index].name));
                }
            }
            // Nobody has told the process that follows to stop.
            self.stopping.remove(&index);
            site.kill(index);
            site.spawn(index);
        }
    }

    /// Wakes and starts the entry VMs, once no fault holds any of them.
    async fn revive_all(&mut self, site: &mut SiteCluster) {
        for index in 0..site.entries.len() {
            site.signal(index, "-CONT");
            if self.stopping.remove(&index) && site.has_process(index) {
                wait_until("a stopped entry VM ends", async || {
                    site.ended(index).is_some()
                })
                .await;
                site.kill(index);
            }
            if !site.has_process(index) {
                site.spawn(index);
            }
        }
    }

    fn hold(&mut self, what: &str) {
        *self.holds.entry(what.into()).or_default() += 1;
    }

    /// Tells whether the last fault that held a thing has ended.
    fn release(&mut self, what: &str) -> bool {
        let count = self.holds.entry(what.into()).or_default();
        *count = count.saturating_sub(1);
        *count == 0
    }

    async fn begin(&mut self, site: &mut SiteCluster, fault: SoakFault) {
        self.hold(&held_by(fault));
        match fault {
            SoakFault::KillEntry(index) => site.kill(index),
            SoakFault::KillAll => {
                for index in 0..site.entries.len() {
                    site.kill(index);
                }
            }
            SoakFault::StopEntry(index) => {
                self.stopping.insert(index);
                site.terminate(index);
            }
            SoakFault::FreezeEntry(index) => site.signal(index, "-STOP"),
            SoakFault::StoreDown => site.store_faults.set(ServiceMode::Down),
            SoakFault::StoreSilent => site.store_faults.set(ServiceMode::Silent),
            SoakFault::StoreSlow(millis) => {
                let delay = Duration::from_millis(millis);
                site.store_faults.set(ServiceMode::Slow(delay));
            }
            SoakFault::StoreLosesAnswers(count) => site.store_faults.lose_answers(count),
            SoakFault::LeasesLapse => site.store.expire_leases(),
            SoakFault::HistoryGone => site.store.compact_history(),
            SoakFault::StoreReturns => self.copies.push(site.store.snapshot()),
            SoakFault::StoreCut(region) => site.store_link(region).lose(LinkDirection::Forward),
            SoakFault::StoreMute(region) => site.store_link(region).silence_open(),
            SoakFault::LinkSlow(index, millis) => {
                site.link(index).slow(Duration::from_millis(millis));
            }
            SoakFault::LinkReset(index) => site.link(index).reset_open(),
            SoakFault::LinkLosesRequests(index) => site.link(index).lose(LinkDirection::Forward),
            SoakFault::LinkLosesAnswers(index) => site.link(index).lose(LinkDirection::Return),
            SoakFault::LinkMute(index) => site.link(index).silence_open(),
            SoakFault::ReplicaReplaced(index) => {
                self.leaving.remove(&index);
                site.replace_replica(index).await;
            }
            SoakFault::ReplicaDrains(index) => {
                self.leaving.entry(index).or_insert_with(Instant::now);
                site.register(index, "draining");
            }
            SoakFault::ReplicaVanishes(index) => {
                self.leaving.entry(index).or_insert_with(Instant::now);
                site.unregister(index);
            }
            SoakFault::ReplicaLimits(index, tenths) => {
                let rate = f64::from(tenths) / 10.0;
                site.replicas[index].0.set_rate_limit(Some(rate));
            }
            SoakFault::ReplicaIll(index, illness) => site.replicas[index].0.set_behaviour(illness),
            SoakFault::ReplicaSaysLeaving(index) => site.replicas[index].0.announce_leaving(),
            SoakFault::ReplicaRests(index, tenths) => {
                let replica = &site.replicas[index].0;
                replica.request_backoff(Some(&(f64::from(tenths) / 10.0).to_string()));
                replica.set_behaviour(ReplicaBehaviour::Shed);
            }
            SoakFault::AddRoute => self.add_route(site),
            SoakFault::Evacuate(region) => {
                self.evacuated.insert(region);
                site.store.write(&format!("op/evacuate/{region}-a"), "{}");
            }
        }
    }

    async fn end(&mut self, site: &mut SiteCluster, planned: &PlannedFault, book: &PromiseBook) {
        if !self.release(&held_by(planned.fault)) {
            return;
        }
        match planned.fault {
            SoakFault::KillEntry(_)
            | SoakFault::KillAll
            | SoakFault::StopEntry(_)
            | SoakFault::FreezeEntry(_) => self.revive_all(site).await,
            SoakFault::StoreDown | SoakFault::StoreSilent | SoakFault::StoreSlow(_) => {
                site.store_faults.set(ServiceMode::Up);
            }
            SoakFault::StoreCut(region) => site.store_link(region).restore(),
            SoakFault::LinkSlow(index, _)
            | SoakFault::LinkLosesRequests(index)
            | SoakFault::LinkLosesAnswers(index) => site.link(index).restore(),
            SoakFault::ReplicaDrains(index) => {
                self.check_left(site, index, planned, book);
                self.leaving.remove(&index);
                site.restart_replica(index).await;
            }
            SoakFault::ReplicaVanishes(index) => {
                self.check_left(site, index, planned, book);
                self.leaving.remove(&index);
                site.register(index, "ready");
            }
            SoakFault::ReplicaLimits(index, _) => site.replicas[index].0.set_rate_limit(None),
            SoakFault::ReplicaIll(index, _) | SoakFault::ReplicaRests(index, _) => {
                site.replicas[index].0.request_backoff(None);
                site.replicas[index]
                    .0
                    .set_behaviour(ReplicaBehaviour::Serve);
            }
            SoakFault::ReplicaSaysLeaving(index) => {
                self.leaving.remove(&index);
                site.restart_replica(index).await;
            }
            SoakFault::Evacuate(region) => {
                self.evacuated.remove(region);
                site.store.remove(&format!("op/evacuate/{region}-a"));
            }
            SoakFault::StoreReturns => self.bring_back(site),
            SoakFault::StoreLosesAnswers(_)
            | SoakFault::LeasesLapse
            | SoakFault::HistoryGone
            | SoakFault::StoreMute(_)
            | SoakFault::LinkReset(_)
            | SoakFault::LinkMute(_)
            | SoakFault::ReplicaReplaced(_)
            | SoakFault::AddRoute => {}
        }
    }

    /// Brings the store back from its copy. What the operator and the replicas wrote since is written again; entries
    /// of replicas that have ended are gone, as they are once these were silent.
    fn bring_back(&mut self, site: &SiteCluster) {
        if let Some(copy) = self.copies.pop() {
            site.store.restore_snapshot(&copy);
        }
        site.configure(self.version, &self.added());
        for (_, region) in &site.replicas {
            let key = format!("op/evacuate/{region}-a");
            if self.evacuated.contains(region) {
                site.store.write(&key, "{}");
            } else {
                site.store.remove(&key);
            }
        }
        site.register_all(|index| self.entry_state(index));
    }

    /// Gives what the entry of a replica says now; none where it has none.
    fn entry_state(&self, index: usize) -> Option<&'static str> {
        let holds = |fault| {
            self.holds
                .get(&held_by(fault))
                .is_some_and(|count| *count > 0)
        };
        if !self.leaving.contains_key(&index) {
            return Some("ready");
        }
        // Either fault holds the entry; a replica that drains says so for as long as it runs.
        holds(SoakFault::ReplicaDrains(index)).then_some("draining")
    }

    fn add_route(&mut self, site: &SiteCluster) {
        self.version += 3;
        self.added.push(format!("added-{}", self.version));
        site.configure(self.version, &self.added());
    }

    /// Checks that a replica that left got nothing after a few seconds, where nothing hid the news.
    fn check_left(
        &self,
        site: &SiteCluster,
        index: usize,
        planned: &PlannedFault,
        book: &PromiseBook,
    ) {
        let Some(since) = self.leaving.get(&index) else {
            return;
        };
        let excused = self.plan.faults.iter().any(|other| {
            let touches = other.fault.hides_news() || other.fault.registers() == Some(index);
            let overlaps =
                other.at < planned.until + NEWS_TIME && planned.at < other.until + NEWS_TIME;
            let same = other.at == planned.at;
            touches && overlaps && !same
        });
        let last = site.replicas[index].0.observations().last_run;
        if !excused && last.is_some_and(|last| last > *since + LEAVE_TIME) {
            book.note_broken(format!(
                "{} ran a request {:?} after it began to leave",
                site.replicas[index].0.id,
                last.map(|last| last - *since)
            ));
        }
    }
}

/// Names the thing that a fault holds.
fn held_by(fault: SoakFault) -> String {
    match fault {
        SoakFault::KillEntry(_)
        | SoakFault::KillAll
        | SoakFault::StopEntry(_)
        | SoakFault::FreezeEntry(_) => "entries".into(),
        SoakFault::StoreDown | SoakFault::StoreSilent | SoakFault::StoreSlow(_) => "store".into(),
        SoakFault::StoreCut(region) => format!("store link of {region}"),
        SoakFault::Evacuate(region) => format!("evacuation of {region}"),
        SoakFault::LinkSlow(index, _)
        | SoakFault::LinkLosesRequests(index)
        | SoakFault::LinkLosesAnswers(index) => format!("link {index}"),
        SoakFault::ReplicaDrains(index) | SoakFault::ReplicaVanishes(index) => {
            format!("entry of replica {index}")
        }
        SoakFault::ReplicaLimits(index, _) => format!("limit of replica {index}"),
        SoakFault::ReplicaIll(index, _) | SoakFault::ReplicaRests(index, _) => {
            format!("replica {index}")
        }
        other => format!("{other:?}"),
    }
}
