//! The baseline: one compare-and-swap per request, at any agent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use oriole_claims::prelude::*;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Attempts to read the claim back after a write without an answer.
const MAX_READ_BACKS: u32 = 3;

#[derive(Debug)]
struct State {
    answers: HashMap<String, Bytes>,
    rng: StdRng,
}

/// An agent that writes one store value per key to claim it.
#[derive(Clone, Debug)]
pub struct CasAgent {
    store: Arc<dyn DebugStore>,
    state: Arc<Mutex<State>>,
}

/// A [`Store`] that also implements [`std::fmt::Debug`].
pub trait DebugStore: Store + std::fmt::Debug {}

impl<T: Store + std::fmt::Debug> DebugStore for T {}

impl CasAgent {
    /// Creates an agent without any stored answers.
    #[must_use]
    pub fn new(store: Arc<dyn DebugStore>, seed: u64) -> Self {
        let state = State {
            answers: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        Self {
            store,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Runs a request if its claim could be created; replays the answer if this agent has it.
    pub async fn execute(
        &self,
        key: &IdempotencyKey,
        run: impl Future<Output = RunOutcome>,
    ) -> ClaimOutcome {
        if let Some(answer) = self.stored_answer(key) {
            return ClaimOutcome::Replay(answer);
        }
        match self.claim(key).await {
            Claim::Created => self.run(key, run).await,
            Claim::Taken => ClaimOutcome::Unknown(UnknownReason::AnswerLost),
            Claim::Refused => ClaimOutcome::not_run(RefusalReason::StoreUnavailable),
        }
    }

    async fn run(
        &self,
        key: &IdempotencyKey,
        run: impl Future<Output = RunOutcome>,
    ) -> ClaimOutcome {
        match run.await {
            RunOutcome::Answer(answer) => {
                let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                state
                    .answers
                    .insert(key.as_str().to_owned(), answer.clone());
                ClaimOutcome::FirstRun(answer)
            }
            RunOutcome::NotRun(reason) => ClaimOutcome::not_run(reason),
            RunOutcome::Unknown(reason) => ClaimOutcome::Unknown(reason),
        }
    }

    fn stored_answer(&self, key: &IdempotencyKey) -> Option<Bytes> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.answers.get(key.as_str()).cloned()
    }

    async fn claim(&self, key: &IdempotencyKey) -> Claim {
        let nonce: u64 = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.rng.random()
        };
        let name = format!("claim/{key}");
        let value = Bytes::copy_from_slice(&nonce.to_be_bytes());
        match self
            .store
            .put(&name, value.clone(), Precondition::Absent)
            .await
        {
            Ok(_) => Claim::Created,
            Err(StoreError::Conflict) => Claim::Taken,
            Err(e) if e.may_have_written() => self.read_back(&name, &value).await,
            Err(_) => Claim::Refused,
        }
    }

    async fn read_back(&self, name: &str, value: &Bytes) -> Claim {
        for _ in 0..MAX_READ_BACKS {
            match self.store.get(name).await {
                Ok(Some(found)) if found.value == *value => return Claim::Created,
                Ok(Some(_)) => return Claim::Taken,
                Ok(None) => return Claim::Refused,
                Err(_) => {}
            }
        }
        Claim::Refused
    }
}

/// Result of an attempt to claim a key.
enum Claim {
    Created,
    Taken,
    Refused,
}
