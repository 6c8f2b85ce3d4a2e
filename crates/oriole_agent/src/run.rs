//! Runs one request at the upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oriole_admission::gate::FinishKind;
use oriole_claims::request::RunOutcome;
use oriole_types::outcome::{RefusalReason, UnknownReason};
use oriole_wire::reply::{Refusal, Reply, ReplyError};
use tokio_util::sync::CancellationToken;

use crate::core::AgentCore;
use crate::gate::{AdmittedWork, OfferFlags};
use crate::upstream::{Answer, Job, UpstreamError};

/// Largest answer of a request that is not idempotent, in bytes; it is kept for repeated requests.
const MAX_KEPT_ANSWER_BYTES: usize = 256 * 1024;

/// Largest share of its timeout that a request which is not idempotent waits for admission. The
/// rest is left to report to the caller in time that the request did not run.
const QUEUE_SHARE_OF_TIMEOUT: f64 = 0.8;

/// Result of forwarding an answer.
enum ForwardOutcome {
    /// The upstream sent the complete answer.
    Complete,
    /// The caller left.
    ReaderGone,
    /// The upstream failed before the answer was complete.
    Error(UpstreamError),
}

/// The outcome of a request to which the upstream gave no complete answer.
enum FailureOutcome {
    /// The request did not run.
    NotRun(RefusalReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Runs an idempotent request and streams its answer to the caller.
pub(crate) async fn run_streamed(core: &Arc<AgentCore>, job: Job, proven: bool, mut reply: Reply) {
    let reader_gone = reply.cancellation_token().clone();
    let admitted = tokio::select! {
        admitted = admit(core, &job, proven) => admitted,
        () = reader_gone.cancelled() => return,
    };
    let work = match admitted {
        Ok(work) => work,
        Err(refusal) => return refuse(core, &refusal, reply).await,
    };
    let started = {
        let run = core.upstream.run(&job);
        tokio::pin!(run);
        tokio::select! {
            started = &mut run => started,
            () = reader_gone.cancelled() => {
                if core.upstream.cancel(&job).await {
                    return work.finished(FinishKind::Cancelled);
                }
                run.await
            }
        }
    };
    let mut answer = match started {
        Ok(answer) => answer,
        Err(e) => return end_without_answer(core, work, e, reply).await,
    };
    match forward(&mut answer, &work, &mut reply, &reader_gone).await {
        ForwardOutcome::Complete => {
            work.finished(FinishKind::Complete);
            // The caller may have left.
            let _ = reply.end(false, core.trailer()).await;
        }
        ForwardOutcome::ReaderGone => cancel_work(core, &job, work, answer).await,
        ForwardOutcome::Error(e) => end_without_answer(core, work, e, reply).await,
    }
}

/// Runs a request that is not idempotent to its end, even if the caller leaves.
pub(crate) async fn run_to_completion(core: Arc<AgentCore>, job: Job) -> RunOutcome {
    let timeout = Duration::from_millis(u64::from(job.head.timeout_ms));
    let max_queue_time = timeout.mul_f64(QUEUE_SHARE_OF_TIMEOUT);
    let work = match tokio::time::timeout(max_queue_time, admit(&core, &job, false)).await {
        Ok(Ok(work)) => work,
        Ok(Err(refusal)) => return RunOutcome::NotRun(refusal.reason),
        Err(_) => return RunOutcome::NotRun(RefusalReason::Deadline),
    };
    let collected = match core.upstream.run(&job).await {
        Ok(mut answer) => collect(&mut answer, &work).await,
        Err(e) => Err(e),
    };
    match collected {
        Ok(data) => {
            work.finished(FinishKind::Complete);
            RunOutcome::Answer(data)
        }
        Err(e) => match record_error(&core, work, &e) {
            FailureOutcome::NotRun(reason) => RunOutcome::NotRun(reason),
            FailureOutcome::Unknown(reason) => RunOutcome::Unknown(reason),
        },
    }
}

/// Waits for admission to the upstream.
async fn admit(core: &AgentCore, job: &Job, proven: bool) -> Result<AdmittedWork, Refusal> {
    let flags = OfferFlags {
        proven,
        // The claim of a request that is not idempotent binds it to this agent.
        pinned: !job.head.idempotent,
    };
    let timeout = Duration::from_millis(u64::from(job.head.timeout_ms));
    let deadline = core.clock.now() + timeout;
    core.gate
        .admit(job.head.content, job.head.priority, deadline, flags)
        .await
        .map_err(|refused| {
            let reason = refused.reason.as_str();
            metrics::counter!("oriole_agent_refused_total", "reason" => reason).increment(1);
            let retry_after = refused.retry_after.unwrap_or_default().as_millis();
            Refusal {
                retry_after_ms: u32::try_from(retry_after).unwrap_or(u32::MAX),
                ..Refusal::new(refused.reason)
            }
        })
}

/// Sends the items of an answer to the caller as they arrive.
async fn forward(
    answer: &mut Answer,
    work: &AdmittedWork,
    reply: &mut Reply,
    reader_gone: &CancellationToken,
) -> ForwardOutcome {
    loop {
        let next = tokio::select! {
            next = answer.next() => next,
            () = reader_gone.cancelled() => return ForwardOutcome::ReaderGone,
        };
        let items = match next {
            Ok(Some(items)) => items,
            Ok(None) => return ForwardOutcome::Complete,
            Err(e) => return ForwardOutcome::Error(e),
        };
        work.output(items.count);
        if let Err(ReplyError::ReaderGone) = reply.chunk(items.count, items.data).await {
            return ForwardOutcome::ReaderGone;
        }
    }
}

async fn collect(answer: &mut Answer, work: &AdmittedWork) -> Result<Bytes, UpstreamError> {
    let mut buf = BytesMut::new();
    while let Some(items) = answer.next().await? {
        work.output(items.count);
        if buf.len() + items.data.len() > MAX_KEPT_ANSWER_BYTES {
            return Err(UpstreamError::Incomplete);
        }
        buf.extend_from_slice(&items.data);
    }
    Ok(buf.freeze())
}

async fn refuse(core: &AgentCore, refusal: &Refusal, reply: Reply) {
    // The caller may have left.
    let _ = reply.refuse(refusal, core.trailer()).await;
}

/// Refuses or fails a request to which the upstream gave no complete answer.
async fn end_without_answer(core: &AgentCore, work: AdmittedWork, e: UpstreamError, reply: Reply) {
    let outcome = record_error(core, work, &e);
    let trailer = core.trailer();
    // The caller may have left.
    let _ = match outcome {
        FailureOutcome::NotRun(reason) => reply.refuse(&Refusal::new(reason), trailer).await,
        FailureOutcome::Unknown(reason) => reply.fail(reason, trailer).await,
    };
}

/// Records an error at the gate, and returns the request's outcome.
fn record_error(core: &AgentCore, work: AdmittedWork, e: &UpstreamError) -> FailureOutcome {
    metrics::counter!("oriole_upstream_errors_total", "reason" => e.reason()).increment(1);
    match e {
        UpstreamError::NotSent(_) => {
            work.finished(FinishKind::Cancelled);
            core.upstream_lost();
            FailureOutcome::NotRun(RefusalReason::UpstreamUnreachable)
        }
        UpstreamError::Refused(status) => {
            work.finished(FinishKind::Cancelled);
            FailureOutcome::NotRun(refusal_reason_of(*status))
        }
        UpstreamError::Error(_) | UpstreamError::Invalid(_) => {
            work.finished(FinishKind::Failed);
            FailureOutcome::Unknown(UnknownReason::UpstreamFailed)
        }
        UpstreamError::Failed(_) | UpstreamError::Incomplete => {
            core.on_connection_broken(work);
            FailureOutcome::Unknown(UnknownReason::UpstreamFailed)
        }
    }
}

fn refusal_reason_of(status: u16) -> RefusalReason {
    if status == http::StatusCode::SERVICE_UNAVAILABLE {
        RefusalReason::UpstreamFull
    } else {
        RefusalReason::RequestInvalid
    }
}

/// Cancels work whose caller left. If the upstream does not confirm that it stopped the work, reads
/// the rest of the answer, so that the work counts as running until it is finished.
async fn cancel_work(core: &AgentCore, job: &Job, work: AdmittedWork, mut answer: Answer) {
    metrics::counter!("oriole_agent_reader_gone_total").increment(1);
    if core.upstream.cancel(job).await {
        work.finished(FinishKind::Cancelled);
        return;
    }
    loop {
        match answer.next().await {
            Ok(Some(_)) => {}
            Ok(None) => return work.finished(FinishKind::Complete),
            Err(e) => {
                record_error(core, work, &e);
                return;
            }
        }
    }
}
