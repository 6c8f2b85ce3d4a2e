//! Tests of the wait queue.

mod common;

use std::time::Duration;

use common::*;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;

fn request(account: &str, priority: Priority, deadline: Duration) -> QueueRequest {
    let account = account.into();
    QueueRequest {
        account,
        weight: 1,
        priority,
        deadline,
        service_time: ms(100),
        key: None,
    }
}

fn normal_request(account: &str) -> QueueRequest {
    request(account, Priority::Normal, secs(100))
}

fn queue(cfg: QueueConfig) -> WaitQueue<&'static str> {
    WaitQueue::new(cfg)
}

fn drain(queue: &mut WaitQueue<&'static str>, now: Duration) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.pop(now))
        .map(|p| p.value)
        .collect()
}

/// A queue that sent one request every 100 ms, so that its rate of departures is known.
fn queue_with_known_rate() -> (WaitQueue<&'static str>, Duration) {
    let mut queue = queue(QueueConfig {
        max_per_account: 10_000,
        max_forecast_wait: secs(1000),
        ..QueueConfig::default()
    });
    let mut now = secs(1);
    for _ in 0..100 {
        queue.push(now, normal_request("a"), "fill").unwrap();
        now += ms(100);
        if queue.len() > 1 {
            queue.pop(now);
        }
    }
    (queue, now)
}

#[test]
fn pop_deadline_order_within_account() {
    let mut queue = queue(QueueConfig::default());
    for (value, deadline) in [("late", 30), ("soon", 10), ("mid", 20)] {
        let request = request("a", Priority::Normal, secs(deadline));
        queue.push(ms(0), request, value).unwrap();
    }
    assert_eq!(drain(&mut queue, ms(1)), ["soon", "mid", "late"]);
}

#[test]
fn pop_accounts_in_turn() {
    let mut queue = queue(QueueConfig::default());
    for _ in 0..4 {
        queue.push(ms(0), normal_request("hot"), "hot").unwrap();
    }
    queue.push(ms(0), normal_request("other"), "other").unwrap();
    assert_eq!(drain(&mut queue, ms(1))[..2], ["hot", "other"]);
}

#[test]
fn pop_weights() {
    let mut queue = queue(QueueConfig::default());
    for _ in 0..30 {
        queue.push(ms(0), normal_request("a"), "a").unwrap();
        queue
            .push(
                ms(0),
                QueueRequest {
                    weight: 2,
                    ..normal_request("b")
                },
                "b",
            )
            .unwrap();
    }
    let first: Vec<_> = drain(&mut queue, ms(1)).into_iter().take(30).collect();
    assert_eq!(first.iter().filter(|v| **v == "b").count(), 20);
}

#[test]
fn pop_class_first_but_yields() {
    let mut queue = queue(QueueConfig {
        yield_every: 4,
        ..QueueConfig::default()
    });
    for _ in 0..8 {
        queue
            .push(ms(0), request("a", Priority::Low, secs(100)), "low")
            .unwrap();
        queue
            .push(ms(0), request("a", Priority::High, secs(100)), "high")
            .unwrap();
    }
    let order = drain(&mut queue, ms(1));
    assert_eq!(order[..6], ["high", "high", "high", "high", "low", "high"]);
}

#[test]
fn pop_with_skips_one_account_only() {
    let mut queue = queue(QueueConfig::default());
    queue.push(ms(0), normal_request("a"), "stuck").unwrap();
    queue.push(ms(0), normal_request("b"), "fine").unwrap();
    let offer = |v: &&str| {
        if *v == "stuck" {
            Offer::Skip
        } else {
            Offer::Take(7)
        }
    };
    let (popped, found) = queue.pop_with(ms(1), offer).unwrap();
    assert_eq!((popped.value, found, queue.len()), ("fine", 7, 1));
}

