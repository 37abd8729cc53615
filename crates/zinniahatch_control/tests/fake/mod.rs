//! Simulated data centre of `ControlNode`s with a fake network, for the tests of this crate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use zinniahatch_base::digest_text;
use zinniahatch_base::tag_of;
use zinniahatch_config::ConfigHead;
use zinniahatch_config::PartTexts;
use zinniahatch_config::WorkKind;
use zinniahatch_control::ControlNode;
use zinniahatch_control::FailurePolicy;
use zinniahatch_control::NodeIdentity;
use zinniahatch_control::OutboundFrame;
use zinniahatch_control::Placement;
use zinniahatch_control::PlacementQuery;
use zinniahatch_control::PlacementScope;
use zinniahatch_control::RoutePolicy;
use zinniahatch_control::SlotPermit;

/// Simulated time per step.
pub(crate) const STEP: Duration = Duration::from_millis(50);

/// A request of a simulated caller.
pub(crate) struct FakeRequest {
    pub(crate) node: usize,
    pub(crate) permit: Option<SlotPermit>,
    pub(crate) outcome: Option<Placement>,
}

/// Nodes of one data centre and the frames in flight between them.
pub(crate) struct FakeNet {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Option<ControlNode>>,
    pub(crate) cut: BTreeSet<(usize, usize)>,
    pub(crate) requests: BTreeMap<u64, FakeRequest>,
    pub(crate) config: (ConfigHead, PartTexts),
    pub(crate) failed: Vec<(Box<str>, u64)>,
    frames: Vec<(usize, OutboundFrame)>,
    created_at: Instant,
    incarnation: u64,
    next: u64,
}

impl FakeNet {
    /// Creates a data centre whose nodes have the configuration and are each other's seeds.
    pub(crate) fn new(count: usize, replicas: usize, slots: u16) -> Self {
        let mut net = Self {
            now: Instant::now() + STEP,
            nodes: Vec::new(),
            cut: BTreeSet::new(),
            requests: BTreeMap::new(),
            config: config(replicas, slots),
            failed: Vec::new(),
            frames: Vec::new(),
            created_at: Instant::now(),
            incarnation: 0,
            next: 0,
        };
        for index in 0..count {
            net.nodes.push(None);
            net.start(index, count);
        }
        net
    }

    /// Starts or restarts a node with a new incarnation.
    pub(crate) fn start(&mut self, index: usize, count: usize) {
        self.incarnation += 1;
        let identity = NodeIdentity {
            node: name(index).into(),
            data_centre: "here".into(),
            region: "home".into(),
            incarnation: self.incarnation,
            peer: name(index).into(),
            http: name(index).into(),
            epoch: self.now.duration_since(self.created_at).as_millis() as u64,
        };
        let seeds: Vec<Box<str>> = (0..count).map(|index| name(index).into()).collect();
        let mut node = ControlNode::new(
            identity,
            &seeds,
            self.now,
            FailurePolicy::MajorityReports,
            RoutePolicy::Score,
        );
        let (head, texts) = self.config.clone();
        node.apply_stored_config(head, texts.into_values().collect());
        node.set_ready();
        self.nodes[index] = Some(node);
    }

