#include <future>
#include <iostream>
#include <sstream>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Standin.h"
#include "zinniarail/control/ControlTask.h"
#include "zinniarail/events/Events.h"
#include "zinniarail/intent/Parts.h"

using namespace zinniarail;
using namespace zinniarail::testing;
using namespace std::chrono_literals;

namespace {

std::string documentOf(const std::string &changeId) {
  return serialiseDocument(
      {.ChangeId = changeId, .Domains = {{"a", "", true}, {"b", "", true}}});
}

// Keeps what a control task posts.
struct Recorder {
  std::mutex Mutex;
  std::shared_ptr<const View> Latest;
  bool WentBack = false;
  std::vector<peers::Message> Words;

  control::Outboxes outboxes() {
    return {[this](gateway::Message message) {
              const std::lock_guard lock(Mutex);
              if (auto *it = std::get_if<gateway::ViewChanged>(&message)) {
                WentBack = WentBack ||
                           (Latest && it->Current->Version < Latest->Version);
                Latest = it->Current;
              }
            },
            [this](peers::Message message) {
              const std::lock_guard lock(Mutex);
              if (!std::holds_alternative<peers::ViewChanged>(message)) {
                Words.push_back(std::move(message));
              }
            }};
  }
  std::shared_ptr<const View> view() {
    const std::lock_guard lock(Mutex);
    return Latest;
  }
  bool isValid() {
    const auto it = view();
    return it && it->ValidUntil > readClock();
  }
  bool hasChange(const std::string &changeId) {
    const auto it = view();
    return it && it->Intent->ChangeId == changeId;
  }
  template <typename Word> std::optional<Word> find() {
    const std::lock_guard lock(Mutex);
    for (peers::Message &it : Words) {
      if (auto *word = std::get_if<Word>(&it)) {
        return *word;
      }
    }
    return std::nullopt;
  }
};

// A platform and one instance's control task.
struct Fixture {
  explicit Fixture(const std::string &rest)
      : Platform(standins::loopbackAddress(rest)),
        Task(settings(), Seen.outboxes()) {
    Task.start();
  }

  Settings settings() const {
    Settings it;
    it.InstanceId = "i1";
    it.FailureDomain = "a";
    it.Environment = "trial";
    it.PlatformAddress = Platform.Address;
    it.Seed = 1;
    return it;
  }
  void awaitChange(const std::string &changeId) {
    BOOST_REQUIRE(waitFor([&] { return Seen.hasChange(changeId); }));
    BOOST_REQUIRE(waitFor([&] { return Seen.isValid(); }));
  }
  // A peer in another domain answers now with the version in force here.
  void hearPeer() {
    const auto view = Seen.view();
    Task.inbox().post(control::PeerSeen{{.Id = "i2", .Domain = "b"},
                                        view ? view->Version : 0,
                                        Duration::max(),
                                        readClock()});
  }
  boost::json::object dump() {
    auto answer = std::make_shared<std::promise<boost::json::object>>();
    auto future = answer->get_future();
    Task.inbox().post(control::DumpWanted{[answer](boost::json::object it) {
      answer->set_value(std::move(it));
    }});
    return future.get();
  }

  PlatformStandin Platform;
  Recorder Seen;
  control::ControlTask Task;
};

const std::vector<std::string> Outages{"503", "close", "hang"};

void goThroughOutage(const std::string &outage) {
  Fixture it("50.1:7000");
  it.Platform.putDocument(documentOf("c1"));
  it.awaitChange("c1");
  it.Platform.setFaults(R"({"outage":")" + outage + R"("})");
  BOOST_TEST(waitFor([&] { return !it.Seen.isValid(); }));
  BOOST_TEST(waitFor([&] {
    it.hearPeer();
    return it.Seen.isValid();
  }));
  BOOST_TEST(waitFor([&] { return !it.Seen.isValid(); }));
  it.Platform.setFaults(R"({"outage":"none"})");
  it.Platform.putDocument(documentOf("c2"));
  it.awaitChange("c2");
  BOOST_TEST(!it.Seen.WentBack);
}

} // namespace

