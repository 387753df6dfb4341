// Tells from gateways' logs whom each of them asks for the store's tables.
#ifndef ACACIACHUTE_SRC_CTL_LOG_SOURCES_H_
#define ACACIACHUTE_SRC_CTL_LOG_SOURCES_H_

#include <istream>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// At the end of the log.
struct SourceOf {
  std::string table;
  std::string gateway;
  std::string source;  // Another gateway, or "store".
  TimeUs since = 0;    // Wall clock.
  std::string why;     // What the source before failed by; empty: it did not.
  std::size_t changes = 0;    // Since the gateway started.
  std::size_t followers = 0;  // Gateways that ask this one.
};

// By table, those that are asked most first. A gateway that has stopped is left
// out.
std::vector<SourceOf> SourcesFromLog(std::istream* log);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_LOG_SOURCES_H_
