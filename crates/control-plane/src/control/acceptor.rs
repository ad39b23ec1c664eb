//! The part of a register that every member holds and votes with.

use crate::disk::format::Record;
use fleet_core::wire::{Accept, Ballot, Member, Peeked, Prepare, Register, Roster, Vote};
use prost::Message;

/// Holds the roster in force; never a key of the control state itself.
const ROSTER_IN_FORCE: &str = "\u{1}roster";
/// Holds the era: it rises with each member that reads its lost disk back, and no vote of an earlier
/// era counts together with one of a later.
const ERA: &str = "\u{1}era";

pub struct Acceptor {
    registers: hashbrown::HashMap<String, Register, ahash::RandomState>,
    roster: Roster,
    voting: bool,
    era: u64,
    own: u64,
}

/// What must be on the disk before the answer may go out.
pub struct Step<T> {
    pub record: Record,
    pub answer: T,
}

impl Acceptor {
    pub fn new(own: std::net::Ipv4Addr, state: crate::disk::format::State) -> Self {
        let mut a = Acceptor {
            registers: hashbrown::HashMap::default(),
            roster: Roster::default(),
            voting: state.voting,
            era: 0,
            own: u64::from(u32::from(own)),
        };
        for r in state.registers {
            if r.key == ROSTER_IN_FORCE {
                a.roster = Roster::decode(r.value).unwrap_or_default();
            } else if r.key == ERA {
                a.era = r.promised.n;
            } else {
                a.registers.insert(r.key.clone(), r);
            }
        }
        a
    }

    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    pub fn is_member(&self) -> bool {
        self.roster.members.iter().any(|m| self.is_own(m))
    }

    fn is_own(&self, m: &Member) -> bool {
        m.addr().is_some_and(|a| u64::from(u32::from(a)) == self.own)
    }

    pub fn votes(&self) -> bool {
        self.voting && self.is_member()
    }

    pub fn era(&self) -> u64 {
        self.era
    }

    /// Goes to a later era; what it votes from now on is of that.
    pub fn advance(&mut self, era: u64) -> Option<Record> {
        if era <= self.era {
            return None;
        }
        self.era = era;
        Some(self.record(vec![self.era_register()]))
    }

    fn era_register(&self) -> Register {
        Register {
            key: ERA.to_owned(),
            promised: Ballot { n: self.era, ..Default::default() },
            ..Default::default()
        }
    }

    pub fn register(&self, key: &str) -> Option<&Register> {
        self.registers.get(key)
    }

    pub fn registers(&self) -> impl Iterator<Item = &Register> {
        self.registers.values()
    }

    /// Epoch that the next owner of this key must go above.
    pub fn highest(&self, key: &str) -> u64 {
        self.registers.get(key).map_or(0, |r| r.promised.n.max(r.accepted.n))
    }

    pub fn owner(&self, key: &str) -> Option<u64> {
        self.registers.get(key).map(|r| r.promised.node).filter(|n| *n != 0)
    }

    fn record(&self, registers: Vec<Register>) -> Record {
        Record { registers, voting: self.voting }
    }

    /// An empty record still waits for all that went before it.
    pub fn barrier(&self) -> Record {
        self.record(Vec::new())
    }

    fn refuse(&self, key: &str) -> Step<Vote> {
        let answer = Vote {
            ok: false,
            register: self
                .registers
                .get(key)
                .map(|r| Register { value: Default::default(), ..r.clone() }),
            roster: Some(self.roster.clone()),
            era: self.era,
        };
        Step { record: self.barrier(), answer }
    }

    fn may_vote(&self, roster: u64, era: u64) -> bool {
        self.votes() && roster == self.roster.epoch && era >= self.era
    }

    /// A vote of a later era takes its voter there.
    fn voted(&mut self, r: Register, era: u64) -> Record {
        let mut kept = vec![r];
        if era > self.era {
            self.era = era;
            kept.push(self.era_register());
        }
        self.record(kept)
    }

