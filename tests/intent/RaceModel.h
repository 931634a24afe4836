/// \file
/// Many operators who change one document in a platform that loses answers,
/// delays and drops requests, and instances that read it: stepped in memory,
/// in the order that a seed draws.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinniarail/core/Random.h"
#include "zinniarail/intent/Changes.h"
#include "zinniarail/intent/Format.h"
#include "zinniarail/intent/InForce.h"

namespace zinniarail::race {

using objects::Outcome;
using objects::Reply;

/// A deliberate fault of the model, to see that the checks find it.
enum class Breach {
  None,
  UnconditionalPut, ///< The platform writes whatever the base.
  LostIsAccepted,   ///< A lost answer is taken for accepted.
  LossForgotten,    ///< A lost answer is forgotten before the next one.
  BlindRebase,      ///< After a conflict the same bytes go onto the new base.
  OlderTaken,       ///< An instance takes an older version.
  ContentKept,      ///< An instance takes a version without its content.
  ReadsOnce,        ///< An instance reads no more after its first document.
};

constexpr unsigned Instances = 3;
constexpr unsigned ChangesEach = 5; // of an operator
constexpr unsigned MaxReads = 3;    // without an answer, to settle a write
constexpr unsigned MaxRounds = 100000;

/// A change as the platform took it; its version is its place.
struct Acceptance {
  std::string Id;
  std::uint64_t Base = 0; ///< What the operator had seen.
};

struct Request {
  unsigned Who = 0;
  unsigned Attempt = 0;
  std::uint64_t Base = 0;
  std::string Bytes;
};

struct Operator {
  std::string Id; ///< Of the change under way; empty: none.
  ChangeWrite Write;
  ChangeStep Step = ChangeStep::Put;
  bool Sent = false;
  unsigned Attempt = 0;
  std::optional<Reply> Answer; ///< Arrived, not looked at yet.
  unsigned Reads = 0;
  unsigned Changes = 0;
};

struct Reader {
  InForce State;
  std::vector<Reply> Answers; ///< On their way.
};

class Race {
public:
  Race(unsigned operators, std::uint64_t seed, Breach breach)
      : Flaw(breach), Draw(seed), Operators(operators), Readers(Instances) {
    Bytes = serialiseDocument({.ChangeId = "start"});
    History.push_back({"start", 0});
  }

  /// Runs until every operator is done and nothing is on its way.
  void run() {
    for (unsigned n = 0; n < MaxRounds && !isOver() && !Violation; ++n) {
      const std::uint32_t who = below(Operators.size() + Instances + 1);
      if (who < Operators.size()) {
        advance(who);
      } else if (who < Operators.size() + Instances) {
        advance(Readers[who - Operators.size()]);
      } else if (!OnTheWay.empty()) {
        arrive();
      }
    }
    require(isOver(), "stuck");
    checkEnd();
  }

  std::optional<std::string> Violation; ///< The first one found.
  std::map<ChangeStep, unsigned> Told;  ///< How changes ended.

private:
  std::uint64_t version() const { return History.size(); }
  Reply read() const {
    return {.How = Outcome::Done, .Version = version(), .Bytes = Bytes};
  }
  std::uint32_t below(std::size_t bound) {
    return drawBelow(Draw, static_cast<std::uint32_t>(bound));
  }
  bool oneIn(std::uint32_t n) { return below(n) == 0; }
  void require(bool holds, const std::string &promise) {
    if (!holds && !Violation) {
      Violation = promise;
    }
  }
  bool isOver() const {
    return OnTheWay.empty() &&
           std::all_of(Operators.begin(), Operators.end(), [](const auto &it) {
             return it.Id.empty() && it.Changes == ChangesEach;
           });
  }

  // A request reaches the platform, or is lost on the way.
  void arrive() {
    const auto it = OnTheWay.begin() + below(OnTheWay.size());
    const Request request = std::move(*it);
    OnTheWay.erase(it);
    if (oneIn(10)) {
      return;
    }
    const Reply reply = put(request);
    Operator &from = Operators[request.Who];
    const bool awaited = from.Sent && from.Attempt == request.Attempt;
    if (awaited && !oneIn(4)) {
      from.Answer = reply;
    }
  }

  Reply put(const Request &request) {
    if (request.Base != version() && Flaw != Breach::UnconditionalPut) {
      return {.How = Outcome::Conflict, .Version = version()};
    }
    const std::string id = parseDocument(request.Bytes).value().ChangeId;
    require(request.Base == version(), "overwrote what it had not seen");
    for (const Acceptance &earlier : History) {
      require(earlier.Id != id, "written twice");
    }
    History.push_back({id, request.Base});
    Bytes = request.Bytes;
    return {.How = Outcome::Done, .Version = version()};
  }

