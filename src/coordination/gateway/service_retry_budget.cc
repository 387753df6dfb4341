#include "coordination/gateway/service_retry_budget.h"

#include <algorithm>

#include "text.h"

namespace acaciachute {
namespace {

// Tokens are sums of fractions; a sum this close to a whole number is one.
constexpr double kRoundingError = 1e-6;

}  // namespace

void ServiceRetryBudget::SetLimits(TimeUs now,
                                   const ServiceRetryBudgetLimits& limits) {
  Refill(now);
  limits_ = limits;
  DiscardExcess();
}

void ServiceRetryBudget::SetGatewayCount(TimeUs now, std::size_t n) {
  if (n == gateway_count_) {
    return;
  }
  Refill(now);
  gateway_count_ = n;
  DiscardExcess();
}

double ServiceRetryBudget::FixedPart() const {
  return gateway_count_ == 0 ? 0
                             : kKnownGatewaysShare * limits_.slack /
                                   static_cast<double>(gateway_count_);
}

double ServiceRetryBudget::Capacity() const {
  return kHeldShare * (FixedPart() + limits_.ratio * request_count_);
}

void ServiceRetryBudget::Refill(TimeUs now) {
  while (!requests_.empty() && requests_.front().time < now - limits_.window) {
    request_count_ -= requests_.front().count;
    requests_.pop_front();
  }
  while (!unconfirmed_.empty() && unconfirmed_.front().time <= now) {
    in_transit_ -= unconfirmed_.front().count;
    unconfirmed_.pop_front();
  }
  if (new_unconfirmed_ > 0) {
    unconfirmed_.push_back({now + limits_.window, new_unconfirmed_});
    new_unconfirmed_ = 0;
  }
  const double windows =
      static_cast<double>(std::max<DurationUs>(0, now - refilled_at_)) /
      static_cast<double>(limits_.window);
  refilled_at_ = std::max(refilled_at_, now);
  tokens_ += (1 - kHeldShare) * FixedPart() * windows;
  DiscardExcess();
}

void ServiceRetryBudget::DiscardExcess() {
  tokens_ = std::clamp(tokens_, 0.0, std::max(0.0, Capacity() - in_transit_));
}

void ServiceRetryBudget::OnRequest(TimeUs now, double part) {
  Refill(now);
  if (requests_.empty() || now - requests_.back().time >= kCountInterval) {
    requests_.push_back({now, 0});
  }
  requests_.back().count += part;
  request_count_ += part;
  tokens_ += (1 - kHeldShare) * limits_.ratio * part;
  DiscardExcess();
}

bool ServiceRetryBudget::TryUse(TimeUs now, const Retry& retry) {
  Refill(now);
  const bool allowed = tokens_ + kRoundingError >= retry.count;
  if (allowed) {
    tokens_ -= retry.count;
    in_transit_ += retry.count;
  }
  Report(retry, allowed ? "paid" : "refused");
  return allowed;
}

void ServiceRetryBudget::OnArrived(std::uint32_t n) {
  in_transit_ -= n;
}

void ServiceRetryBudget::OnNotSent(std::uint32_t n) {
  in_transit_ -= n;
  tokens_ += n;
  DiscardExcess();
}

void ServiceRetryBudget::OnUnconfirmed(std::uint32_t n) {
  new_unconfirmed_ += n;
}

double ServiceRetryBudget::Available(TimeUs now) {
  Refill(now);
  return tokens_;
}

void ServiceRetryBudget::Report(const Retry& retry, std::string_view outcome) {
  metrics_->Count("acaciachute_gateway_second_sends_total",
                  StrCat(service_, " ", Name(retry.reason), " ", outcome),
                  retry.count);
  metrics_->SetGauge("acaciachute_gateway_retry_budget_left", service_,
                     tokens_);
  log_->Write("retry", {{"id", retry.request},
                        {"service", service_},
                        {"reason", Name(retry.reason)},
                        {"count", retry.count},
                        {"outcome", outcome},
                        {"left", tokens_},
                        {"capacity", Capacity()},
                        {"in_transit", in_transit_},
                        {"gateways", gateway_count_}});
}

}  // namespace acaciachute
