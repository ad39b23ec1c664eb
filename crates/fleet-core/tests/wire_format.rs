//! Encodings of every message between processes and of every value of the control state.
//!
//! `fixtures/frames.txt` was written by an earlier release: members of two releases run side by side during an
//! upgrade, so each line has to be decoded to the same message, and the message has to be encoded to the same bytes.
//! A line is added for each new message; existing lines are never changed.

use fleet_core::wire::*;
use prost::Message;
use std::collections::BTreeMap;

const FIXTURES: &str = include_str!("fixtures/frames.txt");

/// Tags of `Frame::body` in use; tags that are no longer used are never reused.
const BODY_TAGS: [u32; 32] = [
    3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27,
    28, 29, 32, 33, 40, 41, 42,
];

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

fn fixtures() -> BTreeMap<&'static str, Vec<u8>> {
    FIXTURES.lines().filter_map(|line| line.split_once(' ')).map(|(n, h)| (n, unhex(h))).collect()
}

fn ballot(n: u64) -> Ballot {
    Ballot { n, node: 0x0a00_0001, seq: n + 1 }
}

fn register() -> Register {
    Register {
        key: "config".into(),
        promised: ballot(5),
        accepted: ballot(4),
        value: vec![1, 2, 3].into(),
    }
}

fn member() -> Member {
    Member {
        name: "n1".into(),
        ip: "10.0.0.1".into(),
        zone: "z1".into(),
        control: "10.0.0.1:8169".into(),
        joined_epoch: 6,
    }
}

fn membership() -> Membership {
    Membership { epoch: 7, members: vec![member()] }
}

fn engine() -> Engine {
    Engine {
        id: "e1".into(),
        call_seq: 8,
        service: "s".into(),
        address: "10.0.0.9:80".into(),
        zone: "z2".into(),
        slots: 9,
        state: EngineState::Draining as i32,
        weights: vec![WeightsVersion { model: "m".into(), version: 10 }],
        heartbeat_missed: true,
        update_seq: 11,
        drain_seq: 12,
    }
}

fn ring_head() -> RingHead {
    RingHead {
        fencing_token: 1,
        incarnation: 2,
        head: 3,
        owner: "10.0.0.2".into(),
        finding_count: 4,
    }
}

fn cached_parts() -> CachedParts {
    CachedParts {
        holder: "e1".into(),
        salt: "salt".into(),
        parts: vec![5, 6],
        cached_tokens: vec![7, 0],
    }
}

fn entry(invalidation: Invalidation) -> RingEntry {
    RingEntry { scope: 21, invalidation: Some(invalidation) }
}

fn change(kind: ChangeKind) -> Body {
    Body::ChangeRequest(ChangeRequest { kind: Some(kind), forward_count: 2 })
}

fn raise_id() -> RaiseId {
    RaiseId { incarnation: 31, attempt: 32 }
}

fn change_response(outcome: Outcome) -> Body {
    Body::ChangeResponse(ChangeResponse {
        outcome: outcome as i32,
        number: 41,
        holder: "n1".into(),
    })
}

/// Messages of registers and membership.
fn control_bodies() -> Vec<(&'static str, Body)> {
    let prepare = Prepare {
        key: "config".into(),
        membership: 1,
        ballot: ballot(2),
        recovery_epoch: 3,
        proposer_accepted: ballot(4),
    };
    let accept = Accept {
        key: "config".into(),
        membership: 1,
        ballot: ballot(2),
        value: vec![9].into(),
        recovery_epoch: 3,
        same_value_as: Some(ballot(4)),
    };
    let vote = Vote {
        granted: true,
        register: Some(register()),
        membership: Some(membership()),
        recovery_epoch: 3,
    };
    let report = BallotReport {
        votes: true,
        registers: vec![register()],
        membership: Some(membership()),
        recovery_epoch: 3,
    };
    let recover = RecoverRequest { membership: 1, incarnation: 2, recovery_epoch: 3 };
    let chunk_request = ValueChunkRequest { key: "config".into(), ballot: ballot(2), offset: 3 };
    let chunk = ValueChunk { ballot: ballot(2), offset: 3, total_bytes: 4, bytes: vec![5].into() };
    let join = JoinRequest { member: member(), is_observer: true, running_ms: 12 };
    vec![
        ("4", Body::Prepare(prepare)),
        ("5", Body::Accept(accept)),
        ("6", Body::Vote(vote)),
        ("7", Body::ReadBallots(ReadBallots { membership: 1, values: true })),
        ("8", Body::BallotReport(report)),
        ("9", Body::RecoverRequest(recover)),
        ("10", Body::RegisterRequest(RegisterRequest { key: "config".into() })),
        (
            "11",
            Body::RegisterResponse(RegisterResponse { is_known: true, register: Some(register()) }),
        ),
        ("12", Body::CommitNotice(CommitNotice { key: "config".into(), ballot: ballot(2) })),
        ("18", Body::JoinRequest(join)),
        ("19", Body::JoinResponse(JoinResponse { membership: Some(membership()) })),
        ("28", Body::ValueChunkRequest(chunk_request)),
        ("29", Body::ValueChunk(chunk)),
        ("40", Body::PreVoteRequest(PreVoteRequest { key: "config".into(), membership: 1 })),
        ("41", Body::PreVoteResponse(PreVoteResponse { granted: true, promised: ballot(2) })),
        ("42", Body::OwnerResigned(Empty {})),
    ]
}

