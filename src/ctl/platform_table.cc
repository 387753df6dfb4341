#include "ctl/platform_table.h"

#include "protocol/platform_codec.h"
#include "text.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

constexpr DurationUs kCallTimeout = 10 * kSecond;

}  // namespace

HttpResult CallAndWait(const HttpRequest& request) {
  Loop loop;
  HttpClient client(kCallTimeout);
  HttpResult out;
  client.Call(request, [&](const HttpResult& result) {
    out = result;
    loop.Quit();
  });
  loop.Run();
  return out;
}

StoreAnswer PlatformTable::Transact(const std::vector<StoreOp>& ops) {
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat(url_, kTransactPath);
  request.body = EncodeTransaction(ops);
  const HttpResult result = CallAndWait(request);
  if (!result.sent) {
    return {StoreStatus::kUnavailable, {}};
  }
  return result.ended() ? DecodeStoreAnswer(result.status, result.body)
                        : StoreAnswer{};
}

}  // namespace acaciachute
