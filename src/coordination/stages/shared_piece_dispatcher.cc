#include "coordination/stages/shared_piece_dispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordination/stages/piece_messages.h"

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
    pending.retry_in_transit = it.send == PieceSend::kRetryPaid;
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
    pending.owner_live = true;
    pending.sent_at = now;
  }
  if (owner == self_) {
    local_->Submit(now, std::move(tasks));
  } else {
    owners_[tasks.front().key.request].insert(owner);
    for (PieceTasks& it : SplitTasks(std::move(tasks))) {
      output_->SendToPeer(owner, std::move(it));
    }
  }
}

std::vector<SharedPieceDispatcher::ResubmittedGroup>
SharedPieceDispatcher::GroupByRequest(const std::vector<PieceKey>& keys) const {
  using RequestAndService = std::pair<std::string, std::string>;
  std::map<RequestAndService, ResubmittedGroup> by_request;
  for (const PieceKey& key : keys) {
    const Pending& pending = pending_.at(key);
    ResubmittedGroup& group = by_request[{key.request, pending.task.service}];
    group.priority = pending.task.priority;
    group.deadline = pending.deadline;
    group.keys.push_back(key);
  }
  std::vector<ResubmittedGroup> groups;
  groups.reserve(by_request.size());
  for (auto& [key, group] : by_request) {
    groups.push_back(std::move(group));
  }
  std::stable_sort(groups.begin(), groups.end(),
                   [](const auto& a, const auto& b) {
                     return std::tie(a.priority, a.deadline) <
                            std::tie(b.priority, b.deadline);
                   });
  return groups;
}

// When a gateway that batches for many is lost, the budget may be too small for
// all of their pieces, so the most urgent requests come first.
void SharedPieceDispatcher::Resubmit(TimeUs now,
                                     const std::vector<PieceKey>& keys,
                                     const char* reason) {
  for (const ResubmittedGroup& group : GroupByRequest(keys)) {
    // Giving up a piece ends its request, so pieces may be gone by now.
    if (pending_.contains(group.keys.front())) {
      ResubmitGroup(now, group, reason);
    }
  }
}

// The gateway that got the pieces may have had them run before it was lost, so
// sending them to another one takes retries. The same process knows whether it
// had, and pays itself if so.
void SharedPieceDispatcher::ResubmitGroup(TimeUs now,
                                          const ResubmittedGroup& group,
                                          const char* reason) {
  const Pending& first = pending_.at(group.keys.front());
  const std::string service = first.task.service;
  const bool owner_live = first.owner_live;
  const bool same_process =
      owner_live && peers_->OwnerOf(service) == first.owner;
  const bool paid = !same_process && PayFor(now, group);
  log_->Write("pieces_again", {{"id", group.keys.front().request},
                               {"service", service},
                               {"pieces", group.keys.size()},
                               {"sent", same_process || paid},
                               {"why", reason}});
  if (!same_process && !paid) {
    if (owner_live) {
      PostponeOverdue(now, group);
    } else {
      GiveUp(group);
    }
    return;
  }
  std::vector<PieceTask> tasks;
  for (const PieceKey& key : group.keys) {
    const Pending& pending = pending_.at(key);
    PieceTask task = pending.task;
    task.time_left = pending.deadline - now;
    task.time_to_begin = pending.latest_start - now;
    task.waited = now - pending.request_arrived_at;
    task.send = paid ? PieceSend::kRetryPaid : PieceSend::kRetryUnpaid;
    tasks.push_back(std::move(task));
  }
  SendToOwner(now, std::move(tasks));
}

bool SharedPieceDispatcher::PayFor(TimeUs now, const ResubmittedGroup& group) {
  const PieceKey& first = group.keys.front();
  if (!budget_of_(pending_.at(first).task.service)
           ->TryUse(now, {RetryReason::kPieceResubmitted, first.request,
                          static_cast<std::uint32_t>(group.keys.size())})) {
    return false;
  }
  for (const PieceKey& key : group.keys) {
    Pending& pending = pending_.at(key);
    EndRetry(&pending, false);
    pending.retry_in_transit = true;
  }
  return true;
}

// The gateway that has the pieces is alive and may still send their results.
void SharedPieceDispatcher::PostponeOverdue(TimeUs now,
                                            const ResubmittedGroup& group) {
  for (const PieceKey& key : group.keys) {
    pending_.at(key).sent_at = now;
  }
}

void SharedPieceDispatcher::GiveUp(const ResubmittedGroup& group) {
  for (const PieceKey& key : group.keys) {
    if (const auto it = pending_.find(key); it != pending_.end()) {
      Erase(it, false);
      output_->OnOwnPiece({key, PieceOutcome::kNotMade, ""});
    }
  }
}

