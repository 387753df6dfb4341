#include "coordination/gateway/service_retry_budget.h"

#include "text.h"

namespace acaciachute {

double ServiceRetryBudget::Allowed(TimeUs now) {
  return kUsableShare * (limits_.slack / static_cast<double>(gateway_count_) +
                         limits_.ratio * Sum(&requests_, now));
}

bool ServiceRetryBudget::TryUse(TimeUs now, const Retry& retry) {
  const bool allowed = Sum(&retries_, now) + retry.count <= Allowed(now);
  if (allowed) {
    Add(&retries_, now, retry.count);
  }
  Report(now, retry, allowed ? "paid" : "refused");
  return allowed;
}

void ServiceRetryBudget::OnFree(TimeUs now, const Retry& retry) {
  Report(now, retry, "free");
}

void ServiceRetryBudget::Report(TimeUs now,
                                const Retry& retry,
                                std::string_view outcome) {
  const double left = Allowed(now) - Sum(&retries_, now);
  metrics_->Count("acaciachute_gateway_second_sends_total",
                  StrCat(service_, " ", Name(retry.reason), " ", outcome),
                  retry.count);
  metrics_->SetGauge("acaciachute_gateway_retry_budget_left", service_, left);
  log_->Write("retry", {{"id", retry.request},
                        {"service", service_},
                        {"reason", Name(retry.reason)},
                        {"count", retry.count},
                        {"outcome", outcome},
                        {"left", left},
                        {"gateways", gateway_count_}});
}

}  // namespace acaciachute
