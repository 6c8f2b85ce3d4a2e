//! The plain baseline: one compare-and-swap a request, at any agent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use oriole_claims::prelude::*;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Reads after a write with no answer before the claim is given up.
const READ_BACKS: u32 = 3;

#[derive(Debug)]
struct State {
    answers: HashMap<String, Bytes>,
    rng: StdRng,
}

/// An agent that claims each key by a value of its own.
#[derive(Clone, Debug)]
pub struct CasAgent {
    store: Arc<dyn StoreDebug>,
    state: Arc<Mutex<State>>,
}

/// A store that can be printed.
pub trait StoreDebug: Store + std::fmt::Debug {}

impl<T: Store + std::fmt::Debug> StoreDebug for T {}

impl CasAgent {
    /// An agent with an empty memory.
    #[must_use]
    pub fn new(store: Arc<dyn StoreDebug>, seed: u64) -> Self {
        let state = State {
            answers: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        Self {
            store,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Runs a request if its claim could be created.
    pub async fn execute(
        &self,
        key: &IdempotencyKey,
        run: impl Future<Output = RunEnd>,
    ) -> ClaimEnd {
        if let Some(answer) = self.answer(key) {
            return ClaimEnd::Replay(answer);
        }
        match self.claim(key).await {
            Claim::Mine => self.run(key, run).await,
            Claim::Other => ClaimEnd::Unknown(UnknownReason::AnswerLost),
            Claim::Refused => ClaimEnd::not_run(RefusalReason::StoreUnavailable),
        }
    }

    async fn run(&self, key: &IdempotencyKey, run: impl Future<Output = RunEnd>) -> ClaimEnd {
        match run.await {
            RunEnd::Answer(answer) => {
                let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                state
                    .answers
                    .insert(key.as_str().to_owned(), answer.clone());
                ClaimEnd::FirstRun(answer)
            }
            RunEnd::NotRun(reason) => ClaimEnd::not_run(reason),
            RunEnd::Unknown(reason) => ClaimEnd::Unknown(reason),
        }
    }

    fn answer(&self, key: &IdempotencyKey) -> Option<Bytes> {
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
            Ok(_) => Claim::Mine,
            Err(StoreError::Conflict) => Claim::Other,
            Err(e) if e.may_have_written() => self.read_back(&name, &value).await,
            Err(_) => Claim::Refused,
        }
    }

    async fn read_back(&self, name: &str, value: &Bytes) -> Claim {
        for _ in 0..READ_BACKS {
            match self.store.get(name).await {
                Ok(Some(found)) if found.value == *value => return Claim::Mine,
                Ok(Some(_)) => return Claim::Other,
                Ok(None) => return Claim::Refused,
                Err(_) => {}
            }
        }
        Claim::Refused
    }
}

enum Claim {
    Mine,
    Other,
    Refused,
}