    pub fn prepare(&mut self, p: &Prepare) -> Step<Vote> {
        let promised = self.registers.get(&p.key).map(|r| r.promised).unwrap_or_default();
        if !self.may_vote(p.roster, p.era) || p.ballot.epoch() <= promised.epoch() {
            return self.refuse(&p.key);
        }
        let r = self
            .registers
            .entry_ref(p.key.as_str())
            .or_insert_with(|| Register { key: p.key.clone(), ..Default::default() });
        r.promised = p.ballot;
        let r = r.clone();
        let record = self.voted(r.clone(), p.era);
        Step { record, answer: Vote { ok: true, register: Some(r), roster: None, era: self.era } }
    }

    pub fn accept(&mut self, a: &Accept) -> Step<Vote> {
        let (promised, accepted) =
            self.registers.get(&a.key).map(|r| (r.promised, r.accepted)).unwrap_or_default();
        let late = a.ballot.epoch() < promised.epoch() || a.ballot <= accepted;
        if !self.may_vote(a.roster, a.era) || late {
            return self.refuse(&a.key);
        }
        let r = Register {
            key: a.key.clone(),
            promised: Ballot { seq: 0, ..a.ballot },
            accepted: a.ballot,
            value: a.value.clone(),
        };
        self.registers.insert(a.key.clone(), r.clone());
        let record = self.voted(r, a.era);
        Step { record, answer: Vote { ok: true, register: None, roster: None, era: self.era } }
    }

    pub fn peek(&self, values: bool) -> Step<Peeked> {
        let registers = self
            .registers
            .values()
            .map(|r| {
                if values { r.clone() } else { Register { value: Default::default(), ..r.clone() } }
            })
            .collect();
        let answer = Peeked {
            votes: self.votes(),
            registers,
            roster: Some(self.roster.clone()),
            era: self.era,
        };
        Step { record: self.barrier(), answer }
    }

    /// All that is held here, for a member that lost its disk; from now on in its era.
    pub fn hand_over(&mut self, era: u64) -> Step<Peeked> {
        let record = self.advance(era).unwrap_or_else(|| self.barrier());
        Step { record, answer: self.peek(true).answer }
    }

    /// A roster that was decided: one member at a time is exchanged.
    pub fn adopt(&mut self, roster: &Roster) -> Option<Record> {
        if roster.epoch <= self.roster.epoch {
            return None;
        }
        self.roster = roster.clone();
        if !self.is_member() {
            self.voting = false;
        }
        let kept = Register {
            key: ROSTER_IN_FORCE.to_owned(),
            value: roster.encode_to_vec().into(),
            ..Default::default()
        };
        Some(self.record(vec![kept]))
    }

    /// The first start of all, on empty disks.
    pub fn found(&mut self, roster: &Roster) -> Option<Record> {
        if self.roster.epoch != 0 || !self.registers.is_empty() {
            return None;
        }
        self.voting = true;
        self.adopt(roster)
    }

    /// Answers in the new era from a majority without it, promises and values both: then it votes.
    pub fn recover(&mut self, era: u64, from: &[Peeked]) -> Option<Record> {
        let most = self.roster.members.len() / 2 + 1;
        let full = |p: &&Peeked| p.votes && p.era >= era;
        if self.voting || !self.is_member() || from.iter().filter(full).count() < most {
            return None;
        }
        self.era = self.era.max(from.iter().map(|p| p.era).max().unwrap_or(0));
        for r in from.iter().filter(full).flat_map(|p| &p.registers) {
            let own = self
                .registers
                .entry_ref(r.key.as_str())
                .or_insert_with(|| Register { key: r.key.clone(), ..Default::default() });
            own.promised = own.promised.max(r.promised);
            if r.accepted > own.accepted {
                own.accepted = r.accepted;
                own.value = r.value.clone();
            }
        }
        self.voting = true;
        let mut all: Vec<Register> = self.registers.values().cloned().collect();
        all.push(self.era_register());
        Some(self.record(all))
    }
}
