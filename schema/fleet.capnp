# Messages between instances: datagrams for liveness and the election of the
# reader, which reads the platform's store for its failure domain, and the state
# updates that the reader sends to its followers.
# Regenerate with scripts/generate after a change; generated/ is committed.
@0xd4a1f0c7b8e29635;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniarail::wire::fleet");

# An instance and the status that it reports of itself.
struct Member {
  id @0 :Text;
  domain @1 :Text;
  callerAddress @2 :Text;       # "ip:port".
  peerAddress @3 :Text;         # "ip:port".
  bootId @4 :UInt64;            # Differs after each process start.
  electionWeight @5 :UInt32;    # The largest has the highest priority.
  leaving @6 :Bool;
  reading @7 :Bool;             # It reads the store for its failure domain.
  storeHealthy @8 :Bool;        # It reads the store and gets answers.
  operatorAddress @9 :Text;     # "ip:port".
  updateFormat @10 :UInt32;     # Format of StateUpdate that it uses.
  hasSnapshot @11 :Bool;        # It can serve a snapshot of the store's state.
  unready @12 :Bool;            # Callers should be sent to other instances.
}

# A request that was in flight on an upstream when the upstream crashed.
struct CrashSuspect {
  fingerprint @0 :UInt64;
  upstream @1 :Text;
  sentBeforeUs @2 :Int64;       # From when it was sent until this message.
}

# A fingerprint of requests that crash upstreams, which are refused.
struct Quarantine {
  fingerprint @0 :UInt64;
  remainingUs @1 :Int64;
}

# An upstream that announced to the sender that it leaves.
struct LeavingUpstream {
  id @0 :Text;
  startedMs @1 :UInt64;         # As in Upstream.
}

# A customer and an amount of credit, in requests.
struct CreditAmount {
  customer @0 :Text;
  credit @1 :Float64;
}

# To the lender of a failure domain. Times are of the clock of the instance that
# is named, which also counts the time while the machine is suspended.
struct CreditAsk {
  sequence @0 :UInt64;
  bootId @1 :UInt64;
  lentFromUs @2 :Int64;         # Of the receiver.
  flowsAfterUs @3 :Int64;
  bringsStartCredit @4 :Bool;
  startsFull @5 :Bool;
  wanted @6 :List(CreditAmount);
  lends @7 :Bool;               # lentFromUs is given.
}

struct CreditAnswer {
  sequence @0 :UInt64;          # Of the ask.
  sentAtUs @1 :Int64;           # Of the sender.
  granted @2 :List(CreditAmount);
  retryAfterUs @3 :Int64;
}

# What a lender wants of a customer's credit.
struct CreditWant {
  customer @0 :Text;
  credit @1 :Float64;
  isWaiting @2 :Bool;           # Requests wait for it.
}

struct CreditReport {
  lender @0 :Text;
  domain @1 :Text;
  sentAtUs @2 :Int64;           # Of the lender.
  fleetSize @3 :UInt32;
  wants @4 :List(CreditWant);
}

struct CreditTransfer {
  reportedAtUs @0 :Int64;       # Of the receiver.
  sequence @1 :UInt64;
  given @2 :List(CreditAmount);
}

struct Credit {
  union {
    ask @0 :CreditAsk;
    answer @1 :CreditAnswer;
    report @2 :CreditReport;
    transfer @3 :CreditTransfer;
  }
}

# Attempts at the upstreams of one version since an order for a roll-out.
struct VersionCounts {
  sent @0 :UInt64;
  ended @1 :UInt64;
  failed @2 :UInt64;
  timed @3 :UInt64;
  slow @4 :UInt64;
  good @5 :UInt64;
  goodMicros @6 :UInt64;
}

struct RouteCounts {
  route @0 :Text;
  old @1 :VersionCounts;
  target @2 :VersionCounts;
}

# What the sender knows of a roll-out; see rollout::Report.
struct RolloutCounts {
  service @0 :Text;
  target @1 :Text;
  created @2 :UInt64;
  scope @3 :UInt8;              # As rollout::ReportScope.
  domain @4 :Text;
  bootId @5 :UInt64;            # Of the instance that made the sum.
  sequence @6 :UInt64;
  routes @7 :List(RouteCounts);
  openOld @8 :UInt64;
  share @9 :Float64;
}

# An order for a roll-out, with its status.
struct Rollout {
  name @0 :Text;                # Of its object in the store.
  service @1 :Text;
  target @2 :Text;
  limitUs @3 :Int64;
  created @4 :UInt64;
  revision @5 :UInt64;          # Store revision of its last change.
  era @6 :UInt64;               # Era of that revision.
  phase @7 :UInt8;              # As rollout::Phase.
  share @8 :Float64;
  elapsedUs @9 :Int64;
}

struct Rollouts {
  items @0 :List(Rollout);      # All orders.
  storeRevision @1 :UInt64;     # Store revision that the list reflects.
  storeEra @2 :UInt64;          # Era of that revision.
}

# A time in which the store answered the sender, by the ages of its two ends.
struct AnsweredSpan {
  fromUs @0 :Int64;
  toUs @1 :Int64;
}

