// Datagrams between instances: between balancers, and between agents. One datagram holds a 16-byte
// authenticator and one PeerMessage in Thrift's compact protocol.
include "caller.thrift"
namespace cpp pimentofold.wire

enum PeerKind {
  // Between balancers.
  Relay = 1,            // a caller's packet for the receiver to serve as home, witness or dispatcher
  RelayAck = 2,         // the receiver has taken charge of the relayed packet
  IntentStore = 3,      // home to witness: keep the intent to dispatch this request
  IntentStored = 4,
  IntentRefused = 5,    // the witness has closed the record; the home must not dispatch
  Outcome = 6,          // home to witness: the final verdict of a request
  Handover = 7,         // a stopping home's records, for their witness
  HandoverAck = 8,
  // Between agents.
  Ping = 20, PingRequest = 21, Ack = 22, Leave = 23,
  Digest = 30, Pull = 31, Objects = 32,
  InForce = 33          // to the writer of the status object: what the sender's balancer has in force
}

enum MemberState { Alive = 1, Suspect = 2, Leaving = 3, Dead = 4 }

enum RelayRole { Home = 1, Witness = 2, Dispatcher = 3 }

struct InstanceKey {
  1: i64 instance       // 64-bit hash of the instance's name
  2: i64 incarnation    // microseconds of wall time at which the process started
}

struct OnceKey {
  1: i64 serviceId
  2: i64 flow
  3: i64 request
  4: i64 pairExpiry     // ends the token's right to requests that may not be repeated, in ms of wall time
}

struct OnceRecordWire {
  1: OnceKey key
  2: caller.Verdict verdict
  3: caller.Reason reason
  4: binary answer
  5: i64 total
  6: i64 entityTag
  7: InstanceKey home
  8: InstanceKey witness
  9: optional i64 offset        // first byte of the answer that this record holds; long answers go in parts
}

struct MemberUpdate {
  1: InstanceKey key
  2: MemberState state
  3: string name
  4: string address             // agent's peer address, "ip:port"
  5: string balancerAddress     // balancer's peer address, "ip:port"
  6: string dataCentre
  7: i64 stateVersion           // raised by the member itself to refute a suspicion
}

struct ObjectHead {
  1: string kind
  2: string name
  3: i64 version
  4: optional i64 offset        // Pull: first byte wanted of an object that is larger than a datagram
}

struct ObjectWire {
  1: ObjectHead head
  2: bool deleted
  3: string value
  4: string changeId
  5: optional i64 offset        // first byte that value holds of an object that is larger than a datagram
  6: optional i64 total         // length of the whole value of such an object
}

// What the balancer of one instance has in force.
struct InForceReport {
  1: i64 generation             // of the view; 0 when there is no balancer
  2: i64 rootDigest             // of the objects that the view was made from
  3: i64 refused
}

struct PeerMessage {
  1: required PeerKind kind
  2: required InstanceKey sender
  3: optional InstanceKey recipient
  4: i64 sequence = 0
  5: i64 clock = 0                     // hybrid logical clock of the sender
  6: optional binary packet            // Relay: the caller's datagram as received
  7: optional string callerAddress     // Relay: where the answer goes, "ip:port"
  8: i32 hops = 0
  9: optional RelayRole role
  10: optional OnceKey onceKey
  11: optional list<OnceRecordWire> records
  12: optional list<MemberUpdate> members
  13: optional InstanceKey about       // PingRequest: the member to probe
  14: optional binary digest
  15: optional list<ObjectHead> heads
  16: optional list<ObjectWire> objects
  17: optional InstanceKey home
  18: i64 serviceId = 0
  19: bool last = false                // Handover: the sender has no further records; Digest: no answer is wanted
  20: optional i64 revision            // Digest: platform revision up to which the sender has all objects
  21: optional InForceReport report
  22: optional string dataCentre       // Digest between data centres: that of the sender
  23: double relayPerSecond = 0        // RelayAck of a dispatcher: requests a second that it takes; 0: no limit
  24: i32 workKind = 0                 // RelayAck: kind of work of serviceId that relayPerSecond is about
}
