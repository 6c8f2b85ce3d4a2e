//! Running one request at the upstream.

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

/// Largest answer of a request that is not idempotent, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 256 * 1024;

/// Part of its timeout that a request which is not idempotent waits for admission at most, so that
/// its caller hears in time that it did not run.
const QUEUE_SHARE_OF_TIMEOUT: f64 = 0.8;

/// How a run ended, as far as the upstream is concerned.
enum ForwardOutcome {
    /// With the whole answer.
    Whole,
    /// The reader left.
    ReaderGone,
    /// Without a whole answer.
    Error(UpstreamError),
}

/// What is known after an upstream gave no whole answer.
enum FailureOutcome {
    /// The request did not run.
    NotRun(RefusalReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Runs an idempotent request and hands its answer on as it comes.
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
        ForwardOutcome::Whole => {
            work.finished(FinishKind::Complete);
            // The reader may be gone.
            let _ = reply.end(false, core.trailer()).await;
        }
        ForwardOutcome::ReaderGone => cancel_work(core, &job, work, answer).await,
        ForwardOutcome::Error(e) => end_without_answer(core, work, e, reply).await,
    }
}

/// Runs a request that is not idempotent to its end, whoever waits for it.
pub(crate) async fn run_whole(core: Arc<AgentCore>, job: Job) -> RunOutcome {
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
            Ok(None) => return ForwardOutcome::Whole,
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
    // The reader may be gone.
    let _ = reply.refuse(refusal, core.trailer()).await;
}

async fn end_without_answer(core: &AgentCore, work: AdmittedWork, e: UpstreamError, reply: Reply) {
    let outcome = record_error(core, work, &e);
    let trailer = core.trailer();
    // The reader may be gone.
    let _ = match outcome {
        FailureOutcome::NotRun(reason) => reply.refuse(&Refusal::new(reason), trailer).await,
        FailureOutcome::Unknown(reason) => reply.fail(reason, trailer).await,
    };
}

/// Tells the gate what an error means for the upstream, and what is known of the request.
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
        UpstreamError::Error(_) => {
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

/// Stops work whose reader left; it counts until the upstream is known to be done with it.
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
