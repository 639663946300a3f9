//! Type aliases for identifiers and counts shared by the modules.

use uuid::Uuid;

/// Name of an application, such as `comptoir`.
pub type ApplicationId = String;
/// Number of an attempt of a request, starting at 1.
pub type AttemptNumber = u32;
/// Number of a body that a process holds for a caller.
pub type BodyId = u64;
/// Digest of what a request and its repeats have in common.
pub type ContentDigest = u64;
/// Name of an entry.
pub type EntryId = String;
/// SHA-256 digest of a call, which distinguishes a retry from a different call with the same key.
pub type Fingerprint = [u8; 32];
/// Fencing token of an order to an engine.
///
/// An engine that checks it refuses an order whose token is lower than that of the last one.
pub type FencingToken = u64;
/// Random number that an agent chooses at its start, which distinguishes its restarts.
pub type Incarnation = u64;
/// Unique identifier of a lease on engine memory.
pub type LeaseId = Uuid;
/// Name of a model.
pub type ModelId = String;
/// Index of a generated token in its answer, starting at 0.
pub type Position = u64;
/// Digest of all parts of a prompt with their lengths; 0 without a prompt.
pub type PromptDigest = u64;
/// Identifier of a part of a prompt that requests can share, such as a common beginning.
pub type PromptPartId = u64;
/// Unique identifier of a caller's request.
pub type RequestId = Uuid;
/// Revision number of a configuration, which only increases.
pub type Revision = u64;
/// Name of a route.
pub type RouteId = String;
/// Name of a service, a group of targets that serve the same requests.
pub type ServiceId = String;
/// Number of times that the platform's store has come back from a copy of itself. Its revisions name
/// a state only within one era.
pub type StoreEra = u64;
/// Identifier of an event of a target's stream, which increases within the stream.
pub type StreamEventId = u64;
/// Name of a target: a model engine or an application worker.
pub type TargetId = String;
/// Name of a team.
pub type TeamId = String;
/// Number of tokens in a prompt, an answer, or the KV cache.
pub type Tokens = u64;
/// Name of an availability zone.
pub type ZoneId = String;
