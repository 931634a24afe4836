/// \file
/// The queue by which one task hands messages to another.
#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace zinniarail {

/// Messages from any task to the one that owns the mailbox. A post never
/// blocks for longer than another post; the owner takes all at once.
template <typename Message> class Mailbox {
public:
  /// \param wake called after a post to an empty mailbox, on the poster's
  /// thread: an ev_async_send, a KJ executor's call. It must not block.
  explicit Mailbox(std::function<void()> wake) : Wake(std::move(wake)) {}

  /// Adds a message and wakes the owner when the mailbox was empty.
  void post(Message message) {
    bool first = false;
    {
      const std::lock_guard lock(Mutex);
      first = Messages.empty();
      Messages.push_back(std::move(message));
    }
    if (first) {
      Wake();
    }
  }

  /// Takes every message posted so far, oldest first. Owner only.
  std::vector<Message> take() {
    const std::lock_guard lock(Mutex);
    return std::exchange(Messages, {});
  }

private:
  std::function<void()> Wake;
  std::mutex Mutex;
  std::vector<Message> Messages;
};

} // namespace zinniarail
