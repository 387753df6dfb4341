#include "coordination/stages/shared_piece_desk.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

SharedPieceDesk::SharedPieceDesk(NodeId self,
                                 const GatewayPeers* peers,
                                 LocalPieceDesk* local,
                                 const ReplicaDirectory* directory,
                                 SharedPieceDeskOutput* output,
                                 EventLog* log)
    : self_(std::move(self)),
      peers_(peers),
      local_(local),
      directory_(directory),
      output_(output),
      log_(log) {}

void SharedPieceDesk::Submit(TimeUs now, std::vector<PieceOrder> orders) {
  for (const PieceOrder& it : orders) {
    Pending& pending = pending_[it.key];
    pending.order = it;
    pending.deadline = now + it.time_left;
    pending.latest_start = now + it.time_to_begin;
    pending.request_arrived_at = now - it.waited;
  }
  SendToOwner(now, std::move(orders));
}

// All tasks belong to one request and one service.
void SharedPieceDesk::SendToOwner(TimeUs now, std::vector<PieceOrder> orders) {
  const NodeId owner = peers_->OwnerOf(orders.front().service);
  for (const PieceOrder& it : orders) {
    Pending& pending = pending_[it.key];
    pending.owner = owner;
    pending.sent_at = now;
  }
  if (owner == self_) {
    local_->Submit(now, std::move(orders));
  } else {
    owners_[orders.front().key.request].insert(owner);
    output_->SendToPeer(owner, PieceOrders{std::move(orders)});
  }
}

void SharedPieceDesk::Resubmit(TimeUs now,
                               const std::vector<PieceKey>& keys,
                               const char* reason) {
  using Group = std::pair<std::string, std::string>;  // Request and service.
  std::map<Group, std::vector<PieceOrder>> groups;
  for (const PieceKey& key : keys) {
    Pending& pending = pending_.at(key);
    PieceOrder order = pending.order;
    order.time_left = pending.deadline - now;
    order.time_to_begin = pending.latest_start - now;
    order.waited = now - pending.request_arrived_at;
    groups[{key.request, order.service}].push_back(std::move(order));
  }
  for (auto& [group, orders] : groups) {
    log_->Write("pieces_again", {{"id", group.first},
                                 {"service", group.second},
                                 {"pieces", orders.size()},
                                 {"why", reason}});
    SendToOwner(now, std::move(orders));
  }
}

void SharedPieceDesk::Drop(const std::string& request) {
  auto it = pending_.lower_bound(PieceKey{request, 0, 0});
  while (it != pending_.end() && it->first.request == request) {
    it = pending_.erase(it);
  }
  local_->Drop(request);
  const auto owners = owners_.extract(request);
  if (owners.empty()) {
    return;
  }
  for (const NodeId& owner : owners.mapped()) {
    output_->SendToPeer(owner, PieceDrop{request});
  }
}

// The gateway that batches the service of the producing replica keeps the
// account of that replica's memory, so the release goes there.
void SharedPieceDesk::Free(const std::vector<std::string>& handles) {
  std::map<std::string, std::vector<std::string>> by_service;
  for (const auto& handle : handles) {
    const ReplicaEntry* producer = directory_->MakerOf(handle);
    if (producer != nullptr) {
      by_service[producer->service].push_back(handle);
    }
  }
  for (auto& [service, released] : by_service) {
    const NodeId& owner = peers_->OwnerOf(service);
    if (owner == self_) {
      local_->FreeForService(service, released);
    } else {
      output_->SendToPeer(owner, PieceFree{std::move(released)});
    }
  }
}

PoolWait SharedPieceDesk::ExpectedWait(TimeUs now,
                                       const std::string& service) const {
  if (peers_->OwnerOf(service) == self_) {
    return local_->ExpectedWait(now, service);
  }
  const auto it = peer_waits_.find(service);
  return it == peer_waits_.end() ? PoolWait{} : it->second;
}

