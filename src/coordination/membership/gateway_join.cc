#include "coordination/membership/gateway_join.h"

#include <utility>

#include "address_text.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr std::string_view kNodePrefix = "node/";
constexpr std::string_view kFrameKeyRow = "frame-key";

}  // namespace

GatewayJoin::GatewayJoin(NodeId self,
                         Address address,
                         GatewayJoinOutput* output,
                         Random* random,
                         EventLog* log)
    : self_(std::move(self)),
      address_(std::move(address)),
      output_(output),
      random_(random),
      log_(log) {}

void GatewayJoin::OnTick(TimeUs now) {
  if (!awaiting_store_ && now >= next_step_at_) {
    BeginStep(now, step_);
  }
}

void GatewayJoin::BeginStep(TimeUs now, Step step) {
  step_ = step;
  awaiting_store_ = true;
  switch (step) {
    case Step::kWriteSelf:
      output_->WriteGateway(StrCat(kNodePrefix, self_), AddressText(address_),
                            false);
      return;
    case Step::kRead:
      output_->ReadGateways();
      return;
    case Step::kWriteKey:
      output_->WriteGateway(std::string(kFrameKeyRow),
                            StrCat(random_->Next(), "-", random_->Next()),
                            true);
      return;
  }
}

void GatewayJoin::OnWritten(TimeUs now, bool decided) {
  awaiting_store_ = false;
  if (!decided) {
    // The answer may have been lost after the write took effect. Writing again
    // is harmless, and so is finding the key in place.
    next_step_at_ = now + kRetryDelay;
    return;
  }
  BeginStep(now, Step::kRead);
}

void GatewayJoin::OnRows(TimeUs now, const TableAnswer& answer) {
  awaiting_store_ = false;
  if (answer.kind != TableAnswer::Kind::kRows) {
    next_step_at_ = now + kRetryDelay;
    return;
  }
  for (const TableRow& it : answer.rows) {
    if (it.key == kFrameKeyRow && !has_frame_key_) {
      has_frame_key_ = true;
      output_->OnFrameKey(it.value);
    }
  }
  if (!has_frame_key_) {
    BeginStep(now, Step::kWriteKey);
    return;
  }
  std::size_t others = 0;
  for (const TableRow& it : answer.rows) {
    std::string_view key = it.key;
    const auto address = ParseAddress(it.value);
    if (ConsumePrefix(&key, kNodePrefix) && address && key != self_) {
      output_->OnGateway(NodeId(key), *address);
      ++others;
    }
  }
  joined_at_ = joined_at_.value_or(now);
  log_->Write("joined", {{"others", others}});
  next_step_at_ = now + kReadPeriod;
}

}  // namespace acaciachute
