// Frames between balancers and targets over TCP: a 4-byte big-endian length, then one TargetFrame in
// Thrift's compact protocol. The balancer connects and sends Identify first; it sends no other frame
// before the target's Identity matches the target that it expects on this connection.
namespace cpp pimentofold.wire

enum FrameKind {
  Identify = 1, Identity = 2, Open = 3, Opened = 4, Request = 5, Answer = 6, Cancel = 7, Close = 8,
  Closed = 9, Subscribe = 10, Status = 11
}

enum Outcome {
  Done = 1,          // the request ran and this is its answer
  Shed = 2,          // refused for lack of room; it did not run
  UnknownFlow = 3,   // the target doesn't hold this flow; it did not run
  Draining = 4,      // a new flow or new work came to a leaving target; it did not run
  Expired = 5,       // the deadline passed before it started; it did not run
  CancelledBeforeRun = 6,
  CancelledWhileRunning = 7
}

struct TargetIdentity {
  1: string teamName
  2: string serviceName
  3: string instance
  4: i64 incarnation
}

// Load and health as the target reports them; both may lag or be wrong.
struct TargetStatus {
  1: bool healthy = true
  2: bool draining = false
  3: i32 slots = 0
  4: i32 inUse = 0
  5: i32 queued = 0
  6: i32 warmupMs = 0      // time left of a cold start
}

struct TargetFrame {
  1: required FrameKind kind
  2: i64 call = 0          // chosen by the balancer, unique on the connection, echoed in the answer
  3: i64 serviceId = 0     // the service that the balancer believes it is talking to
  4: i64 flow = 0
  5: i64 request = 0
  6: i32 attempt = 1
  7: i32 workKind = 0
  8: bool repeatable = true
  9: i32 deadlineMs = 0
  10: i64 offset = 0
  11: i32 limit = 0
  12: i64 total = 0
  13: i64 entityTag = 0
  14: optional binary body
  15: optional Outcome outcome
  16: optional TargetIdentity identity
  17: optional TargetStatus status
  18: bool session = true  // false: the service keeps no state per flow and Open is not sent
  19: bool onlyIfHeld = false // on Open: answer UnknownFlow unless the target already holds the flow
}