BOOST_DATA_TEST_CASE(anOutageEndsTheViewUnlessPeersAnswer, Outages, outage) {
  goThroughOutage(outage);
}

namespace {

// Takes what is written to the log; read it when nobody writes any more.
struct LogCapture {
  LogCapture() : Before(std::cerr.rdbuf(Lines.rdbuf())) { openLog("info"); }
  ~LogCapture() { std::cerr.rdbuf(Before); }
  LogCapture(const LogCapture &) = delete;
  LogCapture &operator=(const LogCapture &) = delete;

  std::vector<EventId> events() const {
    std::vector<EventId> out;
    std::istringstream lines(Lines.str());
    std::string time;
    std::string level;
    unsigned number = 0;
    for (std::string rest; lines >> time >> level >> number;) {
      std::getline(lines, rest);
      out.push_back(static_cast<EventId>(number));
    }
    return out;
  }

  std::ostringstream Lines;
  std::streambuf *Before;
};

} // namespace

BOOST_AUTO_TEST_CASE(theLogTellsEachChangeOnce) {
  LogCapture log;
  Fixture it("50.9:7000");
  it.Platform.putDocument(documentOf("c1"));
  it.awaitChange("c1");
  it.Platform.putDocument(serialiseDocument(
      {.ChangeId = "c2", .Domains = {{"a", "", true}, {"b", "", false}}}));
  it.awaitChange("c2");
  it.Platform.setFaults(R"({"outage":"503"})");
  BOOST_TEST(waitFor([&] { return !it.Seen.isValid(); }));
  it.Platform.setFaults(R"({"outage":"none"})");
  BOOST_TEST(waitFor([&] { return it.Seen.isValid(); }));
  it.Platform.putDocument("{\"services\":7}");
  BOOST_TEST(waitFor(
      [&] { return it.dump().at("refusedVersion").to_number<int>() == 3; }));
  it.Platform.putDocument(documentOf("c4"));
  it.awaitChange("c4");
  it.Task.stop();
  const std::vector<EventId> expected{
      EventId::ReadingBegan,    EventId::DocumentInForce,
      EventId::DocumentInForce, EventId::DomainOut,
      EventId::PlatformLost,    EventId::PlatformBack,
      EventId::DocumentRefused, EventId::DocumentInForce,
      EventId::DomainIn};
  BOOST_TEST((log.events() == expected), log.Lines.str());
}

BOOST_AUTO_TEST_CASE(aSlowPlatformKeepsTheViewValid) {
  Fixture it("50.2:7000");
  it.Platform.setFaults(R"({"delayMs":400})");
  it.Platform.putDocument(documentOf("c1"));
  it.awaitChange("c1");
  it.Platform.putDocument(documentOf("c2"));
  it.awaitChange("c2");
}

BOOST_AUTO_TEST_CASE(aMalformedDocumentIsNotPutIntoForce) {
  Fixture it("50.3:7000");
  it.Platform.putDocument(documentOf("c1"));
  it.awaitChange("c1");
  it.Platform.putDocument("{\"services\":7}");
  BOOST_TEST(waitFor(
      [&] { return it.dump().at("refusedVersion").to_number<int>() == 2; }));
  BOOST_TEST(it.Seen.hasChange("c1"));
  it.Platform.putDocument(documentOf("c3"));
  it.awaitChange("c3");
}

BOOST_AUTO_TEST_CASE(aDocumentComesFromAPeerInAnOutage) {
  Fixture it("50.4:7000");
  it.Platform.setFaults(R"({"outage":"503"})");
  it.Task.inbox().post(control::PeerSeen{
      {.Id = "i2", .Domain = "b"}, 7, Duration::max(), readClock()});
  BOOST_REQUIRE(waitFor(
      [&] { return it.Seen.find<peers::FetchDocument>().has_value(); }));
  BOOST_TEST(it.Seen.find<peers::FetchDocument>()->Version == 7u);
  it.Task.inbox().post(control::DocumentFetched{"i2", 7, documentOf("c7")});
  BOOST_TEST(waitFor([&] { return it.Seen.hasChange("c7"); }));
  BOOST_TEST(waitFor([&] {
    it.hearPeer();
    return it.Seen.isValid();
  }));
}

