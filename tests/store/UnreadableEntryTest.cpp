// Entries of other writers beside those of the upstreams.
#include <ostream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../http/RawConnection.h"
#include "store/Store.h"
#include "store/StoreTask.h"

using namespace zinniarail;
using namespace zinniarail::store;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace unreadable_entry_test {

// The users' bound on how soon an acknowledged change is in force.
constexpr Duration PropagationLimit = 2s;

const std::string Address = "\"192.0.2.1:80\"";
const std::string Ready = R"({"state":"ready","sequence":1})";

std::string entry(const std::string &address, const std::string &slots = "4",
                  const std::string &status = Ready) {
  return R"({"address":)" + address +
         R"(,"information":{"service":"s","version":"v1","zone":"a","slots":)" +
         slots + R"(},"status":)" + status + "}";
}

std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

struct Entry {
  std::string Description;
  std::string Bytes; ///< Of the specification.
  std::string Name = "odd";
};

std::ostream &operator<<(std::ostream &out, const Entry &it) {
  return out << it.Description;
}

const std::vector<Entry> Entries{
    {"bytes that are no UTF-8", entry("\"\xff\xfe\x80\"")},
    {"half a surrogate pair", entry(R"("\udcff\udcfe")")},
    {"an escape that does not exist", entry(R"("\x")")},
    {"a control character", entry("\"\x01\"")},
    {"33 levels", nested(33)},
    {"1,000 levels", nested(1000)},
    {"100,000 levels", nested(100000)},
    {"100,000 levels in a field", entry(nested(100000))},
    {"brackets in a string", R"("]}],[{")"},
    {"an escaped quote and brackets in a string", R"("\"]}],[{\\")"},
    {"more slots than 64 bits hold", entry(Address, "99999999999999999999")},
    {"slots of 1e400", entry(Address, "1e400")},
    {"slots of 1e99999999999", entry(Address, "1e99999999999")},
    {"slots below zero", entry(Address, "-1")},
    {"a fraction of a slot", entry(Address, "0.5")},
    {"no slot", entry(Address, "0")},
    {"slots that are a word", entry(Address, "\"four\"")},
    {"slots that are no JSON", entry(Address, "four")},
    {"port 0", entry(R"("192.0.2.1:0")")},
    {"port 65536", entry(R"("192.0.2.1:65536")")},
    {"port 4294967376", entry(R"("192.0.2.1:4294967376")")},
    {"port -1", entry(R"("192.0.2.1:-1")")},
    {"no port", entry(R"("192.0.2.1")")},
    {"an address of 1 MB", entry("\"" + std::string(1 << 20, '1') + "\"")},
    {"no address", entry("null")},
    {"an unknown state", entry(Address, "4", R"({"state":"odd"})")},
    {"a state that is a list", entry(Address, "4", R"({"state":["ready"]})")},
    {"an endless warm-up", entry(Address, "4",
                                 R"({"state":"ready","warmup_remaining":)"
                                 R"("1e300s"})")},
    {"a null", "null"},
    {"a number", "17"},
    {"an empty list", "[]"},
    {"a name with an end of line", entry(Address), "odd\r\nX-Injected: 1"},
    {"a name with a null byte", entry(Address), std::string("u1\0odd", 6)},
    {"an empty name", entry(Address), ""}};

/// The entries whose name an upstream may have.
std::vector<Entry> entriesWithUsableNames() {
  std::vector<Entry> out = Entries;
  std::erase_if(out, [](const Entry &it) { return it.Name != "odd"; });
  return out;
}

json::value parsed(const std::string &address, const std::string &state) {
  return json::parse(entry("\"" + address + "\"", "4",
                           R"({"state":")" + state + R"(","sequence":1})"));
}

/// A store with an upstream, u1, and a task that reads it.
struct Fixture {
  Fixture()
      : Store(EventLoop.Loop),
        Task(EventLoop.Loop, http::listenOnFreePort([&](const auto &it) {
               return Store.listen(it);
             }),
             LocalMirror, PropagationLimit, 1,
             {[](platform::Kind) {}, [this](bool it) { Healthy = it; }}) {
    Store.put("servers", "u1", parsed("192.0.2.1:81", "ready"));
  }

