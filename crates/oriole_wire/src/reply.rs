//! The answer to a request, on the server side.

use std::sync::Arc;

use bytes::Bytes;
use oriole_types::fleet::LoadReport;
use oriole_types::ids::{Incarnation, Revision, VmName};
use oriole_types::outcome::{RefusalReason, UnknownReason};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

use crate::checksum::Checksum;
use crate::frame::{Body, Chunk, End, Failed, Frame, Refused};

/// Why a part of an answer could not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplyError {
    /// The client has cancelled the attempt, or the connection has ended.
    #[error("the client has cancelled the request or disconnected")]
    ReaderGone,
}

/// Information about the server, sent in the frame that ends an exchange.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trailer {
    /// Load of the upstream, if known.
    pub load: Option<LoadReport>,
    /// Revision of the server's configuration.
    pub revision: Revision,
}

/// Why an attempt did not run, with advice for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which to retry, in milliseconds; 0 if not known.
    pub retry_after_ms: u32,
    /// VM to which the request should be sent instead.
    pub redirect_to: Option<VmName>,
    /// Incarnation of that VM that holds the answer for the key in memory; another one does not.
    pub recall: Option<Incarnation>,
}

impl Refusal {
    /// Creates a refusal without advice.
    #[must_use]
    pub fn new(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after_ms: 0,
            redirect_to: None,
            recall: None,
        }
    }
}

/// Sends the answer of an attempt to the client.
///
/// Finish it with [`Reply::end`], [`Reply::refuse`] or [`Reply::fail`]. If it is dropped without, the
/// client receives [`UnknownReason::UpstreamFailed`].
pub struct Reply {
    request: u64,
    attempt: u32,
    out: mpsc::Sender<Frame>,
    credit: Arc<Semaphore>,
    cancel: CancellationToken,
    checksum: Checksum,
    position: u64,
    /// Whether the frame that ends the exchange has been queued.
    ended: bool,
}

impl Reply {
    pub(crate) fn new(
        request: u64,
        attempt: u32,
        resume_from: u64,
        out: mpsc::Sender<Frame>,
        credit: Arc<Semaphore>,
        cancel: CancellationToken,
    ) -> Self {
        Self {
            request,
            attempt,
            out,
            credit,
            cancel,
            checksum: Checksum::new(request, attempt),
            position: resume_from,
            ended: false,
        }
    }

    /// Number of the request.
    #[must_use]
    pub fn request(&self) -> u64 {
        self.request
    }

    /// Token that is cancelled when the client cancels the attempt or the connection ends.
    #[must_use]
    pub fn cancellation_token(&self) -> &CancellationToken {
        &self.cancel
    }

    /// Position after the last item sent.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Waits for credit and sends the next items of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the client has cancelled the attempt or the connection has ended.
    pub async fn chunk(&mut self, items: u32, data: Bytes) -> Result<(), ReplyError> {
        let chunk = Chunk {
            request: self.request,
            attempt: self.attempt,
            position: self.position,
            items,
            data: data.clone(),
        };
        let credit = tokio::select! {
            credit = self.credit.acquire() => credit.map_err(|_| ReplyError::ReaderGone)?,
            () = self.cancel.cancelled() => return Err(ReplyError::ReaderGone),
        };
        credit.forget();
        self.position = self.position.saturating_add(items.into());
        self.checksum.update(&data);
        self.send(Body::Chunk(chunk)).await
    }

    /// Ends the answer as complete.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn end(mut self, replayed: bool, trailer: Trailer) -> Result<(), ReplyError> {
        self.ended = true;
        let end = End {
            request: self.request,
            attempt: self.attempt,
            position: self.position,
            checksum: self.checksum.value(),
            load: trailer.load.map(Into::into),
            replayed,
            revision: trailer.revision.0,
        };
        self.send(Body::End(end)).await
    }

    /// Reports that the request did not run and that this attempt will not run later.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn refuse(mut self, refusal: &Refusal, trailer: Trailer) -> Result<(), ReplyError> {
        self.ended = true;
        let redirect_to = refusal.redirect_to.as_ref();
        let refused = Refused {
            request: self.request,
            attempt: self.attempt,
            reason: refusal.reason.code(),
            retry_after_ms: refusal.retry_after_ms,
            redirect_to: redirect_to.map_or_else(String::new, ToString::to_string),
            load: trailer.load.map(Into::into),
            revision: trailer.revision.0,
            recall: refusal.recall.map_or(0, |i| i.0),
        };
        self.send(Body::Refused(refused)).await
    }

    /// Reports that the request may have run.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub async fn fail(mut self, reason: UnknownReason, trailer: Trailer) -> Result<(), ReplyError> {
        self.ended = true;
        let failed = self.failed_message(reason, trailer);
        self.send(failed).await
    }

    fn failed_message(&self, reason: UnknownReason, trailer: Trailer) -> Body {
        Body::Failed(Failed {
            request: self.request,
            attempt: self.attempt,
            reason: reason.code(),
            load: trailer.load.map(Into::into),
            revision: trailer.revision.0,
        })
    }

    async fn send(&self, body: Body) -> Result<(), ReplyError> {
        self.out
            .send(body.into())
            .await
            .map_err(|_| ReplyError::ReaderGone)
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let failed = self.failed_message(UnknownReason::UpstreamFailed, Trailer::default());
        let out = self.out.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { out.send(failed.into()).await });
        }
    }
}
