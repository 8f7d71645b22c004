// What an agent tells the balancer of its own instance: framed like target.thrift, over TCP on loopback.
include "peer.thrift"
namespace cpp pimentofold.wire

enum TargetState { Serving = 1, Leaving = 2, Down = 3 }

struct MemberView {
  1: peer.InstanceKey key
  2: peer.MemberState state
  3: string address              // balancer's peer address
  4: string dataCentre
}

struct TargetView {
  1: i64 id                      // 64-bit hash of "team/service/instance"
  2: i64 serviceId               // 64-bit hash of "team/service"
  3: string instance
  4: string address
  5: TargetState state
  6: i32 slots
}

struct WorkKindView {
  1: string name
  2: i32 urgency                 // 0 is the most urgent
  3: double floorShare           // share of the service's capacity that is kept for this kind
  4: double ceilingShare
}

struct ServiceView {
  1: i64 id
  2: string teamName
  3: string serviceName
  4: i32 port                    // UDP port of the service's address on each entry instance
  5: bool session                // true: a flow stays with its target; false: each request is placed alone
  6: i32 urgency                 // 0 is the most urgent; compared within a team
  7: double floorShare           // share of the instance's time and of the team's work kept for this service
  8: double ceilingShare
  9: list<WorkKindView> workKinds
  10: i32 defaultDeadlineMs
  11: i64 teamId
}

struct KeyView {
  1: i64 teamId
  2: i32 epoch
  3: binary secret               // 32 bytes
  4: i64 validUntil              // ms of wall time; 0: no end
}

struct NodeView {
  1: i64 generation
  2: list<MemberView> members
  3: list<TargetView> targets
  4: list<ServiceView> services
  5: list<KeyView> keys          // newest epoch of each team first
  6: string dataCentre
  7: optional list<peer.ObjectHead> objects  // versions that the view was made from
}

// From the balancer to its agent, once a second and when something changes.
struct TargetObservation {
  1: i64 id
  2: bool reachable
  3: bool draining
  4: i32 inUse
  5: i64 answered
  6: i64 shed
}

struct BalancerReport {
  1: i64 generationInForce
  2: bool stopping
  3: i64 flowsOpen
  4: i64 requests
  5: i64 refused
  6: list<TargetObservation> targets
  7: optional peer.InstanceKey instance   // of the balancer; its start time is the incarnation of the instance
  // Versions of the view in force, in the first report on each connection: a restarted agent must not go behind them.
  8: optional list<peer.ObjectHead> objects
}

struct LocalMessage {
  1: optional NodeView view
  2: optional BalancerReport report
  3: bool leave = false          // balancer to agent: announce that this instance is leaving
}
