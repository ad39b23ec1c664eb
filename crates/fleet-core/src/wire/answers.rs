//! Matching of answers to calls.

use super::Body;

impl Body {
    /// Returns the predicate that an answer to this call must satisfy; it accepts nothing for a message that is not a
    /// call.
    ///
    /// The match has no catch-all arm, so that every new kind of message has to state its answer here.
    pub fn answer_matcher(&self) -> fn(&Body) -> bool {
        match self {
            Body::Prepare(_) | Body::Accept(_) => |answer| matches!(answer, Body::Vote(_)),
            Body::PreVoteRequest(_) => |answer| matches!(answer, Body::PreVoteResponse(_)),
            Body::ReadBallots(_) | Body::RecoverRequest(_) => {
                |answer| matches!(answer, Body::BallotReport(_))
            }
            Body::ValueChunkRequest(_) => |answer| matches!(answer, Body::ValueChunk(_)),
            Body::RegisterRequest(_) => |answer| matches!(answer, Body::RegisterResponse(_)),
            Body::ChangeRequest(_) => |answer| matches!(answer, Body::ChangeResponse(_)),
            Body::LeaseRequest(_) => |answer| matches!(answer, Body::LeaseResponse(_)),
            Body::EngineHeartbeats(_) => |answer| matches!(answer, Body::EngineHeartbeats(_)),
            Body::JoinRequest(_) => |answer| matches!(answer, Body::JoinResponse(_)),
            Body::RouterHeartbeat(_) | Body::OwnerResigned(_) => {
                |answer| matches!(answer, Body::Acknowledged(_))
            }
            Body::ConfigRequest(_) => |answer| matches!(answer, Body::ConfigResponse(_)),
            Body::RingRequest(_) => |answer| matches!(answer, Body::RingResponse(_)),
            Body::Handshake(_)
            | Body::Vote(_)
            | Body::PreVoteResponse(_)
            | Body::BallotReport(_)
            | Body::RegisterResponse(_)
            | Body::ValueChunk(_)
            | Body::CommitNotice(_)
            | Body::ChangeResponse(_)
            | Body::LeaseResponse(_)
            | Body::JoinResponse(_)
            | Body::FleetUpdate(_)
            | Body::RingResponse(_)
            | Body::ConfigResponse(_)
            | Body::Empty(_)
            | Body::Acknowledged(_)
            | Body::CachedPrefixes(_)
            | Body::LoadReport(_) => |_| false,
        }
    }
}
