#include "tests/soak/standin_store.h"

#include <vector>

#include "absl/strings/escaping.h"
#include "tests/soak/loopback.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kConditionFailed = 412;
constexpr int kHistoryDropped = 410;
constexpr int kBusy = 503;
constexpr DurationUs kFeedCheckPeriod = 20 * kMillisecond;

std::uint64_t QueryNumber(const std::string& target, std::string_view name) {
  return ParseNumber<std::uint64_t>(QueryValue(target, name)).value_or(0);
}

}  // namespace

StandinStore::StandinStore(Loop* loop)
    : loop_(loop), address_(FreeAddress()), listener_(this, loop) {
  PCHECK(listener_.Listen(address_).ok());
  RunEvery(loop_, kFeedCheckPeriod, alive_, [this] { AnswerFeeds(); });
  RunEvery(loop_, kMillisecond, alive_, [this] { WriteEndless(); });
}

void StandinStore::Put(const std::string& table,
                       const std::string& key,
                       const Json& value) {
  std::string encoded;
  absl::Base64Escape(value.dump(), &encoded);
  Write({table, key}, std::move(encoded), false);
}

void StandinStore::Remove(const std::string& table, const std::string& key) {
  Write({table, key}, "", true);
}

void StandinStore::DropHistory() {
  dropped_version_ = version_;
}

void StandinStore::Write(const Key& key, std::string value, bool removed) {
  rows_[key] = {std::move(value), ++version_, removed};
  if (fault_mode_ == FaultMode::kServing) {
    AnswerFeeds();
  }
}

void StandinStore::OnRequest(ExchangeId id,
                             HttpRequestHead head,
                             std::string body) {
  const bool is_transaction = head.target.starts_with("/rows-tx");
  if (fault_mode_ == FaultMode::kBusy ||
      (fault_mode_ == FaultMode::kReadOnly && is_transaction)) {
    Answer(id, kBusy, Json::array());
  } else if (fault_mode_ == FaultMode::kResetting) {
    listener_.Break(id);
  } else if (fault_mode_ == FaultMode::kUnresponsive) {
    return;
  } else if (fault_mode_ == FaultMode::kEndless) {
    listener_.BeginStream(id, kOk, {});
    endless_.insert(id);
  } else if (is_transaction) {
    AnswerTransaction(id, body);
  } else if (head.target.starts_with("/rows-feed")) {
    feeds_[id] = {
        QueryValue(head.target, "table"), QueryNumber(head.target, "after"),
        Loop::Now() +
            static_cast<DurationUs>(QueryNumber(head.target, "wait_ms")) *
                kMillisecond};
    AnswerFeeds();
  } else {
    AnswerRows(id, QueryValue(head.target, "table"));
  }
}

void StandinStore::AnswerRows(ExchangeId id, const std::string& table) {
  Json rows = Json::array();
  for (const auto& [key, row] : rows_) {
    if (key.first == table && !row.removed) {
      rows.push_back(RowJson(key, row));
    }
  }
  Answer(id, kOk, std::move(rows));
}

void StandinStore::AnswerTransaction(ExchangeId id, const std::string& body) {
  const Json call = Json::parse(body);
  for (const Json& it : call.value("expected_rev", Json::array())) {
    const auto row = rows_.find({it.at("table"), it.at("key")});
    const std::uint64_t version =
        row == rows_.end() || row->second.removed ? 0 : row->second.version;
    if (version != it.at("ver")) {
      Answer(id, kConditionFailed, Json::array());
      return;
    }
  }
  for (const Json& it : call.value("writes", Json::array())) {
    Write({it.at("table"), it.at("key")}, it.at("value"), false);
  }
  if (fault_mode_ == FaultMode::kLosingAnswers) {
    listener_.Break(id);
  } else {
    Answer(id, kOk, Json::array());
  }
}

void StandinStore::WriteEndless() {
  static const std::string kBytes(64 << 10, ' ');
  constexpr int kMostAtOnce = 16;
  for (const ExchangeId id : std::set<ExchangeId>(endless_)) {
    for (int n = 0; n < kMostAtOnce && listener_.Unsent(id) == 0; ++n) {
      listener_.StreamData(id, kBytes);
    }
  }
}

void StandinStore::AnswerFeeds() {
  if (fault_mode_ != FaultMode::kServing &&
      fault_mode_ != FaultMode::kLosingAnswers &&
      fault_mode_ != FaultMode::kReadOnly) {
    return;
  }
  const TimeUs now = Loop::Now();
  std::vector<ExchangeId> due;
  for (const auto& [id, feed] : feeds_) {
    due.push_back(id);
  }
  for (const ExchangeId id : due) {
    const Feed feed = feeds_.at(id);
    if (feed.after < dropped_version_) {
      feeds_.erase(id);
      Answer(id, kHistoryDropped, Json::array());
      continue;
    }
    Json rows = Json::array();
    for (const auto& [key, row] : rows_) {
      if (key.first == feed.table && row.version > feed.after) {
        rows.push_back(RowJson(key, row));
      }
    }
    if (!rows.empty() || now >= feed.until) {
      feeds_.erase(id);
      Answer(id, kOk, std::move(rows));
    }
  }
}

Json StandinStore::RowJson(const Key& key, const Row& row) const {
  return {{"table", key.first}, {"part", ""},         {"key", key.second},
          {"value", row.value}, {"ver", row.version}, {"removed", row.removed}};
}

void StandinStore::Answer(ExchangeId id, int status, Json rows) {
  const Json answer = {{"rows", std::move(rows)},
                       {"truncated", false},
                       {"ver", version_},
                       {"now_ms", Loop::Now() / kMillisecond}};
  listener_.Reply(id, status, {{"Content-Type", "application/json"}},
                  answer.dump());
}

}  // namespace acaciachute
