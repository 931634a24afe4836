# What instances say to each other: datagrams about who lives and who reads the
# platform's store, and what a reader passes on to those that follow it.
# Regenerate with scripts/generate after a change; generated/ is committed.
@0xd4a1f0c7b8e29635;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("zinniarail::wire::fleet");

# An instance, and what it says of itself.
struct Member {
  id @0 :Text;
  domain @1 :Text;
  callers @2 :Text;             # Its caller address, "ip:port".
  peers @3 :Text;               # Its peer address, "ip:port".
  boot @4 :UInt64;              # Another after each start.
  weight @5 :UInt32;            # The larger, the sooner it reads for others.
  leaving @6 :Bool;
  reading @7 :Bool;             # It reads the store.
  healthy @8 :Bool;             # And the store answers it.
  operators @9 :Text;           # Its operator address, "ip:port".
  format @10 :UInt32;           # Of the news that it writes and reads.
  informed @11 :Bool;           # It can tell what the store held.
  unready @12 :Bool;            # Callers are better sent to others.
}

# A request that was in flight where an upstream crashed.
struct Suspect {
  fingerprint @0 :UInt64;
  upstream @1 :Text;
}

struct Datagram {
  union {
    ping @0 :Void;              # Asks for an answer.
    pong @1 :Void;
    condemned @2 :UInt64;       # A fingerprint that crashes upstreams.
    suspected @5 :Suspect;
  }
  sender @3 :Member;
  members @4 :List(Member);     # Others of the receiver's failure domain.
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
  targetUs @7 :Int64;
  destinations @8 :List(Destination);
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
  headBytes @3 :UInt64;
  bodyBytes @4 :UInt64;
  headTimeUs @5 :Int64;
  idleTimeUs @6 :Int64;
}

struct Upstream {
  id @0 :Text;
  address @1 :Text;
  service @2 :Text;
  domain @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  coldForUs @6 :Int64;          # What is left of it.
  startedMs @7 :UInt64;
  revision @8 :UInt64;          # Of the registration, in the store.
}

struct Upstreams {
  whole @0 :Bool;               # Those that are missing are gone.
  some @1 :List(Upstream);      # All, or those that changed.
  gone @2 :List(Text);
  asOf @3 :UInt64;              # The store's revision that they show.
}

struct DomainOut {
  name @0 :Text;
  revision @1 :UInt64;
}

struct DomainsOut {
  all @0 :List(DomainOut);
  asOf @1 :UInt64;
}

# The live ones of the failure domain.
struct Members {
  whole @0 :Bool;
  some @1 :List(Member);
  gone @2 :List(Text);
  known @3 :UInt32;             # Instances of the whole fleet.
}

# What changed since a follower's last question. Where a part did not change it
# is missing. Raise NewsFormat with each change to it.
struct News {
  boot @0 :UInt64;              # The reader's.
  sequence @1 :UInt64;          # To be given back with the next question.
  configuration @2 :Data;       # A packed and deflated Configuration.
  upstreams @3 :Upstreams;
  domainsOut @4 :DomainsOut;
  members @5 :Members;
}
