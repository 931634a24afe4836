#include "zinniarail/daemon/Daemon.h"

#include <csignal>

#include <prometheus/registry.h>

#include "zinniarail/control/ControlTask.h"
#include "zinniarail/events/Events.h"
#include "zinniarail/gateway/GatewayTask.h"
#include "zinniarail/operator/OperatorTask.h"
#include "zinniarail/peers/PeersTask.h"

namespace zinniarail {

namespace {

/// The tasks of one process. Control and peers post to the gateway, so they
/// end before it does.
struct Tasks {
  Tasks(const Settings &settings, prometheus::Registry &registry)
      : Gateway(
            settings,
            {[this](control::Message it) {
               Control.inbox().post(std::move(it));
             },
             [this](peers::Message it) { Peers.inbox().post(std::move(it)); }},
            registry),
        Peers(
            settings,
            [this](gateway::Message it) {
              Gateway.inbox().post(std::move(it));
            },
            [this](control::Message it) {
              Control.inbox().post(std::move(it));
            }),
        Control(settings, {[this](gateway::Message it) {
                             Gateway.inbox().post(std::move(it));
                           },
                           [this](peers::Message it) {
                             Peers.inbox().post(std::move(it));
                           }}) {}

  gateway::GatewayTask Gateway;
  PeersTask Peers;
  control::ControlTask Control;
};

OperatorSources makeSources(const Settings &settings, Tasks &tasks,
                            prometheus::Registry &registry) {
  OperatorSources sources;
  sources.Instance = settings.InstanceId;
  sources.Environment = settings.Environment;
  sources.Current = [&tasks] { return tasks.Gateway.status().Current; };
  sources.Stopping = [&tasks] { return tasks.Gateway.status().Stopping; };
  sources.Drain = [&tasks] {
    tasks.Gateway.inbox().post(gateway::StopWanted{});
  };
  sources.Dumps = {
      {"gateway",
       [&tasks](TakeDump it) {
         tasks.Gateway.inbox().post(gateway::DumpWanted{std::move(it)});
       }},
      {"peers",
       [&tasks](TakeDump it) {
         tasks.Peers.inbox().post(peers::DumpWanted{std::move(it)});
       }},
      {"control", [&tasks](TakeDump it) {
         tasks.Control.inbox().post(control::DumpWanted{std::move(it)});
       }}};
  sources.Trace = [&tasks](const std::string &service, TakeTrace answer) {
    tasks.Gateway.inbox().post(
        gateway::TraceWanted{service, std::move(answer)});
  };
  sources.Metrics = &registry;
  return sources;
}

// Signals are the gateway's: the other threads inherit the block.
void blockStopSignals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(how, &signals, nullptr);
}

} // namespace

ExitCode runDaemon(const Settings &settings) {
  prometheus::Registry registry;
  Tasks tasks(settings, registry);
  if (const auto opened = tasks.Gateway.open(); !opened) {
    logEvent(EventId::PortUnusable, opened.error().Message);
    return ExitCode::Failed;
  }
  blockStopSignals(SIG_BLOCK);
  if (const auto started = tasks.Peers.start(); !started) {
    logEvent(EventId::PortUnusable, started.error().Message);
    return ExitCode::Failed;
  }
  OperatorTask operators(makeSources(settings, tasks, registry));
  if (const auto started = operators.start(settings.OperatorAddress);
      !started) {
    logEvent(EventId::PortUnusable, started.error().Message);
    return ExitCode::Failed;
  }
  tasks.Control.start();
  tasks.Gateway.stopOnSignals();
  blockStopSignals(SIG_UNBLOCK);
  logEvent(EventId::Started, settings.InstanceId + " in " +
                                 settings.FailureDomain + ", callers at " +
                                 settings.CallerAddress);
  const ExitCode code = tasks.Gateway.run();
  operators.stop();
  tasks.Control.stop();
  tasks.Peers.stop();
  logEvent(code == ExitCode::Done ? EventId::Stopped : EventId::StopCutShort,
           settings.InstanceId);
  return code;
}

} // namespace zinniarail
