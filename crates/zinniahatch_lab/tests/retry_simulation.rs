//! The bound on retries in a simulated fleet without sockets: nodes, replicas that refuse, forwarded
//! requests, and nodes that restart.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;
use test_case::test_case;
use zinniahatch_lab::retry_bound::ExceededWindow;
use zinniahatch_lab::retry_bound::RetryBound;
use zinniahatch_lab::retry_bound::RetryRecord;
use zinniahatch_route::RetryBudget;
use zinniahatch_route::SendLedger;

/// Number of schedules of each test.
const SEEDS: u64 = 40;
/// Retries that all nodes together may send in a window in addition to a share of the requests.
const SLACK: f64 = 54.0;
/// Simulated time of one schedule.
const SIMULATED: Duration = Duration::from_secs(40);
/// Replicas to which one request may be sent.
const MAX_ATTEMPTS: u32 = 3;
/// Time from a node to a replica of its region, in ms.
const LOCAL_MS: std::ops::Range<u64> = 0..6;
/// Time from a node to a node of another region, in ms.
const REMOTE_MS: std::ops::Range<u64> = 70..110;

/// Time between two restarts, in ms.
const RESTART_MS: std::ops::Range<u64> = 300..4_000;
/// Time in which a node that has started learns of all others, in ms.
const DISCOVERY_MS: std::ops::Range<u64> = 100..1_900;
/// Time for which replicas refuse or serve under a heavy load.
const PHASE: Duration = Duration::from_secs(5);

/// How callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FleetLoad {
    /// To all nodes, at a rate that changes between none and many, while replicas refuse.
    Uneven,
    /// Many to a third of the nodes, which changes, while replicas refuse and serve in turn.
    Shifting,
}

/// Which nodes restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FleetRestarts {
    None,
    /// A twentieth of them after the other, at least one at a time.
    Rolling,
    /// All at once, several times.
    Mass,
}

/// What the schedules of a test have in common.
#[derive(Clone, Copy, Debug)]
struct FleetPlan {
    nodes: usize,
    slack: f64,
    load: FleetLoad,
    restarts: FleetRestarts,
}

/// A wrong rule that the simulation has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutant {
    None,
    /// A refusal by another node counts as if no replica had received the request.
    FreeRemoteRefusal,
    /// A misdirected send counts as if no replica had received it.
    FreeMisdirectedSend,
    /// A node keeps the share of the slack that it took when it started.
    ShareOfFirstMoment,
}

/// A request on its way to a replica, or its refusal on the way back.
#[derive(Debug)]
enum Event {
    Call,
    Restart,
    /// A node has learned of all others.
    Discovery,
    Arrival(Send),
    Refusal(Send, u32),
}

/// One send of a request.
#[derive(Debug)]
struct Send {
    request: u64,
    node: usize,
    /// The node of another region to which it is forwarded.
    remote: Option<usize>,
    attempts: u32,
    ledger: SendLedger,
}

struct Fleet {
    plan: FleetPlan,
    mutant: Mutant,
    random: StdRng,
    start: Instant,
    now: Instant,
    budgets: Vec<RetryBudget>,
    record: RetryRecord,
    events: BTreeMap<(Instant, u64), (usize, Event)>,
    /// Number of events so far, which orders those of the same time.
    scheduled: u64,
    /// Share of the sends that replicas refuse.
    refused: f64,
}

impl Fleet {
    fn new(seed: u64, plan: FleetPlan, mutant: Mutant) -> Self {
        let start = Instant::now() + SIMULATED;
        let mut fleet = Self {
            plan,
            mutant,
            random: StdRng::seed_from_u64(seed),
            start,
            now: start,
            budgets: Vec::new(),
            record: RetryRecord::default(),
            events: BTreeMap::new(),
            scheduled: 0,
            refused: 0.0,
        };
        fleet.refused = fleet.random.random_range(0.5..1.0);
        fleet.budgets = (0..plan.nodes).map(|_| fleet.fresh_budget()).collect();
        fleet
            .budgets
            .iter_mut()
            .for_each(|budget| budget.note_nodes(plan.nodes));
        fleet.draw_calls();
        fleet.draw_restarts();
        fleet
    }

