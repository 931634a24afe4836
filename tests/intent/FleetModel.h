/// \file
/// Several instances' InForce states, a platform and the words between them,
/// stepped through a schedule of faults in memory.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinniarail/intent/Format.h"
#include "zinniarail/intent/InForce.h"

namespace zinniarail::fleet {

using namespace std::chrono_literals;

/// A deliberate fault of the model, to see that the checks find it.
enum class Breach {
  None,
  ArrivalIsProof,  ///< A word counts from its arrival, not its question.
  ContactInDomain, ///< A domain that is cut off keeps itself valid.
  VersionsFall,    ///< A relayed older version is taken.
  NoRelays,        ///< Peers give no documents.
  PlatformOnly,    ///< Contact with peers counts nothing.
};

/// What can happen.
enum class FleetFault {
  Write,
  Outage,
  CutDomain,
  Pause,
  Restart,
  CutLink,
  Nothing
};

struct Event {
  FleetFault What = FleetFault::Nothing;
  unsigned Who = 0;
  Duration Then{}; ///< Until the next event.
};

constexpr unsigned Instances = 6;
constexpr unsigned Domains = 3;
constexpr Duration Lifetime = 3s;
constexpr Duration Step = 50ms;
constexpr Duration Latency = 50ms;
constexpr Duration AskInterval = 250ms;
constexpr Duration LossTimeout = 1s;
constexpr Duration ReadInterval = 500ms;
constexpr Duration InForceBound = 4s;

struct Node {
  InForce State;
  bool Paused = false;
  Instant NextAsk{};
  Instant NextRead{};
  std::map<unsigned, Instant> HeardFrom;
  std::vector<std::pair<Instant, std::function<void(Node &)>>> Mail;
};

class Fleet {
public:
  explicit Fleet(Breach breach) : Flaw(breach) {
    for (unsigned n = 0; n < Instances; ++n) {
      restart(n);
    }
    write();
    run(2s);
  }

  void apply(const Event &event) {
    const unsigned n = event.Who % Instances;
    switch (event.What) {
    case FleetFault::Write:
      if (!Outage) {
        write();
      }
      break;
    case FleetFault::Outage:
      Outage = !Outage;
      break;
    case FleetFault::CutDomain:
      Cut = Cut ? std::nullopt : std::optional(event.Who % Domains);
      break;
    case FleetFault::Pause:
      Nodes[n].Paused = !Nodes[n].Paused;
      break;
    case FleetFault::Restart:
      restart(n);
      break;
    case FleetFault::CutLink:
      Severed = Severed ? std::nullopt : std::optional(n);
      break;
    case FleetFault::Nothing:
      break;
    }
    run(event.Then);
  }

  /// Ends every fault and gives the fleet the time it is allowed.
  void heal() {
    Outage = false;
    Cut.reset();
    Severed.reset();
    for (Node &it : Nodes) {
      it.Paused = false;
    }
    run(InForceBound);
  }

  bool isEverywhere() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const Node &it) {
      return it.State.Version == Accepted.back().Version && isValid(it);
    });
  }

  bool isValid(const Node &it) const {
    const bool several = Flaw != Breach::ContactInDomain;
    const Instant until = Flaw == Breach::PlatformOnly
                              ? it.State.ConfirmedAsOf + Lifetime
                              : validUntil(it.State, several);
    return !it.Paused && it.State.Intent && until > Now;
  }

  void run(Duration duration) {
    for (const Instant end = Now + duration; Now < end; Now += Step) {
      for (unsigned n = 0; n < Instances; ++n) {
        if (!Nodes[n].Paused) {
          advance(n);
        }
      }
      check();
    }
  }

  std::optional<std::string> Violation; ///< The first one found.
  std::vector<Node> Nodes = std::vector<Node>(Instances);

