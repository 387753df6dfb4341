// Plays the platform's store: rows in tables, transactions, and feeds of what
// changed, with the outages that a test orders.
#ifndef ACACIACHUTE_TESTS_SOAK_STANDIN_STORE_H_
#define ACACIACHUTE_TESTS_SOAK_STANDIN_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "transport/http_listener.h"
#include "transport/loop.h"

namespace acaciachute {

class StandinStore : public ListenerHandler {
 public:
  enum class Mood {
    kServing,
    kBusy,       // 503: nothing was done.
    kResetting,  // Connections break.
    kSilent,     // Nothing is answered.
    kLosing,     // Done, and its answer is lost.
  };

  explicit StandinStore(Loop* loop);

  // Writes as the operator or a replica does, whatever the mood.
  void Put(const std::string& table,
           const std::string& key,
           const nlohmann::json& value);
  void Remove(const std::string& table, const std::string& key);
  // Forgets what changed, so that feeds have to begin again.
  void DropHistory();
  void SetMood(Mood mood) { mood_ = mood; }
  const Address& address() const { return address_; }

  // ListenerHandler:
  void OnRequest(ExchangeId id,
                 HttpRequestHead head,
                 std::string body) override;
  void OnGone(ExchangeId id) override { feeds_.erase(id); }
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

 private:
  struct Row {
    std::string value;  // As written on the wire.
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct Feed {
    std::string table;
    std::uint64_t after = 0;
    TimeUs until = 0;
  };
  using Key = std::pair<std::string, std::string>;  // Table and key.

  void Write(const Key& key, std::string value, bool removed);
  void AnswerRows(ExchangeId id, const std::string& table);
  void AnswerTransaction(ExchangeId id, const std::string& body);
  // Answers the feeds that have news or whose time is over.
  void AnswerFeeds();
  nlohmann::json RowJson(const Key& key, const Row& row) const;
  void Answer(ExchangeId id, int status, nlohmann::json rows);

  Loop* const loop_;
  const Address address_;
  HttpListener listener_;
  Mood mood_ = Mood::kServing;
  std::uint64_t version_ = 0;
  std::uint64_t oldest_ = 0;  // Changes before it are forgotten.
  std::map<Key, Row> rows_;
  std::map<ExchangeId, Feed> feeds_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_STANDIN_STORE_H_
