#include "ClaimNet.h"

#include <algorithm>

namespace zinniarail::testing {

namespace {

std::string idOf(unsigned node) { return "i" + std::to_string(node); }

unsigned nodeOf(const std::string &id) {
  return static_cast<unsigned>(std::stoul(id.substr(1)));
}

constexpr Duration ProbeEvery = 200ms;
constexpr Duration SilentAfter = 600ms;

} // namespace

ClaimLimits netLimits(ClaimRule broken) {
  ClaimLimits limits;
  limits.LongestWindow = NetWindow;
  limits.GrantSlack = 500ms;
  limits.Patience = 300ms;
  limits.WitnessLifetime = 500ms;
  limits.WitnessPerMember = 0ms;
  limits.SettleTime = 100ms;
  limits.MinorityDelay = 1s;
  limits.RosterReadInterval = 200ms;
  limits.PageSize = 2;
  limits.Broken = broken;
  return limits;
}

ClaimNet::ClaimNet(const NetOptions &options)
    : Set(options), Draws(options.Seed) {
  for (unsigned it = 0; it < Set.Nodes; ++it) {
    Nodes.push_back(std::make_unique<NetNode>());
    start(it);
  }
  at(Set.ClaimEvery, [this] { chatter(); });
}

void ClaimNet::at(Duration delay, std::function<void()> what) {
  Agenda.emplace(Now + delay, std::move(what));
}

void ClaimNet::start(unsigned node) {
  NetNode &it = *Nodes[node];
  it.Up = true;
  it.Leaving = false;
  it.Heard.clear();
  it.State = makeClaims({idOf(node), NextIncarnation++,
                         "d" + std::to_string(node % 3), idOf(node)},
                        netLimits(Set.Broken));
  it.State.Limits.WitnessLifetime = Set.WitnessLifetime;
  it.State.Limits.PerService = Set.PerService;
  tick(node, it.Life);
  probe(node, it.Life);
}

void ClaimNet::run(Duration length) {
  const Instant end = Now + length;
  while (!Agenda.empty() && Agenda.begin()->first <= end) {
    Now = Agenda.begin()->first;
    const auto what = std::move(Agenda.begin()->second);
    Agenda.erase(Agenda.begin());
    what();
  }
  Now = end;
}

// Runs something on a node unless it crashed since; later if it is paused.
void ClaimNet::onNode(unsigned node, unsigned life,
                      std::function<void()> what) {
  NetNode &it = *Nodes[node];
  if (!it.Up || it.Life != life) {
    return;
  }
  if (it.PausedUntil > Now) {
    it.Held.push_back(std::move(what));
    return;
  }
  what();
}

Duration ClaimNet::delay() {
  const auto usual = Duration{500 + drawBelow(Draws, 3000)};
  return Noise && chance(0.03) ? usual + Duration{drawBelow(Draws, 400'000)}
                               : usual;
}

// A call: served there at most a few times, answered or failed here.
void ClaimNet::call(unsigned from, unsigned to, Duration timeout,
                    const std::function<std::function<void()>()> &serve,
                    const std::function<void()> &failed) {
  const auto done = std::make_shared<bool>(false);
  const unsigned life = Nodes[from]->Life;
  const auto finish = [this, from, life, done](std::function<void()> what) {
    onNode(from, life, [done, what = std::move(what)] {
      if (!*done) {
        *done = true;
        what();
      }
    });
  };
  at(timeout, [finish, failed] { finish(failed); });
  const auto lost = [this, from, to] {
    return Cuts.contains({from, to}) || (Noise && chance(0.03));
  };
  const unsigned copies = Noise && chance(0.03) ? 2 : 1;
  for (unsigned it = 0; it < copies; ++it) {
    if (lost()) {
      continue;
    }
    at(delay(), [=, this] {
      onNode(to, Nodes[to]->Life, [=, this] {
        auto answer = serve();
        if (!lost()) {
          at(delay(), [finish, answer] { finish(answer); });
        }
      });
    });
  }
}

void ClaimNet::tell(unsigned node, const ClaimEvent &event) {
  ClaimActions actions;
  handle(Nodes[node]->State, event, Now, actions);
  for (const ClaimAction &it : actions) {
    act(node, it);
  }
}

void ClaimNet::tick(unsigned node, unsigned life) {
  onNode(node, life, [=, this] {
    NetNode &it = *Nodes[node];
    ClaimTick event;
    event.Services = {"orders"};
    if (!it.Leaving) {
      event.Wanted.push_back(it.State.Self);
    }
    for (auto &[id, peer] : it.State.Peers) {
      if (peer.Alive && Now - it.Heard[id] > SilentAfter) {
        tell(node, PeerSilent{id});
      }
      if (peer.Alive && !peer.Leaving) {
        event.Wanted.push_back(peer.Who);
      }
    }
    std::sort(event.Wanted.begin(), event.Wanted.end(),
              [](const Member &a, const Member &b) { return a.Id < b.Id; });
    tell(node, event);
    at(20ms, [=, this] { tick(node, life); });
  });
}

void ClaimNet::probe(unsigned node, unsigned life) {
  onNode(node, life, [=, this] {
    for (unsigned to = 0; to < Nodes.size(); ++to) {
      if (to == node) {
        continue;
      }
      const Instant sent = Now;
      call(
          node, to, SilentAfter,
          [=, this] {
            const NetNode &it = *Nodes[to];
            const ClaimPeer evidence{it.State.Self,
                                     currentNumber(it.State.Known), sent, true,
                                     it.Leaving};
            const auto known = std::make_shared<const Roster>(it.State.Known);
            return [=, this] {
              Nodes[node]->Heard[evidence.Who.Id] = Now;
              tell(node, PeerAnswered{evidence});
              tell(node, RosterLearned{*known});
            };
          },
          [] {});
    }
    at(ProbeEvery, [=, this] { probe(node, life); });
  });
}

void ClaimNet::act(unsigned node, const ClaimAction &action) {
  if (const auto *it = std::get_if<SendRecord>(&action)) {
    const auto answer = [=, this, send = *it](RecordReply reply) {
      tell(node, RecordAnswered{send.Ask, send.Round, reply});
    };
    call(
        node, nodeOf(it->To), 150ms,
        [=, this, send = *it]() -> std::function<void()> {
          const auto reply = recordClaim(Nodes[nodeOf(send.To)]->State,
                                         send.Generation, send.Record, Now);
          return [=] { answer(reply); };
        },
        [=] { answer(RecordReply::Unreached); });
  } else if (const auto *it = std::get_if<SendRelease>(&action)) {
    call(
        node, nodeOf(it->To), 150ms,
        [=, this, send = *it] {
          releaseClaim(Nodes[nodeOf(send.To)]->State, send.Record);
          return [] {};
        },
        [] {});
  } else if (const auto *it = std::get_if<SendHandOver>(&action)) {
    call(
        node, nodeOf(it->To), 150ms,
        [=, this, send = *it]() -> std::function<void()> {
          ClaimState &from = Nodes[nodeOf(send.To)]->State;
          const ClaimPage page = handOver(from, send, idOf(node), Now);
          const PageArrived arrived{
              send.To,   from.Self.Incarnation, send.Generation, page.Agreed,
              page.Last, page.Claims,           page.LastReady};
          return [=, this] { tell(node, arrived); };
        },
        [] {});
  } else if (const auto *it = std::get_if<DecideClaim>(&action)) {
    note(node, *it);
  } else if (const auto *it = std::get_if<SendRosterWrite>(&action)) {
    askStore(node, it->Next);
  } else {
    askStore(node, std::nullopt);
  }
}

void ClaimNet::askStore(unsigned node, const std::optional<Roster> &write) {
  const unsigned life = Nodes[node]->Life;
  const auto answer = [=, this](const RosterAnswered &it) {
    at(delay(),
       [=, this] { onNode(node, life, [=, this] { tell(node, it); }); });
  };
  at(delay(), [=, this] {
    if (Outage || StoreCut[node]) {
      answer({});
      return;
    }
    const std::uint64_t version = Stored ? Stored->Version : 0;
    if (write && write->Version == version) {
      Stored = write;
      Stored->Version = version + 1;
    }
    const bool told = !Noise || !chance(0.05); // The answer may be lost.
    answer(told ? RosterAnswered{true, Stored} : RosterAnswered{});
  });
}

void ClaimNet::claim(unsigned node, const std::string &key) {
  const RequestId request{NextRequest++};
  Open[{node, request}] = key;
  onNode(node, Nodes[node]->Life, [=, this] {
    tell(node, ClaimSought{request, "orders", makeClaimKey(key), NetWindow,
                           Now + 100s});
  });
}

void ClaimNet::note(unsigned node, const DecideClaim &decided) {
  const std::string key = Open[{node, decided.Decision.Request}];
  Open.erase({node, decided.Decision.Request});
  if (decided.Decision.Verdict != ClaimVerdict::Granted) {
    ++Refusals;
    return;
  }
  ++Grants;
  Served.insert(key);
  const auto last = Ledger.find(key);
  if (last != Ledger.end() && Now - last->second < NetWindow) {
    Violations.push_back(key + " granted again after " +
                         std::to_string((Now - last->second).count()) + " us");
  }
  Ledger[key] = Now;
  if (!Quiet && chance(0.15)) {
    Ledger.erase(key);
    const unsigned life = Nodes[node]->Life;
    const RequestId request = decided.Decision.Request;
    at(delay(), [=, this] {
      onNode(node, life, [=, this] { tell(node, ReleaseSought{request}); });
    });
  }
}

void ClaimNet::chatter() {
  if (!Quiet) {
    // Two sends of one key at a time, at two instances.
    const std::string key = "k" + std::to_string(drawBelow(Draws, Set.Keys));
    for (int it = 0; it < 2; ++it) {
      claim(drawBelow(Draws, Set.Nodes), key);
    }
  }
  at(Set.ClaimEvery, [this] { chatter(); });
}

void ClaimNet::crash(unsigned node, Duration length) {
  NetNode &it = *Nodes[node];
  if (!it.Up) {
    return;
  }
  it.Up = false;
  ++it.Life;
  it.Held.clear();
  it.PausedUntil = Instant{};
  at(length, [=, this] { start(node); });
}

void ClaimNet::pause(unsigned node, Duration length) {
  NetNode &it = *Nodes[node];
  if (!it.Up || it.PausedUntil > Now) {
    return;
  }
  it.PausedUntil = Now + length;
  at(length, [=, this, life = it.Life] {
    if (Nodes[node]->Life != life) {
      return;
    }
    auto held = std::exchange(Nodes[node]->Held, {});
    for (auto &what : held) {
      onNode(node, life, std::move(what));
    }
  });
}

void ClaimNet::cut(unsigned a, unsigned b, bool isCut) {
  for (const auto &it : {std::pair{a, b}, std::pair{b, a}}) {
    if (isCut) {
      Cuts.insert(it);
    } else {
      Cuts.erase(it);
    }
  }
}

void ClaimNet::leave(unsigned node, Duration length) {
  NetNode &it = *Nodes[node];
  it.Leaving = true;
  at(1500ms, [=, this, life = it.Life] {
    if (Nodes[node]->Life == life) {
      crash(node, length);
    }
  });
}

std::vector<unsigned> ClaimNet::holders() const {
  std::vector<unsigned> found;
  const Generation *current = currentGeneration(Nodes[0]->State);
  for (const Member &it : claimHolders(*current, "orders")) {
    found.push_back(nodeOf(it.Id));
  }
  return found;
}

void ClaimNet::play(const std::vector<Fault> &faults) {
  run(1500ms);
  for (const Fault &it : faults) {
    run(it.After * 100ms);
    const unsigned node = it.Who % Set.Nodes;
    const Duration length = (it.Length + 1) * 100ms;
    switch (it.What) {
    case Fault::Kind::Crash:
      crash(node, length);
      break;
    case Fault::Kind::Pause:
      pause(node, length);
      break;
    case Fault::Kind::Leave:
      leave(node, length);
      break;
    case Fault::Kind::Outage:
      Outage = true;
      at(length, [this] { Outage = false; });
      break;
    case Fault::Kind::Cut:
      cut(node, (node + 1) % Set.Nodes, true);
      at(length, [=, this] { cut(node, (node + 1) % Set.Nodes, false); });
      break;
    case Fault::Kind::Isolate:
      for (unsigned a = 0; a < Set.Nodes; ++a) {
        for (unsigned b = 0; b < Set.Nodes; ++b) {
          if ((it.Who >> a & 1) != (it.Who >> b & 1)) {
            cut(a, b, true);
            at(length, [=, this] { cut(a, b, false); });
          }
        }
        const bool storeToo = (it.Who >> a & 1) != 0 && it.Length % 2 != 0;
        StoreCut[a] = StoreCut[a] || storeToo;
        at(length, [=, this] { StoreCut[a] = false; });
      }
      break;
    }
  }
  run(7s);
}

bool ClaimNet::everybodyServes(Duration within) {
  Quiet = true;
  Noise = false;
  run(NetWindow + 500ms); // Old claims expire: the shelves are small.
  for (const Instant end = Now + within; Now < end;) {
    bool all = true;
    for (unsigned node = 0; node < Set.Nodes; ++node) {
      const std::string key =
          "served" + std::to_string(node) + "/" + std::to_string(NextRequest);
      claim(node, key);
      run(700ms);
      all = all && Served.contains(key);
    }
    if (all) {
      return true;
    }
    run(NetWindow + 500ms);
  }
  return false;
}

} // namespace zinniarail::testing
