// Requests that give way when clients make this process hold too much.
#include "coordination/gateway/gateway_impl.h"

namespace acaciachute {

// A request that waits here has not run. One that was sent may have: it is not
// broken off for its body, which is kept for a further attempt only.
GaveWay Gateway::Impl::GiveWay(ServingRequest* request) {
  if (request->attempt.call == 0) {
    Refuse(request, {Refusal::kFull, Verdict::kNotRun, 0, "memory is short"});
    return GaveWay::kRequestRefused;
  }
  if (request->call.body.unique()) {
    ReleaseBody(request);
    return GaveWay::kBodyReleased;
  }
  if (!request->attempt.body.empty()) {
    AbandonAttempt(request);
    ++request->possible_runs;
    Refuse(request, {Refusal::kUpstreamFailed, Verdict::kMayHaveRun, 0,
                     "memory is short for its answer"});
    return GaveWay::kRequestRefused;
  }
  return GaveWay::kNothing;
}

void Gateway::Impl::ReleaseBody(ServingRequest* request) {
  log->Write("body_released", {{"id", request->call.id},
                               {"fingerprint", FingerprintOf(request)},
                               {"bytes", request->call.body.size()}});
  request->call.body = {};
  request->body_released = true;
}

GaveWay Gateway::OnMemoryShort(ExchangeId id) {
  ServingRequest* request = impl_->FindByExchange(id);
  return request == nullptr ? GaveWay::kNothing : impl_->GiveWay(request);
}

}  // namespace acaciachute
