#include "fleet/Codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>

#include "core/Deflate.h"
#include "fleet.capnp.h"

namespace zinniarail::fleet {

namespace {

namespace wire = zinniarail::wire::fleet;

// Far more than the platform keeps in one object,
constexpr std::size_t MostConfigurationBytes = std::size_t{16} << 20;

// and than the lists of the largest fleet take.
constexpr std::size_t MostNewsBytes = std::size_t{64} << 20;

// Shorter news are not worth the time to compress them.
constexpr std::size_t PlainNewsBytes = std::size_t{4} << 10;

// The first byte of news tells how the rest is written.
constexpr char Plain = 'p';
constexpr char Deflated = 'd';

std::string textOf(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

void write(wire::Member::Builder out, const Member &it) {
  out.setId(it.Record.Id);
  out.setDomain(it.Record.Domain);
  out.setCallers(it.Record.CallerAddress);
  out.setPeers(it.Record.PeerAddress);
  out.setOperators(it.Record.OperatorAddress);
  out.setBoot(it.Boot);
  out.setWeight(it.Weight);
  out.setLeaving(it.Record.Leaving);
  out.setReading(it.Reading);
  out.setHealthy(it.Healthy);
  out.setFormat(it.Format);
  out.setInformed(it.Informed);
  out.setUnready(!it.Ready);
}

Member read(wire::Member::Reader in) {
  Member out;
  out.Record.Id = textOf(in.getId());
  out.Record.Domain = textOf(in.getDomain());
  out.Record.CallerAddress = textOf(in.getCallers());
  out.Record.PeerAddress = textOf(in.getPeers());
  out.Record.OperatorAddress = textOf(in.getOperators());
  out.Record.Leaving = in.getLeaving();
  out.Boot = in.getBoot();
  out.Weight = in.getWeight();
  out.Reading = in.getReading();
  out.Healthy = in.getHealthy();
  out.Format = in.getFormat();
  out.Informed = in.getInformed();
  out.Ready = !in.getUnready();
  return out;
}

void write(wire::Route::Builder out, const Route &it) {
  out.setName(it.Name);
  out.setHost(it.Host);
  out.setPathPrefix(it.PathPrefix);
  out.setIdempotent(it.Idempotent);
  out.setPriority(it.Priority);
  out.setMaxAttempts(it.MaxAttempts);
  out.setTimeoutUs(it.Timeout.count());
  out.setTargetUs(it.TargetLatency.count());
  auto parts =
      out.initDestinations(static_cast<unsigned>(it.Destinations.size()));
  unsigned n = 0;
  for (const Destination &destination : it.Destinations) {
    parts[n].setService(destination.Service);
    parts[n++].setWeight(destination.Weight);
  }
}

Route read(wire::Route::Reader in) {
  Route out;
  out.Name = textOf(in.getName());
  out.Host = textOf(in.getHost());
  out.PathPrefix = textOf(in.getPathPrefix());
  out.Idempotent = in.getIdempotent();
  out.Priority = in.getPriority();
  out.MaxAttempts = in.getMaxAttempts();
  out.Timeout = Duration(in.getTimeoutUs());
  out.TargetLatency = Duration(in.getTargetUs());
  for (const auto it : in.getDestinations()) {
    out.Destinations.push_back({textOf(it.getService()), it.getWeight()});
  }
  return out;
}

void write(wire::Configuration::Builder out, const Configuration &it) {
  out.setVersion(it.Version);
  auto routes = out.initRoutes(static_cast<unsigned>(it.Routes.size()));
  for (unsigned n = 0; n < routes.size(); ++n) {
    write(routes[n], it.Routes[n]);
  }
  auto services = out.initServices(static_cast<unsigned>(it.Services.size()));
  for (unsigned n = 0; n < services.size(); ++n) {
    const ServiceConfig &service = it.Services[n];
    services[n].setName(service.Name);
    services[n].setHealthPath(service.HealthPath);
    services[n].setConnectionLimit(service.ConnectionLimit);
    services[n].setWarmupUs(service.Warmup.count());
    services[n].setWarmupPerSecond(service.WarmupPerSecond);
  }
  out.setHeadBytes(it.Limits.HeadBytes);
  out.setBodyBytes(it.Limits.BodyBytes);
  out.setHeadTimeUs(it.Limits.HeadTime.count());
  out.setIdleTimeUs(it.Limits.IdleTime.count());
}

Configuration read(wire::Configuration::Reader in) {
  Configuration out;
  out.Version = in.getVersion();
  for (const auto it : in.getRoutes()) {
    out.Routes.push_back(read(it));
  }
  for (const auto it : in.getServices()) {
    out.Services.push_back({textOf(it.getName()), textOf(it.getHealthPath()),
                            it.getConnectionLimit(), Duration(it.getWarmupUs()),
                            it.getWarmupPerSecond()});
  }
  out.Limits = {in.getHeadBytes(), in.getBodyBytes(),
                Duration(in.getHeadTimeUs()), Duration(in.getIdleTimeUs())};
  return out;
}

void write(wire::Upstream::Builder out, const store::ListedUpstream &it) {
  out.setId(it.Record.Id);
  out.setAddress(it.Record.Address);
  out.setService(it.Record.Service);
  out.setDomain(it.Record.Domain);
  out.setSlots(it.Record.Slots);
  out.setDraining(it.Record.Draining);
  out.setColdForUs(it.Record.ColdFor.count());
  out.setStartedMs(it.Record.StartedMs);
  out.setRevision(it.Revision);
}

store::ListedUpstream read(wire::Upstream::Reader in) {
  return {{textOf(in.getId()), textOf(in.getAddress()), textOf(in.getService()),
           textOf(in.getDomain()), in.getSlots(), in.getDraining(),
           Duration(in.getColdForUs()), in.getStartedMs()},
          in.getRevision()};
}

template <typename Builder, typename Item>
void writeChange(Builder out, const ListChange<Item> &change) {
  out.setWhole(change.Whole);
  auto some = out.initSome(static_cast<unsigned>(change.Some.size()));
  for (unsigned n = 0; n < some.size(); ++n) {
    write(some[n], change.Some[n]);
  }
  auto gone = out.initGone(static_cast<unsigned>(change.Gone.size()));
  for (unsigned n = 0; n < gone.size(); ++n) {
    gone.set(n, change.Gone[n]);
  }
}

template <typename Reader, typename Item>
void readChange(Reader in, ListChange<Item> &change) {
  change.Whole = in.getWhole();
  for (const auto it : in.getSome()) {
    change.Some.push_back(read(it));
  }
  for (const auto it : in.getGone()) {
    change.Gone.push_back(textOf(it));
  }
}

void write(wire::Upstreams::Builder out, const UpstreamList &it) {
  out.setAsOf(it.AsOf);
  writeChange(out, it.Change);
}

UpstreamList read(wire::Upstreams::Reader in) {
  UpstreamList out;
  out.AsOf = in.getAsOf();
  readChange(in, out.Change);
  return out;
}

void write(wire::DomainsOut::Builder out, const DomainList &it) {
  out.setAsOf(it.AsOf);
  auto all = out.initAll(static_cast<unsigned>(it.Out.size()));
  unsigned n = 0;
  for (const auto &[name, revision] : it.Out) {
    all[n].setName(name);
    all[n++].setRevision(revision);
  }
}

DomainList read(wire::DomainsOut::Reader in) {
  DomainList out;
  out.AsOf = in.getAsOf();
  for (const auto it : in.getAll()) {
    out.Out.emplace(textOf(it.getName()), it.getRevision());
  }
  return out;
}

void write(wire::Members::Builder out, const MemberList &it) {
  out.setKnown(static_cast<unsigned>(it.Known));
  writeChange(out, it.Change);
}

MemberList read(wire::Members::Reader in) {
  MemberList out;
  out.Known = in.getKnown();
  readChange(in, out.Change);
  return out;
}

std::string pack(capnp::MessageBuilder &message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

// Whatever is wrong with the bytes, the library throws.
template <typename Function>
auto unpack(std::string_view bytes, Function function) -> std::optional<
    decltype(function(std::declval<capnp::MessageReader &>()))> {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(in);
    return function(message);
  } catch (const kj::Exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string encodeDatagram(const Datagram &datagram) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Datagram>();
  if (std::holds_alternative<Datagram::Ping>(datagram.What)) {
    root.setPing();
  } else if (std::holds_alternative<Datagram::Pong>(datagram.What)) {
    root.setPong();
  } else if (const auto *it = std::get_if<balance::Suspected>(&datagram.What)) {
    auto out = root.initSuspected();
    out.setFingerprint(it->Which.Fingerprint);
    out.setUpstream(it->Which.Upstream);
  } else {
    root.setCondemned(std::get<balance::Condemned>(datagram.What).Fingerprint);
  }
  write(root.initSender(), datagram.Sender);
  auto members =
      root.initMembers(static_cast<unsigned>(datagram.Others.size()));
  for (unsigned n = 0; n < members.size(); ++n) {
    write(members[n], datagram.Others[n]);
  }
  return pack(message);
}

std::optional<Datagram> decodeDatagram(std::string_view bytes) {
  return unpack(bytes, [](capnp::MessageReader &message) {
    const auto root = message.getRoot<wire::Datagram>();
    Datagram out;
    if (root.isPing()) {
      out.What = Datagram::Ping{};
    } else if (root.isPong()) {
      out.What = Datagram::Pong{};
    } else if (root.isSuspected()) {
      const auto it = root.getSuspected();
      out.What =
          balance::Suspected{{it.getFingerprint(), textOf(it.getUpstream())}};
    } else {
      out.What = balance::Condemned{root.getCondemned()};
    }
    out.Sender = read(root.getSender());
    for (const auto it : root.getMembers()) {
      out.Others.push_back(read(it));
    }
    return out;
  });
}

std::string encodeConfiguration(const Configuration &config) {
  capnp::MallocMessageBuilder message;
  write(message.initRoot<wire::Configuration>(), config);
  return deflateBytes(pack(message));
}

std::shared_ptr<const Configuration>
decodeConfiguration(const std::string &bytes) {
  const auto packed = inflateBytes(bytes, MostConfigurationBytes);
  auto config =
      packed ? unpack(*packed,
                      [](capnp::MessageReader &message) {
                        return read(message.getRoot<wire::Configuration>());
                      })
             : std::nullopt;
  return config ? std::make_shared<const Configuration>(std::move(*config))
                : nullptr;
}

std::string encodeNews(const News &news) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::News>();
  root.setBoot(news.Boot);
  root.setSequence(news.Sequence);
  if (news.Config) {
    root.setConfiguration(
        kj::arrayPtr(reinterpret_cast<const kj::byte *>(news.Config->data()),
                     news.Config->size()));
  }
  if (news.Upstreams) {
    write(root.initUpstreams(), *news.Upstreams);
  }
  if (news.Domains) {
    write(root.initDomainsOut(), *news.Domains);
  }
  if (news.Fleet) {
    write(root.initMembers(), *news.Fleet);
  }
  const std::string packed = pack(message);
  return packed.size() <= PlainNewsBytes ? Plain + packed
                                         : Deflated + deflateBytes(packed);
}

std::optional<News> decodeNews(std::string_view bytes) {
  const bool deflated = bytes.starts_with(Deflated);
  if (!deflated && !bytes.starts_with(Plain)) {
    return std::nullopt;
  }
  std::string_view packed = bytes.substr(1);
  std::optional<std::string> inflated;
  if (deflated) {
    inflated = inflateBytes(packed, MostNewsBytes);
    if (!inflated) {
      return std::nullopt;
    }
    packed = *inflated;
  }
  return unpack(packed, [](capnp::MessageReader &message) {
    const auto root = message.getRoot<wire::News>();
    News out;
    out.Boot = root.getBoot();
    out.Sequence = root.getSequence();
    if (root.hasConfiguration()) {
      const auto bytes = root.getConfiguration();
      out.Config = std::make_shared<const std::string>(
          reinterpret_cast<const char *>(bytes.begin()), bytes.size());
    }
    if (root.hasUpstreams()) {
      out.Upstreams = read(root.getUpstreams());
    }
    if (root.hasDomainsOut()) {
      out.Domains = read(root.getDomainsOut());
    }
    if (root.hasMembers()) {
      out.Fleet = read(root.getMembers());
    }
    return out;
  });
}

} // namespace zinniarail::fleet
