//! Typed names and numbers.

name_type! {
    /// Name of a VM. An upstream and its agent have the name of the VM they run on.
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
    /// Name of a catalog entry, used by callers to address it.
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
    /// A caller's idempotency key. It must not be logged; its digest may be.
    pub struct IdempotencyKey
}

number_type! {
    /// Revision of the accepted configuration; it never decreases.
    pub struct Revision
}
number_type! {
    /// Random number that identifies one run of a process; it changes when the process restarts.
    pub struct Incarnation
}
number_type! {
    /// Fencing number of an order. An engine refuses an order whose number is lower than the highest
    /// it has accepted.
    pub struct Fence
}
number_type! {
    /// Number of a caller's request, unique per entry process with high probability.
    pub struct RequestId
}

/// Ordinal of an attempt to run a request at an agent, starting at 1.
pub type Attempt = u32;
