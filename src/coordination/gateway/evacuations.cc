#include "coordination/gateway/evacuations.h"

#include <set>

namespace acaciachute {

void Evacuations::LogState(const EvacuationRow& order, std::string_view state) {
  metrics_->Count("acaciachute_gateway_evacuations_total", state);
  log_->Write("evacuation", {{"domain", order.domain},
                             {"state", state},
                             {"row_version", order.version},
                             {"replicas", directory_->CountIn(order.domain)}});
}

Evacuations::DomainState* Evacuations::AcceptVersion(
    const EvacuationRow& order) {
  DomainState& domain_state = domains_[order.domain];
  if (order.version < domain_state.version) {
    log_->Write("evacuation_passed_over", {{"domain", order.domain},
                                           {"row_version", order.version},
                                           {"known", domain_state.version}});
    return nullptr;
  }
  domain_state.version = order.version;
  return &domain_state;
}

bool Evacuations::OnOrder(const EvacuationRow& order) {
  DomainState* domain_state = AcceptVersion(order);
  if (domain_state == nullptr || domain_state->in_force) {
    return false;  // Already evacuated; only the version is updated.
  }
  domain_state->in_force = true;
  directory_->Evacuate(order.domain);
  LogState(order, "ordered");
  return true;
}

void Evacuations::OnEvacuationEnded(TimeUs now, const EvacuationRow& order) {
  DomainState* domain_state = AcceptVersion(order);
  if (domain_state == nullptr || !domain_state->in_force) {
    return;
  }
  domain_state->in_force = false;
  directory_->EndEvacuation(now, order.domain);
  LogState(order, "taken_back");
}

bool Evacuations::OnTable(TimeUs now,
                          const std::vector<EvacuationRow>& orders,
                          std::uint64_t version) {
  bool newly_evacuated = false;
  std::set<std::string> listed_domains;
  for (const EvacuationRow& it : orders) {
    listed_domains.insert(it.domain);
    newly_evacuated = OnOrder(it) || newly_evacuated;
  }
  for (const auto& [domain, domain_state] : domains_) {
    if (domain_state.in_force && !listed_domains.contains(domain)) {
      OnEvacuationEnded(now, {domain, version});
    }
  }
  return newly_evacuated;
}

}  // namespace acaciachute
