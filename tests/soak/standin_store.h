// Stand-in for the platform's store: rows in tables, transactions and change
// feeds, with faults that a test sets.
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
  // Current fault of the store.
  enum class FaultMode {
    kServing,
    kBusy,           // Answers 503 without any effect.
    kResetting,      // Breaks connections without any effect.
    kUnresponsive,   // Does not answer.
    kLosingAnswers,  // Applies transactions but loses their answers.
    kReadOnly,       // Answers transactions 503 without any effect.
    kEndless,        // Answers with bytes without end.
  };

  explicit StandinStore(Loop* loop);

  // Write rows as the operator or a replica does. They succeed during any
  // fault.
  void Put(const std::string& table,
           const std::string& key,
           const nlohmann::json& value);
  void Remove(const std::string& table, const std::string& key);
  // Drops the change history, so that open feeds fail with 410 and readers have
  // to read the whole table again.
  void DropHistory();
  void SetFaultMode(FaultMode fault_mode) { fault_mode_ = fault_mode; }
  const Address& address() const { return address_; }

  // ListenerHandler:
  void OnRequest(ExchangeId id,
                 HttpRequestHead head,
                 std::string body) override;
  void OnClientDisconnected(ExchangeId id) override {
    feeds_.erase(id);
    endless_.erase(id);
  }
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

 private:
  // The current value of a row, or the version that removed it.
  struct Row {
    std::string value;  // In Base64, as on the wire.
    std::uint64_t version = 0;
    bool removed = false;
  };
  // A request for the changes of a table after a version; it is held open until
  // there are some or its wait time is over.
  struct Feed {
    std::string table;
    std::uint64_t after = 0;
    TimeUs until = 0;  // End of the wait time.
  };
  using Key = std::pair<std::string, std::string>;  // Table and key.

  void Write(const Key& key, std::string value, bool removed);
  void AnswerRows(ExchangeId id, const std::string& table);
  void AnswerTransaction(ExchangeId id, const std::string& body);
  // Writes more to the answers that have no end.
  void WriteEndless();
  // Answers the feeds that have changes to report, whose wait time is over, or
  // whose history was dropped.
  void AnswerFeeds();
  nlohmann::json RowJson(const Key& key, const Row& row) const;
  void Answer(ExchangeId id, int status, nlohmann::json rows);

  Loop* const loop_;
  const Address address_;
  HttpListener listener_;
  FaultMode fault_mode_ = FaultMode::kServing;
  std::uint64_t version_ = 0;
  // Changes up to this version were dropped.
  std::uint64_t dropped_version_ = 0;
  std::map<Key, Row> rows_;
  std::map<ExchangeId, Feed> feeds_;
  std::set<ExchangeId> endless_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_STANDIN_STORE_H_
