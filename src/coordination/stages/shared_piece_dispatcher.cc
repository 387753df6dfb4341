#include "coordination/stages/shared_piece_dispatcher.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

SharedPieceDispatcher::SharedPieceDispatcher(
    NodeId self,
    const GatewayPeers* peers,
    LocalPieceDispatcher* local,
    const ReplicaDirectory* directory,
    RetryBudgetOf budget_of,
    SharedPieceDispatcherOutput* output,
    EventLog* log)
    : self_(std::move(self)),
      peers_(peers),
      local_(local),
      directory_(directory),
      budget_of_(std::move(budget_of)),
      output_(output),
      log_(log) {}

void SharedPieceDispatcher::Submit(TimeUs now, std::vector<PieceTask> tasks) {
  for (const PieceTask& it : tasks) {
    Pending& pending = pending_[it.key];
    pending.task = it;
    pending.deadline = now + it.time_left;
    pending.latest_start = now + it.time_to_begin;
    pending.request_arrived_at = now - it.waited;
  }
  SendToOwner(now, std::move(tasks));
}

// All tasks belong to one request and one service.
void SharedPieceDispatcher::SendToOwner(TimeUs now,
                                        std::vector<PieceTask> tasks) {
  const NodeId owner = peers_->OwnerOf(tasks.front().service);
  for (const PieceTask& it : tasks) {
    Pending& pending = pending_[it.key];
    pending.owner = owner;
    pending.sent_at = now;
  }
  if (owner == self_) {
    local_->Submit(now, std::move(tasks));
  } else {
    owners_[tasks.front().key.request].insert(owner);
    output_->SendToPeer(owner, PieceTasks{std::move(tasks)});
  }
}

void SharedPieceDispatcher::Resubmit(TimeUs now,
                                     const std::vector<PieceKey>& keys,
                                     const char* reason) {
  using Group = std::pair<std::string, std::string>;  // Request and service.
  std::map<Group, std::vector<PieceTask>> groups;
  for (const PieceKey& key : keys) {
    Pending& pending = pending_.at(key);
    PieceTask task = pending.task;
    task.time_left = pending.deadline - now;
    task.time_to_begin = pending.latest_start - now;
    task.waited = now - pending.request_arrived_at;
    groups[{key.request, task.service}].push_back(std::move(task));
  }
  for (auto& [group, tasks] : groups) {
    log_->Write("pieces_again", {{"id", group.first},
                                 {"service", group.second},
                                 {"pieces", tasks.size()},
                                 {"why", reason}});
    budget_of_(group.second)
        ->OnFree(now, {RetryReason::kPieceResubmitted, group.first,
                       static_cast<std::uint32_t>(tasks.size())});
    SendToOwner(now, std::move(tasks));
  }
}

void SharedPieceDispatcher::CancelRequest(const std::string& request) {
  auto it = pending_.lower_bound(PieceKey{request, 0, 0});
  while (it != pending_.end() && it->first.request == request) {
    it = pending_.erase(it);
  }
  local_->CancelRequest(request);
  const auto owners = owners_.extract(request);
  if (owners.empty()) {
    return;
  }
  for (const NodeId& owner : owners.mapped()) {
    output_->SendToPeer(owner, PieceCancel{request});
  }
}

// The gateway that batches the service of the producing replica keeps the
// account of that replica's memory, so the release goes there.
void SharedPieceDispatcher::ReleaseResults(
    const std::vector<std::string>& handles) {
  std::map<std::string, std::vector<std::string>> by_service;
  for (const auto& handle : handles) {
    const ReplicaEntry* producer = directory_->ProducerOf(handle);
    if (producer != nullptr) {
      by_service[producer->service].push_back(handle);
    }
  }
  for (auto& [service, released] : by_service) {
    const NodeId& owner = peers_->OwnerOf(service);
    if (owner == self_) {
      local_->FreeForService(service, released);
    } else {
      output_->SendToPeer(owner, PieceRelease{std::move(released)});
    }
  }
}

QueueWait SharedPieceDispatcher::ExpectedWait(
    TimeUs now,
    const std::string& service) const {
  if (peers_->OwnerOf(service) == self_) {
    return local_->ExpectedWait(now, service);
  }
  const auto it = peer_waits_.find(service);
  return it == peer_waits_.end() ? QueueWait{} : it->second;
}

