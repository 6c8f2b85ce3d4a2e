//! A ten-minute outage of the store: what is still served, and that nothing runs twice.

use std::time::Duration;

use async_trait::async_trait;
use oriole_claims::call::CallStep;
use oriole_store::memory::StoreFault;
use oriole_types::ids::IdempotencyKey;
use tokio::time::{Instant, sleep_until};

use super::claims_fleet::{AGENTS, Contender, Fleet, PARTITIONS, under_paused_clock};
use crate::experiment::{Experiment, RunOptions};
use crate::report::{Limit, Report};

/// New keys a second.
const KEYS_PER_S: f64 = 100.0;
/// Time before the outage.
const BEFORE: Duration = Duration::from_secs(20);
/// Start of the outage in which writes take effect and their answers are lost.
const LOSES_ANSWERS: Duration = Duration::from_secs(5);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(600);
/// Time after the outage.
const AFTER: Duration = Duration::from_secs(20);
/// Time between two deaths of an agent in the outage.
const KILL_EVERY: Duration = Duration::from_secs(120);
/// Share of new keys whose caller also repeats an older key.
const REPEAT_SHARE: f64 = 0.2;

/// The experiment.
pub struct StoreOutage;

#[async_trait]
impl Experiment for StoreOutage {
    fn name(&self) -> &'static str {
        "store-outage"
    }

    fn about(&self) -> &'static str {
        "ten minutes without the store: share served, doubles and false refusals"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let outage = options.duration_or(OUTAGE);
        let seed = options.seed;
        let mut report = Report::default();
        for (name, contender) in [
            ("cas", Contender::Cas),
            ("opaque", Contender::Grouped(PARTITIONS)),
            ("tickets", Contender::Tickets),
        ] {
            let counts = under_paused_clock(move || course(contender, seed, outage)).await?;
            counts.report(name, &mut report);
        }
        summarize(&mut report);
        Ok(report)
    }
}

/// What became of the keys of one contender.
#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    served: u64,
    home_died: u64,
    repeated: u64,
    replayed: u64,
    served_after: f64,
    doubles: u64,
    false_not_run: u64,
}

impl Counts {
    fn report(&self, name: &str, report: &mut Report) {
        let share = self.served as f64 / self.sent as f64;
        let replayed = self.replayed as f64 / self.repeated as f64;
        report
            .figure(&format!("{name}_served_share_in_outage"), share)
            .figure(&format!("{name}_replayed_share_in_outage"), replayed)
            .figure(&format!("{name}_sent_in_outage"), self.sent as f64)
            .figure(&format!("{name}_home_died"), self.home_died as f64)
            .figure(&format!("{name}_served_share_after"), self.served_after)
            .figure(&format!("{name}_doubles"), self.doubles as f64)
            .figure(&format!("{name}_false_not_run"), self.false_not_run as f64);
    }
}

fn summarize(report: &mut Report) {
    let both = |r: &Report, figure: &str| {
        r.figures[&format!("opaque_{figure}")] + r.figures[&format!("tickets_{figure}")]
    };
    let (doubles, false_not_run) = (both(report, "doubles"), both(report, "false_not_run"));
    let served = report.figures["tickets_served_share_in_outage"];
    report
        .figure("doubles", doubles)
        .figure("false_not_run", false_not_run)
        .figure("served_share_in_outage", served)
        .bound("doubles", Limit::AtMost(0.0))
        .bound("false_not_run", Limit::AtMost(0.0))
        .bound("served_share_in_outage", Limit::AtLeast(1.0));
}

/// What one caller saw.
struct Seen {
    sent: Duration,
    served: bool,
    home_lived: bool,
    repeat: Option<bool>,
}

async fn course(contender: Contender, seed: u64, outage: Duration) -> Counts {
    let fleet = Fleet::spawn(contender, seed);
    let start = Instant::now();
    let gap = Duration::from_secs_f64(1.0 / KEYS_PER_S);
    let mut callers = Vec::new();
    let mut seen: Vec<Seen> = Vec::new();
    let mut known: Vec<IdempotencyKey> = Vec::new();
    let mut next_kill = BEFORE + KILL_EVERY;
    for n in 0.. {
        let at = gap * n;
        if at >= BEFORE + outage + AFTER {
            break;
        }
        sleep_until(start + at).await;
        fleet.store.inner.set_fault(fault_at(at, outage));
        if at >= next_kill && at < BEFORE + outage {
            next_kill += KILL_EVERY;
            fleet.kill(fleet.pick(AGENTS));
        }
        let repeat = (at < BEFORE + outage && !known.is_empty() && fleet.draw(REPEAT_SHARE))
            .then(|| known[fleet.pick(known.len())].clone());
        let key = fleet.key(u64::from(n));
        if at < BEFORE {
            known.push(key.clone());
        }
        callers.push(tokio::spawn(caller(fleet.clone(), key, at, repeat)));
    }
    for caller in callers {
        // A caller's panic would show as a request that is missing from the figures.
        seen.push(caller.await.expect("a caller ends"));
    }
    count(&fleet, &seen, outage)
}

fn fault_at(at: Duration, outage: Duration) -> StoreFault {
    if at < BEFORE || at >= BEFORE + outage {
        StoreFault::Up
    } else if at < BEFORE + LOSES_ANSWERS.min(outage) {
        StoreFault::LoseAnswers
    } else {
        StoreFault::Down
    }
}

async fn caller(
    fleet: Fleet,
    key: IdempotencyKey,
    sent: Duration,
    repeat: Option<IdempotencyKey>,
) -> Seen {
    let answered = |end| matches!(end, CallStep::Answer(_));
    let served = answered(fleet.call(&key).await);
    let mut replayed = None;
    if let Some(key) = repeat {
        replayed = Some(answered(fleet.call(&key).await));
    }
    Seen {
        home_lived: fleet.home_lives(&key),
        sent,
        served,
        repeat: replayed,
    }
}

fn count(fleet: &Fleet, seen: &[Seen], outage: Duration) -> Counts {
    let in_outage = |s: &&Seen| s.sent >= BEFORE + LOSES_ANSWERS && s.sent < BEFORE + outage;
    let during: Vec<&Seen> = seen.iter().filter(in_outage).collect();
    let living: Vec<&&Seen> = during.iter().filter(|s| s.home_lived || s.served).collect();
    // Homes take a few seconds to find the store again.
    let settled = BEFORE + outage + AFTER / 2;
    let after: Vec<&Seen> = seen.iter().filter(|s| s.sent >= settled).collect();
    let after_served = after.iter().filter(|s| s.served).count();
    let ledger = fleet.ledger();
    let repeats: Vec<bool> = during.iter().filter_map(|s| s.repeat).collect();
    Counts {
        sent: living.len() as u64,
        served: living.iter().filter(|s| s.served).count() as u64,
        home_died: (during.len() - living.len()) as u64,
        repeated: repeats.len() as u64,
        replayed: repeats.iter().filter(|r| **r).count() as u64,
        served_after: after_served as f64 / after.len() as f64,
        doubles: ledger.doubles(),
        false_not_run: ledger.false_not_run(),
    }
}
