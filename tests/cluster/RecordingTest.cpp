// What daemons record under faults comes out alike when it is replayed.

#include "cluster/System.h"
#include "zinniarail/trace/Trace.h"

using namespace zinniarail;
using namespace zinniarail::testing;

namespace {

constexpr unsigned LoadSeconds = 6;

standins::Reply askTrace(const ClusterInstance &node,
                         const std::string &query) {
  return standins::fetch(
      {.Url = "http://" + node.OperatorAddress + "/trace" + query});
}

} // namespace

BOOST_AUTO_TEST_CASE(recordedTracesReplayAlike) {
  Firm firm = Cierzo;
  firm.InstanceFlags = {"--trace-bytes", "180000"};
  System system(firm);
  BOOST_TEST(system.Nodes.setUpstreamFaults(
      boost::json::parse(R"({"closeBeforeShare":0.02,"closeAfterShare":0.02,
                             "crossedShare":0.02,"lateShare":0.02})")
          .as_object()));
  system.startCallers(LoadSeconds);
  std::this_thread::sleep_for(2s);
  BOOST_TEST(system.operate({"domain", "out", "bilbao"}) == 0);
  std::this_thread::sleep_for(1s);
  BOOST_TEST(system.operate({"domain", "in", "bilbao"}) == 0);
  checkSound(system.finish());

  unsigned recorded = 0;
  for (const ClusterInstance &node : system.Nodes.instances()) {
    BOOST_TEST(askTrace(node, "").Status == 400);
    BOOST_TEST(askTrace(node, "?service=nobody").Status == 404);
    const auto reply = askTrace(node, std::string("?service=") + firm.Service);
    if (reply.Status == 404) {
      continue; // no home of the service
    }
    const auto trace = trace::readTrace(reply.Body);
    BOOST_REQUIRE(trace.has_value());
    const auto difference =
        trace::compareTraces(trace.value(), trace::replayTrace(trace.value()));
    if (difference) {
      BOOST_ERROR("line " << difference->Line << ": " << difference->Replayed
                          << ", not " << difference->Recorded);
    }
    recorded += trace::endsOf(trace.value()).empty() ? 0 : 1;
    BOOST_TEST(system.operate({"trace", node.Id, firm.Service}) == 0);
  }
  BOOST_TEST(recorded >= 3u);
  BOOST_TEST(system.operate({"trace", "nobody", firm.Service}) != 0);
}
