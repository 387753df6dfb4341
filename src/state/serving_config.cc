#include "state/serving_config.h"

#include <algorithm>
#include <utility>

namespace acaciachute {
namespace {

std::string LowerHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return out;
}

}  // namespace

void ServingConfig::AddRoute(Route route) {
  auto& list = by_host_[LowerHost(route.host)];
  const auto at = std::find_if(list.begin(), list.end(), [&](const Route& it) {
    return it.prefix.size() < route.prefix.size();
  });
  list.insert(at, std::move(route));
  ++routes_;
}

void ServingConfig::AddService(Service service) {
  const std::string name = service.name;
  services_.insert_or_assign(name, std::move(service));
}

void ServingConfig::AddAccount(ClientAccount account,
                               const std::vector<std::string>& keys) {
  needs_keys = true;
  accounts_.push_back(std::make_unique<ClientAccount>(std::move(account)));
  for (const auto& key : keys) {
    by_key_.insert_or_assign(key, accounts_.back().get());
  }
}

const Route* ServingConfig::FindRoute(std::string_view host,
                                      std::string_view target) const {
  const auto list = by_host_.find(LowerHost(host));
  if (list == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route& it : list->second) {
    if (path.starts_with(it.prefix)) {
      return &it;
    }
  }
  return nullptr;
}

const Service* ServingConfig::FindService(std::string_view name) const {
  const auto it = services_.find(std::string(name));
  return it == services_.end() ? nullptr : &it->second;
}

const ClientAccount* ServingConfig::FindAccount(std::string_view key) const {
  const auto it = by_key_.find(std::string(key));
  return it == by_key_.end() ? nullptr : it->second;
}

}  // namespace acaciachute
