//! Every constant of the system, with its unit and the reason for its value.

use std::time::Duration;

/// ms; a connection inside the fleet either comes up in a few round trips or is behind a cut.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// ms; unacknowledged bytes older than this mean a cut or a dark machine.
pub const TCP_SILENCE: Duration = Duration::from_millis(2500);
/// s; first keep-alive probe of an idle connection, the least the kernel takes.
pub const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// s; pause between keep-alive probes, the least the kernel takes.
pub const KEEPALIVE_GAP: Duration = Duration::from_secs(1);
/// probes; two lost in a row are rare without a cut.
pub const KEEPALIVE_PROBES: u32 = 2;
/// connections; a burst of clients after a failover must not lose its opening packets.
pub const LISTEN_BACKLOG: i32 = 1024;
/// bytes; a frame holds a configuration at the most, with room for its history.
pub const FRAME_MAX: usize = 8 << 20;
/// frames; a peer that reads slower than this is cut off and starts anew.
pub const LINK_BACKLOG: usize = 256;
/// ms; pause before a broken link is tried again.
pub const RELINK_PAUSE: Duration = Duration::from_millis(250);
/// ms; one phase of a register round: two syncs of a slowed disk and a round trip.
pub const PHASE_LIMIT: Duration = Duration::from_millis(400);
/// ms; a change given to its owner is taken over after this, well inside the second callers wait.
pub const OWNER_LIMIT: Duration = Duration::from_millis(350);
/// ms; a call gives up here, so that its caller hears of it inside its second of silence.
pub const CHANGE_LIMIT: Duration = Duration::from_millis(900);
/// ms; longest first pause of a duel between two owners; doubles.
pub const DUEL_PAUSE_MS: u64 = 40;
/// ms; how often a controller compares what it knows with what its peers hold.
pub const LEARN_PAUSE: Duration = Duration::from_millis(500);
/// ms; how often a refused disk is tried again.
pub const DISK_RETRY: Duration = Duration::from_millis(300);
/// bytes; a slot is laid down in full at first start so that a full disk stops nothing.
pub const SLOT_BYTES: usize = 1 << 20;
/// bytes; the log between two slots, laid down at first start; small so that recovery is short.
pub const LOG_BYTES: usize = 2 << 20;
/// entries; how many taken configurations are remembered to answer a resent one.
pub const TAKEN_KEPT: usize = 64;
/// bytes; what a heartbeat of an engine may hold.
pub const BEAT_BYTES: usize = 4096;
/// bytes; largest configuration read, above any limit an operator sets on bodies.
pub const CONFIG_BYTES: usize = 6 << 20;
/// ms; routine heartbeats are shared with the other controllers this often.
pub const BEAT_SHARE_PAUSE: Duration = Duration::from_millis(300);
/// ms; a drain is told to a majority within this, inside the second engines wait.
pub const BEAT_SHARE_LIMIT: Duration = Duration::from_millis(700);
/// heartbeats; an engine silent for so many is suspected.
pub const SILENT_BEATS: f64 = 3.5;
/// s; a gone instance is remembered this long so that no late call brings it back.
pub const TOMBSTONE: Duration = Duration::from_secs(300);
/// ms; routers tell the controllers that they live this often.
pub const ROUTER_BEAT: Duration = Duration::from_millis(1000);
/// ms; a router silent for this long no longer counts.
pub const ROUTER_SILENT: Duration = Duration::from_millis(4000);
/// share of a lease after which its holder renews it.
pub const LEASE_RENEW: f64 = 0.3;
/// share of a lease that its holder leaves unused at its end.
pub const LEASE_MARGIN: f64 = 0.25;
/// ms; lease of the index-keeper, who orders nothing: short, since routers miss what it would tell.
pub const KEEPER_LEASE: Duration = Duration::from_millis(1500);
/// ms; a new index-keeper hears holders and routers this long before it gives a digest.
pub const KEEPER_WARM: Duration = Duration::from_millis(800);
/// own findings that a router remembers, to tell a new index-keeper.
pub const FOUND_AGAIN: usize = 256;
/// ms; pause of the loop that holds duties.
pub const DUTY_TICK: Duration = Duration::from_millis(250);
/// ms; a member silent for this long may be replaced by a joiner of its own zone.
pub const MEMBER_SILENT_ZONE: Duration = Duration::from_millis(3000);
/// ms; a member silent for this long may be replaced by any joiner.
pub const MEMBER_SILENT: Duration = Duration::from_millis(7000);
/// ms; a joiner asks again this often.
pub const JOIN_PAUSE: Duration = Duration::from_millis(400);
/// s; a controller without a disk looks for a newer membership this often.
pub const OBSERVE_PAUSE: Duration = Duration::from_secs(2);
/// ms; the roll-out looks at its engines this often.
pub const ROLL_TICK: Duration = Duration::from_millis(100);
/// ms; routers have heard that an engine changes before it is ordered to.
pub const ROLL_NOTICE: Duration = Duration::from_millis(120);
/// engines' share of a service that turn to new weights together at first; learnt from there.
pub const ROLL_START: f64 = 0.15;
/// engines' share of a service that turn together at the most, while the bound leaves the time.
pub const ROLL_SHARE: f64 = 0.3;
/// engines' share of a service that turn together when the bound would else be missed.
pub const ROLL_SHARE_LATE: f64 = 0.5;
/// share of the interactive engines that get no more long streams, or turn: the others take theirs.
pub const FADE_SHARE: f64 = 0.34;
/// ms; long streams get this long to end before their engine is ordered all the same.
pub const FADE_LIMIT: Duration = Duration::from_millis(2500);
/// ms; routers heed what the roll-out said of an engine this long; who said it may have died since.
pub const MARK_LIMIT: Duration = Duration::from_millis(4000);
/// ms; a turn longer than this is shown to the operator as stuck.
pub const TURN_SLOW: Duration = Duration::from_millis(4000);
/// ms; what a turn is taken to last until some were seen.
pub const TURN_FIRST: Duration = Duration::from_millis(1000);
/// times the fastest load: slower than this, and fewer engines load together.
pub const LOAD_SLOW: f64 = 1.8;
/// share of the width that is left when loads turn slow.
pub const WIDTH_CUT: f64 = 0.7;
/// ms; the width is cut at most this often, since loads under way were begun under the old one.
pub const WIDTH_CUT_PAUSE: Duration = Duration::from_millis(800);
/// share of an engine's recent runs that somebody waits for, above which it counts as interactive.
pub const INTERACTIVE_SHARE: f64 = 0.4;
/// what is left of the memory of an engine's mix after a `LOAD_PAUSE`; two seconds of traffic.
pub const MIX_DECAY: f32 = 0.95;
/// ms; what it costs a long stream to go to an engine that is about to turn.
pub const FADE_COST_MS: f64 = 400.0;
/// ms; what each run beyond an engine's slots costs: one of them has to end first.
pub const SLOT_COST_MS: f64 = 120.0;
/// ms; the roll-out means to end this long before routers stop offering to old weights.
pub const ROLL_MARGIN: Duration = Duration::from_millis(500);
/// ms; an engine under order is asked for its report this often.
pub const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// s; an order without end is given up and looked at anew.
pub const ORDER_LIMIT: Duration = Duration::from_secs(6);
/// ms; answers to orders and reports come within a round trip and a step.
pub const ENGINE_CALL_LIMIT: Duration = Duration::from_millis(800);
/// ms; routers stop offering to old weights this long before the bound.
pub const VERSION_MARGIN: Duration = Duration::from_millis(1500);
/// ms; how long a call for events is held by an engine: the longest the protocol allows.
pub const EVENTS_WAIT_MS: u64 = 1000;
/// ms; pause after a call for events, so that busy engines don't make it a loop.
pub const EVENTS_PAUSE: Duration = Duration::from_millis(250);
/// slots of the ring of invalidations; a power of two.
pub const RING_SLOTS: usize = 4096;
/// entries published under one hold of the writer's lock.
pub const RING_BATCH: usize = 64;
/// entries; a reader behind by more than this is nudged once.
pub const RING_LAG: u64 = 2048;
/// findings remembered for readers; more than come between two fetches.
pub const FINDINGS_KEPT: usize = 4096;
/// parts that no router has named as shared yet, of each of two generations; a minute of traffic.
pub const UNSHARED_KEPT: usize = 16_384;
/// digests given within a `REFILL_SPAN`; all routers at once would fill the keeper's line for seconds.
pub const REFILLS_AT_ONCE: usize = 8;
/// ms; see `REFILLS_AT_ONCE`.
pub const REFILL_SPAN: Duration = Duration::from_millis(100);
/// s; a digest may take this long on a busy line before it is asked for again.
pub const REFILL_LIMIT: Duration = Duration::from_secs(2);
/// ms; routers tell what their sends leave behind this often.
pub const FOUND_PAUSE: Duration = Duration::from_millis(100);
/// findings of own sends that wait to be told; more are only slower to come by.
pub const FOUND_KEPT: usize = 512;
/// s; a reader that has not come for so long loses its cursor.
pub const READER_LIMIT: Duration = Duration::from_secs(10);
/// ms; routers fetch published entries this long after they hear of a new head.
pub const RING_FETCH_PAUSE: Duration = Duration::from_millis(20);
/// ms; the index-keeper tells of a new head at most this often.
pub const RING_TELL_PAUSE: Duration = Duration::from_millis(250);
/// share of a budget that is used; the rest covers windows that slide against each other.
pub const BUDGET_SHARE: f64 = 0.8;
/// routers; how many may join before the others hear of it.
pub const BUDGET_SPARES: usize = 3;
/// ms; loads of engines are told on this often, twice on their way; most reads take longer.
pub const LOAD_PAUSE: Duration = Duration::from_millis(100);
/// ms; loads that have not changed are told again this often.
pub const LOAD_REFRESH: Duration = Duration::from_millis(500);
/// ms; loads older than this count no more.
pub const LOAD_LIMIT: Duration = Duration::from_millis(1500);
/// tokens; unit in which loads are told.
pub const LOAD_TOKENS: u64 = 64;
/// connections kept idle to one engine.
pub const IDLE_CONNECTIONS: usize = 12;
/// s; an idle connection is given up before engines usually close it.
pub const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// tokens a ms; how fast an engine reads a prompt until more is known.
pub const READ_RATE: f64 = 35.0;
/// ms; what one more running request costs the others.
pub const RUN_COST_MS: f64 = 2.0;
/// ms; what a request waiting at an engine costs.
pub const WAIT_COST_MS: f64 = 40.0;
/// ms; what an engine told of its own load counts this long.
pub const TOLD_LIMIT: Duration = Duration::from_millis(500);
/// ms; what leaving the zone costs in bytes and time.
pub const ZONE_COST_MS: f64 = 4.0;
/// tokens; a move of fewer costs about as much as reading them.
pub const MOVE_TOKENS: u64 = 400;
/// own tokens that may go along to the store with shared ones, as their share.
pub const SINK_OWN_SHARE: f64 = 0.25;
/// holders of one depth that are weighed as sources; more hardly differ.
pub const SOURCES_WEIGHED: usize = 3;
/// tokens; shared parts of this size are worth a place in the store.
pub const SINK_TOKENS: u64 = 1500;
/// tokens read for each token put out, above which a request counts as heavy to read.
pub const HEAVY_RATIO: u64 = 10;
/// share of a service's engines that heavy requests settle at.
pub const HEAVY_SHARE: f64 = 0.67;
/// share of their slots that long streams may fill, before more engines are kept for them.
pub const LIGHT_FILL: f64 = 0.75;
/// share of a service's engines that heavy requests keep in any case.
pub const HEAVY_LEAST: f64 = 0.58;
/// engines by which the division has to be off before it moves, as a share of all.
pub const DIVISION_STEP: f64 = 0.05;
/// weight of the newest sum of runs in what the division goes by; a second or two of news.
pub const DIVISION_WEIGHT: f64 = 0.05;
/// ms; what it costs to leave the half of the engines where one belongs.
pub const ASTRAY_COST_MS: f64 = 120.0;
/// calls; an engine met with no more of them behind it has just started.
pub const NEWCOMER_CALLS: u64 = 3;
/// s; how long a newcomer is not taken for the home of parts that it was not seen to keep.
pub const WARM_SPAN: Duration = Duration::from_secs(5);
/// ms; what bringing a shared part to its new home is worth while the newcomer is taken in.
pub const WARM_BONUS_MS: f64 = 30.0;
/// answers to heavy requests over which a newcomer's waits are set against all others'.
pub const WARM_ANSWERS: u64 = 8;
/// ms; setting up a move.
pub const MOVE_COST_MS: f64 = 3.0;
/// share of a shared part that the first engine by rendezvous is taken to hold unseen.
pub const RENDEZVOUS_TRUST: f64 = 0.8;
/// ms; an engine that broke a connection is left alone this long; doubles.
pub const ENGINE_REST: Duration = Duration::from_millis(400);
/// ms; longest such rest.
pub const ENGINE_REST_MAX: Duration = Duration::from_millis(3200);
/// ms; answer to an client goes out this long before its deadline.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// ms; what an client with no deadline waits.
pub const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// s; pause told to an client that is refused.
pub const RETRY_AFTER: &str = "0.3";
/// s; after SIGTERM, the platform has seen two missed probes by then.
pub const PROBES_MISSED: Duration = Duration::from_millis(2600);
/// ms; a process ends this long before its grace does.
pub const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// s; the settings file is read again this often without a signal.
pub const SETTINGS_REREAD: Duration = Duration::from_secs(5);
/// s; counters are written out this often.
pub const COUNTERS_PAUSE: Duration = Duration::from_secs(20);
/// bytes of stack of a thread; calls are shallow and memory is dear.
pub const STACK_BYTES: usize = 512 << 10;
/// blocks of a prompt that are looked up; deeper ones are read without the index.
pub const CHAIN_BLOCKS: usize = 64;
/// entries of the prompt index in a router, of chains and of blocks each; about 6 MB when full.
pub const INDEX_ENTRIES: usize = 32_768;
/// blocks of one holder that are remembered as kept in part.
pub const TIER_ENTRIES: usize = 256;
/// salts whose seeds are remembered; weights of a few versions for each isolation.
pub const SALTS_KNOWN: usize = 4096;
/// entries that one turn of the scrub looks at.
pub const SCRUB_ENTRIES: usize = 2048;
/// ms; pause between two turns of the scrub while there is work.
pub const SCRUB_PAUSE: Duration = Duration::from_millis(50);
