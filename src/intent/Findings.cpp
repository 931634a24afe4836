#include "intent/Findings.h"

namespace zinniarail {

namespace {

constexpr std::size_t MaxQuotedLength = 100;
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7f;

} // namespace

std::string quote(std::string_view name) {
  std::string out = "\"";
  for (const char it : name.substr(0, MaxQuotedLength)) {
    const auto code = static_cast<unsigned char>(it);
    out += code < FirstPrintable || code >= Delete || it == '"' ? '?' : it;
  }
  return out + (name.size() > MaxQuotedLength ? "...\"" : "\"");
}

std::string describeNamed(const char *kind, std::string_view name) {
  return std::string(kind) + " " + quote(name);
}

std::string describeRoute(const Route &route) {
  return "route " + quote(route.Name) + " (" +
         quote(route.Host + route.PathPrefix) + ")";
}

std::string describeDestinations(const Route &route) {
  if (route.Destinations.size() == 1) {
    return quote(route.Destinations.front().Service);
  }
  std::string out;
  for (const Destination &it : route.Destinations) {
    out += (out.empty() ? "" : ", ") + quote(it.Service) + " " +
           std::to_string(it.Weight);
  }
  return out;
}

} // namespace zinniarail
