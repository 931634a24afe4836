/// \file
/// A few real peers tasks in one process, with a small store in place of the
/// control task's platform.
#pragma once

#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "common/Net.h"
#include "zinniarail/peers/PeersTask.h"

namespace zinniarail::testing {

constexpr Duration LongWait = std::chrono::seconds{30};

/// "127.N.third.1:port" with N from the environment.
inline std::string makeAddress(int third, int port) {
  return standins::loopbackAddress(std::to_string(third) +
                                   ".1:" + std::to_string(port));
}

/// The platform's roster object.
struct RosterStore {
  std::mutex Mutex;
  std::uint64_t Version = 0;
  std::string Bytes;
  bool Outage = false;
};

/// One instance: the task and what it posted.
struct Node {
  Settings Set;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, control::PeerSeen> Seen;
  std::map<std::string, int> Lost;
  std::map<RequestId, ClaimVerdict> Verdicts;
  std::vector<gateway::WordArrived> Words;
  std::vector<control::DocumentFetched> Documents;
  bool HandedOver = false;
  std::unique_ptr<PeersTask> Task;

  /// Waits until a condition on the fields above holds.
  bool waitFor(const std::function<bool()> &condition) {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, LongWait, condition);
  }
};

/// Nodes that know each other by one view.
class Fleet {
public:
  /// \param port tells fleets of different tests apart.
  Fleet(int count, int port) {
    for (int it = 0; it < count; ++it) {
      addNode("i" + std::to_string(it), it + 1, port);
    }
  }

  Node &addNode(const std::string &id, int third, int port) {
    auto node = std::make_unique<Node>();
    node->Set.InstanceId = id;
    node->Set.FailureDomain = "d" + std::to_string(third % 3);
    node->Set.Environment = "test";
    node->Set.PeerAddress = makeAddress(third, port);
    node->Set.CallerAddress = makeAddress(third, port + 1);
    node->Set.OperatorAddress = makeAddress(third, port + 2);
    node->Set.PeerInterval = std::chrono::milliseconds{50};
    Nodes.push_back(std::move(node));
    return *Nodes.back();
  }

  ~Fleet() {
    for (const auto &it : Nodes) {
      stop(*it);
    }
  }

  bool start(Node &node) {
    node.Task = std::make_unique<PeersTask>(
        node.Set,
        [&node](const gateway::Message &it) { takeGateway(node, it); },
        [this, &node](const control::Message &it) { takeControl(node, it); });
    return node.Task->start().has_value();
  }

  static void stop(Node &node) {
    if (node.Task) {
      node.Task->stop();
    }
  }

  bool startAll() {
    bool good = true;
    for (const auto &it : Nodes) {
      good = start(*it) && good;
    }
    postView();
    return good;
  }

  /// Gives everybody a view of all nodes.
  void postView() {
    auto view = makeView();
    for (const auto &it : Nodes) {
      if (it->Task) {
        it->Task->inbox().post(peers::ViewChanged{view});
      }
    }
  }

  std::shared_ptr<View> makeView() const {
    auto document = std::make_shared<Document>();
    document->Environment = "test";
    ServiceSpec service;
    service.Name = "orders";
    document->Services = {service};
    document->Domains = {{"d0"}, {"d1"}, {"d2"}};
    auto view = std::make_shared<View>();
    view->Intent = document;
    view->Version = 7;
    view->Bytes = std::make_shared<const std::string>(Stored);
    view->ValidUntil = readClock() + std::chrono::hours{1};
    for (const auto &it : Nodes) {
      view->Instances.push_back({.Id = it->Set.InstanceId,
                                 .Domain = it->Set.FailureDomain,
                                 .CallerAddress = it->Set.CallerAddress,
                                 .PeerAddress = it->Set.PeerAddress,
                                 .OperatorAddress = it->Set.OperatorAddress});
    }
    return view;
  }