void SharedPieceDispatcher::EndRetry(Pending* pending, bool arrived) {
  if (!std::exchange(pending->retry_in_transit, false)) {
    return;
  }
  ServiceRetryBudget* budget = budget_of_(pending->task.service);
  if (arrived) {
    budget->OnArrived();
  } else {
    budget->OnUnconfirmed();
  }
}

void SharedPieceDispatcher::Erase(std::map<PieceKey, Pending>::iterator it,
                                  bool arrived) {
  EndRetry(&it->second, arrived);
  pending_.erase(it);
}

void SharedPieceDispatcher::CancelRequest(const std::string& request) {
  auto it = pending_.lower_bound(PieceKey{request, 0, 0});
  while (it != pending_.end() && it->first.request == request) {
    Erase(it++, false);
  }
  local_->CancelRequest(request);
  const auto owners = owners_.extract(request);
  if (owners.empty()) {
    return;
  }
  for (const NodeId& owner : owners.mapped()) {
    output_->SendToPeer(owner, PieceCancel{request, std::nullopt});
  }
}

void SharedPieceDispatcher::CancelStage(const std::string& request,
                                        std::uint32_t stage) {
  auto it = pending_.lower_bound(PieceKey{request, stage, 0});
  while (it != pending_.end() && it->first.request == request &&
         it->first.stage == stage) {
    Erase(it++, false);
  }
  local_->CancelStage(request, stage);
  const auto owners = owners_.find(request);
  if (owners == owners_.end()) {
    return;
  }
  for (const NodeId& owner : owners->second) {
    output_->SendToPeer(owner, PieceCancel{request, stage});
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
      for (PieceRelease& it : SplitRelease(std::move(released))) {
        output_->SendToPeer(owner, std::move(it));
      }
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
  const auto it = peer_requests_.find(result.key.request);
  if (it != peer_requests_.end()) {
    PeerRequest& request = it->second;
    const std::size_t freed = std::min(request.memory, kPieceMemoryBytes);
    request.memory -= freed;
    peer_memory_ -= freed;
    results_[request.gateway].push_back(result);
    return;
  }
  OnOwnResult(result);
}

void SharedPieceDispatcher::OnOwnResult(const PieceResult& result) {
  if (const auto it = pending_.find(result.key); it != pending_.end()) {
    Erase(it, result.outcome == PieceOutcome::kMade);
    output_->OnOwnPiece(result);
  } else if (!result.handle.empty()) {
    // Second result of the piece, or its request has ended.
    ReleaseResults({result.handle});
  }
}

void SharedPieceDispatcher::OnPeerTasks(TimeUs now,
                                        const NodeId& from,
                                        const PieceTasks& tasks) {
  if (!tasks.tasks.empty() && AcceptPeerTasks(from, tasks.tasks)) {
    local_->Submit(now, tasks.tasks);
  }
}

// All tasks belong to one request.
bool SharedPieceDispatcher::AcceptPeerTasks(
    const NodeId& from,
    const std::vector<PieceTask>& tasks) {
  const std::string& id = tasks.front().key.request;
  const std::size_t memory = MemoryOf(tasks);
  if (peer_memory_limit_ > 0 && peer_memory_ + memory > peer_memory_limit_) {
    log_->Write("peer_pieces_refused", {{"id", id},
                                        {"from", from},
                                        {"service", tasks.front().service},
                                        {"pieces", tasks.size()},
                                        {"bytes", memory},
                                        {"held", peer_memory_},
                                        {"limit", peer_memory_limit_}});
    for (const PieceTask& it : tasks) {
      results_[from].push_back({it.key, PieceOutcome::kNotMade, ""});
    }
    return false;
  }
  PeerRequest& request = peer_requests_[id];
  request.gateway = from;
  request.memory += memory;
  peer_memory_ += memory;
  return true;
}

void SharedPieceDispatcher::OnPeerCancel(const PieceCancel& cancel) {
  if (cancel.stage) {
    local_->CancelStage(cancel.request, *cancel.stage);
    return;
  }
  if (const auto it = peer_requests_.find(cancel.request);
      it != peer_requests_.end()) {
    peer_memory_ -= it->second.memory;
    peer_requests_.erase(it);
  }
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
  for (const auto& [id, request] : peer_requests_) {
    if (request.gateway == peer) {
      dropped.push_back(id);
    }
  }
  for (const auto& request : dropped) {
    OnPeerCancel({request, std::nullopt});
  }
  std::vector<PieceKey> lost;
  for (auto& [key, pending] : pending_) {
    if (pending.owner == peer) {
      pending.owner_live = false;
      lost.push_back(key);
    }
  }
  Resubmit(now, lost, "the batching gateway was lost");
}

void SharedPieceDispatcher::SendResults() {
  for (auto& [peer, results] : std::exchange(results_, {})) {
    for (PieceResults& it : SplitResults(std::move(results))) {
      output_->SendToPeer(peer, std::move(it));
    }
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
