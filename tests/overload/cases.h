#ifndef DAMASKGLADE_TESTS_OVERLOAD_CASES_H
#define DAMASKGLADE_TESTS_OVERLOAD_CASES_H

#include "tests/overload/clients.h"

namespace damaskglade::overload {

inline constexpr const char *Host = "queue.example";
inline constexpr const char *JobPath = "/work/";

/// The clients of a test case; empty if there is no such case.
std::vector<Client> makeClients(const std::string &Case, int CallerPort,
                                int ReadinessPort);

/// A request with a body, "Content-Length" and "Host".
std::string makeRequest(const std::string &Method, const std::string &Path,
                        const std::string &Body);

} // namespace damaskglade::overload

#endif
