// Determines from gateways' logs from which source each gateway gets each of
// the store's tables.
#ifndef ACACIACHUTE_SRC_CTL_LOG_SOURCES_H_
#define ACACIACHUTE_SRC_CTL_LOG_SOURCES_H_

#include <istream>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// A gateway's source of a table at the end of the log.
struct GatewaySource {
  std::string table;
  std::string gateway;
  std::string source;       // Another gateway, or "store".
  TimeUs since = 0;         // Wall-clock time of the last change of the source.
  std::string why;          // Failure of the previous source; empty: none.
  std::size_t changes = 0;  // Changes of the source since the gateway started.
  std::size_t followers = 0;  // Gateways that get the table from this one.
};

// Returns the sources sorted by table and then by descending number of
// followers. Gateways that have stopped are omitted.
std::vector<GatewaySource> SourcesFromLog(std::istream* log);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_LOG_SOURCES_H_