  std::size_t upstreams() const { return LocalMirror.Upstreams.Entries.size(); }

  bool isDraining(const std::string &id) const {
    const auto it = LocalMirror.Upstreams.Entries.find(id);
    return it != LocalMirror.Upstreams.Entries.end() &&
           it->second.Record.Draining;
  }

  template <typename Condition> bool within(Duration time, Condition holds) {
    const Instant end = readClock() + time;
    return EventLoop.runUntil([&] { return holds() || readClock() > end; }) &&
           holds();
  }

  http::TestLoop EventLoop;
  standins::Store Store;
  Mirror LocalMirror;
  bool Healthy = false;
  StoreTask Task;
};

} // namespace unreadable_entry_test
using namespace unreadable_entry_test;

// Guards against an entry that can't be read and keeps an instance that starts
// from all others.
BOOST_DATA_TEST_CASE(unreadableEntryDoesNotHideTheOthersFromAList, Entries,
                     row) {
  Fixture it;
  it.Store.putBytes("servers", row.Name, row.Bytes);
  it.Store.put("servers", "u2", parsed("192.0.2.1:82", "ready"));
  it.Task.startReading();
  BOOST_REQUIRE(it.within(PropagationLimit, [&] { return it.Healthy; }));
  BOOST_TEST(it.upstreams() == 2U);
  BOOST_TEST(!it.LocalMirror.Upstreams.Entries.contains(row.Name));
  BOOST_TEST(it.LocalMirror.Upstreams.Entries.at("u1").Record.Address ==
             "192.0.2.1:81");
}

// Guards against an entry that can't be read and ends the updates of all.
BOOST_DATA_TEST_CASE(changesAreSeenBesideAnUnreadableEntry, Entries, row) {
  Fixture it;
  it.Task.startReading();
  BOOST_REQUIRE(it.within(PropagationLimit, [&] { return it.Healthy; }));
  it.Store.putBytes("servers", row.Name, row.Bytes);
  it.EventLoop.runFor(50ms);
  it.Store.put("servers", "u1", parsed("192.0.2.1:81", "draining"));
  BOOST_TEST(it.within(PropagationLimit, [&] { return it.isDraining("u1"); }));
  it.Store.dropHistory(); // The next change makes the kind listed again.
  it.Store.put("servers", "u2", parsed("192.0.2.1:82", "ready"));
  BOOST_TEST(it.within(PropagationLimit, [&] { return it.upstreams() == 2U; }));
  BOOST_TEST(it.Healthy);
  BOOST_TEST(it.Store.Calls["GET watch"] < 20U);
}

// Guards against an earlier registration that stays in use after another writer
// has replaced it.
BOOST_DATA_TEST_CASE(unreadableEntryEndsTheOneItReplaces,
                     entriesWithUsableNames(), row) {
  Fixture it;
  it.Store.put("servers", "odd", parsed("192.0.2.1:82", "ready"));
  it.Task.startReading();
  BOOST_REQUIRE(it.within(PropagationLimit, [&] { return it.Healthy; }));
  BOOST_REQUIRE(it.upstreams() == 2U);
  it.Store.putBytes("servers", row.Name, row.Bytes);
  BOOST_TEST(it.within(PropagationLimit, [&] { return it.upstreams() == 1U; }));
}

// Guards against a record that can't be read and is created again and again.
BOOST_DATA_TEST_CASE(unreadableRecordOfInstancesIsReplaced,
                     (std::vector<std::string>{"null", "[\"\\x\"]",
                                               nested(99)}),
                     bytes) {
  Fixture it;
  it.Store.putBytes("zinniarail-instances", "a", bytes);
  it.Task.startReading();
  it.Task.setInstancesToRecord(
      "a", {{"i", "a", "192.0.2.1:1", "192.0.2.1:2", "192.0.2.1:3", false}});
  BOOST_TEST(it.within(PropagationLimit, [&] {
    const json::value *record = it.Store.find("zinniarail-instances", "a");
    return record->is_object();
  }));
}
