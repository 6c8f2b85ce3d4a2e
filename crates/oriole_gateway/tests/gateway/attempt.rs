//! What the head of an answer may claim, as one table.

use http::StatusCode;
use oriole_gateway::forward::attempt::{HeadFacts, Verdict, judge};
use oriole_gateway::refusal::Refusal;
use proptest::prelude::*;
use rstest::rstest;

fn head(status: u16) -> HeadFacts<'static> {
    HeadFacts {
        status: StatusCode::from_u16(status).unwrap(),
        echo: Some("mine"),
        is_signed: true,
        says_not_run: false,
        is_reused: true,
        is_encoded: false,
    }
}

#[rstest]
#[case::success(head(200), Verdict::Success)]
#[case::own_failure(head(500), Verdict::Failure)]
#[case::not_found(head(404), Verdict::Failure)]
#[case::late_extra_answer(
    HeadFacts { echo: Some("other"), ..head(200) },
    Verdict::Unknown("answer to another request")
)]
#[case::late_refusal_of_another(
    HeadFacts { echo: Some("other"), says_not_run: true, ..head(503) },
    Verdict::Unknown("answer to another request")
)]
#[case::no_id_on_a_kept_connection(
    HeadFacts { echo: None, says_not_run: true, ..head(503) },
    Verdict::Unknown("answer without its request's id")
)]
#[case::no_id_on_a_new_connection(
    HeadFacts { echo: None, says_not_run: true, is_reused: false, ..head(503) },
    Verdict::NotRun("refused by the upstream")
)]
#[case::says_not_run(
    HeadFacts { says_not_run: true, ..head(503) },
    Verdict::NotRun("refused by the upstream")
)]
#[case::another_instance(head(421), Verdict::NotRun("another instance"))]
#[case::unsigned(
    HeadFacts { is_signed: false, ..head(200) },
    Verdict::Unknown("success without a signature")
)]
#[case::encoded(HeadFacts { is_encoded: true, ..head(200) }, Verdict::Unknown("encoded body"))]
#[case::refusal_that_promises_nothing(
    head(503),
    Verdict::Unknown("refusal that does not say not run")
)]
fn judge_heads(#[case] head: HeadFacts<'_>, #[case] verdict: Verdict) {
    assert_eq!(judge("mine", &head), verdict);
}

proptest! {
    /// "Not run" is only ever concluded from the upstream's own word on this very request.
    #[test]
    fn judge_not_run_only_by_its_word(
        status in 100..600u16,
        echo in prop::option::of(prop::sample::select(vec!["mine", "other"])),
        is_signed: bool,
        says_not_run: bool,
        is_reused: bool,
        is_encoded: bool,
    ) {
        let head = HeadFacts {
            status: StatusCode::from_u16(status).unwrap(),
            echo,
            is_signed,
            says_not_run,
            is_reused,
            is_encoded,
        };
        match judge("mine", &head) {
            Verdict::NotRun(_) => {
                prop_assert!(says_not_run || status == 421);
                prop_assert!(echo == Some("mine") || (echo.is_none() && !is_reused));
            }
            Verdict::Success => {
                prop_assert!(is_signed && !is_encoded && (200..300).contains(&status));
                prop_assert_ne!(echo, Some("other"));
            }
            Verdict::Failure => prop_assert!(![408, 421, 429, 503].contains(&status)),
            Verdict::Unknown(_) => {}
        }
    }
}

/// Statuses that promise that a request has not run are those of refusals before it was sent.
#[rstest]
#[case::expired(Refusal::Expired)]
#[case::upstream_failed(Refusal::UpstreamFailed)]
fn refusal_after_it_may_have_run_promises_nothing(#[case] refusal: Refusal) {
    assert!(![408, 421, 429, 503].contains(&refusal.status().as_u16()));
    assert_eq!(refusal.retry_after(), None);
}