/// Changes of the control state and their outcomes.
fn change_bodies() -> Vec<(&'static str, Body)> {
    let replace = ReplaceConfig { base_version: 1, version: 2, compressed_body: vec![3].into() };
    let raise = RaiseFencingToken {
        lease_name: "roll-out".into(),
        holder: "n1".into(),
        id: raise_id(),
        records_takeover: true,
    };
    let departures = RecordDepartures { departures: vec![departure(0)], forget_through: 8 };
    vec![
        ("13-replace", change(ChangeKind::ReplaceConfig(replace))),
        (
            "13-name",
            change(ChangeKind::SetTargetVersion(SetTargetVersion {
                model: "m".into(),
                version: 2,
            })),
        ),
        ("13-raise", change(ChangeKind::RaiseFencingToken(raise))),
        ("13-confirm", change(ChangeKind::Confirm("config".into()))),
        ("13-departures", change(ChangeKind::RecordDepartures(departures))),
        ("14-unknown", change_response(Outcome::Unknown)),
        ("14-done", change_response(Outcome::Committed)),
        ("14-stale", change_response(Outcome::Stale)),
        ("14-invalid", change_response(Outcome::Invalid)),
        ("14-unproven", change_response(Outcome::Undetermined)),
    ]
}

fn departure(number: u64) -> Departure {
    Departure { engine: "e1".into(), call_seq: 5, state: EngineState::Draining as i32, number }
}

/// Messages about leases, engines and routers, and messages pushed to routers.
fn fleet_bodies() -> Vec<(&'static str, Body)> {
    let handshake = Handshake {
        name: "n1".into(),
        ip: "10.0.0.1".into(),
        zone: "z1".into(),
        role: 2,
        incarnation: 3,
    };
    let lease = LeaseRequest {
        lease_name: "roll-out".into(),
        incarnation: 2,
        duration_ms: 3,
        release: true,
        node: "n1".into(),
        membership: 6,
        sequence: 7,
    };
    let update = FleetUpdate {
        membership: Some(membership()),
        config: 2,
        weights: vec![TargetWeights { model: "m".into(), version: 1, age_ms: 2 }],
        engines: vec![engine()],
        ring: Some(ring_head()),
        routers: 6,
        catch_up: true,
        ring_relay: None,
    };
    let loads = LoadReport {
        keys: vec![1, 2],
        pending_prefill_units: vec![3, 4],
        in_flight: vec![5, 6],
        interactive: vec![7, 8],
    };
    let response = |payload| {
        let digest = vec![3].into();
        Body::ConfigResponse(ConfigResponse {
            version: 1,
            isolation: 2,
            digest,
            payload: Some(payload),
        })
    };
    vec![
        ("3", Body::Handshake(handshake)),
        ("15", Body::LeaseRequest(lease)),
        ("16", Body::LeaseResponse(LeaseResponse { granted: true })),
        (
            "17",
            Body::EngineHeartbeats(EngineHeartbeats { engines: vec![engine()], request_all: true }),
        ),
        ("20", Body::RouterHeartbeat(RouterHeartbeat { version: 1, shutting_down: true })),
        ("21", Body::FleetUpdate(update)),
        ("24", Body::Empty(Empty {})),
        ("25", Body::Acknowledged(Empty {})),
        ("27", Body::LoadReport(loads)),
        ("32", Body::ConfigRequest(ConfigRequest { digest: vec![1].into() })),
        ("33-whole", response(ConfigPayload::Full(vec![4].into()))),
        ("33-delta", response(ConfigPayload::Delta(vec![5].into()))),
    ]
}