  // Each change adds a domain of its own to what its operator saw.
  void begin(unsigned who) {
    Operator &it = Operators[who];
    it = {.Attempt = it.Attempt, .Changes = it.Changes + 1};
    it.Id = "c-" + std::to_string(who) + "-" + std::to_string(it.Changes);
    Document document = parseDocument(Bytes).value();
    document.ChangeId = it.Id;
    document.Domains.push_back({it.Id, "", true});
    it.Write = {.Base = version(), .Bytes = serialiseDocument(document)};
  }

  void advance(unsigned who) {
    Operator &it = Operators[who];
    if (it.Id.empty()) {
      if (it.Changes < ChangesEach) {
        begin(who);
      }
      return;
    }
    if (it.Step == ChangeStep::Put) {
      advancePut(who);
    } else if (it.Step == ChangeStep::Read) {
      advanceRead(it);
    }
    if (it.Step != ChangeStep::Put && it.Step != ChangeStep::Read) {
      end(it);
    }
  }

  void advancePut(unsigned who) {
    Operator &it = Operators[who];
    if (!it.Sent && oneIn(8)) { // no connection
      it.Step = afterPut(it.Write, {.How = Outcome::Unreachable});
      return;
    }
    if (!it.Sent) {
      it.Sent = true;
      OnTheWay.push_back({who, ++it.Attempt, it.Write.Base, it.Write.Bytes});
      return;
    }
    if (!it.Answer && !oneIn(4)) {
      return; // it waits on
    }
    const Reply reply = it.Answer.value_or(Reply{.How = Outcome::Unknown});
    it.Sent = false;
    it.Answer.reset();
    it.Step = afterPut(it.Write, reply);
    if (Flaw == Breach::LostIsAccepted && reply.How == Outcome::Unknown) {
      it.Step = ChangeStep::Accepted;
      it.Write.Version = it.Write.Base + 1;
    }
    if (Flaw == Breach::LossForgotten) {
      it.Write.AnswerLost = false;
    }
    if (Flaw == Breach::BlindRebase && reply.How == Outcome::Conflict) {
      it.Step = ChangeStep::Put;
      it.Write.Base = reply.Version;
    }
  }

  // What is read may be old by the time that it is looked at.
  void advanceRead(Operator &it) {
    if (!it.Answer) {
      it.Answer = oneIn(4) ? Reply{} : read();
      return;
    }
    const Reply reply = *it.Answer;
    it.Answer.reset();
    const bool again = reply.How == Outcome::Unreachable &&
                       it.Write.AnswerLost && ++it.Reads < MaxReads;
    if (!again) {
      it.Step = afterRead(it.Write, reply);
    }
  }

  void end(Operator &it) {
    ++Told[it.Step];
    if (it.Step == ChangeStep::Accepted) {
      require(Winners.insert(it.Write.Version).second, "two winners");
      require(it.Write.Version <= version() &&
                  History[it.Write.Version - 1].Id == it.Id,
              "told accepted, not written");
    } else if (it.Step != ChangeStep::Unknown) {
      NotWritten.insert(it.Id);
    }
    it.Id.clear();
  }

  // Answers may overtake each other.
  void advance(Reader &it) {
    const bool reads = Flaw != Breach::ReadsOnce || it.State.Version == 0;
    if (reads && (it.Answers.empty() || oneIn(3))) {
      it.Answers.push_back(read());
      return;
    }
    if (it.Answers.empty()) {
      return;
    }
    const auto answer = it.Answers.begin() + below(it.Answers.size());
    offer(it, *answer);
    it.Answers.erase(answer);
  }

  void offer(Reader &it, const Reply &reply) {
    const std::uint64_t before = it.State.Version;
    if (Flaw == Breach::OlderTaken) {
      it.State.Version = 0;
    }
    if (Flaw == Breach::ContentKept && before != 0) {
      it.State.Version = std::max(before, reply.Version);
    } else {
      offerFromPlatform(it.State, reply.Version, reply.Bytes, Instant{});
    }
    require(it.State.Version >= before, "a version went back");
    require(it.State.Intent->ChangeId == History[it.State.Version - 1].Id,
            "another content under an accepted version");
  }

  void checkEnd() {
    std::set<std::string> all;
    for (const Acceptance &it : History) {
      require(!NotWritten.contains(it.Id), "told not written, written");
      all.insert(it.Id);
    }
    all.erase("start");
    for (Reader &it : Readers) {
      if (Flaw != Breach::ReadsOnce || it.State.Version == 0) {
        offer(it, read());
      }
      require(it.State.Version == version(), "not in force everywhere");
      std::set<std::string> inForce;
      for (const DomainSpec &domain : it.State.Intent->Domains) {
        inForce.insert(domain.Name);
      }
      require(inForce == all, "an accepted change was silently lost");
    }
  }

  Breach Flaw;
  Random Draw;
  std::string Bytes;
  std::vector<Acceptance> History; ///< Version N stands at N - 1.
  std::vector<Operator> Operators;
  std::vector<Reader> Readers;
  std::vector<Request> OnTheWay;
  std::set<std::uint64_t> Winners;
  std::set<std::string> NotWritten;
};

} // namespace zinniarail::race
