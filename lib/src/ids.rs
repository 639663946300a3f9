//! Aliases for the identifiers and counts that the modules share.

use uuid::Uuid;

/// Name of an application, such as `comptoir`.
pub type ApplicationId = String;
/// Number of an attempt of one request, counted from 1.
pub type AttemptNumber = u32;
/// Name of an entry.
pub type EntryId = String;
/// SHA-256 digest of a call, which tells repetitions from other calls with the same key.
pub type Fingerprint = [u8; 32];
/// Number on an order to an engine; an engine that checks it refuses a lower one than its last.
pub type FencingNumber = u64;
/// Random number that an agent draws at its start; it tells two lives of one agent apart.
pub type Incarnation = u64;
/// Identifier of a lease on engine memory.
pub type LeaseId = Uuid;
/// Name of a model.
pub type ModelId = String;
/// Index of a generated token in its answer, counted from 0.
pub type Position = u64;
/// Identifier of a caller's request.
pub type RequestId = Uuid;
/// Number of a configuration; it only rises.
pub type Revision = u64;
/// Name of a route.
pub type RouteId = String;
/// Name of a service: targets that answer the same requests.
pub type ServiceId = String;
/// Name of a target: a model engine or an application worker.
pub type TargetId = String;
/// Name of a team.
pub type TeamId = String;
/// A count of tokens, of a prompt, of an answer or of KV cache.
pub type Tokens = u64;
/// Name of an availability zone.
pub type ZoneId = String;