double SharedPieceDispatcher::MemoryShareInUse(
    const std::string& service) const {
  if (peers_->OwnerOf(service) == self_) {
    return local_->MemoryShareInUse(service);
  }
  const auto it = peer_waits_.find(service);
  return it == peer_waits_.end() ? 0 : it->second.memory;
}

bool SharedPieceDispatcher::ShortOfMemory(
    const std::vector<std::string>& handles) const {
  std::set<std::string> services;
  for (const auto& handle : handles) {
    if (const ReplicaEntry* producer = directory_->ProducerOf(handle)) {
      services.insert(producer->service);
    }
  }
  return std::any_of(services.begin(), services.end(), [&](const auto& it) {
    return MemoryShareInUse(it) > kMemoryShortageShare;
  });
}

std::vector<ServiceQueueWait> SharedPieceDispatcher::OwnQueueWaits(
    TimeUs now) const {
  std::vector<ServiceQueueWait> waits;
  for (const auto& [service, batcher] : local_->batchers()) {
    if (peers_->OwnerOf(service) == self_) {
      waits.push_back({service, batcher->ExpectedWait(now)});
    }
  }
  return waits;
}

bool SharedPieceDispatcher::Batches() const {
  const auto& batchers = local_->batchers();
  return std::any_of(batchers.begin(), batchers.end(), [&](const auto& it) {
    return peers_->OwnerOf(it.first) == self_;
  });
}

void SharedPieceDispatcher::OnPeerQueueWaits(
    const std::vector<ServiceQueueWait>& waits) {
  for (const ServiceQueueWait& it : waits) {
    peer_waits_[it.service] = it.wait;
  }
}

void SharedPieceDispatcher::OnLocalPiece(const PieceResult& result) {
  const auto it = requesters_.find(result.key.request);
  if (it != requesters_.end()) {
    results_[it->second].push_back(result);
    return;
  }
  OnOwnResult(result);
}

void SharedPieceDispatcher::OnOwnResult(const PieceResult& result) {
  if (pending_.erase(result.key) > 0) {
    output_->OnOwnPiece(result);
  } else if (!result.handle.empty()) {
    // Second result of the piece, or its request has ended.
    ReleaseResults({result.handle});
  }
}

void SharedPieceDispatcher::OnPeerTasks(TimeUs now,
                                        const NodeId& from,
                                        const PieceTasks& tasks) {
  for (const PieceTask& it : tasks.tasks) {
    requesters_[it.key.request] = from;
  }
  local_->Submit(now, tasks.tasks);
}

void SharedPieceDispatcher::OnPeerCancel(const PieceCancel& cancel) {
  requesters_.erase(cancel.request);
  local_->CancelRequest(cancel.request);
}

void SharedPieceDispatcher::OnPeerRelease(const PieceRelease& release) {
  local_->ReleaseResults(release.handles);
}

void SharedPieceDispatcher::OnPeerResults(const PieceResults& results) {
  for (const PieceResult& it : results.results) {
    OnOwnResult(it);
  }
}

void SharedPieceDispatcher::OnPeerLost(TimeUs now, const NodeId& peer) {
  std::vector<std::string> dropped;
  for (const auto& [request, node] : requesters_) {
    if (node == peer) {
      dropped.push_back(request);
    }
  }
  for (const auto& request : dropped) {
    OnPeerCancel({request});
  }
  std::vector<PieceKey> lost;
  for (const auto& [key, pending] : pending_) {
    if (pending.owner == peer) {
      lost.push_back(key);
    }
  }
  Resubmit(now, lost, "the batching gateway was lost");
}

void SharedPieceDispatcher::SendResults() {
  for (auto& [peer, results] : std::exchange(results_, {})) {
    output_->SendToPeer(peer, PieceResults{std::move(results)});
  }
}

void SharedPieceDispatcher::OnTick(TimeUs now) {
  SendResults();
  std::vector<PieceKey> overdue;
  for (const auto& [key, pending] : pending_) {
    const DurationUs beyond = now - pending.sent_at - kResultTimeout;
    if (pending.owner != self_ && beyond > 0 &&
        beyond > ExpectedWait(now, pending.task.service).late) {
      overdue.push_back(key);
    }
  }
  Resubmit(
      now, overdue,
      "no result within the result timeout beyond the expected queue wait");
}

}  // namespace acaciachute
