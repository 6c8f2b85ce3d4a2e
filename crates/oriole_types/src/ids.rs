//! Names and numbers that identify the things the fleet works with.

name_type! {
    /// Name of a VM. An upstream and its agent carry the name of the VM they run on.
    pub struct VmName
}
name_type! {
    /// Name of a failure domain.
    pub struct DomainName
}
name_type! {
    /// Name of a client account.
    pub struct AccountName
}
name_type! {
    /// Name of a catalog entry, as callers address it.
    pub struct EntryName
}
name_type! {
    /// Name of a pool of upstreams that serve the same entries.
    pub struct PoolName
}
name_type! {
    /// Name of an expert-parallel model group.
    pub struct GroupName
}
name_type! {
    /// Name of a model.
    pub struct ModelName
}
name_type! {
    /// A caller's idempotency key. It never reaches a log; its digest may.
    pub struct IdempotencyKey
}

number_type! {
    /// Revision of the accepted configuration; it only grows.
    pub struct Revision
}
number_type! {
    /// Random number of one run of a process; a restarted process has another.
    pub struct Incarnation
}
number_type! {
    /// Fencing number of an order; an engine obeys none that is lower than one it has obeyed.
    pub struct Fence
}
number_type! {
    /// Number of one caller's request, unique per entry process with high probability.
    pub struct RequestId
}

/// Ordinal of one try of a request at an agent, starting at 1.
pub type Attempt = u32;