  /// Asks for a claim and waits for the verdict.
  ClaimVerdict claim(Node &node, const std::string &key) {
    const RequestId id{NextRequest++};
    node.Task->inbox().post(peers::ClaimWanted{
        "orders", id, key, readClock() + std::chrono::seconds{4}});
    if (!node.waitFor([&] { return node.Verdicts.contains(id); })) {
      return ClaimVerdict::Unavailable;
    }
    LastRequest = id;
    return node.Verdicts[id];
  }

  /// The state that a node shows.
  static boost::json::object dump(Node &node) {
    std::promise<boost::json::object> shown;
    node.Task->inbox().post(peers::DumpWanted{
        [&](boost::json::object it) { shown.set_value(std::move(it)); }});
    return shown.get_future().get();
  }

  /// Waits until a field of the state satisfies a condition.
  static bool
  waitShown(Node &node, const char *field,
            const std::function<bool(const boost::json::value &)> &condition) {
    for (const Instant end = readClock() + LongWait; readClock() < end;) {
      if (condition(dump(node).at(field))) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return false;
  }

  /// Waits until a node may vouch for claims itself.
  static bool waitHolder(Node &node) {
    return waitShown(node, "readyForClaims",
                     [](const auto &it) { return it.as_bool(); });
  }

  /// Claims new keys until one is granted: on a busy machine a holder may
  /// answer too late.
  /// \returns the key; empty when none was.
  std::string grantSome(Node &node) {
    for (const Instant end = readClock() + LongWait; readClock() < end;) {
      std::string key = "some" + std::to_string(NextRequest);
      if (claim(node, key) == ClaimVerdict::Granted) {
        return key;
      }
    }
    return {};
  }

  /// Whether a key is taken, also on a busy machine.
  bool isTaken(Node &node, const std::string &key) {
    for (const Instant end = readClock() + LongWait; readClock() < end;) {
      const ClaimVerdict verdict = claim(node, key);
      if (verdict != ClaimVerdict::Unavailable) {
        return verdict == ClaimVerdict::Taken;
      }
    }
    return false;
  }

  std::vector<std::unique_ptr<Node>> Nodes;
  RosterStore Store;
  std::string Stored = "{}";
  std::uint64_t NextRequest = 1;
  RequestId LastRequest{};

private:
  static void takeGateway(Node &node, const gateway::Message &message) {
    const std::lock_guard lock(node.Mutex);
    if (const auto *answer = std::get_if<gateway::ClaimAnswer>(&message)) {
      node.Verdicts[answer->Decision.Request] = answer->Decision.Verdict;
    } else if (const auto *word = std::get_if<gateway::WordArrived>(&message)) {
      node.Words.push_back(*word);
    } else if (std::holds_alternative<gateway::ClaimsHandedOver>(message)) {
      node.HandedOver = true;
    }
    node.Changed.notify_all();
  }

  void takeControl(Node &node, const control::Message &message) {
    if (std::holds_alternative<control::ReadRoster>(message)) {
      answerRoster(node);
    } else if (const auto *it = std::get_if<control::WriteRoster>(&message)) {
      writeRoster(*it);
      answerRoster(node);
    }
    const std::lock_guard lock(node.Mutex);
    if (const auto *seen = std::get_if<control::PeerSeen>(&message)) {
      node.Seen[seen->Peer.Id] = *seen;
    } else if (const auto *lost = std::get_if<control::PeerLost>(&message)) {
      ++node.Lost[lost->Instance];
    } else if (const auto *it =
                   std::get_if<control::DocumentFetched>(&message)) {
      node.Documents.push_back(*it);
    }
    node.Changed.notify_all();
  }

  void writeRoster(const control::WriteRoster &message) {
    const std::lock_guard lock(Store.Mutex);
    if (!Store.Outage && message.Version == Store.Version) {
      ++Store.Version;
      Store.Bytes = message.Bytes;
    }
  }

  void answerRoster(Node &node) {
    const std::lock_guard lock(Store.Mutex);
    node.Task->inbox().post(
        peers::RosterRead{!Store.Outage, Store.Version, Store.Bytes});
  }
};

} // namespace zinniarail::testing