private:
  struct Acceptance {
    std::uint64_t Version;
    Instant At;
  };

  static std::string bytesOf(std::uint64_t version) {
    return serialiseDocument({.ChangeId = "c" + std::to_string(version)});
  }

  void restart(unsigned n) {
    Nodes[n] = {.State = {.Environment = "trial",
                          .Domain = "d" + std::to_string(n % Domains),
                          .Lifetime = Lifetime}};
    Highest[n] = 0;
  }

  void write() {
    Accepted.push_back(
        {Accepted.empty() ? 1 : Accepted.back().Version + 1, Now});
  }

  bool linked(unsigned a, unsigned b) const {
    const bool domainCut =
        Cut && (a % Domains == *Cut) != (b % Domains == *Cut);
    const bool linkCut =
        Severed && (a == *Severed) != (b == *Severed) && (a + b) % 2 == 1;
    return !domainCut && !linkCut;
  }

  bool reachesPlatform(unsigned n) const {
    return !Outage && !(Cut && n % Domains == *Cut);
  }

  void post(unsigned to, std::function<void(Node &)> word) {
    Nodes[to].Mail.emplace_back(Now + Latency, std::move(word));
  }

  void advance(unsigned n) {
    Node &node = Nodes[n];
    auto mail = std::exchange(node.Mail, {});
    for (auto &[at, word] : mail) {
      if (at <= Now) {
        word(node);
      } else {
        node.Mail.emplace_back(at, std::move(word));
      }
    }
    if (Now >= node.NextRead) {
      node.NextRead = Now + ReadInterval;
      readPlatform(n);
    }
    if (Now >= node.NextAsk) {
      node.NextAsk = Now + AskInterval;
      askPeers(n);
    }
    if (const auto wanted = chooseFetch(node.State, Now)) {
      fetch(n, *wanted);
    }
  }

  void readPlatform(unsigned n) {
    if (!reachesPlatform(n)) {
      return;
    }
    const std::uint64_t version = Accepted.back().Version;
    post(n, [version, asked = Now](Node &node) {
      offerFromPlatform(node.State, version, bytesOf(version), asked);
    });
  }

  void askPeers(unsigned n) {
    for (unsigned other = 0; other < Instances; ++other) {
      if (other == n) {
        continue;
      }
      const auto heard = Nodes[n].HeardFrom.find(other);
      if (heard != Nodes[n].HeardFrom.end() &&
          heard->second + LossTimeout < Now) {
        losePeer(Nodes[n].State, "i" + std::to_string(other));
        Nodes[n].HeardFrom.erase(heard);
      }
      if (linked(n, other) && !Nodes[other].Paused) {
        answer(n, other);
      }
    }
  }

  // What the other one says of itself arrives later.
  void answer(unsigned n, unsigned other) {
    const InForce &state = Nodes[other].State;
    const Instant confirmed = confirmedAsOf(state);
    PeerReport report{
        "i" + std::to_string(other), state.Domain, state.Version,
        confirmed == Instant::min() ? Duration::max() : Now - confirmed, Now};
    post(n, [this, other, report](Node &node) {
      PeerReport heard = report;
      if (Flaw == Breach::ArrivalIsProof) {
        heard.AskedAt = Now;
      }
      node.HeardFrom[other] = Now;
      hearPeer(node.State, heard, Now);
      if (Flaw == Breach::VersionsFall && heard.Version != 0 &&
          heard.Version < node.State.Version) {
        node.State.Version = 0;
        offerFromPeer(node.State, heard.Peer, heard.Version,
                      bytesOf(heard.Version));
      }
    });
  }

  void fetch(unsigned n, const DocumentRequest &wanted) {
    const unsigned from = std::stoul(wanted.Instance.substr(1));
    if (Flaw == Breach::NoRelays || !linked(n, from) || Nodes[from].Paused ||
        Nodes[from].State.Version != wanted.Version) {
      return;
    }
    post(n, [wanted](Node &node) {
      offerFromPeer(node.State, wanted.Instance, wanted.Version,
                    bytesOf(wanted.Version));
    });
  }

  // When a version stopped being the current one.
  Instant replacedAt(std::uint64_t version) const {
    const auto next = std::find_if(
        Accepted.begin(), Accepted.end(),
        [&](const Acceptance &it) { return it.Version > version; });
    return next == Accepted.end() ? Instant::max() : next->At;
  }

  void check() {
    for (unsigned n = 0; n < Instances; ++n) {
      const Node &node = Nodes[n];
      if (node.State.Version < Highest[n]) {
        fail("a version went back on i" + std::to_string(n));
      }
      Highest[n] = std::max(Highest[n], node.State.Version);
      // One step and one answer's way on top of the proof's lifetime.
      const Instant replaced = replacedAt(node.State.Version);
      if (isValid(node) && replaced != Instant::max() &&
          Now > replaced + Lifetime + Step) {
        fail("i" + std::to_string(n) + " acts on a version long replaced");
      }
    }
  }

  void fail(const std::string &what) {
    if (!Violation) {
      Violation = what;
    }
  }

  Breach Flaw;
  Instant Now{1h};
  bool Outage = false;
  std::optional<unsigned> Cut;     ///< A domain, from all and the platform.
  std::optional<unsigned> Severed; ///< An instance, from every second one.
  std::vector<Acceptance> Accepted;
  std::map<unsigned, std::uint64_t> Highest;
};

} // namespace zinniarail::fleet
