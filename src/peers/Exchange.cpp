#include "Exchange.h"

#include <algorithm>

#include "PeerServer.h"
#include "zinniarail/homes/Homes.h"

namespace zinniarail::peers {

namespace {

constexpr Duration ClaimTickInterval = std::chrono::milliseconds{25};
constexpr Duration HandOverLimit = std::chrono::seconds{5};
constexpr unsigned IncomingLimit = 1024;
constexpr std::size_t AcquaintancesLimit = 4096;

template <typename... Handlers> struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

kj::Duration toKj(Duration duration) {
  return duration.count() * kj::MICROSECONDS;
}

Member makeSelf(const Settings &settings, std::uint64_t incarnation) {
  return {settings.InstanceId, incarnation, settings.FailureDomain,
          settings.PeerAddress};
}

} // namespace

Exchange::Exchange(Settings settings,
                   std::function<void(gateway::Message)> toGateway,
                   std::function<void(control::Message)> toControl,
                   kj::Network &network, kj::Timer &timer,
                   std::uint64_t incarnation)
    : Set(std::move(settings)), ToGateway(std::move(toGateway)),
      ToControl(std::move(toControl)), Net(network), Clock(timer),
      Draws(incarnation), Claims(makeClaims(makeSelf(Set, incarnation), {})),
      Tasks(*this) {}

void Exchange::run(kj::ConnectionReceiver &receiver) {
  Tasks.add(accept(receiver));
  Tasks.add(tickPeers());
  Tasks.add(tickClaims());
}

void Exchange::taskFailed(kj::Exception &&) {
  // Every call handles its own failure; what is left is a connection's end.
}

kj::Promise<void> Exchange::accept(kj::ConnectionReceiver &receiver) {
  return receiver.accept().then([this,
                                 &receiver](kj::Own<kj::AsyncIoStream> stream) {
    if (Incoming < IncomingLimit) {
      ++Incoming;
      auto connection = kj::heap<RpcConnection>(kj::mv(stream), Bytes,
                                                kj::heap<PeerServer>(*this));
      auto gone = connection->whenDisconnected();
      Tasks.add(
          gone.attach(kj::mv(connection), kj::defer([this] { --Incoming; })));
    }
    return accept(receiver);
  });
}

kj::Promise<void> Exchange::tickPeers() {
  updateLinks();
  findLost();
  return Clock.afterDelay(toKj(Set.PeerInterval)).then([this] {
    return tickPeers();
  });
}

kj::Promise<void> Exchange::tickClaims() {
  ClaimTick tick;
  tick.Wanted = wantedMembers();
  if (Current && Claims.PreparedFor != currentNumber(Claims.Known)) {
    for (const ServiceSpec &it : Current->Intent->Services) {
      tick.Services.push_back(it.Name);
    }
  }
  tellClaims(tick);
  if (Stopping) {
    finishStop();
  }
  return Clock.afterDelay(toKj(ClaimTickInterval)).then([this] {
    return tickClaims();
  });
}

void Exchange::take(Message message) {
  std::visit(
      Overloaded{
          [&](ViewChanged &it) { changeView(std::move(it.Current)); },
          [&](ClaimWanted &it) { seekClaim(it); },
          [&](WordForHomes &it) { sendWord(it.Service, it.Word); },
          [&](FetchDocument &it) { fetchDocument(it); },
          [&](RosterRead &it) { noteRoster(it); },
          [&](ClaimReleased &it) { tellClaims(ReleaseSought{it.Request}); },
          [&](StopBegun &) {
            Stopping = true;
            StopDeadline =
                readClock() + std::min(HandOverLimit, Set.StopTimeout / 2);
          },
          [&](DumpWanted &it) { it.Answer(describe()); }},
      message);
}

void Exchange::changeView(std::shared_ptr<const View> view) {
  if (!view || !view->Intent) {
    return;
  }
  if (!Current || Current->Version != view->Version) {
    Claims.PreparedFor = 0;
  }
  const bool sameInstances = Current && Current->Instances == view->Instances &&
                             Current->Known == view->Known;
  Current = std::move(view);
  Duration &longest = Claims.Limits.LongestWindow;
  for (const ServiceSpec &it : Current->Intent->Services) {
    longest = std::max(longest, it.ClaimWindow);
  }
  if (!sameInstances) {
    updateLinks();
  }
}

Greeting Exchange::greeting() const {
  Greeting greeting;
  greeting.Environment = Set.Environment;
  greeting.Who = {.Id = Set.InstanceId,
                  .Domain = Set.FailureDomain,
                  .CallerAddress = Set.CallerAddress,
                  .PeerAddress = Set.PeerAddress,
                  .OperatorAddress = Set.OperatorAddress,
                  .Leaving = Stopping};
  greeting.Incarnation = Claims.Self.Incarnation;
  const Pulse now = pulse();
  greeting.Version = now.Version;
  greeting.ConfirmedAge = now.ConfirmedAge;
  greeting.Generation = now.Generation;
  return greeting;
}

Pulse Exchange::pulse() const {
  Pulse pulse;
  pulse.ConfirmedAge = Duration::max();
  if (Current) {
    pulse.Version = Current->Version;
  }
  if (Current && Current->ConfirmedAsOf != Instant::min()) {
    pulse.ConfirmedAge =
        std::max(Duration::zero(), readClock() - Current->ConfirmedAsOf);
  }
  pulse.Generation = currentNumber(Claims.Known);
  pulse.Leaving = Stopping;
  return pulse;
}

std::optional<std::string> Exchange::greet(const Greeting &from) {
  if (from.Environment != Set.Environment) {
    return "environment is " + from.Environment + ", here it is " +
           Set.Environment;
  }
  if (from.Who.Id == Set.InstanceId &&
      from.Incarnation != Claims.Self.Incarnation) {
    return "instance " + from.Who.Id + " is this one's id";
  }
  if (Heard.size() >= AcquaintancesLimit && !Heard.contains(from.Who.Id)) {
    return "too many instances";
  }
  hear(from, Instant{});
  return std::nullopt;
}

void Exchange::hear(const Greeting &from, Instant askedAt) {
  if (from.Who.Id == Set.InstanceId) {
    return;
  }
  Heard[from.Who.Id] = {from, readClock(), false};
  ToControl(
      control::PeerSeen{from.Who, from.Version, from.ConfirmedAge, askedAt});
}

void Exchange::serveWord(const std::string &service, const PeerWord &word) {
  ToGateway(gateway::WordArrived{service, word});
}

std::shared_ptr<const std::string>
Exchange::document(std::uint64_t version) const {
  return Current && Current->Version == version ? Current->Bytes : nullptr;
}

boost::json::object Exchange::describe() const {
  boost::json::array peers;
  for (const auto &[id, it] : Heard) {
    peers.push_back({{"instance", id},
                     {"lost", it.Lost},
                     {"leaving", it.Last.Who.Leaving},
                     {"version", it.Last.Version},
                     {"generation", it.Last.Generation},
                     {"heardMsAgo", (readClock() - it.Heard) /
                                        std::chrono::milliseconds{1}}});
  }
  const Generation *generation = currentGeneration(Claims);
  return {{"incarnation", Claims.Self.Incarnation},
          {"generation", currentNumber(Claims.Known)},
          {"holdsClaims", generation && findSelf(Claims, *generation)},
          {"readyForClaims", generation && findSelf(Claims, *generation) &&
                                 Claims.PreparedFor == generation->Number},
          {"peers", std::move(peers)},
          {"claims", countClaims(Claims)},
          {"openAsks", Claims.Asks.size()},
          {"granted", Counts.Granted},
          {"taken", Counts.Taken},
          {"unavailable", Counts.Unavailable},
          {"recordsSent", Counts.RecordsSent},
          {"recordsServed", Counts.RecordsServed},
          {"wordsSent", Counts.WordsSent},
          {"probesSent", Counts.ProbesSent},
          {"probesFailed", Counts.ProbesFailed},
          {"messagesRefused", Counts.Refused},
          {"bytesIn", Bytes.BytesIn},
          {"bytesOut", Bytes.BytesOut},
          {"stopping", Stopping}};
}

} // namespace zinniarail::peers
