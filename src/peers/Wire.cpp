#include "Wire.h"

#include <limits>

namespace zinniarail::peers {

namespace {

constexpr std::uint64_t NoProof = std::numeric_limits<std::uint64_t>::max();

std::string textOf(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

Duration durationOf(std::uint64_t microseconds) {
  constexpr auto longest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  return microseconds >= longest
             ? Duration::max()
             : Duration{static_cast<std::int64_t>(microseconds)};
}

std::uint64_t microsecondsOf(Duration duration) {
  return duration == Duration::max()
             ? NoProof
             : static_cast<std::uint64_t>(
                   std::max<std::int64_t>(0, duration.count()));
}

// Names the first field that is empty or too long.
std::optional<std::string> findBadText(wire::Greeting::Reader in) {
  const auto bad = [](capnp::Text::Reader text) {
    return text.size() == 0 || text.size() > TextLimit;
  };
  if (bad(in.getEnvironment())) {
    return "environment";
  }
  if (bad(in.getInstance())) {
    return "instance";
  }
  if (bad(in.getDomain())) {
    return "domain";
  }
  if (bad(in.getCallerAddress())) {
    return "callerAddress";
  }
  if (bad(in.getPeerAddress())) {
    return "peerAddress";
  }
  if (bad(in.getOperatorAddress())) {
    return "operatorAddress";
  }
  return std::nullopt;
}

} // namespace

void write(const Greeting &greeting, wire::Greeting::Builder out) {
  out.setEnvironment(greeting.Environment);
  out.setInstance(greeting.Who.Id);
  out.setIncarnation(greeting.Incarnation);
  out.setDomain(greeting.Who.Domain);
  out.setCallerAddress(greeting.Who.CallerAddress);
  out.setPeerAddress(greeting.Who.PeerAddress);
  out.setOperatorAddress(greeting.Who.OperatorAddress);
  out.setLeaving(greeting.Who.Leaving);
  out.setVersion(greeting.Version);
  out.setConfirmedAgeUs(microsecondsOf(greeting.ConfirmedAge));
  out.setGeneration(greeting.Generation);
}

std::optional<std::string> read(wire::Greeting::Reader in, Greeting &out) {
  if (const auto field = findBadText(in)) {
    return *field + " is empty or longer than 256 bytes";
  }
  if (in.getIncarnation() == 0) {
    return "incarnation is 0";
  }
  out.Environment = textOf(in.getEnvironment());
  out.Who = {.Id = textOf(in.getInstance()),
             .Domain = textOf(in.getDomain()),
             .CallerAddress = textOf(in.getCallerAddress()),
             .PeerAddress = textOf(in.getPeerAddress()),
             .OperatorAddress = textOf(in.getOperatorAddress()),
             .Leaving = in.getLeaving()};
  out.Incarnation = in.getIncarnation();
  out.Version = in.getVersion();
  out.ConfirmedAge = durationOf(in.getConfirmedAgeUs());
  out.Generation = in.getGeneration();
  return std::nullopt;
}

void write(const Pulse &pulse, wire::Pulse::Builder out) {
  out.setVersion(pulse.Version);
  out.setConfirmedAgeUs(microsecondsOf(pulse.ConfirmedAge));
  out.setGeneration(pulse.Generation);
  out.setLeaving(pulse.Leaving);
}

Pulse read(wire::Pulse::Reader in) {
  return {in.getVersion(), durationOf(in.getConfirmedAgeUs()),
          in.getGeneration(), in.getLeaving()};
}

void write(const ClaimRecord &record, wire::Claim::Builder out) {
  out.setService(record.Service);
  out.getKey().setHigh(record.Key.High);
  out.getKey().setLow(record.Key.Low);
  out.getToken().setIncarnation(record.Token.Incarnation);
  out.getToken().setSequence(record.Token.Sequence);
  out.setKeepUs(microsecondsOf(record.Keep));
}

std::optional<ClaimRecord> read(wire::Claim::Reader in) {
  if (in.getService().size() == 0 || in.getService().size() > TextLimit) {
    return std::nullopt;
  }
  return ClaimRecord{
      textOf(in.getService()),
      {in.getKey().getHigh(), in.getKey().getLow()},
      {in.getToken().getIncarnation(), in.getToken().getSequence()},
      durationOf(in.getKeepUs())};
}

void write(const ClaimPage &page, wire::ClaimPage::Builder out) {
  out.setAgreed(page.Agreed);
  out.setLast(page.Last);
  auto claims = out.initClaims(static_cast<unsigned>(page.Claims.size()));
  for (unsigned it = 0; it < claims.size(); ++it) {
    write(page.Claims[it], claims[it]);
  }
  auto ready = out.initReady(static_cast<unsigned>(page.LastReady.size()));
  unsigned next = 0;
  for (const auto &[service, generation] : page.LastReady) {
    ready[next].setService(service);
    ready[next].setGeneration(generation);
    ++next;
  }
}

bool read(wire::ClaimPage::Reader in, PageArrived &out) {
  out.Agreed = in.getAgreed();
  out.Last = in.getLast();
  out.Incarnation = in.getIncarnation();
  for (const wire::Claim::Reader it : in.getClaims()) {
    auto claim = read(it);
    if (!claim) {
      return false;
    }
    out.Claims.push_back(std::move(*claim));
  }
  for (const wire::Readiness::Reader it : in.getReady()) {
    if (it.getService().size() > TextLimit) {
      return false;
    }
    out.LastReady[textOf(it.getService())] = it.getGeneration();
  }
  return out.Last || !out.Claims.empty() || !out.Agreed;
}

wire::RecordReply toWire(RecordReply reply) {
  switch (reply) {
  case RecordReply::Recorded:
    return wire::RecordReply::RECORDED;
  case RecordReply::Taken:
    return wire::RecordReply::TAKEN;
  case RecordReply::OtherGeneration:
    return wire::RecordReply::OTHER_GENERATION;
  case RecordReply::Full:
    return wire::RecordReply::FULL;
  case RecordReply::NotReady:
  case RecordReply::Unreached:
    break;
  }
  return wire::RecordReply::NOT_READY;
}

RecordReply fromWire(wire::RecordReply reply) {
  switch (reply) {
  case wire::RecordReply::RECORDED:
    return RecordReply::Recorded;
  case wire::RecordReply::TAKEN:
    return RecordReply::Taken;
  case wire::RecordReply::OTHER_GENERATION:
    return RecordReply::OtherGeneration;
  case wire::RecordReply::FULL:
    return RecordReply::Full;
  case wire::RecordReply::NOT_READY:
    break;
  }
  // A reply of a later release also lands here: it vouches for nothing.
  return RecordReply::NotReady;
}

void write(const PeerWord &word, wire::Word::Builder out) {
  out.setKind(static_cast<std::uint8_t>(word.What));
  out.setUpstream(word.Upstream);
  out.setIncarnation(word.Incarnation);
  out.setFingerprint(word.Fingerprint);
  out.setHomesDigest(word.HomesDigest);
}

std::optional<PeerWord> read(wire::Word::Reader in) {
  if (in.getKind() > static_cast<std::uint8_t>(PeerWord::Kind::Held) ||
      in.getUpstream().size() > TextLimit) {
    return std::nullopt;
  }
  return PeerWord{static_cast<PeerWord::Kind>(in.getKind()),
                  textOf(in.getUpstream()), in.getIncarnation(),
                  in.getFingerprint(), in.getHomesDigest()};
}

} // namespace zinniarail::peers
