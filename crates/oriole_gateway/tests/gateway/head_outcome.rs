//! Classification of response heads.

use http::StatusCode;
use oriole_gateway::forward::head_outcome::{HeadInfo, HeadOutcome, classify_head, judge_head};
use oriole_gateway::refusal::Refusal;
use proptest::prelude::*;
use rstest::rstest;

use crate::fake::FakeDialect;

fn head(status: u16) -> HeadInfo<'static> {
    HeadInfo {
        status: StatusCode::from_u16(status).unwrap(),
        echoed_id: Some("mine"),
        is_signed: true,
        is_marked_not_run: false,
        is_reused: true,
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
#[case::unmarked_on_a_new_connection(
    HeadInfo { echoed_id: None, is_signed: false, is_reused: false, ..head(404) },
    HeadOutcome::Unknown("answer without any mark of an upstream")
)]
#[case::unmarked_refusal_on_a_new_connection(
    HeadInfo { echoed_id: None, is_signed: false, is_reused: false, ..head(421) },
    HeadOutcome::Unknown("answer without any mark of an upstream")
)]
#[case::signed_on_a_new_connection(
    HeadInfo { echoed_id: None, is_reused: false, ..head(404) },
    HeadOutcome::Failure
)]
#[case::unsigned_failure(HeadInfo { is_signed: false, ..head(404) }, HeadOutcome::Failure)]
#[case::success_not_run(
    HeadInfo { is_marked_not_run: true, ..head(200) },
    HeadOutcome::Unknown("success that says not run")
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
    ) {
        let head = HeadInfo {
            status: StatusCode::from_u16(status).unwrap(),
            echoed_id,
            is_signed,
            is_marked_not_run,
            is_reused,
        };
        match classify_head("mine", &head) {
            HeadOutcome::NotRun(_) => {
                prop_assert!(is_marked_not_run || status == 421);
                prop_assert!(echoed_id == Some("mine") || (echoed_id.is_none() && !is_reused));
            }
            HeadOutcome::Success => {
                prop_assert!(is_signed && (200..300).contains(&status));
                prop_assert_ne!(echoed_id, Some("other"));
            }
            HeadOutcome::Failure => {
                prop_assert!(![408, 421, 429, 503].contains(&status));
                let is_marked = is_signed || is_marked_not_run;
                prop_assert!(echoed_id == Some("mine") || (is_marked && !is_reused));
            }
            HeadOutcome::Unknown(_) => {}
        }
    }
}

/// A head that is no valid answer in HTTP/1.1 is none, whatever marks it bears.
#[rstest]
#[case::switch(101, &[], "status that is no answer")]
#[case::switch_not_run(101, &[("not-run", "1")], "status that is no answer")]
#[case::status_600(600, &[], "status that is no answer")]
#[case::status_999_not_run(999, &[("not-run", "1")], "status that is no answer")]
#[case::transfer_coding(200, &[("transfer-encoding", "gzip")], "unknown transfer coding")]
#[case::codings(200, &[("transfer-encoding", "gzip, chunked")], "unknown transfer coding")]
#[case::encoded(200, &[("content-encoding", "gzip")], "encoded body")]
#[case::encoded_404(404, &[("content-encoding", "br")], "encoded body")]
#[case::encoded_refusal(503, &[("content-encoding", "gzip"), ("not-run", "1")], "encoded body")]
fn judge_head_invalid_is_no_answer(
    #[case] status: u16,
    #[case] fields: &[(&str, &str)],
    #[case] reason: &'static str,
    #[values(true, false)] is_reused: bool,
) {
    let mut response = http::Response::builder().status(status);
    for (name, value) in [("attempt", "mine"), ("signature", "s")]
        .iter()
        .chain(fields)
    {
        response = response.header(*name, *value);
    }
    let response = response.body(()).unwrap();
    let judged = judge_head(&FakeDialect::default().names, "mine", &response, is_reused);
    assert_eq!(judged.outcome, HeadOutcome::Unknown(reason));
    assert!(!judged.is_answer);
}

/// Once a request may have run, it must not get a status or `Retry-After` that promises otherwise.
#[rstest]
#[case::expired(Refusal::Expired)]
#[case::upstream_failed(Refusal::UpstreamFailed)]
fn refusal_after_possible_run_does_not_promise_not_run(#[case] refusal: Refusal) {
    assert!(![408, 421, 429, 503].contains(&refusal.status().as_u16()));
    assert_eq!(refusal.retry_after(), None);
}
