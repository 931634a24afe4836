/// \file
/// The platform's object API by libcurl on a libev loop. Every call ends
/// within a timeout, with one of a few outcomes; calls are counted by kind.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "zinniarail/core/Time.h"
#include "zinniarail/membership/Instance.h"

struct ev_loop;

namespace zinniarail::objects {

/// How a call ended.
enum class Outcome : std::uint8_t {
  Done,
  NotChanged,  ///< A watch waited in vain.
  Conflict,    ///< The condition did not hold; nothing was written.
  NotFound,    ///< No such object.
  TooLarge,    ///< The value is beyond the platform's bound; not written.
  Unknown,     ///< A write whose answer was lost: it may have taken effect.
  Unreachable, ///< No answer; a write has not taken effect.
  Malformed,   ///< An answer that makes no sense; a write is then Unknown.
};

/// A stable name for logs and dumps.
const char *nameOf(Outcome outcome);

/// The end of a call about one object.
struct Reply {
  Outcome How = Outcome::Unreachable;
  std::uint64_t Version = 0; ///< Of the object, where the answer names it.
  std::string Bytes;         ///< Of a read.
  /// The answer tells of the store at this time or later.
  Instant AsOf{};
};

/// One line of a list of objects.
struct Entry {
  std::string Key;
  std::uint64_t Version = 0;

  bool operator==(const Entry &) const = default;
};

/// The end of a list call.
struct Listing {
  Outcome How = Outcome::Unreachable;
  std::vector<Entry> Entries;
};

/// The end of a read or a watch of the instance list.
struct InstanceListing {
  Outcome How = Outcome::Unreachable;
  std::uint64_t Version = 0;
  std::vector<Instance> Instances;
  Instant AsOf{};
};

/// Calls made so far, failed ones included.
struct CallCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Failures = 0; ///< Of all these, without a usable answer.
};

/// Parses the platform's list of objects. \returns false when it is malformed.
bool parseEntries(const std::string &bytes, std::vector<Entry> &entries);

/// Parses the platform's list of instances; sorted by id. \returns false when
/// it is malformed.
bool parseInstances(const std::string &bytes, std::vector<Instance> &instances);

/// The client. One owner, one thread; callbacks run on the loop, never from
/// within the call. Destroying it drops running calls without a callback.
class Client {
public:
  using ReplyCallback = std::function<void(Reply)>;
  using ListingCallback = std::function<void(Listing)>;
  using InstancesCallback = std::function<void(InstanceListing)>;

  /// \param loop outlives the client.
  /// \param address "ip:port" of the platform.
  /// \param timeout for each call; a watch may take its wait on top.
  Client(struct ev_loop *loop, std::string address, Duration timeout);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  void get(const std::string &key, ReplyCallback done);
  /// Writes if the object has this version; version 0: if there is none.
  void put(const std::string &key, std::string bytes, std::uint64_t version,
           ReplyCallback done);
  void remove(const std::string &key, std::uint64_t version,
              ReplyCallback done);
  void list(const std::string &prefix, ListingCallback done);
  /// Waits for a version beyond \p after.
  void watch(const std::string &key, std::uint64_t after, Duration wait,
             ReplyCallback done);
  void listInstances(InstancesCallback done);
  void watchInstances(std::uint64_t after, Duration wait,
                      InstancesCallback done);

  CallCounts counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace zinniarail::objects
