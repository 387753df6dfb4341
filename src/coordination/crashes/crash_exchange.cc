#include "coordination/crashes/crash_exchange.h"

#include <utility>

namespace acaciachute {

void CrashExchange::OnChanged(TimeUs now,
                              const CrashRecord& record,
                              bool blocked) {
  changes_[record.fingerprint] = {record, now, 0};
  if (blocked) {
    Store(record);
  }
}

void CrashExchange::Store(const CrashRecord& record) {
  unwritten_[record.fingerprint] = record;
  if (unwritten_.size() > kMaxUnwritten) {
    unwritten_.erase(unwritten_.begin());
  }
}

void CrashExchange::OnNewPeer(const NodeId& peer) {
  SendTo(peer, output_->CrashRecordsToSend(0, kMaxToNewPeer));
}

void CrashExchange::SendTo(const NodeId& peer,
                           const std::vector<CrashRecord>& records) {
  CrashRecordUpdate update;
  for (const CrashRecord& it : records) {
    update.records.push_back(it);
    if (update.records.size() == kMaxPerDatagram) {
      output_->SendCrashRecords(peer, std::exchange(update, {}));
    }
  }
  if (!update.records.empty()) {
    output_->SendCrashRecords(peer, update);
  }
}

void CrashExchange::OnTick(TimeUs now, const std::vector<NodeId>& peers) {
  SendChanges(now, peers);
  Gossip(now, peers);
  CallStore(now);
}

void CrashExchange::Gossip(TimeUs now, const std::vector<NodeId>& peers) {
  if (peers.empty() || now < next_gossip_at_) {
    return;
  }
  next_gossip_at_ = now + kGossipInterval;
  SendTo(peers[random_->Below(peers.size())],
         output_->CrashRecordsToSend(gossiped_, kMaxPerGossip));
  gossiped_ += kMaxPerGossip;
}

void CrashExchange::SendChanges(TimeUs now, const std::vector<NodeId>& peers) {
  std::vector<CrashRecord> due;
  for (auto it = changes_.begin(); it != changes_.end();) {
    Change& change = it->second;
    if (now - change.changed_at >= change.sends * kSendInterval) {
      due.push_back(change.record);
      const DurationUs since = now - change.changed_at;
      for (CrashEnd& end : due.back().ends) {
        end.age += since;
        end.began_age += since;
      }
      if (due.back().answered_age != kNever) {
        due.back().answered_age += since;
      }
      ++change.sends;
    }
    it = change.sends >= kSends ? changes_.erase(it) : std::next(it);
  }
  for (const NodeId& peer : peers) {
    SendTo(peer, due);
  }
}

void CrashExchange::CallStore(TimeUs now) {
  if (!has_read_ && !reading_ && now >= next_read_at_) {
    reading_ = true;
    output_->ReadCrashRows();
  }
  if (writing_.empty() && !unwritten_.empty() && now >= next_write_at_) {
    const CrashRecord record = unwritten_.begin()->second;
    writing_ = record.fingerprint;
    output_->WriteCrashRow(RowKey(record.fingerprint), record);
  }
}

void CrashExchange::OnWritten(TimeUs now, bool decided) {
  if (decided) {
    unwritten_.erase(writing_);
  } else {
    next_write_at_ = now + kRetryDelay;
  }
  writing_.clear();
}

void CrashExchange::OnRead(TimeUs now, bool ok) {
  reading_ = false;
  has_read_ = has_read_ || ok;
  next_read_at_ = now + kRetryDelay;
}

}  // namespace acaciachute
