//! Messages between the processes of bergamothold, and their codec.
//!
//! Each exchange uses a QUIC stream of its own. The side that opens the stream sends a
//! [`StreamOpening`], which states its purpose; frames of the matching types follow in both
//! directions.
//!
//! ```
//! use proto::{FrameReader, encode};
//!
//! let frame = encode(&42_u32).unwrap();
//! let mut reader = FrameReader::default();
//! reader.push(&frame);
//! assert_eq!(reader.next_frame::<u32>().unwrap(), Some(42));
//! ```

mod codec;
mod confirmation;
mod control;
mod crash;
mod hints;
mod ids;
mod load;
mod opening;
pub mod prelude;
mod request;
mod revision;
mod server_failure;
mod span;
mod store_content;
mod timeline;
mod waiting;
mod writer_count;

pub use codec::{CodecError, FrameReader, MAX_FRAME_BYTES, PROTOCOL_VERSION, encode};
pub use confirmation::{ClockReading, Confirmation, ConfirmationReport, Confirmed};
pub use control::{
    ConfigChange, ConfigContent, ConfigMessage, ConfigSummary, ConfigWant, LendAnswer, LendRequest,
    NodeSighting, QueryAnswer, QueryRequest,
};
pub use crash::{
    BlockedSuspect, CrashFrame, CrashReport, PartKey, ProvenSuspect, RequestKey, Suspect,
};
pub use hints::{CacheHint, Hints, Warmth};
pub use ids::{
    AttemptId, ConfigVersion, DomainId, Epoch, GrantId, HostId, ModelId, NodeId, OperatorId,
    RequestId, RouteId, ServerId, TeamId, Tokens,
};
pub use load::{
    BackendEntry, BackendRow, LoadFrame, RequestLimit, RequestLimitFrame, ServerKey, ServerUsage,
    StoreSnapshot, StoreVersions,
};
pub use opening::StreamOpening;
pub use request::{
    AnswerChecksum, AnswerFrame, Execution, Offer, Outcome, Refusal, RefusalReason, RequestFrame,
};
pub use revision::{MAX_ERA, MAX_VERSION, Revision, era, revision, version};
pub use server_failure::{DomainKey, ServerFailureFrame, ServerReport, ServerState};
pub use span::{SpanAnswer, SpanImport, SpanRequest, SpanTicket};
pub use store_content::{
    CONTENT_PAGE_ROWS, CONTENT_PIECE_BYTES, ContentDigest, ContentFrame, ContentHead,
    ContentRequest, DeclarationsForm, DeclarationsHead, Edit, EditScript, EvacuationOrder,
    PartialDeclarations, ServerRow, content_digest, decode_scripts, encode_scripts,
};
pub use timeline::{Event, EventKind, HybridClock, Stamp};
pub use waiting::{ReportedPrompt, ServiceKey, ServiceQueue, TeamKey, TeamPrefill, WaitingFrame};
pub use writer_count::WriterCount;
