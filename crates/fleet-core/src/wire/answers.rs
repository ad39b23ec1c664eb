//! Which kind of answer belongs to which call.

use super::Body;

impl Body {
    /// The test that an answer to this call passes; a message that is no call has no answer.
    ///
    /// No kind is left to a catch-all: a new kind of message says here what answers it.
    pub fn answer_test(&self) -> fn(&Body) -> bool {
        match self {
            Body::Prepare(_) | Body::Accept(_) => |answer| matches!(answer, Body::Vote(_)),
            Body::PreVote(_) => |answer| matches!(answer, Body::PreVoted(_)),
            Body::Peek(_) | Body::Recover(_) => |answer| matches!(answer, Body::Peeked(_)),
            Body::FetchPiece(_) => |answer| matches!(answer, Body::Piece(_)),
            Body::Fetch(_) => |answer| matches!(answer, Body::Fetched(_)),
            Body::Change(_) => |answer| matches!(answer, Body::Changed(_)),
            Body::Lease(_) => |answer| matches!(answer, Body::Leased(_)),
            Body::Beats(_) => |answer| matches!(answer, Body::Beats(_)),
            Body::Join(_) => |answer| matches!(answer, Body::Joined(_)),
            Body::Alive(_) | Body::Leaving(_) => |answer| matches!(answer, Body::Nothing(_)),
            Body::ConfigAsk(_) => |answer| matches!(answer, Body::ConfigGive(_)),
            Body::RingAsk(_) => |answer| matches!(answer, Body::RingGive(_)),
            Body::Hello(_)
            | Body::Vote(_)
            | Body::PreVoted(_)
            | Body::Peeked(_)
            | Body::Fetched(_)
            | Body::Piece(_)
            | Body::Committed(_)
            | Body::Changed(_)
            | Body::Leased(_)
            | Body::Joined(_)
            | Body::View(_)
            | Body::RingGive(_)
            | Body::ConfigGive(_)
            | Body::Done(_)
            | Body::Nothing(_)
            | Body::Found(_)
            | Body::Loads(_) => |_| false,
        }
    }
}