double SharedPieceDesk::MemoryShareInUse(const std::string& service) const {
  if (peers_->OwnerOf(service) == self_) {
    return local_->MemoryShareInUse(service);
  }
  const auto it = peer_waits_.find(service);
  return it == peer_waits_.end() ? 0 : it->second.memory;
}

bool SharedPieceDesk::ShortOfMemory(
    const std::vector<std::string>& handles) const {
  std::set<std::string> services;
  for (const auto& handle : handles) {
    if (const ReplicaEntry* producer = directory_->MakerOf(handle)) {
      services.insert(producer->service);
    }
  }
  return std::any_of(services.begin(), services.end(), [&](const auto& it) {
    return MemoryShareInUse(it) > kMemoryShortageShare;
  });
}

std::vector<ServiceWait> SharedPieceDesk::OwnWaits(TimeUs now) const {
  std::vector<ServiceWait> waits;
  for (const auto& [service, batcher] : local_->batchers()) {
    if (peers_->OwnerOf(service) == self_) {
      waits.push_back({service, batcher->ExpectedWait(now)});
    }
  }
  return waits;
}

bool SharedPieceDesk::Batches() const {
  const auto& batchers = local_->batchers();
  return std::any_of(batchers.begin(), batchers.end(), [&](const auto& it) {
    return peers_->OwnerOf(it.first) == self_;
  });
}

void SharedPieceDesk::OnPeerWaits(const std::vector<ServiceWait>& waits) {
  for (const ServiceWait& it : waits) {
    peer_waits_[it.service] = it.wait;
  }
}

void SharedPieceDesk::OnLocalPiece(const PieceResult& result) {
  const auto it = requesters_.find(result.key.request);
  if (it != requesters_.end()) {
    results_[it->second].push_back(result);
    return;
  }
  OnOwnResult(result);
}

void SharedPieceDesk::OnOwnResult(const PieceResult& result) {
  if (pending_.erase(result.key) > 0) {
    output_->OnOwnPiece(result);
  } else if (!result.handle.empty()) {
    // Second result of the piece, or its request has ended.
    Free({result.handle});
  }
}

void SharedPieceDesk::OnPeerOrders(TimeUs now,
                                   const NodeId& from,
                                   const PieceOrders& orders) {
  for (const PieceOrder& it : orders.orders) {
    requesters_[it.key.request] = from;
  }
  local_->Submit(now, orders.orders);
}

void SharedPieceDesk::OnPeerDrop(const PieceDrop& drop) {
  requesters_.erase(drop.request);
  local_->Drop(drop.request);
}

void SharedPieceDesk::OnPeerFree(const PieceFree& free) {
  local_->Free(free.handles);
}

void SharedPieceDesk::OnPeerResults(const PieceResults& results) {
  for (const PieceResult& it : results.results) {
    OnOwnResult(it);
  }
}

void SharedPieceDesk::OnPeerLost(TimeUs now, const NodeId& peer) {
  std::vector<std::string> dropped;
  for (const auto& [request, node] : requesters_) {
    if (node == peer) {
      dropped.push_back(request);
    }
  }
  for (const auto& request : dropped) {
    OnPeerDrop({request});
  }
  std::vector<PieceKey> lost;
  for (const auto& [key, pending] : pending_) {
    if (pending.owner == peer) {
      lost.push_back(key);
    }
  }
  Resubmit(now, lost, "the batching gateway was lost");
}

void SharedPieceDesk::SendResults() {
  for (auto& [peer, results] : std::exchange(results_, {})) {
    output_->SendToPeer(peer, PieceResults{std::move(results)});
  }
}

void SharedPieceDesk::OnTick(TimeUs now) {
  SendResults();
  std::vector<PieceKey> overdue;
  for (const auto& [key, pending] : pending_) {
    const DurationUs beyond = now - pending.sent_at - kResultTimeout;
    if (pending.owner != self_ && beyond > 0 &&
        beyond > ExpectedWait(now, pending.order.service).late) {
      overdue.push_back(key);
    }
  }
  Resubmit(now, overdue,
           "no result within 2.5 s beyond the expected queue wait");
}

}  // namespace acaciachute