BOOST_AUTO_TEST_CASE(theInstanceListBecomesTheView) {
  Fixture it("50.5:7000");
  it.Platform.putDocument(documentOf("c1"));
  it.Platform.call("POST", "/control/instances",
                   R"([{"id":"i2","domain":"b","callerAddress":"",
    "peerAddress":"","operatorAddress":"","state":"leaving"}])");
  BOOST_TEST(waitFor([&] {
    const auto view = it.Seen.view();
    return view && view->Instances.size() == 2 && view->Instances[1].Leaving;
  }));
  it.Task.inbox().post(control::StopBegun{});
  BOOST_TEST(waitFor([&] { return it.Seen.view()->Instances[0].Leaving; }));
}

BOOST_AUTO_TEST_CASE(aSplitDocumentIsPutTogether) {
  Fixture it("50.8:7000");
  Document document{.ChangeId = "c1", .Domains = {{"a", "", true}}};
  for (unsigned n = 0; n < 50; ++n) {
    document.Services.push_back({.Name = "s" + std::to_string(n)});
  }
  const SplitDocument split = splitDocument(document, 0);
  BOOST_REQUIRE(!split.Pieces.empty());
  for (const auto &[digest, bytes] : split.Pieces) {
    it.Platform.call("PUT", "/objects/" + partKey(digest), bytes);
  }
  it.Platform.putDocument(split.Root);
  it.awaitChange("c1");
  BOOST_TEST(it.Seen.view()->Intent->Services.size() == 50u);
  // A root whose part is missing is not put into force.
  document.ChangeId = "c2";
  document.Services.front().Homes = 5;
  it.Platform.putDocument(splitDocument(document, 0).Root);
  BOOST_TEST(waitFor(
      [&] { return it.dump().at("refusedVersion").to_number<int>() != 0; }));
  BOOST_TEST(it.Seen.hasChange("c1"));
}

namespace {

struct RosterStory {
  const char *Name;
  const char *Faults;
  const char *Stored; ///< Before; empty: nothing.
  bool Reached;
  const char *Expected; ///< What is said to be stored after the write.
};
std::ostream &operator<<(std::ostream &out, const RosterStory &it) {
  return out << it.Name;
}

const std::vector<RosterStory> RosterStories{
    {"nobody wrote one", "{}", "", true, "new"},
    {"somebody was first", "{}", "old", true, "old"},
    {"the answer is lost", R"({"kinds":["put"],"dropAnswerAfterWrite":1})", "",
     true, "new"},
    {"the answer is lost and so is the read",
     R"({"kinds":["get","put"],"outage":"close"})", "", false, ""},
    {"an outage", R"({"outage":"503"})", "", false, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(theRosterIsWrittenOnceAndTold, RosterStories, story) {
  Fixture it("50.6:7000");
  if (*story.Stored != '\0') {
    it.Platform.call("PUT", "/objects/environments/trial/roster", story.Stored);
  }
  it.Platform.setFaults(story.Faults);
  it.Task.inbox().post(control::WriteRoster{0, "new"});
  BOOST_REQUIRE(
      waitFor([&] { return it.Seen.find<peers::RosterRead>().has_value(); }));
  const auto read = *it.Seen.find<peers::RosterRead>();
  BOOST_TEST(read.Reached == story.Reached);
  BOOST_TEST(read.Bytes == story.Expected);
  BOOST_TEST((read.Version > 0) == story.Reached);
}

BOOST_AUTO_TEST_CASE(noRosterYetIsVersionNone) {
  Fixture it("50.7:7000");
  it.Task.inbox().post(control::ReadRoster{});
  BOOST_REQUIRE(
      waitFor([&] { return it.Seen.find<peers::RosterRead>().has_value(); }));
  BOOST_TEST(it.Seen.find<peers::RosterRead>()->Reached);
  BOOST_TEST(it.Seen.find<peers::RosterRead>()->Version == 0u);
}
