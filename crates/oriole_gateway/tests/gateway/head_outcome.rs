//! Classification of response heads.

use http::StatusCode;
use oriole_gateway::forward::head_outcome::{HeadInfo, HeadOutcome, classify_head};
use oriole_gateway::refusal::Refusal;
use proptest::prelude::*;
use rstest::rstest;

fn head(status: u16) -> HeadInfo<'static> {
    HeadInfo {
        status: StatusCode::from_u16(status).unwrap(),
        echoed_id: Some("mine"),
        is_signed: true,
        is_marked_not_run: false,
        is_reused: true,
        is_encoded: false,
    }
}

#[rstest]
#[case::success(head(200), HeadOutcome::Success)]
#[case::own_failure(head(500), HeadOutcome::Failure)]
#[case::not_found(head(404), HeadOutcome::Failure)]
#[case::late_response_to_another(
    HeadInfo { echoed_id: Some("other"), ..head(200) },
    HeadOutcome::Unknown("answer to another request")
)]
#[case::late_refusal_of_another(
    HeadInfo { echoed_id: Some("other"), is_marked_not_run: true, ..head(503) },
    HeadOutcome::Unknown("answer to another request")
)]
#[case::no_id_on_a_reused_connection(
    HeadInfo { echoed_id: None, is_marked_not_run: true, ..head(503) },
    HeadOutcome::Unknown("answer without its request's id")
)]
#[case::no_id_on_a_new_connection(
    HeadInfo { echoed_id: None, is_marked_not_run: true, is_reused: false, ..head(503) },
    HeadOutcome::NotRun("refused by the upstream")
)]
#[case::is_marked_not_run(
    HeadInfo { is_marked_not_run: true, ..head(503) },
    HeadOutcome::NotRun("refused by the upstream")
)]
#[case::another_instance(head(421), HeadOutcome::NotRun("another instance"))]
#[case::unsigned(
    HeadInfo { is_signed: false, ..head(200) },
    HeadOutcome::Unknown("success without a signature")
)]
#[case::encoded(HeadInfo { is_encoded: true, ..head(200) }, HeadOutcome::Unknown("encoded body"))]
#[case::refusal_not_marked(head(503), HeadOutcome::Unknown("refusal that does not say not run"))]
fn classify_head_cases(#[case] head: HeadInfo<'_>, #[case] expected: HeadOutcome) {
    assert_eq!(classify_head("mine", &head), expected);
}

proptest! {
    /// A request only counts as not run if the upstream states so for this very request.
    #[test]
    fn classify_head_not_run_only_if_marked(
        status in 100..600u16,
        echoed_id in prop::option::of(prop::sample::select(vec!["mine", "other"])),
        is_signed: bool,
        is_marked_not_run: bool,
        is_reused: bool,
        is_encoded: bool,
    ) {
        let head = HeadInfo {
            status: StatusCode::from_u16(status).unwrap(),
            echoed_id,
            is_signed,
            is_marked_not_run,
            is_reused,
            is_encoded,
        };
        match classify_head("mine", &head) {
            HeadOutcome::NotRun(_) => {
                prop_assert!(is_marked_not_run || status == 421);
                prop_assert!(echoed_id == Some("mine") || (echoed_id.is_none() && !is_reused));
            }
            HeadOutcome::Success => {
                prop_assert!(is_signed && !is_encoded && (200..300).contains(&status));
                prop_assert_ne!(echoed_id, Some("other"));
            }
            HeadOutcome::Failure => prop_assert!(![408, 421, 429, 503].contains(&status)),
            HeadOutcome::Unknown(_) => {}
        }
    }
}

/// Once a request may have run, it must not get a status or `Retry-After` that promises otherwise.
#[rstest]
#[case::expired(Refusal::Expired)]
#[case::upstream_failed(Refusal::UpstreamFailed)]
fn refusal_after_possible_run_does_not_promise_not_run(#[case] refusal: Refusal) {
    assert!(![408, 421, 429, 503].contains(&refusal.status().as_u16()));
    assert_eq!(refusal.retry_after(), None);
}
