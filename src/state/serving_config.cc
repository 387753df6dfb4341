#include "state/serving_config.h"

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
  const std::string place = LowerHost(route.host) + route.prefix;
  if (const RoutePtr* const replaced = by_place_.Find(place)) {
    CountStreams(**replaced, -1);
  } else {
    ++routes_;
    ++prefix_lengths_[route.prefix.size()];
  }
  CountStreams(route, 1);
  by_place_.Put(place, std::make_shared<const Route>(std::move(route)));
}

void ServingConfig::RemoveRoute(const Route& route) {
  const std::string place = LowerHost(route.host) + route.prefix;
  const RoutePtr* const found = by_place_.Find(place);
  if (found == nullptr || (*found)->name != route.name) {
    return;
  }
  CountStreams(**found, -1);
  by_place_.Remove(place);
  --routes_;
  const auto length = prefix_lengths_.find(route.prefix.size());
  if (--length->second == 0) {
    prefix_lengths_.erase(length);
  }
}

void ServingConfig::CountStreams(const Route& route, std::ptrdiff_t count) {
  if (route.kind != RouteKind::kStream) {
    return;
  }
  for (const auto& it : route.split) {
    if ((stream_routes_[it.service] += count) == 0) {
      stream_routes_.erase(it.service);
    }
  }
}

void ServingConfig::AddService(Service service) {
  const std::string name = service.name;
  services_.insert_or_assign(name, std::move(service));
}

void ServingConfig::RemoveService(const std::string& name) {
  services_.erase(name);
}

void ServingConfig::AddAccount(ClientAccount account,
                               const std::vector<std::string>& keys) {
  ++accounts_;
  const auto shared = std::make_shared<const ClientAccount>(std::move(account));
  for (const auto& key : keys) {
    by_key_.Put(key, shared);
  }
}

void ServingConfig::RemoveAccount(const std::string& name,
                                  const std::vector<std::string>& keys) {
  --accounts_;
  for (const auto& key : keys) {
    const AccountPtr* const found = by_key_.Find(key);
    if (found != nullptr && (*found)->name == name) {
      by_key_.Remove(key);
    }
  }
}

const Route* ServingConfig::FindRoute(std::string_view host,
                                      std::string_view target) const {
  std::string place = LowerHost(host);
  const std::size_t host_size = place.size();
  place += target.substr(0, target.find('?'));
  for (const auto& [length, count] : prefix_lengths_) {
    if (host_size + length > place.size()) {
      continue;
    }
    const auto prefix = std::string_view(place).substr(0, host_size + length);
    // A host name with a slash, which is none, can spell another's prefix.
    const RoutePtr* const found = by_place_.Find(prefix);
    if (found != nullptr && (*found)->prefix.size() == length) {
      return found->get();
    }
  }
  return nullptr;
}

const Service* ServingConfig::FindService(std::string_view name) const {
  const auto it = services_.find(std::string(name));
  return it == services_.end() ? nullptr : &it->second;
}

const ClientAccount* ServingConfig::FindAccount(std::string_view key) const {
  const AccountPtr* const found = by_key_.Find(key);
  return found == nullptr ? nullptr : found->get();
}

}  // namespace acaciachute
