// Where a request goes: the upstream that is expected to answer first, of this
// instance's own failure domain where that costs little.
#include "balance/State.h"

#include <algorithm>
#include <limits>

namespace zinniarail::balance {

namespace {

// Upstreams that are asked at a time how they are, before a request is sent.
constexpr std::size_t ProbeWidth = 2;

// What a request on a slot beside others takes longer, for each of them.
constexpr double CrowdingPerRequest = 0.1;

// Between two tries of a last slot that is not worth using, as far as is known.
constexpr Duration LastSlotPause = std::chrono::seconds{1};

// A request that would take this much longer than usual waits for a better
// upstream while it has the time.
constexpr double GoodFactor = 1.5;

// A choice that is this much better is worth a question.
constexpr double WorthAsking = 0.8;

// Above this share of bad reports a guess is likely to be wrong.
constexpr double GuessLimit = 0.5;

// Guesses are made all the same at this distance, lest reports that are wrong
// keep everything from being sent.
constexpr Duration GuessPause = std::chrono::milliseconds{250};

// An upstream that was slow is asked again after this; slowness changes many
// times a second.
constexpr Duration SlowPause = std::chrono::milliseconds{40};

// Part of the target that an upstream of another failure domain must be ahead.
constexpr double OtherDomainPart = 0.1;

// A cold upstream takes about twice as long.
constexpr double ColdFactor = 2;

// A probe that was not answered for so long makes an upstream doubtful.
constexpr Duration ProbeDoubt = std::chrono::milliseconds{20};
constexpr double DoubtFactor = 5;

// An attempt that runs this many times as long as expected likewise.
constexpr double OverdueFactor = 2;

bool wasTried(const RequestState &request, const UpstreamState &upstream) {
  return std::find(request.Tried.begin(), request.Tried.end(),
                   upstream.Plan.Id) != request.Tried.end();
}

// Of two requests that may crash upstreams, side by side, it would not be known
// which one did.
bool runsSuspect(const Engine &engine, const UpstreamState &upstream,
                 Instant now) {
  return std::any_of(
      upstream.Running.begin(), upstream.Running.end(), [&](AttemptId id) {
        return isSuspect(engine, engine.Attempts.at(numberOf(id)).Fingerprint,
                         now);
      });
}

// How much longer than expected the oldest attempt there has been running.
double overdueOf(const Engine &engine, const UpstreamState &upstream,
                 Instant now) {
  double worst = 1;
  for (const AttemptId id : upstream.Running) {
    const AttemptState &it = engine.Attempts.at(numberOf(id));
    const auto expected =
        static_cast<double>(std::max(it.Expected, Duration{1000}).count());
    worst = std::max(worst, static_cast<double>((now - it.Started).count()) /
                                expected);
  }
  return worst > OverdueFactor ? worst : 1;
}

/// What a request would meet at an upstream.
struct Outlook {
  UpstreamState *Upstream = nullptr;
  double Hoped = 0;    ///< Micros, if what is not known were good.
  double Expected = 0; ///< Micros.
  double Busy = 0;
  double Slowness = 1;
  bool Fresh = false;
  bool Full = false;
};

double timeOf(const Engine &engine, const RequestState &request,
              const UpstreamState &upstream, double slowness, double busy,
              Instant now) {
  const Duration usual = leastTime(engine, request);
  double time = static_cast<double>(usual.count()) * slowness;
  time *= dragNow(upstream, now) * overdueOf(engine, upstream, now);
  time *= 1 + CrowdingPerRequest * busy;
  const double slots = upstream.Plan.Slots;
  if (busy + 1.5 > slots && slots > 1) {
    time *= std::max(1.0, engine.LastSlotFactor);
  }
  if (busy >= slots) {
    time *= 1 + (busy + 1 - slots) / slots;
  }
  if (isCold(upstream, now)) {
    time *= ColdFactor;
  }
  if (upstream.ProbeOut && now - upstream.ProbedAt > ProbeDoubt) {
    time *= DoubtFactor;
  }
  if (upstream.Plan.Domain != engine.Plan.Domain) {
    time +=
        OtherDomainPart * static_cast<double>(request.Treatment.Target.count());
  }
  return time;
}

Outlook outlookOf(Engine &engine, const RequestState &request,
                  UpstreamState &upstream, Instant now) {
  Outlook out;
  out.Upstream = &upstream;
  const auto own = static_cast<unsigned>(upstream.Running.size());
  const Duration usual = leastTime(engine, request);
  out.Busy = busyNow(upstream.Load, own, usual, now);
  out.Fresh = isFresh(upstream.Load, now);
  const double slowness = slownessNow(upstream.Load, engine.MeanSlowness, now);
  const double hoped =
      out.Fresh ? slowness
                : std::min(slownessNow(upstream.Load, 1, now), slowness);
  out.Slowness = slowness;
  out.Expected = timeOf(engine, request, upstream, slowness, out.Busy, now);
  out.Hoped = timeOf(engine, request, upstream, hoped, out.Busy, now);
  out.Full =
      out.Busy + 0.5 >= upstream.Plan.Slots || own >= upstream.Plan.Slots;
  return out;
}

std::vector<Outlook> survey(Engine &engine, const RequestState &request,
                            Instant now) {
  std::vector<Outlook> open;
  std::vector<Outlook> ejected;
  std::vector<Outlook> tried;
  const bool apart = isSuspect(engine, request.Fingerprint, now);
  for (auto &[id, it] : engine.Upstreams) {
    if (apart && runsSuspect(engine, it, now)) {
      continue;
    }
    if (!it.Planned || (isCold(it, now) && now < it.ColdNext)) {
      continue;
    }
    if (wasTried(request, it)) {
      tried.push_back(outlookOf(engine, request, it, now));
    } else if (isEjected(it, now)) {
      ejected.push_back(outlookOf(engine, request, it, now));
    } else {
      open.push_back(outlookOf(engine, request, it, now));
    }
  }
  // Where most seem out of order, the signs are doubted.
  if (open.empty() || ejected.size() > open.size() * 2) {
    open.insert(open.end(), ejected.begin(), ejected.end());
  }
  return open.empty() ? tried : open;
}

// Of those that are alike, a drawn one.
template <typename Key>
const Outlook *pick(Engine &engine, const std::vector<Outlook> &all, Key key) {
  const Outlook *best = nullptr;
  double least = std::numeric_limits<double>::max();
  std::uint32_t alike = 0;
  for (const Outlook &it : all) {
    if (it.Full) {
      continue;
    }
    const double cost = key(it);
    if (cost < least) {
      best = &it;
      least = cost;
      alike = 1;
    } else if (cost == least && drawBelow(engine.Draws, ++alike) == 0) {
      best = &it;
    }
  }
  return best;
}

Placement send(const Outlook &chosen, Choice::Grounds grounds, Instant now) {
  Placement out;
  out.What = Placement::Kind::Send;
  out.Upstream = chosen.Upstream;
  out.Why.By = grounds;
  const KnownLoad &load = chosen.Upstream->Load;
  out.Why.ReportAge = load.Known ? now - load.At : Duration::max();
  out.Why.Busy = chosen.Busy;
  out.Why.Slowness = chosen.Slowness;
  out.Why.Expected = Duration(static_cast<Duration::rep>(chosen.Expected));
  out.Why.Cold = isCold(*chosen.Upstream, now);
  return out;
}

// When an upstream may have room and be quick, by its last report.
Instant hopefulFrom(const Engine &engine, const UpstreamState &upstream,
                    Duration usual, Instant now) {
  const LoadReport &report = upstream.Load.Report;
  if (!upstream.Load.Known) {
    return Instant{};
  }
  if (isSlow(engine, report.Slowness)) {
    return upstream.Load.At + SlowPause;
  }
  const unsigned busy = report.Running + report.Waiting;
  const unsigned capacity = capacityOf(engine, upstream, now);
  if (busy < capacity) {
    return Instant{};
  }
  return upstream.Load.At +
         usual * (busy - capacity + 1) / std::max(upstream.Plan.Slots, 1U) / 2;
}

// Those that could be the best and are not known freshly.
std::vector<UpstreamState *> worthProbing(Engine &engine,
                                          const std::vector<Outlook> &all,
                                          double limit, Duration usual,
                                          Instant now) {
  std::vector<const Outlook *> some;
  for (const Outlook &it : all) {
    if (!it.Fresh && it.Hoped < limit && mayProbe(engine, *it.Upstream, now) &&
        now >= hopefulFrom(engine, *it.Upstream, usual, now)) {
      some.push_back(&it);
    }
  }
  std::shuffle(some.begin(), some.end(), engine.Draws);
  std::stable_sort(
      some.begin(), some.end(),
      [](const Outlook *a, const Outlook *b) { return a->Hoped < b->Hoped; });
  std::vector<UpstreamState *> out;
  for (const Outlook *it : some) {
    if (out.size() < ProbeWidth) {
      out.push_back(it->Upstream);
    }
  }
  return out;
}

} // namespace

Duration leastTime(const Engine &engine, const RequestState &request) {
  const auto found = engine.Work.find(request.Treatment.Route);
  return usualWork(found == engine.Work.end() ? WorkEstimate{} : found->second,
                   request.Treatment.Target);
}

unsigned capacityOf(const Engine &engine, const UpstreamState &upstream,
                    Instant now) {
  const unsigned slots = upstream.Plan.Slots;
  if (slots < 2) {
    return slots;
  }
  // With its last slot in use an upstream may finish fewer requests than
  // without.
  const bool pays = engine.LastSlotFactor * (slots - 1) < slots;
  const bool tryIt = now - engine.LastSlotTriedAt > LastSlotPause;
  return pays || tryIt ? slots : slots - 1;
}

Placement place(Engine &engine, const RequestState &request, bool lastResort,
                Instant now) {
  const std::vector<Outlook> all = survey(engine, request, now);
  if (all.empty()) {
    const bool any =
        std::any_of(engine.Upstreams.begin(), engine.Upstreams.end(),
                    [](const auto &it) { return it.second.Planned; });
    Placement none;
    none.What = any ? Placement::Kind::Wait : Placement::Kind::Never;
    return none;
  }
  const auto usual = static_cast<double>(leastTime(engine, request).count());
  const auto left = static_cast<double>(
      (request.Arrived + request.Treatment.Target - now).count());
  const double goodTime = std::max(usual * GoodFactor, left);
  const Outlook *good = nullptr;
  for (const Outlook &it : all) {
    if (it.Fresh && !it.Full && it.Expected <= goodTime &&
        (good == nullptr || it.Expected < good->Expected)) {
      good = &it;
    }
  }
  if (engine.TellsLoad) {
    const double limit = good == nullptr ? std::numeric_limits<double>::max()
                                         : good->Expected * WorthAsking;
    Placement look;
    look.What = Placement::Kind::Look;
    look.Probes =
        worthProbing(engine, all, limit, leastTime(engine, request), now);
    const bool asked =
        std::any_of(look.Probes.begin(), look.Probes.end(),
                    [](const UpstreamState *it) { return it->ProbeOut; });
    std::erase_if(look.Probes,
                  [](const UpstreamState *it) { return it->ProbeOut; });
    if (!mayProbe(engine, now)) {
      look.Probes.clear();
    }
    if (asked || !look.Probes.empty()) {
      return look;
    }
  }
  if (good != nullptr) {
    return send(*good, Choice::Grounds::Known, now);
  }
  const bool mayGuess = !engine.TellsLoad || engine.BadShare < GuessLimit ||
                        (lastResort && now - engine.SentAt > GuessPause);
  const Outlook *best =
      pick(engine, all, [](const Outlook &it) { return it.Expected; });
  if (best == nullptr || !mayGuess) {
    return {};
  }
  return send(*best,
              engine.TellsLoad ? Choice::Grounds::Guessed
                               : Choice::Grounds::Unreported,
              now);
}

Situation describeSituation(Engine &engine, const RequestState &request,
                            Instant now) {
  Situation out;
  for (auto &[id, it] : engine.Upstreams) {
    if (!it.Planned) {
      continue;
    }
    ++out.InService;
    const Outlook seen = outlookOf(engine, request, it, now);
    if (isEjected(it, now)) {
      ++out.Ejected;
    } else if (isCold(it, now) && now < it.ColdNext) {
      ++out.Cold;
    } else if (seen.Full) {
      ++out.Full;
    } else if (!seen.Fresh) {
      ++out.Unknown;
    } else if (isSlow(engine, it.Load.Report.Slowness)) {
      ++out.Slow;
    }
  }
  out.Waiting = engine.Queue.size();
  out.RetryTokens = engine.Budget.Tokens;
  return out;
}

} // namespace zinniarail::balance
