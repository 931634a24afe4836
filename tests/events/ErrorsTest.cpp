// No error is swallowed: the sources are searched for empty handlers and for
// calls to sockets whose result nobody looks at.
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

const std::vector<std::string> Folders{"src", "platform", "programs"};

/// A call whose result may be passed over, and why.
struct Exempt {
  const char *Call;
  const char *File;
  const char *Why;
};
const std::vector<Exempt> Exempts{
    {"setsockopt", "src/http/Sockets.cpp",
     "a connection without the option is slower or noticed later, not wrong"},
    {"sendto", "src/fleet/PeerTask.cpp",
     "a datagram that can't be sent is as good as lost, and the next follows"},
    {"shutdown", "src/http/Server.cpp",
     "a connection that is gone already needs no end"},
};

/// A source without its comments.
std::string textOf(const std::filesystem::path &path) {
  std::ifstream in(path);
  const std::string all(std::istreambuf_iterator<char>(in), {});
  return std::regex_replace(all, std::regex("//[^\n]*"), "");
}

std::vector<std::string> findAll(const std::string &text,
                                 const std::string &pattern) {
  const std::regex wanted(pattern);
  std::vector<std::string> out;
  for (std::sregex_iterator it(text.begin(), text.end(), wanted), end;
       it != end; ++it) {
    out.push_back(it->str(1));
  }
  return out;
}

template <typename Look> void eachSource(const std::string &folder, Look look) {
  const std::filesystem::path root(ZINNIARAIL_SOURCE_DIR);
  for (const auto &it :
       std::filesystem::recursive_directory_iterator(root / folder)) {
    const std::string kind = it.path().extension();
    if (kind == ".cpp" || kind == ".h") {
      look(std::filesystem::relative(it.path(), root).string(),
           textOf(it.path()));
    }
  }
}

} // namespace

BOOST_DATA_TEST_CASE(noHandlerIsEmpty, Folders, folder) {
  eachSource(folder, [](const std::string &file, const std::string &text) {
    const auto found = findAll(text, R"((catch\s*\([^)]*\)\s*\{\s*\}))");
    BOOST_TEST(found.empty(), file);
  });
}

BOOST_DATA_TEST_CASE(noResultOfASocketIsPassedOver, Folders, folder) {
  // Statements that begin with the call; its first argument is a descriptor.
  const std::string calls =
      R"([;{}]\s*(?:::)?(send|sendto|recv|write|read|bind|listen|connect|)"
      R"(accept4|shutdown|setsockopt|getsockopt)\s*\(\s*[\w.>-]*)"
      R"((?:[fF]d|Socket|Listener)\b)";
  eachSource(folder, [&](const std::string &file, const std::string &text) {
    for (const std::string &call : findAll(text, calls)) {
      const bool exempt =
          std::any_of(Exempts.begin(), Exempts.end(), [&](const Exempt &it) {
            return call == it.Call && file == it.File;
          });
      BOOST_TEST(exempt, file << ": the result of " << call);
    }
  });
}

// What finds nothing at all would find no fault either.
BOOST_AUTO_TEST_CASE(theSearchFindsWhatItIsFor) {
  BOOST_TEST(findAll("try {} catch (const E &) { }",
                     R"((catch\s*\([^)]*\)\s*\{\s*\}))")
                 .size() == 1);
}
