//! Reads of single registers by other processes, answered from this node's state without a quorum.

use crate::consensus::{ChosenValue, Consensus};
use fleet_core::wire::{Register, RegisterRequest, RegisterResponse};

impl Consensus {
    /// The newest value of a register that this node knows, either accepted by it as a voter or learned as chosen. It
    /// may be outdated.
    pub fn newest_register(&self, key: &str) -> Option<Register> {
        let learned = self.learned(key);
        let accepted = self.with_acceptor(|acceptor| acceptor.register(key).cloned());
        match (accepted, learned) {
            (Some(own), Some(ChosenValue { ballot, value })) if ballot > own.accepted => {
                Some(Register { accepted: ballot, value, ..own })
            }
            (None, Some(ChosenValue { ballot, value })) => {
                let key = key.to_owned();
                Some(Register { key, accepted: ballot, value, ..Default::default() })
            }
            (own, _) => own,
        }
    }
}

/// Answers a read request with this node's newest value of the register.
pub fn answer_read(consensus: &Consensus, request: &RegisterRequest) -> RegisterResponse {
    let register = consensus.newest_register(&request.key);
    RegisterResponse { is_known: register.is_some(), register }
}
