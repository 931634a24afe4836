#include <algorithm>
#include <optional>

#include <boost/json.hpp>

#include "Change.h"

namespace zinniarail::ctl {

namespace {

namespace json = boost::json;
using objects::Outcome;

constexpr int Ok = 200;
constexpr int SuccessEnd = 300;
constexpr Duration StatusInterval = std::chrono::milliseconds{100};

bool succeeded(const HttpReply &reply) {
  return reply.How == HttpReply::Ending::Answered && reply.Status >= Ok &&
         reply.Status < SuccessEnd;
}

// Where an instance's operators connect: as the flag says, or as the platform
// lists it.
Result<std::string, Report> findOperatorAddress(Session &session,
                                                const Options &options,
                                                const std::string &id) {
  if (!options.OperatorAddress.empty()) {
    return options.OperatorAddress;
  }
  const objects::InstanceListing listing = session.listInstances();
  if (listing.How != Outcome::Done) {
    return fail(ExitCode::Unreachable,
                "the platform gave no instance list; use --operator-address");
  }
  const auto it =
      std::find_if(listing.Instances.begin(), listing.Instances.end(),
                   [&](const Instance &instance) { return instance.Id == id; });
  if (it == listing.Instances.end()) {
    return fail(ExitCode::Failed, "no instance is named " + id);
  }
  return it->OperatorAddress;
}

// Calls one instance's operator port.
Report callInstance(const Options &options, const char *method,
                    const std::string &path) {
  const bool traces = options.Words.at(0) == "trace";
  if (options.Words.size() != (traces ? 3 : 2)) {
    return fail(ExitCode::Usage, "usage: zinniactl " + options.Words.at(0) +
                                     " INSTANCE" + (traces ? " SERVICE" : ""));
  }
  Session session(options.PlatformAddress, options.Timeout);
  const auto address = findOperatorAddress(session, options, options.Words[1]);
  if (!address.has_value()) {
    return address.error();
  }
  const HttpReply reply = session.call(method, address.value(), path);
  if (reply.How != HttpReply::Ending::Answered) {
    return fail(ExitCode::Unreachable, options.Words[1] + " at " +
                                           address.value() + " doesn't answer");
  }
  if (!succeeded(reply)) {
    return fail(ExitCode::Failed,
                options.Words[1] + " answered " + std::to_string(reply.Status));
  }
  Report report;
  report.Lines = {reply.Body};
  report.Data = {{"result", "done"}, {"instance", options.Words[1]}};
  json::error_code ec;
  json::value body = json::parse(reply.Body, ec);
  if (!ec) {
    report.Data["answer"] = std::move(body);
  }
  return report;
}

// One instance's word on what is in force there.
struct Word {
  std::string Id;
  bool Reached = false;
  std::uint64_t Version = 0;
  std::int64_t ValidForMs = 0;
};

std::int64_t numberAt(const json::value &value, const char *key) {
  const json::object *object = value.if_object();
  const json::value *it =
      object != nullptr ? object->if_contains(key) : nullptr;
  return it != nullptr && it->is_int64() ? it->get_int64() : 0;
}

Word readWord(const std::string &id, const HttpReply &reply) {
  Word word{.Id = id, .Reached = succeeded(reply)};
  json::error_code ec;
  const json::value body = json::parse(reply.Body, ec);
  if (!word.Reached || ec) {
    return word;
  }
  word.Version = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, numberAt(body, "version")));
  word.ValidForMs = numberAt(body, "validForMs");
  return word;
}

struct Survey {
  Stored Accepted;
  Outcome ListOutcome = Outcome::Unreachable;
  std::vector<Word> Words;
};

Survey survey(Session &session, const std::string &environment) {
  Survey it;
  it.Accepted = readStored(session, environment);
  const objects::InstanceListing listing = session.listInstances();
  it.ListOutcome = listing.How;
  std::vector<std::string> addresses;
  for (const Instance &instance : listing.Instances) {
    addresses.push_back(instance.OperatorAddress);
  }
  const auto replies = session.callAll("GET", addresses, "/version-in-force");
  for (std::size_t n = 0; n < replies.size(); ++n) {
    it.Words.push_back(readWord(listing.Instances[n].Id, replies[n]));
  }
  return it;
}

bool isInForce(const Survey &it, const Word &word) {
  return word.Reached && word.ValidForMs > 0 &&
         word.Version >= it.Accepted.Version;
}

bool isInForceEverywhere(const Survey &it) {
  return it.Accepted.How == Outcome::Done && it.ListOutcome == Outcome::Done &&
         !it.Words.empty() &&
         std::all_of(it.Words.begin(), it.Words.end(),
                     [&](const Word &word) { return isInForce(it, word); });
}

std::string describe(const Survey &it, const Word &word) {
  if (!word.Reached) {
    return "doesn't answer";
  }
  if (word.ValidForMs <= 0) {
    return "version " + std::to_string(word.Version) + ", not proved current";
  }
  return (isInForce(it, word) ? "in force, version " : "not yet, version ") +
         std::to_string(word.Version);
}

Report reportSurvey(const Options &options, const Survey &it) {
  const bool everywhere = isInForceEverywhere(it);
  Report report{.Code = everywhere ? ExitCode::Done : ExitCode::NotInForce};
  const bool known = it.Accepted.How == Outcome::Done;
  report.Lines = {options.Environment + ": accepted version " +
                  (known ? std::to_string(it.Accepted.Version)
                         : std::string("unknown (") +
                               objects::nameOf(it.Accepted.How) + ")")};
  json::array instances;
  for (const Word &word : it.Words) {
    report.Lines.push_back("  " + word.Id + ": " + describe(it, word));
    instances.push_back({{"instance", word.Id},
                         {"reached", word.Reached},
                         {"version", word.Version},
                         {"validForMs", word.ValidForMs},
                         {"inForce", known && isInForce(it, word)}});
  }
  report.Lines.emplace_back(everywhere ? "in force everywhere"
                                       : "not known to be in force everywhere");
  report.Data = {{"result", everywhere ? "in-force" : "not-in-force"},
                 {"environment", options.Environment},
                 {"acceptedVersion", it.Accepted.Version},
                 {"platform", objects::nameOf(it.Accepted.How)},
                 {"instances", std::move(instances)}};
  return report;
}

} // namespace

Report drain(const Options &options) {
  return callInstance(options, "POST", "/drain");
}

Report dump(const Options &options) {
  return callInstance(options, "GET", "/dump");
}

Report trace(const Options &options) {
  const bool named = options.Words.size() == 3 && isName(options.Words[2]);
  Report report = callInstance(options, "GET",
                               "/trace?service=" +
                                   (named ? options.Words[2] : std::string()));
  if (report.Code == ExitCode::Done) {
    std::string &text = report.Lines.front();
    report.Data["answer"] = text;
    text.erase(text.find_last_not_of('\n') + 1); // main ends the last line
  }
  return report;
}

Report status(const Options &options) {
  Session session(options.PlatformAddress, options.Timeout);
  const Instant until = readClock() + options.Wait;
  Survey it = survey(session, options.Environment);
  while (!isInForceEverywhere(it) && readClock() < until) {
    session.sleep(StatusInterval);
    it = survey(session, options.Environment);
  }
  return reportSurvey(options, it);
}

} // namespace zinniarail::ctl
