#ifndef DAMASKGLADE_NODE_CONFIG_API_H
#define DAMASKGLADE_NODE_CONFIG_API_H

#include "config/follower.h"
#include "config/version_store.h"
#include "node/services.h"
#include "ports/http.h"

#include <string>

namespace damaskglade::node {

/// HTTP interface to the configuration of the cell. Thread-safe.
class ConfigApi {
public:
  ConfigApi(Services &Ports, config::VersionStore &Versions,
            config::Follower &Follower)
      : Ports_(Ports), Versions_(Versions), Follower_(Follower) {}

  /// The reply to a path below /v1/config; Rest is the part after it.
  HttpReply handle(const HttpRequest &Request, const std::string &Rest);

private:
  HttpReply show();
  HttpReply history();
  HttpReply push(const HttpRequest &Request);
  HttpReply rollback(const HttpRequest &Request);
  HttpReply pushed(const Result<config::VersionInfo> &Done);
  HttpReply refuse(const Error &Failure);

  Services &Ports_;
  config::VersionStore &Versions_;
  config::Follower &Follower_;
};

} // namespace damaskglade::node

#endif
