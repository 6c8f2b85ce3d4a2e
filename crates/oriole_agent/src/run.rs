//! Running one request at the upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oriole_admission::gate::FinishKind;
use oriole_claims::request::RunEnd;
use oriole_types::outcome::{RefusalReason, UnknownReason};
use oriole_wire::reply::{Refusal, Reply, ReplyError};
use tokio_util::sync::CancellationToken;

use crate::core::AgentCore;
use crate::gatekeeper::{Trust, Work};
use crate::upstream::{Answer, Job, UpstreamError};

/// Largest answer of a request that is not idempotent, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 256 * 1024;

/// Part of its timeout that a request which is not idempotent waits for admission at most, so that
/// its caller hears in time that it did not run.
const QUEUE_SHARE_OF_TIMEOUT: f64 = 0.8;

/// How a run ended, as far as the upstream is concerned.
enum Ended {
    /// With the whole answer.
    Whole,
    /// The reader left.
    ReaderGone,
    /// Without a whole answer.
    Error(UpstreamError),
}

/// What is known after an upstream gave no whole answer.
enum Verdict {
    /// The request did not run.
    NotRun(RefusalReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Runs an idempotent request and hands its answer on as it comes.
pub(crate) async fn stream(core: &Arc<AgentCore>, job: Job, proven: bool, mut reply: Reply) {
    let gone = reply.cancellation_token().clone();
    let admitted = tokio::select! {
        admitted = admit(core, &job, proven) => admitted,
        () = gone.cancelled() => return,
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
            () = gone.cancelled() => {
                if core.upstream.cancel(&job).await {
                    return work.finished(FinishKind::Cancelled);
                }
                run.await
            }
        }
    };
    let mut answer = match started {
        Ok(answer) => answer,
        Err(e) => return give_up(core, work, e, reply).await,
    };
    match forward(&mut answer, &work, &mut reply, &gone).await {
        Ended::Whole => {
            work.finished(FinishKind::Complete);
            // The reader may be gone.
            let _ = reply.end(false, core.trailer()).await;
        }
        Ended::ReaderGone => stop(core, &job, work, answer).await,
        Ended::Error(e) => give_up(core, work, e, reply).await,
    }
}

/// Runs a request that is not idempotent to its end, whoever waits for it.
pub(crate) async fn run_whole(core: Arc<AgentCore>, job: Job) -> RunEnd {
    let timeout = Duration::from_millis(u64::from(job.head.timeout_ms));
    let patience = timeout.mul_f64(QUEUE_SHARE_OF_TIMEOUT);
    let work = match tokio::time::timeout(patience, admit(&core, &job, false)).await {
        Ok(Ok(work)) => work,
        Ok(Err(refusal)) => return RunEnd::NotRun(refusal.reason),
        Err(_) => return RunEnd::NotRun(RefusalReason::Deadline),
    };
    let collected = match core.upstream.run(&job).await {
        Ok(mut answer) => collect(&mut answer, &work).await,
        Err(e) => Err(e),
    };
    match collected {
        Ok(data) => {
            work.finished(FinishKind::Complete);
            RunEnd::Answer(data)
        }
        Err(e) => match settle(&core, work, &e) {
            Verdict::NotRun(reason) => RunEnd::NotRun(reason),
            Verdict::Unknown(reason) => RunEnd::Unknown(reason),
        },
    }
}

async fn admit(core: &AgentCore, job: &Job, proven: bool) -> Result<Work, Refusal> {
    let trust = Trust {
        proven,
        // The claim of a request that is not idempotent binds it to this agent.
        bound: !job.head.idempotent,
    };
    let timeout = Duration::from_millis(u64::from(job.head.timeout_ms));
    let deadline = core.clock.now() + timeout;
    core.gate
        .admit(job.head.content, job.head.priority, deadline, trust)
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
    work: &Work,
    reply: &mut Reply,
    gone: &CancellationToken,
) -> Ended {
    loop {
        let next = tokio::select! {
            next = answer.next() => next,
            () = gone.cancelled() => return Ended::ReaderGone,
        };
        let items = match next {
            Ok(Some(items)) => items,
            Ok(None) => return Ended::Whole,
            Err(e) => return Ended::Error(e),
        };
        work.output(items.count);
        if let Err(ReplyError::ReaderGone) = reply.chunk(items.count, items.data).await {
            return Ended::ReaderGone;
        }
    }
}

async fn collect(answer: &mut Answer, work: &Work) -> Result<Bytes, UpstreamError> {
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

async fn give_up(core: &AgentCore, work: Work, e: UpstreamError, reply: Reply) {
    let verdict = settle(core, work, &e);
    let trailer = core.trailer();
    // The reader may be gone.
    let _ = match verdict {
        Verdict::NotRun(reason) => reply.refuse(&Refusal::new(reason), trailer).await,
        Verdict::Unknown(reason) => reply.fail(reason, trailer).await,
    };
}

/// Tells the gate what an error means for the upstream, and what is known of the request.
fn settle(core: &AgentCore, work: Work, e: &UpstreamError) -> Verdict {
    metrics::counter!("oriole_upstream_errors_total", "reason" => e.reason()).increment(1);
    match e {
        UpstreamError::NotSent(_) => {
            work.finished(FinishKind::Cancelled);
            core.upstream_lost();
            Verdict::NotRun(RefusalReason::UpstreamUnreachable)
        }
        UpstreamError::Refused(status) => {
            work.finished(FinishKind::Cancelled);
            Verdict::NotRun(refusal_of(*status))
        }
        UpstreamError::Error(_) => {
            work.finished(FinishKind::Failed);
            Verdict::Unknown(UnknownReason::UpstreamFailed)
        }
        UpstreamError::Failed(_) | UpstreamError::Incomplete => {
            core.lost_under(work);
            Verdict::Unknown(UnknownReason::UpstreamFailed)
        }
    }
}

fn refusal_of(status: u16) -> RefusalReason {
    if status == http::StatusCode::SERVICE_UNAVAILABLE {
        RefusalReason::UpstreamFull
    } else {
        RefusalReason::RequestInvalid
    }
}

/// Stops work whose reader left; it counts until the upstream is known to be done with it.
async fn stop(core: &AgentCore, job: &Job, work: Work, mut answer: Answer) {
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
                settle(core, work, &e);
                return;
            }
        }
    }
}
