#include "fleet/NewsServer.h"

#include <charconv>
#include <utility>

namespace zinniarail::fleet {

namespace {

// Answers longer than this are spread in time, so that they take this part of
// the link.
constexpr std::size_t LongBytes = std::size_t{8} << 10;
constexpr double LongShare = 0.5;

// What is told to those who know nothing is written anew after this.
constexpr Duration KnowledgeKept = std::chrono::milliseconds{500};

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;

std::uint64_t numberIn(const std::string &text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

NewsServer::NewsServer(struct ev_loop *loop, std::uint64_t boot,
                       double linkMbps, FillNews fill)
    : Loop(loop), Fill(std::move(fill)), LinkMbps(linkMbps),
      Server(loop, {[](const http::Request &) { return true; },
                    [this](http::ExchangeId id, const http::Request &request) {
                      serve(id, request);
                    },
                    [this](http::ExchangeId id) { Questions.erase(id); }}) {
  Board.Boot = boot;
  ev_timer_init(
      &LongTimer,
      [](struct ev_loop *, ev_timer *it, int) {
        static_cast<NewsServer *>(it->data)->answerAll();
      },
      0, 0);
  LongTimer.data = this;
}

NewsServer::~NewsServer() { ev_timer_stop(Loop, &LongTimer); }

void NewsServer::setReading(bool reading) {
  Reading = reading;
  if (reading) {
    return;
  }
  clear(Board);
  for (const auto &[id, it] : std::exchange(Questions, {})) {
    Server.answer(id, {NotFound, {}, {}});
  }
}

void NewsServer::publish(Part part) {
  if (!Reading) {
    return;
  }
  News news;
  Fill(news, part);
  if (post(Board, news)) {
    answerAll();
  }
}

void NewsServer::serve(http::ExchangeId id, const http::Request &request) {
  const auto path = http::pathOf(request.Target);
  if (Informed && path == KnowledgePath) {
    return Server.answer(id, {Ok, {}, knowledge()});
  }
  if (!Reading || path != NewsPath) {
    return Server.answer(id, {NotFound, {}, {}});
  }
  Question question{id, 0};
  const std::string boot = http::queryParameter(request.Target, "boot");
  if (numberIn(boot) == Board.Boot) {
    question.After = numberIn(http::queryParameter(request.Target, "after"));
  }
  answer(question);
}

// Answers when there is something to tell, and keeps the question otherwise.
// Long answers leave the link room for signs of life: where many instances ask
// for all at once, these would come so late that the reader seemed dead.
void NewsServer::answer(const Question &question) {
  const std::string *news = newsAfter(Board, question.After);
  const Instant now = readClock();
  const bool isLong =
      news != nullptr && news->size() > LongBytes && LinkMbps > 0;
  if (news == nullptr || (isLong && now < NextLongAt)) {
    Questions.emplace(question.Id, question);
    if (isLong && !ev_is_active(&LongTimer)) {
      const std::chrono::duration<double> left = NextLongAt - now;
      ev_timer_set(&LongTimer, left.count(), 0);
      ev_timer_start(Loop, &LongTimer);
    }
    return;
  }
  if (isLong) {
    constexpr double bitsPerByte = 8;
    const double micros = static_cast<double>(news->size()) * bitsPerByte /
                          (LinkMbps * LongShare);
    NextLongAt = now + Duration(static_cast<Duration::rep>(micros));
  }
  Server.answer(question.Id, {Ok, {}, *news});
}

void NewsServer::answerAll() {
  const auto waiting = std::exchange(Questions, {});
  for (const auto &[id, it] : waiting) {
    answer(it);
  }
}

const std::string &NewsServer::knowledge() {
  const Instant now = readClock();
  if (!Knowledge.empty() && now - KnowledgeAt < KnowledgeKept) {
    return Knowledge;
  }
  News news;
  news.Boot = Board.Boot;
  for (const Part it : {Part::Configuration, Part::Upstreams, Part::Domains}) {
    Fill(news, it);
  }
  Knowledge = encodeNews(news);
  KnowledgeAt = now;
  return Knowledge;
}

} // namespace zinniarail::fleet
