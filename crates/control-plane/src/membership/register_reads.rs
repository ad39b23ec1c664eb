//! Answers other processes that read a key from this node alone.

use crate::consensus::{ChosenValue, Consensus};
use fleet_core::wire::{Register, RegisterRequest, RegisterResponse};

impl Consensus {
    /// The newest value of a key that is known here: accepted by this voter, or learned as chosen.
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

/// Answers a process that asks for one key.
pub fn register(consensus: &Consensus, request: &RegisterRequest) -> RegisterResponse {
    let register = consensus.newest_register(&request.key);
    RegisterResponse { is_known: register.is_some(), register }
}