    fn fresh_budget(&self) -> RetryBudget {
        let window = Duration::from_secs(10);
        RetryBudget::new(window, 0.2, self.plan.slack, self.now)
    }

    fn draw_calls(&mut self) {
        let mut at = Duration::ZERO;
        while at < SIMULATED {
            let phase = Duration::from_millis(self.random.random_range(500..6_000));
            let (most_calls, nodes) = match self.plan.load {
                FleetLoad::Uneven => ([2, 40, 400], self.plan.nodes),
                FleetLoad::Shifting => ([200, 1_000, 5_000], self.plan.nodes.div_ceil(3)),
            };
            let most_calls = most_calls[self.random.random_range(0..3)];
            let calls = self.random.random_range(0..most_calls);
            let first = self.random.random_range(0..self.plan.nodes);
            for _ in 0..calls {
                let at = at + phase.mul_f64(self.random.random_range(0.0..1.0));
                let node = (first + self.random.random_range(0..nodes)) % self.plan.nodes;
                self.schedule(self.start + at, node, Event::Call);
            }
            at += phase;
        }
    }

    fn draw_restarts(&mut self) {
        let mut at = Duration::ZERO;
        while at < SIMULATED {
            at += Duration::from_millis(self.random.random_range(RESTART_MS));
            let node = self.random.random_range(0..self.plan.nodes);
            let restarted = match self.plan.restarts {
                FleetRestarts::None => 0..0,
                FleetRestarts::Rolling => {
                    node..self.plan.nodes.min(node + 1 + self.plan.nodes / 20)
                }
                FleetRestarts::Mass => 0..self.plan.nodes,
            };
            for node in restarted {
                self.schedule(self.start + at, node, Event::Restart);
            }
        }
    }

    /// Returns whether a replica refuses a send.
    fn draw_refusal(&mut self) -> bool {
        let phase = self.now.duration_since(self.start).as_secs() / PHASE.as_secs();
        let serves = self.plan.load == FleetLoad::Shifting && phase.is_multiple_of(2);
        !serves && self.random.random_bool(self.refused)
    }

    fn schedule(&mut self, at: Instant, node: usize, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), (node, event));
    }

    fn run(mut self) -> RetryRecord {
        while let Some(((now, number), (node, event))) = self.events.pop_first() {
            self.now = now;
            match event {
                Event::Restart => {
                    self.budgets[node] = self.fresh_budget();
                    let discovery = Duration::from_millis(self.random.random_range(DISCOVERY_MS));
                    self.schedule(now + discovery, node, Event::Discovery);
                }
                Event::Discovery if self.mutant == Mutant::ShareOfFirstMoment => {}
                Event::Discovery => self.budgets[node].note_nodes(self.plan.nodes),
                Event::Call => {
                    self.record.record_request(now);
                    self.budgets[node].record_request(now);
                    self.send(Send {
                        request: number,
                        node,
                        remote: None,
                        attempts: 0,
                        ledger: SendLedger::default(),
                    });
                }
                Event::Arrival(send) => self.arrive(send),
                Event::Refusal(mut send, received) => {
                    send.ledger.record_received(received);
                    if received > 0 {
                        send.attempts += 1;
                    }
                    self.send_again(send);
                }
            }
        }
        self.record
    }

    /// Sends a request to a replica of the node's region, or to a node of another one.
    fn send(&mut self, mut send: Send) {
        let remote = self.random.random_bool(0.5);
        send.remote = remote.then(|| self.random.random_range(0..self.budgets.len()));
        let delay = if remote { REMOTE_MS } else { LOCAL_MS };
        let at = self.now + Duration::from_millis(self.random.random_range(delay));
        self.schedule(at, send.node, Event::Arrival(send));
    }

    /// Sends a refused request again if its attempts and the budget allow that.
    fn send_again(&mut self, mut send: Send) {
        let budget = &mut self.budgets[send.node];
        if send.attempts < MAX_ATTEMPTS && send.ledger.charge_send(budget, self.now) {
            self.send(send);
        } else {
            send.ledger.return_charge(budget);
        }
    }

    /// Handles a send at the receiving node, or at a replica of the sending node's region.
    fn arrive(&mut self, send: Send) {
        let Some(remote) = send.remote else {
            if let Some(received) = self.try_replicas(send.request, None) {
                self.schedule(self.now, send.node, Event::Refusal(send, received));
            }
            return;
        };
        // Admission control of the other node refuses without asking a replica.
        let asked = self.random.random_bool(0.7);
        let refusal = if asked {
            self.try_replicas(send.request, Some(remote))
        } else {
            Some(0)
        };
        let Some(mut received) = refusal else {
            return;
        };
        if self.mutant == Mutant::FreeRemoteRefusal {
            received = 0;
        }
        let at = self.now + Duration::from_millis(self.random.random_range(REMOTE_MS));
        self.schedule(at, send.node, Event::Refusal(send, received));
    }

    /// Sends a request to a replica, and once more if another replica answers at the address.
    ///
    /// Returns the uncharged sends if the request was refused. At a node that it was forwarded to,
    /// the second send is charged to that node's budget.
    fn try_replicas(&mut self, request: u64, receiver: Option<usize>) -> Option<u32> {
        let mut ledger = SendLedger::default();
        self.record.record_arrival(&request.to_string(), self.now);
        let misdirected = receiver.is_some() && self.random.random_bool(0.5);
        if misdirected && self.mutant == Mutant::FreeMisdirectedSend {
            ledger.record_received(0);
        } else {
            ledger.record_received(1);
        }
        if let Some(node) = receiver.filter(|_| misdirected)
            && ledger.charge_send(&mut self.budgets[node], self.now)
        {
            self.record.record_arrival(&request.to_string(), self.now);
            ledger.record_received(1);
        }
        self.draw_refusal().then(|| ledger.uncharged())
    }
}

