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
  if (!waiting_ && now >= next_at_) {
    Go(now, step_);
  }
}

void GatewayJoin::Go(TimeUs now, Step step) {
  step_ = step;
  waiting_ = true;
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
  waiting_ = false;
  if (!decided) {
    // A write whose answer was lost may have been done; doing it again, or
    // finding the key there, is harmless.
    next_at_ = now + kRetry;
    return;
  }
  Go(now, Step::kRead);
}

void GatewayJoin::OnRows(TimeUs now, const TableAnswer& answer) {
  waiting_ = false;
  if (answer.kind != TableAnswer::Kind::kRows) {
    next_at_ = now + kRetry;
    return;
  }
  for (const TableRow& it : answer.rows) {
    if (it.key == kFrameKeyRow && !have_key_) {
      have_key_ = true;
      output_->OnFrameKey(it.value);
    }
  }
  if (!have_key_) {
    Go(now, Step::kWriteKey);
    return;
  }
  std::size_t n = 0;
  for (const TableRow& it : answer.rows) {
    std::string_view key = it.key;
    const auto address = ParseAddress(it.value);
    if (ConsumePrefix(&key, kNodePrefix) && address && key != self_) {
      output_->OnGateway(NodeId(key), *address);
      ++n;
    }
  }
  joined_at_ = joined_at_.value_or(now);
  log_->Write("joined", {{"others", n}});
  next_at_ = now + kReadAgain;
}

}  // namespace acaciachute
