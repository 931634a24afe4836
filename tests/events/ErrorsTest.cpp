// Guards against swallowed errors: searches the sources for empty exception
// handlers and for socket calls whose result is discarded.
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace {

const std::vector<std::string> Folders{"src", "platform", "programs"};

/// A call whose result may be discarded, and why.
struct Exemption {
  const char *Call;
  const char *File;
  const char *Why;
};
const std::vector<Exemption> Exemptions{
    {"setsockopt", "src/http/Sockets.cpp",
     "without the option a connection is only slower or its loss noticed "
     "later"},
    {"sendto", "src/fleet/PeerTask.cpp",
     "a datagram that can't be sent counts as lost; the next one follows"},
    {"shutdown", "src/http/Server.cpp",
     "a connection that is already closed needs no shutdown"},
};

/// Reads a source file and removes its comments.
std::string readWithoutComments(const std::filesystem::path &path) {
  std::ifstream in(path);
  const std::string all(std::istreambuf_iterator<char>(in), {});
  return std::regex_replace(all, std::regex("//[^\n]*"), "");
}

std::vector<std::string> findAll(const std::string &text,
                                 const std::string &pattern) {
  const std::regex regex(pattern);
  std::vector<std::string> out;
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end;
       ++it) {
    out.push_back(it->str(1));
  }
  return out;
}

template <typename Visit>
void forEachSource(const std::string &folder, Visit visit) {
  const std::filesystem::path root(ZINNIARAIL_SOURCE_DIR);
  for (const auto &it :
       std::filesystem::recursive_directory_iterator(root / folder)) {
    const std::string kind = it.path().extension();
    if (kind == ".cpp" || kind == ".h") {
      visit(std::filesystem::relative(it.path(), root).string(),
            readWithoutComments(it.path()));
    }
  }
}

} // namespace

BOOST_DATA_TEST_CASE(noExceptionHandlerIsEmpty, Folders, folder) {
  forEachSource(folder, [](const std::string &file, const std::string &text) {
    const auto found = findAll(text, R"((catch\s*\([^)]*\)\s*\{\s*\}))");
    BOOST_TEST(found.empty(), file);
  });
}

BOOST_DATA_TEST_CASE(noResultOfASocketCallIsDiscarded, Folders, folder) {
  // Statements that begin with a call whose first argument is a descriptor.
  const std::string calls =
      R"([;{}]\s*(?:::)?(send|sendto|recv|write|read|bind|listen|connect|)"
      R"(accept4|shutdown|setsockopt|getsockopt)\s*\(\s*[\w.>-]*)"
      R"((?:[fF]d|Socket|Listener)\b)";
  forEachSource(folder, [&](const std::string &file, const std::string &text) {
    for (const std::string &call : findAll(text, calls)) {
      const bool exempt = std::any_of(
          Exemptions.begin(), Exemptions.end(), [&](const Exemption &it) {
            return call == it.Call && file == it.File;
          });
      BOOST_TEST(exempt, file << ": the result of " << call);
    }
  });
}

// If the pattern never matched, the search for empty handlers would always
// pass.
BOOST_AUTO_TEST_CASE(thePatternMatchesAnEmptyHandler) {
  BOOST_TEST(findAll("try {} catch (const E &) { }",
                     R"((catch\s*\([^)]*\)\s*\{\s*\}))")
                 .size() == 1);
}
