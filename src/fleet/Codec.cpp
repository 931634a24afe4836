#include "fleet/Codec.h"

#include <algorithm>
#include <iterator>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>

#include "core/Deflate.h"
#include "fleet.capnp.h"
#include "fleet/CreditCodec.h"

namespace zinniarail::fleet {

namespace {

namespace wire = zinniarail::wire::fleet;

// Far more than the platform stores in one object.
constexpr std::size_t MaxConfigurationBytes = std::size_t{16} << 20;

// Far more than the lists of the largest fleet take.
constexpr std::size_t MaxUpdateBytes = std::size_t{64} << 20;

// Shorter updates would hardly become smaller. Longer ones are worth the time,
// since they are compressed once for many followers.
constexpr std::size_t MaxUncompressedBytes = std::size_t{512};

// The first byte of an encoded update gives the encoding of the rest.
constexpr char Plain = 'p';
constexpr char Deflated = 'd';

std::string textOf(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

void write(wire::Member::Builder out, const Member &it) {
  out.setId(it.Record.Id);
  out.setDomain(it.Record.Domain);
  out.setCallerAddress(it.Record.CallerAddress);
  out.setPeerAddress(it.Record.PeerAddress);
  out.setOperatorAddress(it.Record.OperatorAddress);
  out.setBootId(it.BootId);
  out.setElectionWeight(it.ElectionWeight);
  out.setLeaving(it.Record.Leaving);
  out.setReading(it.Reading);
  out.setStoreHealthy(it.StoreHealthy);
  out.setUpdateFormat(it.UpdateFormat);
  out.setHasSnapshot(it.HasSnapshot);
  out.setUnready(!it.Ready);
}

Member read(wire::Member::Reader in) {
  Member out;
  out.Record.Id = textOf(in.getId());
  out.Record.Domain = textOf(in.getDomain());
  out.Record.CallerAddress = textOf(in.getCallerAddress());
  out.Record.PeerAddress = textOf(in.getPeerAddress());
  out.Record.OperatorAddress = textOf(in.getOperatorAddress());
  out.Record.Leaving = in.getLeaving();
  out.BootId = in.getBootId();
  out.ElectionWeight = in.getElectionWeight();
  out.Reading = in.getReading();
  out.StoreHealthy = in.getStoreHealthy();
  out.UpdateFormat = in.getUpdateFormat();
  out.HasSnapshot = in.getHasSnapshot();
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
  out.setTargetLatencyUs(it.TargetLatency.count());
  out.setAllowAnonymous(it.AllowAnonymous);
  auto destinations =
      out.initDestinations(static_cast<unsigned>(it.Destinations.size()));
  unsigned n = 0;
  for (const Destination &destination : it.Destinations) {
    destinations[n].setService(destination.Service);
    destinations[n++].setWeight(destination.Weight);
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
  out.TargetLatency = Duration(in.getTargetLatencyUs());
  out.AllowAnonymous = in.getAllowAnonymous();
  for (const auto it : in.getDestinations()) {
    out.Destinations.push_back({textOf(it.getService()), it.getWeight()});
  }
  return out;
}

using Keys = std::vector<KeyDigest>;

Keys differenceOf(const Keys &a, const Keys &b) {
  Keys out;
  std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                      std::back_inserter(out));
  return out;
}

kj::ArrayPtr<const kj::byte> bytesOf(const Keys &keys) {
  return kj::arrayPtr(keys.empty() ? nullptr : keys.front().Bytes.data(),
                      keys.size() * KeyDigest::Size);
}

Keys keysOf(capnp::Data::Reader bytes) {
  Keys out(bytes.size() / KeyDigest::Size);
  for (std::size_t n = 0; n < out.size(); ++n) {
    std::copy_n(bytes.begin() + n * KeyDigest::Size, KeyDigest::Size,
                out[n].Bytes.begin());
  }
  std::sort(out.begin(), out.end());
  return out;
}

// \param base the customer as the receiver has it, maybe without keys.
void write(wire::Customer::Builder out, const Customer &it,
           const Customer &base) {
  out.setName(it.Name);
  out.setHasPriority(it.Priority.has_value());
  out.setPriority(it.Priority.value_or(0));
  out.setRatePerSecond(it.RatePerSecond);
  out.setBurst(it.Burst);
  out.setKeys(bytesOf(differenceOf(it.Keys, base.Keys)));
  out.setRemovedKeys(bytesOf(differenceOf(base.Keys, it.Keys)));
}

Customer read(wire::Customer::Reader in, const Customer &base) {
  Customer out;
  out.Name = textOf(in.getName());
  if (in.getHasPriority()) {
    out.Priority = in.getPriority();
  }
  out.RatePerSecond = in.getRatePerSecond();
  out.Burst = in.getBurst();
  const Keys added = keysOf(in.getKeys());
  const Keys kept = differenceOf(base.Keys, keysOf(in.getRemovedKeys()));
  std::set_union(kept.begin(), kept.end(), added.begin(), added.end(),
                 std::back_inserter(out.Keys));
  return out;
}

using CustomersByName = std::map<std::string_view, const Customer *>;

CustomersByName indexByName(const std::vector<Customer> &customers) {
  CustomersByName out;
  for (const Customer &it : customers) {
    out.emplace(it.Name, &it);
  }
  return out;
}

// \param base as for encodeConfiguration.
void writeCustomers(wire::Configuration::Builder out,
                    const std::vector<Customer> &customers,
                    const Configuration *base) {
  CustomersByName known;
  if (base != nullptr) {
    out.setCustomersBase(base->Version);
    known = indexByName(base->Customers);
  }
  std::vector<std::pair<const Customer *, const Customer *>> changed;
  const Customer none;
  for (const Customer &it : customers) {
    const auto found = known.find(it.Name);
    if (found == known.end()) {
      changed.emplace_back(&it, &none);
      continue;
    }
    if (*found->second != it) {
      changed.emplace_back(&it, found->second);
    }
    known.erase(found);
  }
  auto items = out.initCustomers(static_cast<unsigned>(changed.size()));
  for (unsigned n = 0; n < items.size(); ++n) {
    write(items[n], *changed[n].first, *changed[n].second);
  }
  auto removed = out.initRemovedCustomers(static_cast<unsigned>(known.size()));
  unsigned n = 0;
  for (const auto &[name, it] : known) {
    removed.set(n++, it->Name);
  }
}

// \returns false if the customers are encoded with a base that isn't known.
bool readCustomers(wire::Configuration::Reader in, const Configuration *known,
                   std::vector<Customer> &customers) {
  const std::uint64_t baseVersion = in.getCustomersBase();
  if (baseVersion != 0 && (known == nullptr || known->Version != baseVersion)) {
    return false;
  }
  std::map<std::string, Customer> byName;
  if (baseVersion != 0) {
    for (const Customer &it : known->Customers) {
      byName.emplace(it.Name, it);
    }
  }
  for (const auto it : in.getCustomers()) {
    Customer &customer = byName[textOf(it.getName())];
    customer = read(it, customer);
  }
  for (const auto it : in.getRemovedCustomers()) {
    byName.erase(textOf(it));
  }
  for (auto &[name, it] : byName) {
    customers.push_back(std::move(it));
  }
  return true;
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
  out.setMaxHeaderBytes(it.Limits.MaxHeaderBytes);
  out.setMaxBodyBytes(it.Limits.MaxBodyBytes);
  out.setHeaderTimeoutUs(it.Limits.HeaderTimeout.count());
  out.setIdleTimeoutUs(it.Limits.IdleTimeout.count());
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
  out.Limits = {in.getMaxHeaderBytes(), in.getMaxBodyBytes(),
                Duration(in.getHeaderTimeoutUs()),
                Duration(in.getIdleTimeoutUs())};
  return out;
}

void write(wire::Upstream::Builder out, const store::ListedUpstream &it) {
  out.setId(it.Record.Id);
  out.setAddress(it.Record.Address);
  out.setService(it.Record.Service);
  out.setDomain(it.Record.Domain);
  out.setSlots(it.Record.Slots);
  out.setDraining(it.Record.Draining);
  out.setWarmupRemainingUs(it.Record.WarmupRemaining.count());
  out.setStartedMs(it.Record.StartedMs);
  out.setRevision(it.Revision.Number);
  out.setEra(it.Revision.Era);
  out.setLeaving(it.IsLeaving);
  out.setVersion(it.Record.Version);
}

store::ListedUpstream read(wire::Upstream::Reader in) {
  return {{textOf(in.getId()), textOf(in.getAddress()), textOf(in.getService()),
           textOf(in.getDomain()), in.getSlots(), in.getDraining(),
           Duration(in.getWarmupRemainingUs()), in.getStartedMs(),
           textOf(in.getVersion())},
          {in.getEra(), in.getRevision()},
          in.getLeaving()};
}

template <typename Builder, typename Item>
void writeListUpdate(Builder out, const ListUpdate<Item> &list) {
  out.setComplete(list.IsComplete);
  auto items = out.initItems(static_cast<unsigned>(list.Items.size()));
  for (unsigned n = 0; n < items.size(); ++n) {
    write(items[n], list.Items[n]);
  }
  auto removedIds =
      out.initRemovedIds(static_cast<unsigned>(list.RemovedIds.size()));
  for (unsigned n = 0; n < removedIds.size(); ++n) {
    removedIds.set(n, list.RemovedIds[n]);
  }
  out.setBuckets(kj::arrayPtr(list.Buckets.data(), list.Buckets.size()));
  out.setBucketCount(list.BucketCount);
}

template <typename Reader, typename Item>
void readListUpdate(Reader in, ListUpdate<Item> &list) {
  list.IsComplete = in.getComplete();
  for (const auto it : in.getItems()) {
    list.Items.push_back(read(it));
  }
  for (const auto it : in.getRemovedIds()) {
    list.RemovedIds.push_back(textOf(it));
  }
  for (const std::uint32_t it : in.getBuckets()) {
    list.Buckets.push_back(it);
  }
  list.BucketCount = in.getBucketCount();
}

void write(wire::UpstreamsUpdate::Builder out, const UpstreamsUpdate &it) {
  out.setStoreRevision(it.AsOf.Number);
  out.setStoreEra(it.AsOf.Era);
  writeListUpdate(out, it.List);
}

UpstreamsUpdate read(wire::UpstreamsUpdate::Reader in) {
  UpstreamsUpdate out;
  out.AsOf = {in.getStoreEra(), in.getStoreRevision()};
  readListUpdate(in, out.List);
  return out;
}

void write(wire::EvacuatedDomains::Builder out,
           const EvacuatedDomainsUpdate &it) {
  out.setStoreRevision(it.AsOf.Number);
  out.setStoreEra(it.AsOf.Era);
  auto domains =
      out.initDomains(static_cast<unsigned>(it.RevisionByName.size()));
  unsigned n = 0;
  for (const auto &[name, revision] : it.RevisionByName) {
    domains[n].setName(name);
    domains[n].setEra(revision.Era);
    domains[n++].setRevision(revision.Number);
  }
}

EvacuatedDomainsUpdate read(wire::EvacuatedDomains::Reader in) {
  EvacuatedDomainsUpdate out;
  out.AsOf = {in.getStoreEra(), in.getStoreRevision()};
  for (const auto it : in.getDomains()) {
    out.RevisionByName.emplace(textOf(it.getName()),
                               StoreRevision{it.getEra(), it.getRevision()});
  }
  return out;
}

void write(wire::MembersUpdate::Builder out, const MembersUpdate &it) {
  out.setFleetSize(static_cast<unsigned>(it.FleetSize));
  writeListUpdate(out, it.List);
}

MembersUpdate read(wire::MembersUpdate::Reader in) {
  MembersUpdate out;
  out.FleetSize = in.getFleetSize();
  readListUpdate(in, out.List);
  return out;
}

void write(wire::VersionCounts::Builder out, const rollout::VersionCounts &it) {
  out.setSent(it.Sent);
  out.setEnded(it.Ended);
  out.setFailed(it.Failed);
  out.setTimed(it.Timed);
  out.setSlow(it.Slow);
  out.setGood(it.Good);
  out.setGoodMicros(it.GoodMicros);
}

rollout::VersionCounts read(wire::VersionCounts::Reader in) {
  return {in.getSent(), in.getEnded(), in.getFailed(),    in.getTimed(),
          in.getSlow(), in.getGood(),  in.getGoodMicros()};
}

void write(wire::RolloutCounts::Builder out, const rollout::Report &it) {
  out.setService(it.Of.Service);
  out.setTarget(it.Of.Target);
  out.setCreated(it.Of.Created);
  out.setScope(static_cast<std::uint8_t>(it.Scope));
  out.setDomain(it.Domain);
  out.setBootId(it.BootId);
  out.setSequence(it.Sequence);
  out.setOpenOld(it.Seen.OpenOld);
  out.setShare(it.Seen.Share);
  auto routes = out.initRoutes(static_cast<unsigned>(it.Seen.Routes.size()));
  unsigned n = 0;
  for (const auto &[route, counts] : it.Seen.Routes) {
    routes[n].setRoute(route);
    write(routes[n].initOld(), counts.Old);
    write(routes[n++].initTarget(), counts.Target);
  }
}

rollout::Report read(wire::RolloutCounts::Reader in) {
  rollout::Report out;
  out.Of = {textOf(in.getService()), textOf(in.getTarget()), in.getCreated()};
  out.Scope = static_cast<rollout::ReportScope>(in.getScope());
  out.Domain = textOf(in.getDomain());
  out.BootId = in.getBootId();
  out.Sequence = in.getSequence();
  out.Seen.OpenOld = in.getOpenOld();
  out.Seen.Share = in.getShare();
  for (const auto it : in.getRoutes()) {
    out.Seen.Routes[textOf(it.getRoute())] = {read(it.getOld()),
                                              read(it.getTarget())};
  }
  return out;
}

void write(wire::Rollouts::Builder out, const RolloutsUpdate &it) {
  out.setStoreRevision(it.AsOf.Number);
  out.setStoreEra(it.AsOf.Era);
  auto items = out.initItems(static_cast<unsigned>(it.Orders.size()));
  unsigned n = 0;
  for (const auto &[name, order] : it.Orders) {
    auto item = items[n++];
    item.setName(name);
    item.setService(order.Service);
    item.setTarget(order.Target);
    item.setLimitUs(order.Limit.count());
    item.setCreated(order.Created);
    item.setRevision(order.Revision.Number);
    item.setEra(order.Revision.Era);
    item.setPhase(static_cast<std::uint8_t>(order.State));
    item.setShare(order.Share);
    item.setElapsedUs(order.Elapsed.count());
  }
}

RolloutsUpdate read(wire::Rollouts::Reader in) {
  RolloutsUpdate out;
  out.AsOf = {in.getStoreEra(), in.getStoreRevision()};
  for (const auto it : in.getItems()) {
    out.Orders[textOf(it.getName())] = {
        textOf(it.getService()),
        textOf(it.getTarget()),
        Duration(it.getLimitUs()),
        it.getCreated(),
        {it.getEra(), it.getRevision()},
        static_cast<rollout::Phase>(it.getPhase()),
        it.getShare(),
        Duration(it.getElapsedUs())};
  }
  return out;
}

std::string pack(capnp::MessageBuilder &message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

// Unpacks a message and returns what the function reads from it; none if the
// message is malformed, which makes Cap'n Proto throw.
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
  if (std::holds_alternative<Datagram::Ping>(datagram.Payload)) {
    root.setPing();
  } else if (std::holds_alternative<Datagram::Pong>(datagram.Payload)) {
    root.setPong();
  } else if (const auto *it =
                 std::get_if<balance::PeerSuspected>(&datagram.Payload)) {
    auto out = root.initSuspected();
    out.setFingerprint(it->Suspect.Fingerprint);
    out.setUpstream(it->Suspect.Upstream);
    out.setSentBeforeUs(it->Suspect.SentBefore.count());
  } else if (const auto *leaving =
                 std::get_if<LeavingUpstream>(&datagram.Payload)) {
    auto out = root.initLeaving();
    out.setId(leaving->Id);
    out.setStartedMs(leaving->StartedMs);
  } else if (const auto *credit =
                 std::get_if<quota::Message>(&datagram.Payload)) {
    writeCredit(root.initCredit(), *credit);
  } else if (const auto *report =
                 std::get_if<rollout::Report>(&datagram.Payload)) {
    write(root.initRolloutCounts(), *report);
  } else if (const auto *ask = std::get_if<AskAnswered>(&datagram.Payload)) {
    root.setAskAnswered(ask->ReplyTo);
  } else if (const auto *answered = std::get_if<Answered>(&datagram.Payload)) {
    auto spans =
        root.initAnswered(static_cast<unsigned>(answered->Spans.size()));
    for (unsigned n = 0; n < spans.size(); ++n) {
      spans[n].setFromUs(answered->Spans[n].From.count());
      spans[n].setToUs(answered->Spans[n].To.count());
    }
  } else {
    root.setQuarantined(
        std::get<balance::PeerQuarantined>(datagram.Payload).Fingerprint);
  }
  write(root.initSender(), datagram.Sender);
  auto members =
      root.initMembers(static_cast<unsigned>(datagram.Members.size()));
  for (unsigned n = 0; n < members.size(); ++n) {
    write(members[n], datagram.Members[n]);
  }
  const auto &[control, lists] = datagram.Channels;
  root.setSequence(control.Sequence);
  root.setListsSequence(lists.Sequence);
  root.setControlDeferred(control.IsDeferred);
  root.setListsDeferred(lists.IsDeferred);
  auto quarantines =
      root.initQuarantines(static_cast<unsigned>(datagram.Quarantines.size()));
  for (unsigned n = 0; n < quarantines.size(); ++n) {
    const balance::PeerQuarantined &it = datagram.Quarantines[n];
    quarantines[n].setFingerprint(it.Fingerprint);
    quarantines[n].setRemainingUs(it.Remaining.value_or(Duration{0}).count());
  }
  auto ended =
      root.initEndedLimits(static_cast<unsigned>(datagram.EndedLimits.size()));
  for (unsigned n = 0; n < ended.size(); ++n) {
    ended.set(n, datagram.EndedLimits[n]);
  }
  root.setClearedFingerprints(
      kj::arrayPtr(datagram.ClearedFingerprints.data(),
                   datagram.ClearedFingerprints.size()));
  return pack(message);
}

std::optional<Datagram> decodeDatagram(std::string_view bytes) {
  const auto datagram = unpack(bytes, [](capnp::MessageReader &message) {
    const auto root = message.getRoot<wire::Datagram>();
    Datagram out;
    if (root.isPing()) {
      out.Payload = Datagram::Ping{};
    } else if (root.isPong()) {
      out.Payload = Datagram::Pong{};
    } else if (root.isSuspected()) {
      const auto it = root.getSuspected();
      out.Payload =
          balance::PeerSuspected{{it.getFingerprint(), textOf(it.getUpstream()),
                                  Duration{it.getSentBeforeUs()}}};
    } else if (root.isLeaving()) {
      const auto it = root.getLeaving();
      out.Payload = LeavingUpstream{textOf(it.getId()), it.getStartedMs()};
    } else if (root.isCredit()) {
      out.Payload = readCredit(root.getCredit());
    } else if (root.isRolloutCounts()) {
      const auto it = root.getRolloutCounts();
      if (it.getScope() >
          static_cast<std::uint8_t>(rollout::ReportScope::Fleet)) {
        return std::optional<Datagram>{}; // Of a newer build.
      }
      out.Payload = read(it);
    } else if (root.isAskAnswered()) {
      out.Payload = AskAnswered{textOf(root.getAskAnswered())};
    } else if (root.isAnswered()) {
      Answered &answered = out.Payload.emplace<Answered>();
      for (const auto it : root.getAnswered()) {
        answered.Spans.push_back(
            {Duration{it.getFromUs()}, Duration{it.getToUs()}});
      }
    } else if (root.isQuarantined()) {
      out.Payload = balance::PeerQuarantined{root.getQuarantined()};
    } else {
      return std::optional<Datagram>{}; // Of a newer build.
    }
    out.Sender = read(root.getSender());
    for (const auto it : root.getMembers()) {
      out.Members.push_back(read(it));
    }
    out.Channels = {
        ChannelStatus{root.getSequence(), root.getControlDeferred()},
        ChannelStatus{root.getListsSequence(), root.getListsDeferred()}};
    for (const auto it : root.getQuarantines()) {
      out.Quarantines.push_back(
          {it.getFingerprint(), Duration{it.getRemainingUs()}});
    }
    for (const auto it : root.getEndedLimits()) {
      out.EndedLimits.push_back(textOf(it));
    }
    for (const std::uint64_t it : root.getClearedFingerprints()) {
      out.ClearedFingerprints.push_back(it);
    }
    return std::optional(std::move(out));
  });
  return datagram.value_or(std::nullopt);
}

std::string encodeConfiguration(const Configuration &config,
                                const Configuration *base) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::Configuration>();
  write(root, config);
  writeCustomers(root, config.Customers, base);
  return deflateBytes(pack(message));
}

std::shared_ptr<const Configuration>
decodeConfiguration(const std::string &bytes, const Configuration *known) {
  const auto packed = inflateBytes(bytes, MaxConfigurationBytes);
  if (!packed) {
    return nullptr;
  }
  auto config = unpack(*packed, [&](capnp::MessageReader &message) {
    const auto root = message.getRoot<wire::Configuration>();
    Configuration out = read(root);
    const bool isComplete = readCustomers(root, known, out.Customers);
    return isComplete ? std::optional(std::move(out)) : std::nullopt;
  });
  return config && *config
             ? std::make_shared<const Configuration>(std::move(**config))
             : nullptr;
}

std::string encodeUpdate(const StateUpdate &update) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::StateUpdate>();
  root.setBootId(update.BootId);
  root.setSequence(update.Sequence);
  if (update.Config) {
    root.setConfiguration(
        kj::arrayPtr(reinterpret_cast<const kj::byte *>(update.Config->data()),
                     update.Config->size()));
  }
  if (update.Upstreams) {
    write(root.initUpstreams(), *update.Upstreams);
  }
  if (update.EvacuatedDomains) {
    write(root.initEvacuatedDomains(), *update.EvacuatedDomains);
  }
  if (update.Members) {
    write(root.initMembers(), *update.Members);
  }
  if (update.Rollouts) {
    write(root.initRollouts(), *update.Rollouts);
  }
  const std::string packed = pack(message);
  return packed.size() <= MaxUncompressedBytes
             ? Plain + packed
             : Deflated + deflateBytes(packed);
}

std::optional<StateUpdate> decodeUpdate(std::string_view bytes) {
  const bool deflated = bytes.starts_with(Deflated);
  if (!deflated && !bytes.starts_with(Plain)) {
    return std::nullopt;
  }
  std::string_view packed = bytes.substr(1);
  std::optional<std::string> inflated;
  if (deflated) {
    inflated = inflateBytes(packed, MaxUpdateBytes);
    if (!inflated) {
      return std::nullopt;
    }
    packed = *inflated;
  }
  return unpack(packed, [](capnp::MessageReader &message) {
    const auto root = message.getRoot<wire::StateUpdate>();
    StateUpdate out;
    out.BootId = root.getBootId();
    out.Sequence = root.getSequence();
    if (root.hasConfiguration()) {
      const auto bytes = root.getConfiguration();
      out.Config = std::make_shared<const std::string>(
          reinterpret_cast<const char *>(bytes.begin()), bytes.size());
    }
    if (root.hasUpstreams()) {
      out.Upstreams = read(root.getUpstreams());
    }
    if (root.hasEvacuatedDomains()) {
      out.EvacuatedDomains = read(root.getEvacuatedDomains());
    }
    if (root.hasMembers()) {
      out.Members = read(root.getMembers());
    }
    if (root.hasRollouts()) {
      out.Rollouts = read(root.getRollouts());
    }
    return out;
  });
}

std::string encodeDigests(const ListDigests &digests) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::ListDigests>();
  root.setUpstreams(
      kj::arrayPtr(digests.Upstreams.data(), digests.Upstreams.size()));
  root.setMembers(kj::arrayPtr(digests.Members.data(), digests.Members.size()));
  return pack(message);
}

std::optional<ListDigests> decodeDigests(std::string_view bytes) {
  return unpack(bytes, [](capnp::MessageReader &message) {
    const auto root = message.getRoot<wire::ListDigests>();
    ListDigests out;
    for (const std::uint64_t it : root.getUpstreams()) {
      out.Upstreams.push_back(it);
    }
    for (const std::uint64_t it : root.getMembers()) {
      out.Members.push_back(it);
    }
    return out;
  });
}

} // namespace zinniarail::fleet