#[test]
fn push_account_bounded_alone() {
    let mut queue = queue(QueueConfig {
        max_per_account: 2,
        ..QueueConfig::default()
    });
    queue.push(ms(0), normal_request("hot"), "1").unwrap();
    queue.push(ms(0), normal_request("hot"), "2").unwrap();
    let refused = queue.push(ms(0), normal_request("hot"), "3").unwrap_err();
    assert_eq!(
        (refused.reason, refused.value),
        (RefusalReason::QueueFull, "3")
    );
    assert!(queue.push(ms(0), normal_request("other"), "4").is_ok());
}

#[test]
fn push_key_bounded_alone() {
    let mut queue = queue(QueueConfig {
        max_per_key: 1,
        ..QueueConfig::default()
    });
    let hot = QueueRequest {
        key: Some(7),
        ..normal_request("a")
    };
    queue.push(ms(0), hot.clone(), "1").unwrap();
    assert!(queue.push(ms(0), hot, "2").is_err());
    assert!(queue.push(ms(0), normal_request("a"), "3").is_ok());
}

#[test]
fn push_full_displaces_less_urgent() {
    let mut queue = queue(QueueConfig {
        max_total: 2,
        ..QueueConfig::default()
    });
    queue
        .push(ms(0), request("a", Priority::Low, secs(50)), "low1")
        .unwrap();
    queue
        .push(ms(0), request("a", Priority::Low, secs(60)), "low2")
        .unwrap();
    let high = request("b", Priority::High, secs(50));
    let (_, displaced) = queue.push(ms(0), high, "high").unwrap();
    assert_eq!(displaced.unwrap().value, "low2");
    assert!(
        queue
            .push(ms(0), request("a", Priority::Low, secs(50)), "low3")
            .is_err()
    );
}

#[test]
fn push_deadline_cannot_be_met() {
    let (mut queue, now) = queue_with_known_rate();
    for _ in 0..50 {
        queue.push(now, normal_request("b"), "fill").unwrap();
    }
    let soon = request("c", Priority::Normal, now + ms(50));
    assert_eq!(
        queue.push(now, soon, "v").unwrap_err().reason,
        RefusalReason::Deadline
    );
    let behind = request("b", Priority::Normal, now + secs(2));
    assert!(
        queue.push(now, behind, "v").is_ok(),
        "own account's earliest deadline goes first"
    );
    let last = request("b", Priority::Normal, now + secs(101));
    assert!(queue.forecast_wait(now, &last) > secs(2));
}

#[test]
fn push_low_refused_while_high_takes_all() {
    let (mut queue, mut now) = queue_with_known_rate();
    for _ in 0..60 {
        let high = request("h", Priority::High, now + secs(5));
        queue.push(now, high, "high").unwrap();
        now += ms(100);
        queue.pop(now);
    }
    let low = || request("l", Priority::Low, now + secs(5));
    let taken = (0..50)
        .take_while(|_| queue.push(now, low(), "low").is_ok())
        .count();
    assert!(
        taken <= 5,
        "{taken} low requests taken where one may leave in 1.6 s"
    );
    let high = request("h", Priority::High, now + secs(5));
    assert!(queue.push(now, high, "high").is_ok());
}

#[test]
fn push_after_idle_time_admitted() {
    let (mut queue, now) = queue_with_known_rate();
    drain(&mut queue, now);
    let later = now + secs(1000);
    for _ in 0..5 {
        let request = request("a", Priority::Normal, later + secs(5));
        assert!(queue.push(later, request, "v").is_ok());
    }
}

#[test]
fn pop_expired_and_cancel() {
    let mut queue = queue(QueueConfig::default());
    queue
        .push(ms(0), request("a", Priority::Normal, secs(1)), "old")
        .unwrap();
    let (ticket, _) = queue.push(ms(0), normal_request("b"), "gone").unwrap();
    assert_eq!(queue.pop_expired(secs(2)).unwrap().value, "old");
    assert_eq!(queue.cancel(secs(2), ticket).unwrap().value, "gone");
    assert!(queue.cancel(secs(2), ticket).is_none());
    assert!(queue.is_empty());
}
