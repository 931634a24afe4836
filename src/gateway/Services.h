/// \file
/// The services as this instance knows them: where each is at home, and the
/// engines of those that are at home here.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "zinniarail/dispatch/Engine.h"
#include "zinniarail/homes/Homes.h"
#include "zinniarail/membership/View.h"
#include "zinniarail/trace/Recorder.h"

namespace zinniarail::gateway {

/// One service. The address of an entry stays while the process lives.
struct ServiceEntry {
  std::string Name;
  std::uint64_t Index = 0; ///< Numbers its attempts apart from others'.
  bool Known = false;      ///< The document in force names it.
  bool AtHome = false;     ///< This instance is one of its homes.
  ServiceSpec Spec;
  Homes Places;
  ServiceStatePtr Engine; ///< Null until a request needs it.
  std::unique_ptr<trace::Recorder> Recording; ///< Null when it is off.
  /// Of the engine's plan, by id.
  std::unordered_map<std::string, UpstreamSpec> Upstreams;
  /// This instance's share of each upstream's connections.
  std::unordered_map<std::string, unsigned> Connections;
  Instant Wake = Instant::max(); ///< When its engine is to be woken.
};

/// What the entries need to know of this process.
struct ServiceContext {
  std::string Self;
  RoutingPolicy Policy = RoutingPolicy::Homes;
  std::uint64_t Seed = 0;
  std::size_t TraceBytes = 0; ///< For each service; 0: no recording.
};

/// All services of this process.
struct ServiceTable {
  ServiceContext Context;
  std::shared_ptr<const View> Current; ///< Null until the first view.
  std::map<std::string, std::unique_ptr<ServiceEntry>, std::less<>> Entries;
};

/// What to tell an entry's engine when a view brings a change.
struct EngineChange {
  ServiceEntry *Entry;
  Actions Wanted;
};

/// Puts a view into force: places services anew and replans engines when
/// anything but the view's validity changed.
std::vector<EngineChange>
applyView(ServiceTable &table, std::shared_ptr<const View> view, Instant now);

/// Finds a service that the document in force names.
/// \returns null when there is none.
ServiceEntry *findEntry(ServiceTable &table, std::string_view name);

/// The engine of a service, made on first use.
ServiceState &engineOf(ServiceTable &table, ServiceEntry &entry, Instant now);

/// The class of a request: the first that matches.
/// \param path of the request, with the service's name.
/// \returns null when none matches.
const RequestClass *matchClass(const ServiceSpec &service,
                               std::string_view method, std::string_view path);

} // namespace zinniarail::gateway
