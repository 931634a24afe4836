#include "control/Roster.h"

namespace zinniarail::control {

using objects::Outcome;
using objects::Reply;

namespace {

std::string rosterKey(const std::string &environment) {
  return "environments/" + environment + "/roster";
}

peers::RosterRead describeRead(const Reply &reply) {
  if (reply.How == Outcome::NotFound) {
    return {.Reached = true};
  }
  if (reply.How != Outcome::Done) {
    return {};
  }
  return {true, reply.Version, reply.Bytes};
}

} // namespace

void readRoster(objects::Client &client, const std::string &environment,
                RosterCallback done) {
  client.get(rosterKey(environment),
             [done = std::move(done)](const Reply &reply) {
               done(describeRead(reply));
             });
}

void writeRoster(objects::Client &client, const std::string &environment,
                 const WriteRoster &wanted, RosterCallback done) {
  client.put(rosterKey(environment), wanted.Bytes, wanted.Version,
             [&client, environment, bytes = wanted.Bytes,
              done = std::move(done)](const Reply &reply) {
               if (reply.How == Outcome::Done) {
                 done({true, reply.Version, bytes});
               } else if (reply.How == Outcome::Conflict ||
                          reply.How == Outcome::Unknown) {
                 readRoster(client, environment, done);
               } else {
                 done({});
               }
             });
}

} // namespace zinniarail::control