struct Datagram {
  union {
    ping @0 :Void;              # The receiver replies with a pong.
    pong @1 :Void;
    quarantined @2 :UInt64;     # Fingerprint of requests that crash upstreams.
    suspected @5 :CrashSuspect;
    leaving @6 :LeavingUpstream;
    credit @14 :Credit;         # Of customers' limits.
    rolloutCounts @15 :RolloutCounts;
    # When did the store answer the receiver, or the reader that it follows? The
    # answer goes to this peer address.
    askAnswered @16 :Text;
    answered @17 :List(AnsweredSpan);
  }
  sender @3 :Member;
  # In a pong, other members of the receiver's failure domain; else empty.
  members @4 :List(Member);
  # In a reader's pong, the sequence of its last StateUpdate of the control
  # channel; 0: unknown.
  sequence @7 :UInt64;
  # Fingerprints of requests that were suspected to crash upstreams, and have had
  # a complete response since.
  clearedFingerprints @8 :List(UInt64);
  # In a ping or pong, the sender's quarantines that last longest.
  quarantines @9 :List(Quarantine);
  # Upstreams that named a limit on their requests, and name none any more.
  endedLimits @10 :List(Text);
  listsSequence @11 :UInt64;    # As sequence, of the channel for lists.
  # In a reader's pong, whether the receiver's poll of the channel has arrived
  # and waits for bandwidth.
  controlDeferred @12 :Bool;
  listsDeferred @13 :Bool;
}

struct Destination {
  service @0 :Text;
  weight @1 :UInt32;
}

struct Route {
  name @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  idempotent @3 :Bool;
  priority @4 :UInt32;
  maxAttempts @5 :UInt32;
  timeoutUs @6 :Int64;
  targetLatencyUs @7 :Int64;
  destinations @8 :List(Destination);
  allowAnonymous @9 :Bool;
}

struct Customer {
  name @0 :Text;
  hasPriority @1 :Bool;
  priority @2 :UInt32;
  ratePerSecond @3 :Float64;
  burst @4 :Float64;
  # Digests of its keys, one after the other. In a difference, those that the
  # customer has got.
  keys @5 :Data;
  removedKeys @6 :Data;         # In a difference, those that it has lost.
}

struct Service {
  name @0 :Text;
  healthPath @1 :Text;
  connectionLimit @2 :UInt32;
  warmupUs @3 :Int64;
  warmupPerSecond @4 :Float64;
}

struct Configuration {
  version @0 :UInt64;
  routes @1 :List(Route);
  services @2 :List(Service);
  maxHeaderBytes @3 :UInt64;
  maxBodyBytes @4 :UInt64;
  headerTimeoutUs @5 :Int64;
  idleTimeoutUs @6 :Int64;
  customers @7 :List(Customer); # In a difference, the new and changed ones.
  removedCustomers @8 :List(Text);
  # Version to whose customers the fields above apply; 0: they are complete.
  customersBase @9 :UInt64;
}

struct Upstream {
  id @0 :Text;
  address @1 :Text;
  service @2 :Text;
  domain @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  warmupRemainingUs @6 :Int64;
  startedMs @7 :UInt64;         # Unix milliseconds; 0: unknown.
  revision @8 :UInt64;          # Store revision of its registration.
  era @9 :UInt64;               # Era of that revision.
  leaving @10 :Bool;            # It announced itself that it leaves.
  version @11 :Text;            # Of its software.
}

struct UpstreamsUpdate {
  complete @0 :Bool;            # Upstreams that are not listed are removed.
  items @1 :List(Upstream);     # All upstreams, or the changed ones.
  removedIds @2 :List(Text);
  storeRevision @3 :UInt64;     # Store revision that the list reflects.
  storeEra @4 :UInt64;          # Era of that revision.
  # Upstreams of these buckets that are not listed are removed; see ListDigests.
  buckets @5 :List(UInt32);
  bucketCount @6 :UInt32;       # Of all upstreams; 0: no buckets.
}

# A failure domain that is out of service.
struct EvacuatedDomain {
  name @0 :Text;
  revision @1 :UInt64;          # Store revision of the evacuation.
  era @2 :UInt64;               # Era of that revision.
}

struct EvacuatedDomains {
  domains @0 :List(EvacuatedDomain);
  storeRevision @1 :UInt64;     # Store revision that the list reflects.
  storeEra @2 :UInt64;          # Era of that revision.
}

# The live instances of the failure domain.
struct MembersUpdate {
  complete @0 :Bool;            # Instances that are not listed are removed.
  items @1 :List(Member);       # All instances, or the changed ones.
  removedIds @2 :List(Text);
  fleetSize @3 :UInt32;         # Instances in all failure domains.
  # Instances of these buckets that are not listed are removed.
  buckets @4 :List(UInt32);
  bucketCount @5 :UInt32;       # Of all instances; 0: no buckets.
}

# What a follower has of the lists, in its first poll of a reader, which answers
# with the buckets that differ. A list that the follower lacks has no buckets.
struct ListDigests {
  upstreams @0 :List(UInt64);   # Digest of each bucket.
  members @1 :List(UInt64);
}

# The parts of one channel that changed since a follower's last poll of it;
# unchanged parts are left out. In a snapshot, all parts but the members. Raise
# CurrentUpdateFormat with each change to this struct.
struct StateUpdate {
  bootId @0 :UInt64;            # Boot id of the reader.
  sequence @1 :UInt64;          # The follower sends it with its next poll.
  configuration @2 :Data;       # A Configuration, packed and deflated.
  upstreams @3 :UpstreamsUpdate;
  evacuatedDomains @4 :EvacuatedDomains;
  members @5 :MembersUpdate;
  reserved @6 :Void;
  rollouts @7 :Rollouts;
}
