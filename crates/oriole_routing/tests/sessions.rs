//! Longer sessions of the router and the queue, compared with snapshots.

mod common;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use common::*;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;

const PICKS: u32 = 300;

/// A router with its fleet, and a log of the session for the snapshot.
struct Session {
    router: Router,
    list: VmList,
    catalog: Catalog,
    log: String,
}

impl Session {
    fn new() -> Self {
        let (list, catalog) = (fleet(3, 6), catalog());
        let mut router = Router::new(RouterConfig::default(), "d0".into());
        router.on_fleet_change(Duration::ZERO, &list, &catalog);
        let mut session = Self {
            router,
            list,
            catalog,
            log: String::new(),
        };
        session.report_all(Duration::ZERO, 4);
        session
    }

    fn report_all(&mut self, now: Duration, in_flight: u32) {
        for record in self.list.vms.iter().filter(|r| r.role != VmRole::Entry) {
            self.router
                .on_load_report(now, &record.name, &load(in_flight, 8));
        }
    }

    fn set_domain(&mut self, now: Duration, state: ServiceState) {
        drain_domain(&mut self.catalog, "d0", state);
        self.router.on_fleet_change(now, &self.list, &self.catalog);
        self.log_line(now, &format!("domain d0 is {state:?}"));
    }

    /// Logs how many picks go to each failure domain, and the capacity left.
    fn log_picks(&mut self, now: Duration) {
        let (pool, mut rng) = (POOL.into(), rng(1));
        let mut shares = BTreeMap::new();
        for _ in 0..PICKS {
            let vm = self
                .router
                .pick(now, &PickRequest::new(&pool), &mut rng)
                .unwrap();
            let record = self.list.vms.iter().find(|r| r.name == vm).unwrap();
            *shares.entry(record.domain.clone()).or_insert(0) += 1;
        }
        let mut view = CapacityView::default();
        view.set(pool.clone(), self.router.capacity(now, &pool));
        let text = format!("{PICKS} picks {shares:?}; {}", view.describe(&pool));
        self.log_line(now, &text);
    }

    fn log_line(&mut self, now: Duration, text: &str) {
        writeln!(self.log, "{:>6} ms  {text}", now.as_millis()).unwrap();
    }
}

#[test]
fn session_drain_seen_by_entry() {
    let mut s = Session::new();
    let vm: VmName = "u00".into();
    s.router.on_attempt_started(ms(50), &vm, None);
    s.log_picks(ms(100));
    s.set_domain(ms(200), ServiceState::Drained);
    s.log_picks(ms(200));
    let state = format!(
        "u00: new work {:?}, own {}",
        s.router.check_accepts_work(ms(200), &vm),
        s.router.in_flight(&vm)
    );
    s.log_line(ms(200), &state);
    s.router
        .on_attempt_finished(ms(400), &vm, ms(350), Some(&load(3, 8)));
    let state = format!("u00 finished what it had, own {}", s.router.in_flight(&vm));
    s.log_line(ms(400), &state);
    insta::assert_snapshot!(s.log);
}

#[test]
fn session_return_with_slow_start() {
    let mut s = Session::new();
    s.set_domain(ms(200), ServiceState::Drained);
    s.set_domain(ms(5000), ServiceState::InService);
    for at in [5100, 7000, 10_000, 15_000] {
        s.report_all(ms(at), 4);
        s.log_picks(ms(at));
    }
    insta::assert_snapshot!(s.log);
}

#[test]
fn session_overload_refused_by_class() {
    let mut queue = WaitQueue::new(QueueConfig::default());
    let mut log = String::new();
    let classes = [Priority::High, Priority::Normal, Priority::Low];
    let mut refused = BTreeMap::<(u64, Priority), u32>::new();
    for step in 0..800_u64 {
        let now = secs(1) + ms(step * 10);
        for priority in classes {
            // Requests of each priority arrive at half the rate at which the queue sends requests.
            if step % 4 != 0 {
                continue;
            }
            let account = AccountName::new(if step % 8 == 0 { "a" } else { "b" });
            let deadline = now + secs(5);
            let service_time = ms(200);
            let request = QueueRequest {
                account,
                weight: 1,
                priority,
                deadline,
                service_time,
                key: None,
            };
            let pushed = queue.push(now, request, priority);
            let refused_count = refused.entry((step / 200, priority)).or_default();
            *refused_count += u32::from(pushed.is_err());
        }
        if step % 2 == 0 {
            queue.pop(now);
        }
    }
    for ((part, priority), n) in refused {
        writeln!(
            log,
            "{} s to {} s: {n} {priority:?} of 50 refused",
            part * 2,
            part * 2 + 2
        )
        .unwrap();
    }
    insta::assert_snapshot!(log);
}
