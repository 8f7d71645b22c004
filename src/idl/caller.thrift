// Datagrams between callers and balancers. One datagram holds one CallerPacket in Thrift's compact
// protocol; see docs/callers.md.
namespace cpp pimentofold.wire

enum PacketKind {
  Open = 1,     // caller: opens a flow
  Opened = 2,   // balancer: the flow is open; carries a token for callers that asked for one
  Request = 3,  // caller: a request, or a further range of the answer to one
  Answer = 4,   // balancer: one part of an answer, or a verdict without an answer
  Cancel = 5,   // caller: the answer to a request is no longer wanted
  Close = 6,    // caller: ends a flow
  Closed = 7    // balancer: the flow is closed
}

// Says whether a request may have run. Only NotRun permits sending the same work again.
enum Verdict { Ran = 1, NotRun = 2, MayHaveRun = 3 }

enum Reason {
  None = 0, Overload = 1, DeadlineTooShort = 2, UnknownFlow = 3, TargetLost = 4, PairLost = 5,
  TokenExpired = 6, TokenRequired = 7, Stopping = 8, NoTarget = 9, Shed = 10, Cancelled = 11,
  BudgetExhausted = 12, TimedOut = 13
}

struct CallerPacket {
  1: required PacketKind kind
  2: required i64 flow            // random 64-bit number chosen by the caller
  3: i64 request = 0              // number of the request within the flow, from 1
  4: i32 attempt = 1              // 1 for the first sending, higher for each retransmission
  5: optional binary token        // absent on bare flows
  6: bool wantsToken = false      // on Open: the caller can carry a token
  7: i32 workKind = 0             // index of the kind of work within the service
  8: bool repeatable = true       // false: the request must run at most once
  9: i32 deadlineMs = 0           // time left for the answer, in milliseconds
  10: i64 offset = 0              // first byte of the answer that is wanted, or that this part holds
  11: i32 limit = 0               // most bytes of the answer wanted; 0: one datagram
  12: i64 total = 0               // length of the whole answer in bytes
  13: i64 entityTag = 0           // changes when the content of the answer changes
  14: optional binary body
  15: optional Verdict verdict
  16: Reason reason = Reason.None
  17: i32 retryAfterMs = 0        // on a refusal: when to come back
}