/// Messages of the invalidation ring and the prompt index.
fn ring_bodies() -> Vec<(&'static str, Body)> {
    let ring_request = RingRequest {
        fencing_token: 1,
        incarnation: 2,
        cursor: 3,
        reader: 4,
        request_snapshot: true,
        finding_count: 6,
    };
    let part = PartLocation { holder: "e1".into(), salt: "salt".into(), part: 3, cached_tokens: 4 };
    let entries = vec![
        entry(Invalidation::Part(part)),
        entry(Invalidation::Holder("e1".into())),
        entry(Invalidation::Weights(WeightsVersion { model: "m".into(), version: 2 })),
        entry(Invalidation::Isolation(5)),
    ];
    let response = RingResponse {
        head: Some(ring_head()),
        reset: true,
        entries,
        cursor: 4,
        snapshot: vec![cached_parts()],
    };
    vec![
        ("22", Body::RingRequest(ring_request)),
        ("23", Body::RingResponse(response)),
        ("26", Body::CachedPrefixes(CachedPrefixes { entries: vec![cached_parts()] })),
    ]
}

fn bodies() -> Vec<(&'static str, Body)> {
    [control_bodies(), change_bodies(), fleet_bodies(), ring_bodies()].concat()
}

/// Values of keys of the control state, and the content of compressed configuration data.
fn values() -> Vec<(&'static str, Vec<u8>)> {
    let config = ConfigValue {
        version: 1,
        isolation: 2,
        history: vec![3].into(),
        compressed_body: vec![4].into(),
        digest: vec![5].into(),
        isolated: vec!["t".into()],
    };
    let lease = LeaseValue {
        fencing_token: 1,
        holder: "n1".into(),
        acting_node: "n2".into(),
        raise: Some(raise_id()),
    };
    let departures = DeparturesValue { last_number: 9, departures: vec![departure(9)] };
    let chunk = DeltaOp { from: 1, length: 2, insert: vec![3] };
    vec![
        ("value-config", config.encode_to_vec()),
        ("value-weights", WeightsValue { version: 3 }.encode_to_vec()),
        ("value-duty", lease.encode_to_vec()),
        ("value-departures", departures.encode_to_vec()),
        ("value-membership", membership().encode_to_vec()),
        ("value-delta", ConfigDelta { ops: vec![chunk] }.encode_to_vec()),
    ]
}

fn frame(body: Body) -> Frame {
    Frame { call: 77, answer: true, body: Some(body) }
}

#[test]
fn messages_are_encoded_as_in_the_earlier_release() {
    let fixtures = fixtures();
    let frames = bodies().into_iter().map(|(name, body)| (name, frame(body).encode_to_vec()));
    for (name, bytes) in frames.chain(values()) {
        let written = hex(&bytes);
        let Some(fixture) = fixtures.get(name) else { panic!("no fixture, add: {name} {written}") };
        assert_eq!(written, hex(fixture), "{name}");
    }
}

#[test]
fn messages_of_the_earlier_release_are_decoded() {
    let fixtures = fixtures();
    for (name, body) in bodies() {
        assert_eq!(Frame::decode(&*fixtures[name]).unwrap(), frame(body), "{name}");
    }
    assert_eq!(fixtures.len(), bodies().len() + values().len());
}

#[test]
fn every_tag_in_use_has_a_fixture() {
    let fixtures = fixtures();
    for tag in BODY_TAGS {
        let is_of_tag = |name: &str| name.split('-').next() == Some(tag.to_string().as_str());
        assert!(fixtures.keys().any(|name| is_of_tag(name)), "tag {tag}");
    }
}

/// Tags 30 and above 42 are not in use: a frame with one of them is decoded as a frame without a body.
#[test]
fn unknown_message_is_decoded_as_none() {
    let mut bytes = Frame { call: 5, answer: false, body: None }.encode_to_vec();
    bytes.extend_from_slice(&[0xf2, 0x01, 0x00]);
    assert_eq!(Frame::decode(&*bytes).unwrap(), Frame { call: 5, answer: false, body: None });
}
