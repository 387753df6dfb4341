#include "coordination/gateway/evacuations.h"

#include <set>

namespace acaciachute {

void Evacuations::Tell(const EvacuationRow& order, std::string_view state) {
  metrics_->Count("acaciachute_gateway_evacuations_total", state);
  log_->Write("evacuation", {{"domain", order.domain},
                             {"state", state},
                             {"row_version", order.version},
                             {"replicas", directory_->CountIn(order.domain)}});
}

Evacuations::Known* Evacuations::NewsOf(const EvacuationRow& order) {
  Known& known = known_[order.domain];
  if (order.version < known.version) {
    log_->Write("evacuation_passed_over", {{"domain", order.domain},
                                           {"row_version", order.version},
                                           {"known", known.version}});
    return nullptr;
  }
  known.version = order.version;
  return &known;
}

bool Evacuations::OnOrder(const EvacuationRow& order) {
  Known* known = NewsOf(order);
  if (known == nullptr || known->in_force) {
    return false;  // Ordered again: nothing changes but the version.
  }
  known->in_force = true;
  directory_->Evacuate(order.domain);
  Tell(order, "ordered");
  return true;
}

void Evacuations::OnEvacuationEnded(TimeUs now, const EvacuationRow& order) {
  Known* known = NewsOf(order);
  if (known == nullptr || !known->in_force) {
    return;
  }
  known->in_force = false;
  directory_->EndEvacuation(now, order.domain);
  Tell(order, "taken_back");
}

bool Evacuations::OnTable(TimeUs now,
                          const std::vector<EvacuationRow>& orders,
                          std::uint64_t version) {
  bool emptied = false;
  std::set<std::string> standing;
  for (const EvacuationRow& it : orders) {
    standing.insert(it.domain);
    emptied = OnOrder(it) || emptied;
  }
  for (const auto& [domain, known] : known_) {
    if (known.in_force && !standing.contains(domain)) {
      OnEvacuationEnded(now, {domain, version});
    }
  }
  return emptied;
}

}  // namespace acaciachute
