# What instances of one environment say to each other.
# Regenerate with scripts/generate after a change; generated/ is committed.
@0xb8f3c1d2a4e59607;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniarail::wire");

# Who speaks, and what it knows.
struct Greeting {
  environment @0 :Text;
  instance @1 :Text;
  incarnation @2 :UInt64;       # Of the process; another after each start.
  domain @3 :Text;
  callerAddress @4 :Text;
  peerAddress @5 :Text;
  operatorAddress @6 :Text;
  leaving @7 :Bool;
  version @8 :UInt64;           # Of the document in force there.
  confirmedAgeUs @9 :UInt64;    # Of its proof; all ones when it has none.
  generation @10 :UInt64;       # Of the claim roster; 0 when it knows none.
}

# What changes between greetings, small because it is sent all the time.
struct Pulse {
  version @0 :UInt64;
  confirmedAgeUs @1 :UInt64;
  generation @2 :UInt64;
  leaving @3 :Bool;
}

struct Key {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Token {
  incarnation @0 :UInt64;
  sequence @1 :UInt64;
}

# One claim, as it is asked for, given up or handed over.
struct Claim {
  service @0 :Text;
  key @1 :Key;
  token @2 :Token;
  keepUs @3 :UInt64;            # How long it counts from now.
}

enum RecordReply {
  recorded @0;
  taken @1;
  notReady @2;
  otherGeneration @3;
  full @4;
}

struct Readiness {
  service @0 :Text;
  generation @1 :UInt64;        # The last in which it vouched.
}

struct ClaimPage {
  agreed @0 :Bool;              # False: the generations differ.
  incarnation @4 :UInt64;       # Of the process that hands over.
  claims @1 :List(Claim);
  ready @2 :List(Readiness);    # With the last page only.
  last @3 :Bool;
}

struct Word {
  kind @0 :UInt8;
  upstream @1 :Text;
  incarnation @2 :UInt64;
  fingerprint @3 :UInt64;
  homesDigest @4 :UInt64;
}

interface Peer {
  hello @0 (from :Greeting) -> (from :Greeting);
  record @1 (generation :UInt64, claim :Claim) -> (reply :RecordReply);
  release @2 (claim :Claim) -> ();
  # The claims that the asker shall hold in a generation, behind a place.
  handOver @3 (generation :UInt64, asker :Text, afterService :Text,
               afterKey :Key) -> (page :ClaimPage);
  roster @4 () -> (bytes :Text, version :UInt64);
  tell @5 (service :Text, word :Word) -> ();
  document @6 (version :UInt64) -> (found :Bool, bytes :Data);
  # Only after hello, on the same connection.
  ping @7 (pulse :Pulse) -> (pulse :Pulse);
}
