// Blocking access to the platform's table for the command-line program.
#ifndef ACACIACHUTE_SRC_CTL_PLATFORM_TABLE_H_
#define ACACIACHUTE_SRC_CTL_PLATFORM_TABLE_H_

#include <memory>
#include <string>
#include <vector>

#include "state/store.h"
#include "transport/http_client.h"

namespace acaciachute {

// Sends an HTTP request and waits for its result.
HttpResult CallAndWait(const HttpRequest& request);

class PlatformTable {
 public:
  explicit PlatformTable(std::string url) : url_(std::move(url)) {}
  StoreAnswer Transact(const std::vector<StoreOp>& ops);

 private:
  const std::string url_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_PLATFORM_TABLE_H_
