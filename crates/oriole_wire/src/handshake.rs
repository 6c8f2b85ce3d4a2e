//! Handshake of a connection, in which both sides prove that they know the fleet secret.
//!
//! The client sends a hello with its identity and a nonce. The server answers with a challenge: its own
//! nonce and a proof. The client then sends its proof. Each proof is a MAC over the sender's role and
//! identity and both nonces, so it cannot be replayed.

use std::time::Duration;

use bytes::Bytes;
use futures::{Sink, SinkExt, Stream, StreamExt};
use rand::RngExt;

use crate::codec::FrameError;
use crate::error::WireError;
use crate::frame::{Body, Challenge, Frame, Hello, PROTOCOL_VERSION, Proof};
use crate::secret::FleetSecrets;

/// Timeout for the whole handshake.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 16;

/// Roles, the first field of a proof. They prevent that a proof is reflected to its sender.
const SERVER_ROLE: &[u8] = b"accepting";
const CLIENT_ROLE: &[u8] = b"connecting";

/// Maximum length of the name of a VM or failure domain in the handshake, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Identity of a process, as proved in the handshake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the process's VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// Runs the client side of the handshake.
///
/// Returns the server's name and incarnation; its `domain` is empty, as servers do not send it.
///
/// # Errors
///
/// Fails if the server does not prove the secret or violates the protocol.
pub async fn connect<S>(
    io: &mut S,
    local: &Identity,
    secrets: &FleetSecrets,
) -> Result<Identity, WireError>
where
    S: Stream<Item = Result<Frame, FrameError>> + Sink<Frame, Error = FrameError> + Unpin,
{
    let nonce = random_nonce();
    let id = secrets.primary_id();
    let hello = Hello {
        version: PROTOCOL_VERSION,
        name: local.name.clone(),
        domain: local.domain.clone(),
        incarnation: local.incarnation,
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
        SERVER_ROLE,
        (&nonce, &challenge.nonce),
        &peer,
        &challenge.proof,
    ) {
        return Err(WireError::Unauthenticated);
    }
    let proof = sign(secrets, id, CLIENT_ROLE, (&nonce, &challenge.nonce), local)?;
    send(io, Body::Proof(Proof { proof })).await?;
    Ok(peer)
}

/// Runs the server side of the handshake; returns the client's identity.
///
/// # Errors
///
/// Fails if the client does not prove a secret or violates the protocol.
pub async fn accept<S>(
    io: &mut S,
    local: &Identity,
    secrets: &FleetSecrets,
) -> Result<Identity, WireError>
where
    S: Stream<Item = Result<Frame, FrameError>> + Sink<Frame, Error = FrameError> + Unpin,
{
    let Body::Hello(hello) = receive(io).await? else {
        return Err(WireError::Malformed("expected a hello"));
    };
    check_hello(&hello)?;
    let nonce = random_nonce();
    let sent_identity = Identity {
        domain: String::new(),
        ..local.clone()
    };
    let id = hello.secret_id;
    let challenge = Challenge {
        nonce: nonce.clone(),
        proof: sign(
            secrets,
            id,
            SERVER_ROLE,
            (&hello.nonce, &nonce),
            &sent_identity,
        )?,
        name: local.name.clone(),
        incarnation: local.incarnation,
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
        CLIENT_ROLE,
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

fn random_nonce() -> Bytes {
    let mut buf = [0; NONCE_BYTES];
    rand::rng().fill(&mut buf);
    Bytes::copy_from_slice(&buf)
}

/// Creates the proof of a side: a MAC over its role and identity and the nonces of both sides.
fn sign(
    secrets: &FleetSecrets,
    secret_id: u64,
    role: &[u8],
    (client_nonce, server_nonce): (&[u8], &[u8]),
    identity: &Identity,
) -> Result<Bytes, WireError> {
    let incarnation = identity.incarnation.to_be_bytes();
    let (name, domain) = (identity.name.as_bytes(), identity.domain.as_bytes());
    let fields = [role, client_nonce, server_nonce, name, domain, &incarnation];
    let proof = secrets
        .sign(secret_id, &fields)
        .ok_or(WireError::Unauthenticated)?;
    Ok(Bytes::copy_from_slice(&proof))
}

fn verify(
    secrets: &FleetSecrets,
    secret_id: u64,
    role: &[u8],
    (client_nonce, server_nonce): (&[u8], &[u8]),
    identity: &Identity,
    proof: &[u8],
) -> bool {
    let incarnation = identity.incarnation.to_be_bytes();
    let (name, domain) = (identity.name.as_bytes(), identity.domain.as_bytes());
    let fields = [role, client_nonce, server_nonce, name, domain, &incarnation];
    secrets.verify(secret_id, &fields, proof)
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