/// Returns the seeds out of `seeds` whose schedules exceed the bound, with the worst window.
fn exceeded_seeds(
    seeds: std::ops::Range<u64>,
    plan: FleetPlan,
    mutant: Mutant,
) -> Vec<(u64, ExceededWindow)> {
    let bound = RetryBound::with_slack(plan.slack);
    seeds
        .filter_map(|seed| {
            let record = Fleet::new(seed, plan, mutant).run();
            record.exceeded_window(&bound).map(|window| (seed, window))
        })
        .collect()
}

/// Guards against more retries than all nodes together may send while replicas refuse.
#[test_case(7, FleetLoad::Uneven, FleetRestarts::None; "small_fleet")]
#[test_case(60, FleetLoad::Uneven, FleetRestarts::None; "large_fleet")]
#[test_case(7, FleetLoad::Shifting, FleetRestarts::None; "shifting_callers")]
#[test_case(7, FleetLoad::Uneven, FleetRestarts::Rolling; "rolling_restarts")]
#[test_case(200, FleetLoad::Uneven, FleetRestarts::Rolling; "rolling_restarts_of_a_large_fleet")]
#[test_case(7, FleetLoad::Uneven, FleetRestarts::Mass; "mass_restarts")]
#[test_case(7, FleetLoad::Shifting, FleetRestarts::Mass; "mass_restarts_and_shifting_callers")]
fn bound_holds_while_replicas_refuse(nodes: usize, load: FleetLoad, restarts: FleetRestarts) {
    let plan = FleetPlan {
        nodes,
        slack: SLACK,
        load,
        restarts,
    };
    let exceeded = exceeded_seeds(0..SEEDS, plan, Mutant::None);
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// The simulation detects rules that let sends pass uncharged or take too large a share.
#[test_case(7, Mutant::FreeRemoteRefusal; "free_remote_refusal")]
#[test_case(7, Mutant::FreeMisdirectedSend; "free_misdirected_send")]
#[test_case(200, Mutant::ShareOfFirstMoment; "share_of_first_moment")]
fn mutant_exceeds_the_bound(nodes: usize, mutant: Mutant) {
    let plan = FleetPlan {
        nodes,
        slack: SLACK,
        load: FleetLoad::Uneven,
        restarts: FleetRestarts::Rolling,
    };
    let exceeded = exceeded_seeds(0..SEEDS, plan, mutant);
    assert!(!exceeded.is_empty(), "{mutant:?} is not detected");
}
