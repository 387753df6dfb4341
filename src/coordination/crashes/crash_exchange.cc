#include "coordination/crashes/crash_exchange.h"

#include <xxhash.h>

#include <iterator>
#include <string_view>
#include <utility>

namespace acaciachute {
namespace {

void AddAge(CrashReport* report, DurationUs since) {
  for (CrashEnd& end : report->ends) {
    end.age += since;
    for (CrashSuspect& it : end.suspects) {
      it.began_age += since;
      it.cleared_age += it.cleared_age == kNever ? 0 : since;
    }
  }
  for (ClearedCause& it : report->cleared) {
    it.age += since;
  }
}

void Append(CrashReport* report, const CrashReport& more) {
  report->ends.insert(report->ends.end(), more.ends.begin(), more.ends.end());
  report->cleared.insert(report->cleared.end(), more.cleared.begin(),
                         more.cleared.end());
}

}  // namespace

std::string CrashExchange::RowKey(const CrashCause& cause) {
  const auto place = static_cast<unsigned char>(XXH3_64bits_withSeed(
      cause.id.data(), cause.id.size(), static_cast<XXH64_hash_t>(cause.kind)));
  constexpr std::string_view kDigits = "0123456789abcdef";
  return {kDigits[place / kDigits.size()], kDigits[place % kDigits.size()]};
}

void CrashExchange::OnNews(TimeUs now, CrashReport report) {
  if (report.empty()) {
    return;
  }
  news_.push_back({std::move(report), now, 0});
  if (news_.size() > kMaxNews) {
    news_.pop_front();
  }
}

void CrashExchange::OnVerdict(const CrashCause& cause) {
  unwritten_.insert(RowKey(cause));
}

void CrashExchange::OnNewPeer(const NodeId& peer) {
  SendTo(peer, output_->CrashReportToSend(0, kMaxToNewPeer));
}

void CrashExchange::SendTo(const NodeId& peer, const CrashReport& report) {
  CrashReport part;
  std::size_t n = 0;
  const auto send_if = [&](bool due) {
    if (due && !part.empty()) {
      output_->SendCrashReport(peer, std::exchange(part, {}));
      n = 0;
    }
  };
  for (const CrashEnd& end : report.ends) {
    for (const CrashSuspect& it : end.suspects) {
      if (part.ends.empty() || part.ends.back().replica != end.replica ||
          part.ends.back().incarnation != end.incarnation) {
        part.ends.push_back({end.replica, end.incarnation, end.age, {}});
      }
      part.ends.back().suspects.push_back(it);
      send_if(++n == kMaxPerDatagram);
    }
  }
  for (const ClearedCause& it : report.cleared) {
    part.cleared.push_back(it);
    send_if(++n == kMaxPerDatagram);
  }
  send_if(true);
}

void CrashExchange::OnTick(TimeUs now) {
  SendNews(now);
  Gossip(now);
  CallStore(now);
}

void CrashExchange::Gossip(TimeUs now) {
  if (now < next_gossip_at_) {
    return;
  }
  next_gossip_at_ = now + kGossipInterval;
  const CrashReport report =
      output_->CrashReportToSend(gossiped_, kMaxPerGossip);
  if (report.empty()) {
    return;
  }
  gossiped_ += kMaxPerGossip;
  if (const auto peers = output_->LivePeers(); !peers.empty()) {
    SendTo(peers[random_->Below(peers.size())], report);
  }
}

void CrashExchange::SendNews(TimeUs now) {
  CrashReport due;
  for (auto it = news_.begin(); it != news_.end();) {
    if (now - it->at >= it->sends * kSendInterval) {
      CrashReport report = it->report;
      AddAge(&report, now - it->at);
      Append(&due, report);
      ++it->sends;
    }
    it = it->sends >= kSends ? news_.erase(it) : std::next(it);
  }
  if (due.empty()) {
    return;
  }
  for (const NodeId& peer : output_->LivePeers()) {
    SendTo(peer, due);
  }
}

void CrashExchange::CallStore(TimeUs now) {
  if (!has_read_ && !reading_ && now >= next_read_at_) {
    reading_ = true;
    output_->ReadCrashRows();
  }
  if (writing_.empty() && !unwritten_.empty() && now >= next_write_at_) {
    writing_ = *unwritten_.begin();
    unwritten_.erase(unwritten_.begin());
    output_->WriteCrashRow(writing_);
  }
}

void CrashExchange::OnWritten(TimeUs now, bool decided) {
  if (!decided) {
    unwritten_.insert(writing_);
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
