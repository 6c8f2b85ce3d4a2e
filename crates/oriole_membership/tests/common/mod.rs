//! A few detectors on a network that can be cut.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_membership::prelude::*;
use oriole_types::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Time between two ticks of a process.
pub const TICK: Duration = Duration::from_millis(500);

/// One process on the network.
pub struct Node {
    pub name: VmName,
    pub detector: Detector,
    pub running: bool,
    pub dead: bool,
}

/// Detectors whose messages arrive within a tick unless a link is cut.
pub struct Net {
    pub cfg: MembershipConfig,
    pub nodes: Vec<Node>,
    pub cut: BTreeSet<(usize, usize)>,
    pub now: Duration,
    pub messages: usize,
    /// Whether processes do not hear what is said of them, so that they cannot refute.
    pub deaf_to_accusations: bool,
    rng: ChaCha8Rng,
    runs: u64,
}

impl Net {
    pub fn new(cfg: MembershipConfig, size: usize, seed: u64) -> Self {
        let mut net = Self {
            cfg,
            nodes: Vec::new(),
            cut: BTreeSet::new(),
            now: Duration::ZERO,
            messages: 0,
            deaf_to_accusations: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runs: 0,
        };
        for i in 0..size {
            let name = VmName::new(&format!("p{i}"));
            let detector = net.detector(&name);
            net.nodes.push(Node {
                name,
                detector,
                running: true,
                dead: false,
            });
        }
        for i in 0..size {
            net.introduce(i);
        }
        net
    }

    /// Replaces a process by a new run at the same address.
    pub fn restart(&mut self, i: usize) {
        let name = self.nodes[i].name.clone();
        self.nodes[i].detector = self.detector(&name);
        self.nodes[i].running = true;
        self.nodes[i].dead = false;
        self.introduce(i);
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

    /// One tick of all running processes, and the delivery of what they send.
    pub fn step(&mut self) {
        self.now += TICK;
        let mut wire = Vec::new();
        for i in 0..self.nodes.len() {
            if self.nodes[i].running {
                let sends = self.nodes[i].detector.tick(self.now, &mut self.rng);
                wire.extend(sends.into_iter().map(|s| (i, s)));
            }
        }
        while let Some((from, mut send)) = wire.pop() {
            self.messages += 1;
            if self.deaf_to_accusations {
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
            wire.extend(answers.into_iter().map(|s| (to, s)));
        }
    }

    pub fn view(&self, of: usize, about: usize) -> Liveness {
        self.nodes[of].detector.liveness(&self.nodes[about].name)
    }

    /// Pairs of running processes of which the first does not see the second alive.
    pub fn wrongly_away(&self) -> Vec<(usize, usize)> {
        self.pairs(|me, other| me.running && other.running, Liveness::Alive)
    }

    /// Pairs of a running process and a dead one that it does not see away.
    pub fn wrongly_present(&self) -> Vec<(usize, usize)> {
        self.pairs(|me, other| me.running && other.dead, Liveness::Away)
    }

    fn pairs(
        &self,
        covers: impl Fn(&Node, &Node) -> bool,
        expected: Liveness,
    ) -> Vec<(usize, usize)> {
        let mut wrong = Vec::new();
        for (i, me) in self.nodes.iter().enumerate() {
            for (j, other) in self.nodes.iter().enumerate() {
                if i != j && covers(me, other) && self.view(i, j) != expected {
                    wrong.push((i, j));
                }
            }
        }
        wrong
    }

    fn detector(&mut self, name: &VmName) -> Detector {
        self.runs += 1;
        Detector::new(
            self.cfg.clone(),
            name.clone(),
            Incarnation(self.runs * 7919),
        )
    }

    fn introduce(&mut self, i: usize) {
        let names: Vec<VmName> = self.nodes.iter().map(|n| n.name.clone()).collect();
        self.nodes[i].detector.set_members(self.now, names.iter());
    }
}
