//! First frames of a connection: both sides prove that they hold the fleet secret.
//!
//! The connecting side sends a hello with a nonce, the accepting side proves itself over it and
//! sends a nonce of its own, over which the connecting side proves itself.

use std::time::Duration;

use bytes::Bytes;
use futures::{Sink, SinkExt, Stream, StreamExt};
use rand::RngExt;

use crate::codec::FrameError;
use crate::error::WireError;
use crate::frame::{Body, Challenge, Frame, Hello, PROTOCOL_VERSION, Proof};
use crate::secret::FleetSecrets;

/// Longest time a handshake may take.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

const NONCE_BYTES: usize = 16;

/// What the proofs of the two sides begin with, so that neither can be sent back as the other.
const ACCEPTING: &[u8] = b"accepting";
const CONNECTING: &[u8] = b"connecting";

/// Longest name of a VM or failure domain in the handshake, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// What a process says of itself in the handshake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// Runs the connecting side; returns name and incarnation of the peer.
///
/// # Errors
///
/// Fails if the peer does not prove the secret or sends anything else.
pub async fn connect<S>(
    io: &mut S,
    me: &Identity,
    secrets: &FleetSecrets,
) -> Result<Identity, WireError>
where
    S: Stream<Item = Result<Frame, FrameError>> + Sink<Frame, Error = FrameError> + Unpin,
{
    let nonce = nonce();
    let id = secrets.primary_id();
    let hello = Hello {
        version: PROTOCOL_VERSION,
        name: me.name.clone(),
        domain: me.domain.clone(),
        incarnation: me.incarnation,
        nonce: nonce.clone(),
        secret_id: id,
    };
    send(io, Body::Hello(hello)).await?;
    let Body::Challenge(challenge) = receive(io).await? else {
        return Err(WireError::Malformed("expected a challenge"));
    };
    check_challenge(&challenge)?;
    let peer = Identity {
        name: challenge.name,
        domain: String::new(),
        incarnation: challenge.incarnation,
    };
    if !verify(
        secrets,
        id,
        ACCEPTING,
        (&nonce, &challenge.nonce),
        &peer,
        &challenge.proof,
    ) {
        return Err(WireError::Unauthenticated);
    }
    let proof = sign(secrets, id, CONNECTING, (&nonce, &challenge.nonce), me)?;
    send(io, Body::Proof(Proof { proof })).await?;
    Ok(peer)
}

/// Runs the accepting side; returns what the peer says of itself.
///
/// # Errors
///
/// Fails if the peer does not prove a secret or sends anything else.
pub async fn accept<S>(
    io: &mut S,
    me: &Identity,
    secrets: &FleetSecrets,
) -> Result<Identity, WireError>
where
    S: Stream<Item = Result<Frame, FrameError>> + Sink<Frame, Error = FrameError> + Unpin,
{
    let Body::Hello(hello) = receive(io).await? else {
        return Err(WireError::Malformed("expected a hello"));
    };
    check_hello(&hello)?;
    let nonce = nonce();
    let shown = Identity {
        domain: String::new(),
        ..me.clone()
    };
    let id = hello.secret_id;
    let challenge = Challenge {
        nonce: nonce.clone(),
        proof: sign(secrets, id, ACCEPTING, (&hello.nonce, &nonce), &shown)?,
        name: me.name.clone(),
        incarnation: me.incarnation,
    };
    send(io, Body::Challenge(challenge)).await?;
    let Body::Proof(proof) = receive(io).await? else {
        return Err(WireError::Malformed("expected a proof"));
    };
    let peer = Identity {
        name: hello.name,
        domain: hello.domain,
        incarnation: hello.incarnation,
    };
    if !verify(
        secrets,
        id,
        CONNECTING,
        (&hello.nonce, &nonce),
        &peer,
        &proof.proof,
    ) {
        return Err(WireError::Unauthenticated);
    }
    Ok(peer)
}

fn check_hello(hello: &Hello) -> Result<(), WireError> {
    if hello.version != PROTOCOL_VERSION {
        return Err(WireError::Malformed("another protocol version"));
    }
    if hello.nonce.len() != NONCE_BYTES {
        return Err(WireError::Malformed("nonce of another length"));
    }
    if hello.name.len() > MAX_NAME_BYTES || hello.domain.len() > MAX_NAME_BYTES {
        return Err(WireError::Malformed("name too long"));
    }
    Ok(())
}

fn check_challenge(challenge: &Challenge) -> Result<(), WireError> {
    if challenge.nonce.len() != NONCE_BYTES {
        return Err(WireError::Malformed("nonce of another length"));
    }
    if challenge.name.len() > MAX_NAME_BYTES {
        return Err(WireError::Malformed("name too long"));
    }
    Ok(())
}

fn nonce() -> Bytes {
    let mut buf = [0; NONCE_BYTES];
    rand::rng().fill(&mut buf);
    Bytes::copy_from_slice(&buf)
}

/// Proves everything that a process says of itself, over the nonces of both sides.
fn sign(
    secrets: &FleetSecrets,
    id: u64,
    role: &[u8],
    (hello, challenge): (&[u8], &[u8]),
    who: &Identity,
) -> Result<Bytes, WireError> {
    let incarnation = who.incarnation.to_be_bytes();
    let (name, domain) = (who.name.as_bytes(), who.domain.as_bytes());
    let fields = [role, hello, challenge, name, domain, &incarnation];
    let proof = secrets
        .sign(id, &fields)
        .ok_or(WireError::Unauthenticated)?;
    Ok(Bytes::copy_from_slice(&proof))
}

fn verify(
    secrets: &FleetSecrets,
    id: u64,
    role: &[u8],
    (hello, challenge): (&[u8], &[u8]),
    who: &Identity,
    proof: &[u8],
) -> bool {
    let incarnation = who.incarnation.to_be_bytes();
    let (name, domain) = (who.name.as_bytes(), who.domain.as_bytes());
    let fields = [role, hello, challenge, name, domain, &incarnation];
    secrets.verify(id, &fields, proof)
}

async fn send<S>(io: &mut S, body: Body) -> Result<(), WireError>
where
    S: Sink<Frame, Error = FrameError> + Unpin,
{
    io.send(body.into()).await.map_err(WireError::from)
}

async fn receive<S>(io: &mut S) -> Result<Body, WireError>
where
    S: Stream<Item = Result<Frame, FrameError>> + Unpin,
{
    let frame = io.next().await.ok_or(WireError::Closed)??;
    frame.body.ok_or(WireError::Malformed("empty frame"))
}
