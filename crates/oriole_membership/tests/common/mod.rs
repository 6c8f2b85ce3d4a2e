//! Simulated cluster of detectors on a network whose links can be cut.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_membership::prelude::*;
use oriole_types::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Time between two ticks of a process.
pub const TICK: Duration = Duration::from_millis(500);

/// One process of the cluster.
pub struct Node {
    pub name: VmName,
    pub detector: Detector,
    /// Whether the process runs; a paused process does not.
    pub running: bool,
    /// Whether the process has crashed for good, as opposed to a pause.
    pub dead: bool,
}

/// Detectors whose messages arrive within a tick unless a link is cut.
pub struct TestCluster {
    pub cfg: MembershipConfig,
    pub nodes: Vec<Node>,
    /// Links from a sender to a receiver that are cut.
    pub cut: BTreeSet<(usize, usize)>,
    pub now: Duration,
    pub messages: usize,
    /// Whether processes do not receive updates about themselves, so that they cannot refute them.
    pub drops_accusations: bool,
    rng: ChaCha8Rng,
    runs: u64,
}

impl TestCluster {
    pub fn new(cfg: MembershipConfig, size: usize, seed: u64) -> Self {
        let mut cluster = Self {
            cfg,
            nodes: Vec::new(),
            cut: BTreeSet::new(),
            now: Duration::ZERO,
            messages: 0,
            drops_accusations: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runs: 0,
        };
        for i in 0..size {
            let name = VmName::new(&format!("p{i}"));
            let detector = cluster.new_detector(&name);
            cluster.nodes.push(Node {
                name,
                detector,
                running: true,
                dead: false,
            });
        }
        for i in 0..size {
            cluster.set_members(i);
        }
        cluster
    }

    /// Replaces a process with a new run at the same address.
    pub fn restart(&mut self, i: usize) {
        let name = self.nodes[i].name.clone();
        self.nodes[i].detector = self.new_detector(&name);
        self.nodes[i].running = true;
        self.nodes[i].dead = false;
        self.set_members(i);
    }

    pub fn cut_both_ways(&mut self, a: usize, b: usize) {
        self.cut.insert((a, b));
        self.cut.insert((b, a));
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs one tick of all running processes and delivers their messages.
    pub fn step(&mut self) {
        self.now += TICK;
        let mut in_transit = Vec::new();
        for i in 0..self.nodes.len() {
            if self.nodes[i].running {
                let sends = self.nodes[i].detector.tick(self.now, &mut self.rng);
                in_transit.extend(sends.into_iter().map(|s| (i, s)));
            }
        }
        while let Some((from, mut send)) = in_transit.pop() {
            self.messages += 1;
            if self.drops_accusations {
                let to = VmId::from(&send.to).0;
                send.message.updates.retain(|u| u.vm != to);
            }
            let to = self.nodes.iter().position(|n| n.name == send.to).unwrap();
            if self.cut.contains(&(from, to)) || !self.nodes[to].running {
                continue;
            }
            let from_name = self.nodes[from].name.clone();
            let answers = self.nodes[to]
                .detector
                .on_message(self.now, &from_name, &send.message);
            in_transit.extend(answers.into_iter().map(|s| (to, s)));
        }
    }

    /// The state of one process in the view of another.
    pub fn view(&self, of: usize, about: usize) -> Liveness {
        self.nodes[of].detector.liveness(&self.nodes[about].name)
    }

    /// Pairs of running processes where the first does not see the second as alive.
    pub fn wrongly_away(&self) -> Vec<(usize, usize)> {
        self.pairs(|me, other| me.running && other.running, Liveness::Alive)
    }

    /// Pairs of a running process and a dead one that the first does not see as away.
    pub fn wrongly_present(&self) -> Vec<(usize, usize)> {
        self.pairs(|me, other| me.running && other.dead, Liveness::Away)
    }

    /// Pairs selected by `selects` where the first does not see the second in the expected state.
    fn pairs(
        &self,
        selects: impl Fn(&Node, &Node) -> bool,
        expected: Liveness,
    ) -> Vec<(usize, usize)> {
        let mut wrong = Vec::new();
        for (i, me) in self.nodes.iter().enumerate() {
            for (j, other) in self.nodes.iter().enumerate() {
                if i != j && selects(me, other) && self.view(i, j) != expected {
                    wrong.push((i, j));
                }
            }
        }
        wrong
    }

    fn new_detector(&mut self, name: &VmName) -> Detector {
        self.runs += 1;
        Detector::new(
            self.cfg.clone(),
            name.clone(),
            Incarnation(self.runs * 7919),
        )
    }

    fn set_members(&mut self, i: usize) {
        let names: Vec<VmName> = self.nodes.iter().map(|n| n.name.clone()).collect();
        self.nodes[i].detector.set_members(self.now, names.iter());
    }
}
