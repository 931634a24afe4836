#include "fleet/CreditCodec.h"

namespace zinniarail::fleet {

namespace {

namespace wire = zinniarail::wire::fleet;

// Far more than any customer's requests in the time that credit lasts.
constexpr double MaxCredit = 1e9;

std::string textOf(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

std::int64_t microsOf(Instant time) { return time.time_since_epoch().count(); }

Instant instantOf(std::int64_t us) { return Instant{Duration{us}}; }

double sensible(double credit) {
  return credit >= 0 && credit <= MaxCredit ? credit : 0;
}

void write(capnp::List<wire::CreditAmount>::Builder out,
           const std::vector<quota::Amount> &all) {
  for (unsigned n = 0; n < out.size(); ++n) {
    out[n].setCustomer(all[n].Customer);
    out[n].setCredit(all[n].Credit);
  }
}

std::vector<quota::Amount> read(capnp::List<wire::CreditAmount>::Reader in) {
  std::vector<quota::Amount> out;
  out.reserve(in.size());
  for (const auto it : in) {
    out.push_back({textOf(it.getCustomer()), sensible(it.getCredit())});
  }
  return out;
}

unsigned countOf(const auto &list) {
  return static_cast<unsigned>(list.size());
}

void write(wire::CreditAsk::Builder out, const quota::Ask &it) {
  out.setSequence(it.Sequence);
  out.setBootId(it.BootId);
  out.setLends(it.LentFrom != Instant::min());
  out.setLentFromUs(out.getLends() ? microsOf(it.LentFrom) : 0);
  out.setFlowsAfterUs(it.FlowsAfter.count());
  out.setBringsStartCredit(it.BringsStartCredit);
  out.setStartsFull(it.StartsFull);
  write(out.initWanted(countOf(it.Wanted)), it.Wanted);
}

quota::Ask read(wire::CreditAsk::Reader in) {
  return {in.getSequence(),
          in.getBootId(),
          in.getLends() ? instantOf(in.getLentFromUs()) : Instant::min(),
          Duration{in.getFlowsAfterUs()},
          in.getBringsStartCredit(),
          in.getStartsFull(),
          read(in.getWanted())};
}

void write(wire::CreditAnswer::Builder out, const quota::Answer &it) {
  out.setSequence(it.Sequence);
  out.setSentAtUs(microsOf(it.SentAt));
  out.setRetryAfterUs(it.RetryAfter.count());
  write(out.initGranted(countOf(it.Granted)), it.Granted);
}

quota::Answer read(wire::CreditAnswer::Reader in) {
  return {in.getSequence(), instantOf(in.getSentAtUs()), read(in.getGranted()),
          Duration{in.getRetryAfterUs()}};
}

void write(wire::CreditReport::Builder out, const quota::Report &it) {
  out.setLender(it.Lender);
  out.setDomain(it.Domain);
  out.setSentAtUs(microsOf(it.SentAt));
  out.setFleetSize(it.FleetSize);
  auto wants = out.initWants(countOf(it.Customers));
  for (unsigned n = 0; n < wants.size(); ++n) {
    wants[n].setCustomer(it.Customers[n].Customer);
    wants[n].setCredit(it.Customers[n].Wanted);
    wants[n].setIsWaiting(it.Customers[n].IsWaiting);
  }
}

quota::Report read(wire::CreditReport::Reader in) {
  quota::Report out{textOf(in.getLender()),
                    textOf(in.getDomain()),
                    instantOf(in.getSentAtUs()),
                    in.getFleetSize(),
                    {}};
  for (const auto it : in.getWants()) {
    out.Customers.push_back({textOf(it.getCustomer()), sensible(it.getCredit()),
                             it.getIsWaiting()});
  }
  return out;
}

void write(wire::CreditTransfer::Builder out, const quota::Transfer &it) {
  out.setReportedAtUs(microsOf(it.ReportedAt));
  out.setSequence(it.Sequence);
  write(out.initGiven(countOf(it.Given)), it.Given);
}

quota::Transfer read(wire::CreditTransfer::Reader in) {
  return {instantOf(in.getReportedAtUs()), in.getSequence(),
          read(in.getGiven())};
}

} // namespace

void writeCredit(wire::Credit::Builder out, const quota::Message &it) {
  if (const auto *ask = std::get_if<quota::Ask>(&it)) {
    write(out.initAsk(), *ask);
  } else if (const auto *answer = std::get_if<quota::Answer>(&it)) {
    write(out.initAnswer(), *answer);
  } else if (const auto *report = std::get_if<quota::Report>(&it)) {
    write(out.initReport(), *report);
  } else {
    write(out.initTransfer(), std::get<quota::Transfer>(it));
  }
}

quota::Message readCredit(wire::Credit::Reader in) {
  if (in.isAsk()) {
    return read(in.getAsk());
  }
  if (in.isAnswer()) {
    return read(in.getAnswer());
  }
  if (in.isReport()) {
    return read(in.getReport());
  }
  return read(in.getTransfer());
}

} // namespace zinniarail::fleet
