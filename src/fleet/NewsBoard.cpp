#include "fleet/NewsBoard.h"

#include <utility>

namespace zinniarail::fleet {

namespace {

// Changes after which the answer to those who heard nothing is written anew:
// while many instances start, each of them is a change.
constexpr std::uint64_t WholeKeptFor = 16;

// Removals that are kept; who missed more of them is told the whole list.
constexpr std::size_t MostGone = 1000;

// What is left of its cold time is another with each look.
bool same(const store::ListedUpstream &a, const store::ListedUpstream &b) {
  return a.Revision == b.Revision;
}

bool same(const Member &a, const Member &b) { return a == b; }

template <typename Item>
bool update(Tracked<Item> &tracked, const std::map<std::string, Item> &now,
            std::uint64_t sequence) {
  bool changed = tracked.ChangedAt == 0;
  for (const auto &[id, item] : now) {
    const auto [at, isNew] = tracked.Entries.try_emplace(id);
    if (isNew || !same(at->second.Now, item)) {
      at->second = {item, sequence};
      changed = true;
    }
    tracked.GoneAt.erase(id);
  }
  std::erase_if(tracked.Entries, [&](const auto &it) {
    const bool gone = !now.contains(it.first);
    if (gone) {
      tracked.GoneAt[it.first] = sequence;
      changed = true;
    }
    return gone;
  });
  if (tracked.GoneAt.size() > MostGone) {
    tracked.GoneAt.clear();
    tracked.WholeFor = sequence;
  }
  if (changed) {
    tracked.ChangedAt = sequence;
  }
  return changed;
}

template <typename Item>
void fill(ListChange<Item> &out, const Tracked<Item> &tracked,
          std::uint64_t after) {
  out.Whole = after < tracked.WholeFor || after == 0;
  for (const auto &[id, it] : tracked.Entries) {
    if (out.Whole || it.ChangedAt > after) {
      out.Some.push_back(it.Now);
    }
  }
  for (const auto &[id, at] : tracked.GoneAt) {
    if (!out.Whole && at > after) {
      out.Gone.push_back(id);
    }
  }
}

template <typename Item>
void takeDown(Tracked<Item> &tracked, std::uint64_t wholeFor) {
  tracked = {};
  tracked.WholeFor = wholeFor;
}

bool postUpstreams(NewsBoard &board, const UpstreamList &list,
                   std::uint64_t sequence) {
  std::map<std::string, store::ListedUpstream> now;
  for (const store::ListedUpstream &it : list.Change.Some) {
    now.emplace(it.Record.Id, it);
  }
  board.UpstreamsAsOf = list.AsOf;
  return update(board.Upstreams, now, sequence);
}

bool postMembers(NewsBoard &board, const MemberList &list,
                 std::uint64_t sequence) {
  std::map<std::string, Member> now;
  for (const Member &it : list.Change.Some) {
    now.emplace(it.Record.Id, it);
  }
  const bool counted = board.KnownMembers != list.Known;
  board.KnownMembers = list.Known;
  const bool changed = update(board.Members, now, sequence);
  if (counted) {
    board.Members.ChangedAt = sequence;
  }
  return changed || counted;
}

// Writes what is news, or nothing.
std::string write(const NewsBoard &board, std::uint64_t after) {
  News news;
  news.Boot = board.Boot;
  news.Sequence = board.Sequence;
  bool any = false;
  if (board.ConfigAt > after) {
    news.Config = board.Config;
    any = true;
  }
  if (board.Upstreams.ChangedAt > after) {
    UpstreamList &list = news.Upstreams.emplace();
    list.AsOf = board.UpstreamsAsOf;
    fill(list.Change, board.Upstreams, after);
    any = true;
  }
  if (board.DomainsAt > after) {
    news.Domains = board.Domains;
    any = true;
  }
  if (board.Members.ChangedAt > after) {
    MemberList &list = news.Fleet.emplace();
    list.Known = board.KnownMembers;
    fill(list.Change, board.Members, after);
    any = true;
  }
  return any ? encodeNews(news) : "";
}

} // namespace

bool post(NewsBoard &board, const News &news) {
  const std::uint64_t next = board.Sequence + 1;
  bool changed = false;
  if (news.Config) {
    board.Config = news.Config;
    board.ConfigAt = next;
    changed = true;
  }
  if (news.Upstreams) {
    changed = postUpstreams(board, *news.Upstreams, next) || changed;
  }
  if (news.Domains) {
    board.Domains = *news.Domains;
    board.DomainsAt = next;
    changed = true;
  }
  if (news.Fleet) {
    changed = postMembers(board, *news.Fleet, next) || changed;
  }
  if (changed) {
    board.Sequence = next;
    board.Answers.clear();
  }
  return changed;
}

void clear(NewsBoard &board) {
  board.Config = nullptr;
  board.ConfigAt = 0;
  board.DomainsAt = 0;
  takeDown(board.Upstreams, board.Sequence + 1);
  takeDown(board.Members, board.Sequence + 1);
  board.Answers.clear();
  board.WholeAt = 0;
}

const std::string *newsAfter(NewsBoard &board, std::uint64_t after) {
  if (after == 0) {
    if (board.WholeAt == 0 || board.Sequence - board.WholeAt > WholeKeptFor) {
      board.Whole = write(board, 0);
      board.WholeAt = board.Whole.empty() ? 0 : board.Sequence;
    }
    return board.Whole.empty() ? nullptr : &board.Whole;
  }
  const auto known = board.Answers.find(after);
  if (known != board.Answers.end()) {
    return &known->second;
  }
  std::string news = write(board, after);
  return news.empty()
             ? nullptr
             : &board.Answers.emplace(after, std::move(news)).first->second;
}

} // namespace zinniarail::fleet
