// Datagrams between edge nodes, in Thrift's compact protocol behind one byte that tells EdgeMessage from the membership's
// PeerMessage.
namespace cpp pimentofold.wire

enum EdgeKind {
  Beat = 1,      // the node that follows the store tells how far it knows it, with what changed since its last beat
  Fetch = 2,     // asks for what changed since the revisions that the sender knows
  Changes = 3,   // answers a Fetch, in one or more parts
  Place = 4,     // a caller's opening packet for the service's dispatcher
  Held = 5,      // the dispatcher keeps the opening packet until a target has room
  Ended = 6,     // a flow that the dispatcher placed has ended
  Opened = 7,    // a flow that the dispatcher placed has gone on through a node that didn't ask for it
  Settled = 8,   // the flow needs no further offer
  WorkStarted = 9, // a further request was sent on a flow that the dispatcher counts
  WorkEnded = 10, // the answer to the flow's last request has started
  TargetSuspected = 11, // targets that give no sign of life on flows at the sender, for their owner
  TargetLost = 12, // targets that their owner has declared lost
  Locate = 13,   // asks a node which target has the flow
  Located = 14,  // answers a Locate, or reports where a flow is
  DispatchLoad = 15, // load of the sender's data centre, for the dispatchers of other data centres
  Refused = 16   // no target may or can get the flow in time: the node that asked for its placement refuses it
}

struct EdgeShare {
  1: string serviceName
  2: double weight
}

struct EdgeRoute {
  1: string name
  2: i32 ip
  3: i16 port
  4: list<EdgeShare> shares
  5: i8 kind
  6: i32 urgency
  7: i64 aim              // microseconds
  8: optional i64 timeout // microseconds until callers give a request up
}

struct EdgeEndpoint {
  1: i32 ip
  2: i16 port
}

struct EdgeTarget {
  1: i64 id
  2: string name
  3: string serviceName
  4: i32 ip
  5: i16 port
  6: string dataCentre
  7: i32 slots
  8: bool draining
  9: i64 warmup           // microseconds left when sent
  10: i64 startedAt
  11: i64 revision
  12: optional i64 drainingFor  // microseconds since the store took the entry, at most, when sent; unset: not draining, or not known
  13: optional i64 era          // of the store, for the revision; unset: 0, also in the fields below
  14: optional i64 sequence     // of the entry, as its target counts them; unset: not known
}

struct EdgeRemoval {
  1: i64 id
  2: i64 revision
  3: optional i64 era
}

// All data centres that the operators have evacuated, as of a revision of the store.
struct EdgeEvacuations {
  1: i64 revision
  2: list<string> dataCentres
  3: optional i64 era
}

// Slow start of a service's targets.
struct EdgeService {
  1: string name
  2: i64 coldTime         // microseconds that a target is cold after its start
  3: double coldRate      // openings a second that a cold target bears
}

// What the sender has seen of a target that gives no sign of life.
struct EdgeTargetEvidence {
  1: i64 target
  2: i64 startedAt        // incarnation
  3: i32 stalledFlows     // flows with packets repeated without progress
  4: i32 retransmissions  // most of one flow
  5: i64 stalledFor       // microseconds since the oldest of these packets was forwarded first
  6: i64 progressAge      // microseconds since a flow has last made progress on the target; -1: never
}

struct EdgeLostTarget {
  1: i64 target
  2: i64 startedAt        // incarnation
  3: string dataCentre    // empty: lost for all; else: out of reach from this data centre
}

// Load of one service in one data centre.
struct EdgeDispatchLoad {
  1: string serviceName
  2: string dataCentre
  3: i32 slots
  4: i32 working          // flows with a request at work
  5: i32 waiting          // flows that wait for room
  6: i64 expectedWait     // microseconds until a further flow gets room
}

// Everything that changed in the store after the base revisions and up to the newer ones.
struct EdgeChanges {
  1: i64 configBase
  2: i64 configRevision
  3: i64 configVersion
  4: i64 idleLimit
  5: list<EdgeRoute> routes
  6: list<EdgeEndpoint> removedRoutes
  7: i64 targetsBase
  8: i64 targetsRevision
  9: list<EdgeTarget> targets
  10: list<EdgeRemoval> removedTargets
  11: i32 part            // from 0
  12: i32 parts
  13: i64 configKnown     // revision of the store up to which the sender knows the configuration
  14: optional list<EdgeService> services  // all services of the configuration
  15: optional i64 configBaseEra
  16: optional i64 configRevisionEra
  17: optional i64 targetsBaseEra
  18: optional i64 targetsRevisionEra
  19: optional i64 configKnownEra
  20: optional bool targetGap   // the sender may not have seen all changes of targets since targetsBase
}

struct EdgeFlowEnds {
  1: i32 callerIp
  2: i16 callerPort
  3: i32 serviceIp
  4: i16 servicePort
}

struct EdgeMessage {
  1: required EdgeKind kind
  2: required i64 sender          // 64-bit hash of the node's name
  3: optional EdgeChanges changes
  4: bool healthy = true          // Beat: the sender's calls to the store are answered
  5: i64 configKnown = 0          // revision of the store up to which the sender knows the configuration
  6: i64 targetsKnown = 0         // the same for targets
  7: i64 age = 0                  // microseconds since the sender's knowledge was confirmed by the store; Located: since the flow opened;
                                  // Place: since the caller sent the flow's first opening packet, as far as known
  12: i64 configRevision = 0      // Beat, Fetch: revision of the configuration that the sender has in force
  13: bool large = false          // Beat, Changes: so many changes that the receiver had better read the store itself;
                                  // Fetch: the sender can't reach the store, so it needs all changes from here
  14: bool forward = false        // Beat, Changes: the receiver passes it on to the nodes of its data centre
  15: optional list<EdgeEndpoint> relayTo  // Beat, Changes: nodes to which the receiver passes it on
  8: optional binary packet       // Place
  9: i32 attempt = 0              // Place: from 1
  10: optional EdgeFlowEnds flow  // Held, Ended, Opened, Settled, WorkStarted, WorkEnded, Locate, Located, Refused
  11: i64 target = 0              // Ended, Opened, WorkStarted, WorkEnded, Located: where the flow is or was; 0 when the sender doesn't know
  16: optional EdgeEvacuations evacuations  // Beat, Changes
  17: optional list<EdgeTargetEvidence> evidence  // TargetSuspected
  18: optional list<EdgeLostTarget> lostTargets  // TargetLost
  19: optional list<EdgeDispatchLoad> loads  // DispatchLoad
  20: i64 evacuationsKnown = 0    // Beat, Fetch: revision of the store up to which the sender knows the evacuations
  21: optional i8 refusalReason   // Refused: why, as numbered in RefusalReason
  22: optional bool report        // Located: true: a report to be kept, false: the answer to a Locate; unset: from a previous version
  23: optional i32 sequence       // Locate, Located: sequence number of a packet of the flow, unset: from a previous version
  24: optional i64 configKnownEra  // Beat, Fetch: eras of the store for the revisions above; unset: 0
  25: optional i64 targetsKnownEra
  26: optional i64 configRevisionEra
  27: optional i64 evacuationsKnownEra
}