    /// Kills a node together with its requests.
    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
        self.requests.retain(|_, request| request.node != index);
    }

    /// Advances time while a node is frozen; its requests keep running on their backend servers.
    pub(crate) fn run_frozen(&mut self, index: usize, time: Duration) {
        let node = self.nodes[index].take();
        self.run(time);
        self.nodes[index] = node;
    }

    /// Advances time.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Delivers the frames of the previous step and runs one tick of every node.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        for (from, outbound) in std::mem::take(&mut self.frames) {
            let Some(to) = (0..self.nodes.len()).find(|index| *name(*index) == *outbound.to) else {
                continue;
            };
            if self.cut.contains(&(from, to)) {
                continue;
            }
            if let Some(node) = &mut self.nodes[to] {
                node.receive(self.now, outbound.frame);
            }
        }
        for index in 0..self.nodes.len() {
            let Some(node) = &mut self.nodes[index] else {
                continue;
            };
            let output = node.tick(self.now);
            self.failed.extend(output.failed);
            self.frames
                .extend(output.frames.into_iter().map(|outbound| (index, outbound)));
            for (number, placement) in node.take_placements() {
                if let Some(request) = self.requests.get_mut(&number) {
                    request.resolve(placement);
                }
            }
        }
    }

    /// Sends a request to a node and returns the request's number.
    pub(crate) fn submit(
        &mut self,
        index: usize,
        account: &str,
        deadline: Duration,
    ) -> Option<u64> {
        self.next += 1;
        let query = query(self.next, account, self.now + deadline);
        let placement = self.nodes[index].as_mut()?.place(self.now, &query);
        let mut request = FakeRequest {
            node: index,
            permit: None,
            outcome: None,
        };
        if placement != Placement::Wait {
            request.resolve(placement);
        }
        self.requests.insert(self.next, request);
        Some(self.next)
    }

    /// Finishes a running request.
    pub(crate) fn finish(&mut self, number: u64) {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        if let (Some(permit), Some(node)) = (request.permit, &mut self.nodes[request.node]) {
            node.finish(self.now, &permit, false);
        }
    }

    /// Returns the numbers of the running requests.
    pub(crate) fn running(&self) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, request)| request.permit.is_some())
            .map(|(number, _)| *number)
            .collect()
    }

    /// Returns the number of running requests on each backend server.
    pub(crate) fn load(&self) -> BTreeMap<Box<str>, u32> {
        let mut load = BTreeMap::new();
        for permit in self
            .requests
            .values()
            .filter_map(|request| request.permit.as_ref())
        {
            *load.entry(permit.replica.clone()).or_default() += 1;
        }
        load
    }

    /// Returns the number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.requests
            .values()
            .filter(|request| request.outcome.is_none())
            .count()
    }
}

impl FakeRequest {
    fn resolve(&mut self, placement: Placement) {
        if let Placement::Run(permit) = &placement {
            self.permit = Some(permit.clone());
        }
        self.outcome = Some(placement);
    }
}

/// Returns a node's name, which is also its address.
pub(crate) fn name(index: usize) -> String {
    format!("node-{index}")
}

/// Returns a request for the only service.
pub(crate) fn query(number: u64, account: &str, deadline: Instant) -> PlacementQuery {
    PlacementQuery {
        number,
        service: "llm".into(),
        account: account.into(),
        class: "standard".into(),
        work: WorkKind::Interactive,
        deadline,
        prefix: Some(tag_of(account)),
        prompt: 100,
        scope: PlacementScope::Anywhere,
        guest: false,
        avoid: BTreeSet::new(),
        avoid_data_centres: BTreeSet::new(),
    }
}

/// Returns a configuration with one service in one data centre.
pub(crate) fn config(replicas: usize, slots: u16) -> (ConfigHead, PartTexts) {
    let mut backends = String::new();
    for index in 0..replicas {
        backends.push_str(&format!("[backend r{index}]\nservice = llm\ndata_centre = here\naddress = http://10.0.0.{index}:1\nslots = {slots}\n"));
    }
    let preset = "[preset]\ntitle = test\n[weights]\ncost = 1\ntail = 1\n[classes]\nstandard = 1\n[work]\ninteractive = 0.5\n[away]\nallowed = yes\n[waits]\nqueue_limit = 1000\nwait_limit = 60s\n[budgets]\nretry = 0.1\nhedge = 0\n";
    let texts: PartTexts = PartTexts::from([
        ("topology".into(), "[region home]\ndata_centres = here\n[region far]\ndata_centres = there\n".into()),
        ("services".into(), "[service llm]\nkind = engine\nbinding = free\nrepeat = repeatable\ndeadline = 60s\ntypical_hold = 1s\n".into()),
        ("backends".into(), backends.into()),
        ("preset-plain".into(), preset.into()),
    ]);
    let parts = texts
        .iter()
        .map(|(name, text)| (name.clone(), digest_text(text)))
        .collect();
    let head = ConfigHead {
        revision: 1,
        preset: "plain".into(),
        parts,
        changes: Vec::new(),
    };
    (head, texts)
}
