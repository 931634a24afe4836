// Crowds at each address of an instance, on real processes: the process lives,
// stays within its memory and its descriptors, and serves an ordinary caller.
#include <csignal>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Crowd.h"

using namespace zinniarail;
using namespace zinniarail::memory_test;

namespace {

constexpr std::size_t HeaderBytes = 16'384; ///< The configured maximum.
constexpr Duration OrdinaryDeadline = 10s;
constexpr Duration PieceInterval = 400ms; ///< See Conduct.

using Address = std::string standins::RunningInstance::*;
constexpr Address Callers = &standins::RunningInstance::CallerAddress;
constexpr Address Directory = &standins::RunningInstance::DirectoryAddress;
constexpr Address Ready = &standins::RunningInstance::ReadyAddress;
constexpr Address Peers = &standins::RunningInstance::PeerAddress;
constexpr Address Operators = &standins::RunningInstance::OperatorAddress;

/// What the connections of a crowd do once they are open.
enum class Conduct : std::uint8_t {
  Stop,    ///< They send their bytes and read nothing.
  Read,    ///< They send and read all responses, for as long as they can.
  Trickle, ///< They send a piece at a time, with pauses, without end.
  Reopen,  ///< They send a piece, close and connect again, without end.
};

/// What happens when the crowd has sent its first bytes.
enum class Disturbance : std::uint8_t {
  None,
  Hangup,          ///< The instance gets SIGHUP.
  LowerLimits,     ///< A configuration with lower limits comes into force.
  SilentStore,     ///< The store answers nothing.
  SilentUpstreams, ///< The upstreams of the crowd's service answer nothing.
};

using Bytes = std::function<std::string(unsigned member)>;

struct CrowdCase {
  const char *Description;
  Address At;
  unsigned Connections;
  std::size_t PieceBytes;
  Bytes Sends; ///< Each member of a crowd may send something else.
  Conduct Does = Conduct::Stop;
  Disturbance Meanwhile = Disturbance::None;
  const char *OrdinaryPath = "/moving/";
  unsigned Upstreams = 3; ///< Of each service.
  Duration ServiceTime = 5ms;
};

std::ostream &operator<<(std::ostream &out, const CrowdCase &it) {
  return out << it.Description;
}

constexpr std::size_t Whole = BodyBytes * 2;
constexpr std::size_t Piece = 16U << 10U;
constexpr unsigned FloodRequests = 2000;

/// A head of the largest size whose fields are as short as can be.
std::string headOfShortFields(const std::string &method,
                              const std::string &fields) {
  std::string out = head(method, "/order/", fields);
  out.resize(out.size() - 2);
  while (out.size() + 6 <= HeaderBytes) {
    out += "a:\r\n";
  }
  return out + "\r\n";
}

std::string shortFieldsOneByteShort(unsigned) {
  return headOfShortFields("POST", "Content-Length: 2\r\n") + "x";
}

std::string shortFieldsWithoutEnd(unsigned) {
  std::string out = headOfShortFields("POST", "Content-Length: 2\r\n");
  out.resize(out.size() - 2);
  return out;
}

std::string upload(unsigned) { return bodyOneByteShort(); }

std::string noBytes(unsigned) { return {}; }

/// Sends requests behind one another, each with another path below one.
Bytes flood(const std::string &path) {
  return [path](unsigned member) {
    std::string out;
    for (unsigned n = 0; n < FloodRequests; ++n) {
      out += head("GET",
                  path + std::to_string(member) + "-" + std::to_string(n), "");
    }
    return out;
  };
}

Bytes floodOf(const std::string &target) {
  return [target](unsigned) {
    return repeat(head("GET", target, ""), FloodRequests);
  };
}

/// Requests that are refused with their ids, which are as long as can be.
std::string longIds(unsigned) {
  return repeat("GET /nowhere HTTP/1.1\r\nHost: orders.example\r\n"
                "X-Request-Id: " +
                    std::string(HeaderBytes - 100, 'i') + "\r\n\r\n",
                20);
}

std::string longIdsBehindAnother(unsigned member) {
  return head("GET", "/order/", "") + longIds(member);
}

/// Requests that name as many connection options as they have fields.
std::string connectionOptions(unsigned) {
  std::string options = "Connection: ";
  std::string fields;
  for (unsigned n = 0; options.size() + fields.size() < HeaderBytes - 200;
       ++n) {
    options += "o,";
    fields += n % 2 == 0 ? "f:\r\n" : "";
  }
  return repeat(head("GET", "/moving/", options + "\r\n" + fields), 40);
}

std::string uploadInChunks(unsigned) {
  return head("POST", "/order/", "Transfer-Encoding: chunked\r\n") +
         repeat("1\r\nx\r\n", 60'000);
}

std::string resolve(unsigned member) {
  return floodOf("/resolution?name=orders.example&region=r&zone=a")(member);
}

const std::vector<CrowdCase> CrowdCases{
    {"short fields, one byte short", Callers, 300, Whole,
     shortFieldsOneByteShort},
    {"short fields without an end", Callers, 300, Whole, shortFieldsWithoutEnd},
    {"connections to the directory", Directory, 700, Piece, noBytes},
    {"connections to the readiness port", Ready, 700, Piece, noBytes},
    {"connections to the peer port", Peers, 700, Piece, noBytes},
    {"connections to the operator port", Operators, 700, Piece, noBytes},
    {"uploads to the directory", Directory, 300, Piece, upload},
    {"uploads to the readiness port", Ready, 300, Piece, upload},
    {"uploads to the peer port", Peers, 300, Piece, upload},
    {"uploads to the operator port", Operators, 300, Piece, upload},
    {"requests to the directory", Directory, 40, Piece, resolve},
    {"requests for snapshots", Peers, 40, Piece, floodOf("/knowledge")},
    {"requests for metrics", Operators, 40, Piece, floodOf("/metrics")},
    {"requests for metrics, answers read", Operators, 40, Piece,
     floodOf("/metrics"), Conduct::Read},
    {"requests of one service", Callers, 40, Piece, flood("/moving/")},
    {"requests of one service, answers read", Callers, 40, Piece,
     flood("/moving/"), Conduct::Read},
    {"requests of a large service", Callers, 40, Piece, flood("/moving/"),
     Conduct::Stop, Disturbance::None, "/moving/", 48, 200ms},
    {"requests of a large service, answers read", Callers, 40, Piece,
     flood("/moving/"), Conduct::Read, Disturbance::None, "/moving/", 48,
     200ms},
    {"long ids, answers not read", Callers, 500, Whole, longIds},
    {"long ids behind a request that waits", Callers, 500, Whole,
     longIdsBehindAnother, Conduct::Stop, Disturbance::SilentUpstreams},
    {"many connection options", Callers, 40, Whole, connectionOptions,
     Conduct::Stop, Disturbance::None, "/order/"},
    {"uploads just fast enough", Callers, 500, 4200, uploadInChunks,
     Conduct::Trickle},
    {"uploads that close early", Callers, 300, Piece, upload, Conduct::Reopen},
    {"uploads during a hangup", Callers, 120, Piece, upload, Conduct::Stop,
     Disturbance::Hangup},
    {"uploads while limits are lowered", Callers, 120, Piece, upload,
     Conduct::Stop, Disturbance::LowerLimits},
    {"requests while the store is silent", Callers, 40, Piece,
     flood("/moving/"), Conduct::Stop, Disturbance::SilentStore},
    {"requests while their upstreams are silent", Callers, 40, Piece,
     flood("/order/"), Conduct::Stop, Disturbance::SilentUpstreams}};

/// Requests of a service whose slots are two thirds of the descriptors.
const std::vector<CrowdCase> ManyUpstreamsCases{
    {"requests of 96 upstreams", Callers, 40, Piece, flood("/moving/"),
     Conduct::Stop, Disturbance::None, "/moving/", 96, 200ms},
    {"requests of 96 upstreams, answers read", Callers, 40, Piece,
     flood("/moving/"), Conduct::Read, Disturbance::None, "/moving/", 96,
     200ms}};

/// Crowds beside which an instance is stopped.
const std::vector<CrowdCase> StopCases{
    {"uploads", Callers, 300, Piece, upload},
    {"uploads just fast enough", Callers, 500, 4200, uploadInChunks,
     Conduct::Trickle},
    {"requests of one service", Callers, 40, Piece, flood("/moving/")},
    {"requests for metrics", Operators, 40, Piece, floodOf("/metrics")}};

/// The connections of a crowd.
class Crowd {
public:
  Crowd(Drill &drill, const CrowdCase &row)
      : TheDrill(drill), Row(row), Target(drill.Deployed.Instances[0].*row.At) {
    Members.resize(row.Connections);
    for (unsigned n = 0; n < row.Connections; ++n) {
      std::string bytes = row.Sends(n);
      const bool isShared = n > 0 && *Members[n - 1].ToSend == bytes;
      Members[n].ToSend =
          isShared ? Members[n - 1].ToSend
                   : std::make_shared<const std::string>(std::move(bytes));
    }
    for (unsigned n = 0; n < row.Connections; ++n) {
      open(n);
      drill.EventLoop.runOnce();
    }
  }

  /// Sends until nothing more is taken, or for a while if that has no end.
  void begin() {
    for (unsigned quiet = 0; quiet < QuietRounds; ++quiet) {
      if (Row.Does != Conduct::Stop) {
        step();
      } else {
        quiet = sendPieces() ? 0 : quiet;
      }
      TheDrill.EventLoop.runOnce();
    }
  }

  /// Goes on for as long as the test waits for something.
  void step() {
    if (Row.Does == Conduct::Read) {
      sendPieces();
    }
    const bool isPaced =
        Row.Does == Conduct::Trickle || Row.Does == Conduct::Reopen;
    if (!isPaced || readClock() - SentAt < PieceInterval) {
      return;
    }
    SentAt = readClock();
    sendPieces();
    for (unsigned n = 0; n < Members.size(); ++n) {
      const bool isOver = Row.Does == Conduct::Reopen ||
                          Members[n].Sent == Members[n].ToSend->size();
      if (isOver || hasEnded(Members[n])) {
        open(n);
      }
    }
  }

private:
  void open(unsigned n) {
    Member &it = Members[n];
    it.Connection.reset(); // First, so that the test needs few descriptors.
    it.Connection = connectTo(Target);
    it.Sent = 0;
  }

  static bool hasEnded(const Member &it) {
    if (it.Connection == nullptr) {
      return true;
    }
    it.Connection->read();
    return it.Connection->PeerClosed;
  }

  bool sendPieces() {
    bool any = false;
    for (Member &it : Members) {
      if (it.Connection == nullptr) {
        continue;
      }
      const std::string_view rest =
          std::string_view(*it.ToSend).substr(it.Sent, Row.PieceBytes);
      const std::size_t n = rest.empty() ? 0 : it.Connection->trySend(rest);
      it.Sent += n;
      any = any || n > 0;
      if (Row.Does == Conduct::Read) {
        any = any || !it.Connection->read().empty();
        it.Connection->Bytes.clear();
      }
    }
    return any;
  }

  Drill &TheDrill;
  const CrowdCase &Row;
  std::string Target;
  std::vector<Member> Members;
  Instant SentAt{};
};

void disturb(Drill &drill, Disturbance kind) {
  standins::Deployment &deployed = drill.Deployed;
  switch (kind) {
  case Disturbance::None:
    return;
  case Disturbance::Hangup:
    kill(deployed.Instances[0].Child.id(), SIGHUP);
    return;
  case Disturbance::LowerLimits:
    deployed.Plan.Settings.MaxBodyBytes = BodyBytes / 4;
    deployed.writeConfiguration(9, deployed.Plan.Routes);
    BOOST_TEST(drill.waitForLog("version=9"));
    return;
  case Disturbance::SilentStore:
    deployed.TheStore.Faults.ActiveOutage = standins::OutageMode::NoResponse;
    return;
  case Disturbance::SilentUpstreams:
    for (const auto &it : deployed.Upstreams) {
      it->Faults.Unresponsive = it->Config.Service == "orders";
    }
    return;
  }
}

http::CallResult call(Drill &drill, Crowd &crowd, const std::string &path,
                      const std::string &id) {
  http::Call call;
  const http::CallId number = call.Id = ++drill.LastCall;
  call.Address = drill.Deployed.Instances[0].CallerAddress;
  call.ConnectTimeout = OrdinaryDeadline;
  call.NewConnection = true;
  call.Bytes = "GET " + path + id +
               " HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Milliseconds: 10000\r\n\r\n";
  drill.Pool.start(std::move(call));
  drill.EventLoop.runUntil([&] {
    crowd.step();
    return drill.Results.contains(number);
  });
  return drill.Results[number];
}

/// Sends a caller's request, and sends it again after a refusal as callers do,
/// within its deadline.
/// \returns the last status; 0 without an answer.
unsigned sendOrdinary(Drill &drill, Crowd &crowd, const std::string &path) {
  const Instant end = readClock() + OrdinaryDeadline;
  unsigned status = 0;
  for (unsigned n = 0; readClock() < end; ++n) {
    const http::Response answer =
        call(drill, crowd, path, "ordinary-" + std::to_string(n)).Response;
    status = answer.Status;
    const std::string *text = http::findHeader(answer.Fields, "Retry-After");
    const auto pause =
        text == nullptr ? std::nullopt : http::parseRetryAfter(*text);
    if (status != 503 || !pause || *pause > OrdinaryDeadline / 3) {
      break;
    }
    drill.EventLoop.runFor(*pause);
  }
  return status;
}

void checkBesideCrowd(const CrowdCase &row) {
  const auto drill = startDrill(row.Upstreams, row.ServiceTime);
  const pid_t pid = drill->Deployed.Instances[0].Child.id();
  Crowd crowd(*drill, row);
  if (row.Meanwhile == Disturbance::SilentUpstreams) {
    disturb(*drill, row.Meanwhile);
  }
  crowd.begin();
  if (row.Meanwhile != Disturbance::SilentUpstreams) {
    disturb(*drill, row.Meanwhile);
  }
  const std::size_t open = descriptors(pid);
  BOOST_TEST(sendOrdinary(*drill, crowd, row.OrdinaryPath) == 200U);
  const std::size_t peak = peakBytes(pid);
  BOOST_TEST_MESSAGE(row.Description << ": peak " << peak / 1000
                                     << " kB, descriptors " << open);
  BOOST_TEST(!drill->Deployed.Instances[0].Child.wait(0ms).has_value());
  BOOST_TEST(peak > 0U);
  BOOST_TEST(peak <= MemoryMb * 1000 * 1000);
  BOOST_TEST(open <= DescriptorBound);
}

} // namespace

BOOST_DATA_TEST_CASE(crowdEndsNoProcessAndKeepsOutNoCaller, CrowdCases, row) {
  checkBesideCrowd(row);
}

// Connections to upstreams leave descriptors free.
BOOST_DATA_TEST_CASE(floodOfManyUpstreamsLeavesDescriptors, ManyUpstreamsCases,
                     row) {
  checkBesideCrowd(row);
}

// A crowd doesn't keep a process from its planned end.
BOOST_DATA_TEST_CASE(stopEndsBesideACrowd, StopCases, row) {
  const auto drill = startDrill();
  standins::RunningInstance &instance = drill->Deployed.Instances[0];
  Crowd crowd(*drill, row);
  crowd.begin();
  const std::size_t peak = peakBytes(instance.Child.id());
  kill(instance.Child.id(), SIGTERM);
  BOOST_TEST(drill->EventLoop.runUntil([&] {
    crowd.step();
    return instance.Child.wait(0ms).has_value();
  }));
  BOOST_TEST(peak <= MemoryMb * 1000 * 1000);
}

// The largest head with the most fields, one connection, the smallest machine.
BOOST_AUTO_TEST_CASE(headOfTheMostFieldsIsServedInCalm) {
  const auto drill = startDrill();
  const auto caller = connectTo(drill->Deployed.Instances[0].CallerAddress);
  caller->send(headOfShortFields("POST", "Content-Length: 2\r\n") + "xy");
  BOOST_TEST(
      drill->EventLoop.runUntil([&] { return caller->has("HTTP/1.1 200"); }));
}
