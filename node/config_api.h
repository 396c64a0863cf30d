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

  /// Handles a request below /v1/config; SubPath is the rest of the path.
  HttpReply handle(const HttpRequest &Request, const std::string &SubPath);

private:
  HttpReply showCurrent();
  HttpReply history();
  HttpReply push(const HttpRequest &Request);
  HttpReply rollback(const HttpRequest &Request);
  HttpReply pushReply(const Result<config::VersionInfo> &NewVersion);
  HttpReply refusalReply(const Error &Failure);

  Services &Ports_;
  config::VersionStore &Versions_;
  config::Follower &Follower_;
};

} // namespace damaskglade::node

#endif
