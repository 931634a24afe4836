/// \file
/// Tells other instances what this one knows: its followers what changed, as
/// long as it reads the store for them, and whoever knows nothing all of it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include <ev.h>

#include "fleet/Codec.h"
#include "fleet/NewsBoard.h"
#include "http/Server.h"

namespace zinniarail::fleet {

/// Where followers ask for news.
constexpr const char *NewsPath = "/news";

/// Where each informed instance tells all that it knows, whoever reads.
constexpr const char *KnowledgePath = "/knowledge";

/// The parts of what a reader passes on.
enum class Part : std::uint8_t { Configuration, Upstreams, Domains, Members };

/// What is known, to be passed on: the wanted part alone, and whole.
using FillNews = std::function<void(News &, Part)>;

/// Used on one thread, that of its loop.
class NewsServer {
public:
  /// \param loop outlives the server.
  /// \param boot another after each start of the process.
  /// \param linkMbps what this instance can send; 0: not known.
  NewsServer(struct ev_loop *loop, std::uint64_t boot, double linkMbps,
             FillNews fill);
  ~NewsServer();
  NewsServer(const NewsServer &) = delete;
  NewsServer &operator=(const NewsServer &) = delete;

  bool listen(const std::string &address) { return Server.listen(address); }

  /// Whether this instance reads the store. Followers of one that does no more
  /// are told so.
  void setReading(bool reading);

  /// Whether it knows a configuration and the upstreams.
  void setInformed(bool informed) { Informed = informed; }

  /// A part of what is passed on has changed.
  void publish(Part part);

private:
  struct Question {
    http::ExchangeId Id = 0;
    std::uint64_t After = 0;
  };

  void serve(http::ExchangeId id, const http::Request &request);
  void answer(const Question &question);
  void answerAll();
  const std::string &knowledge();

  struct ev_loop *Loop;
  FillNews Fill;
  double LinkMbps;
  http::Server Server;
  NewsBoard Board;
  bool Reading = false;
  bool Informed = false;
  std::unordered_map<http::ExchangeId, Question> Questions;
  Instant NextLongAt{}; ///< When the link has room for another long answer.
  ev_timer LongTimer{};
  std::string Knowledge; ///< As told to those who know nothing,
  Instant KnowledgeAt{}; ///< and when it was written.
};

} // namespace zinniarail::fleet
