#include "coordination/interface/platform_client.h"

#include <algorithm>

namespace acaciachute {

StorePurpose PurposeOf(const std::vector<StoreOp>& ops) {
  const bool writes = std::any_of(ops.begin(), ops.end(), [](const auto& it) {
    return it.kind == StoreOpKind::kInsert || it.kind == StoreOpKind::kUpdate;
  });
  return writes ? StorePurpose::kClaimWrites : StorePurpose::kClaimReads;
}

PlatformClient::PlatformClient(Random* random, Metrics* metrics)
    : metrics_(metrics), breaker_(random) {
  for (std::size_t n = 0; n < budgets_.size(); ++n) {
    budgets_[n].tokens = kPurposeRules[n].burst;
  }
}

bool PlatformClient::TakeToken(TimeUs now, StorePurpose purpose) {
  const PurposeRule& rule = Rule(purpose);
  Budget& budget = budgets_[static_cast<std::size_t>(purpose)];
  const auto passed = static_cast<double>(now - budget.filled_at) / kSecond;
  budget.filled_at = now;
  budget.tokens =
      std::min<double>(rule.burst, budget.tokens + passed * rule.per_second);
  if (budget.tokens < 1 || budget.in_progress >= rule.max_concurrent) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}

std::optional<PlatformClient::CallId> PlatformClient::Start(
    TimeUs now,
    StorePurpose purpose) {
  const PurposeRule& rule = Rule(purpose);
  if (!rule.allowed_while_down && !breaker_.Allows(now)) {
    metrics_->Count("acaciachute_platform_held_back_total", rule.name);
    return std::nullopt;
  }
  if (!TakeToken(now, purpose)) {
    metrics_->Count("acaciachute_platform_over_budget_total", rule.name);
    return std::nullopt;
  }
  const CallId call = next_call_++;
  calls_[call] = purpose;
  ++budgets_[static_cast<std::size_t>(purpose)].in_progress;
  breaker_.OnStart(now, call);
  metrics_->Count("acaciachute_platform_calls_total", rule.name);
  return call;
}

void PlatformClient::End(TimeUs now, CallId call, StoreStatus status) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) {
    return;
  }
  --budgets_[static_cast<std::size_t>(it->second)].in_progress;
  if (status == StoreStatus::kUnavailable || status == StoreStatus::kUnknown) {
    metrics_->Count("acaciachute_platform_failures_total",
                    Rule(it->second).name);
  }
  calls_.erase(it);
  // A conflict also shows that the platform answers.
  const bool answered =
      status == StoreStatus::kOk || status == StoreStatus::kConflict;
  breaker_.OnEnd(now, call,
                 answered ? CallOutcome::kAnswered : CallOutcome::kFailed);
}

}  // namespace acaciachute
