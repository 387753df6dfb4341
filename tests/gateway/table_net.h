// A fleet of gateways that follow one table of a modelled store in virtual
// time: the clock advances in ticks of 10 ms; messages and the store's answers
// take one tick and, if the gateways' links have a rate, the time of the
// transfer. Transfers to a gateway share its link equally; a transfer goes on
// after the gateway has given it up. A gateway that reads rows does nothing
// else meanwhile.
//
// These invariants are checked at every tick of every gateway: its version
// never decreases, and it has every row that the store held at the time up to
// which it claims to be current. Rows whose keys begin with "replica" are also
// in each gateway's list of replicas.
#ifndef ACACIACHUTE_TESTS_GATEWAY_TABLE_NET_H_
#define ACACIACHUTE_TESTS_GATEWAY_TABLE_NET_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "coordination/gateway/config_freshness.h"
#include "coordination/tables/table_relay.h"
#include "coordination/tables/table_source.h"
#include "coordination/tables/table_watch.h"
#include "state/replica_directory.h"
#include "tests/gateway/quiet_log.h"

namespace acaciachute {

class TableNet {
 public:
  static constexpr DurationUs kTick = 10 * kMillisecond;
  // Time within which a change in the store must take effect.
  static constexpr DurationUs kMaxStaleness = 3 * kSecond;
  // Limit on `OldestAge` without faults, and some seconds after they ended.
  static constexpr DurationUs kMaxTableAge = 3750 * kMillisecond;
  // After a gateway has been able to reach the store for this long, its copy
  // must be within the bounds again.
  static constexpr DurationUs kRecoveryBound = 4 * kSecond;
  // By how much the store's clock is behind the gateways' clocks.
  static constexpr DurationUs kStoreClockLag = 77 * kSecond;
  static constexpr DurationUs kHeartbeatPeriod = 100 * kMillisecond;

  // The row that is split into parts, and the name of the part with its
  // version, which is the first in order.
  static constexpr char kConfigKey[] = "config";
  static constexpr char kFirstPart[] = "!";

  // How the store treats a gateway: it answers, refuses its requests, or does
  // not answer.
  enum class StoreBehavior { kServes, kRefuses, kNoAnswer };

  struct Call {
    std::size_t from = 0;
    StoreRequest request;
    TimeUs sent_at = 0;
    bool unanswered = false;  // Not answered before its time limit.
  };

  // The rates of a host's link, in bytes per second, for small and large hosts;
  // zero: transfers take no time.
  struct LinkRates {
    double small = 0;
    double large = 0;
  };

  // Bytes on their way to a gateway over one connection, which carries one
  // transfer after the other.
  struct Transfer {
    std::size_t to = 0;
    std::uint64_t connection = 0;
    double bytes = 0;
    double left = 0;
  };
  using TransferPtr = std::shared_ptr<Transfer>;

  // An answer of the store that is being transferred.
  struct Arrival {
    Call call;
    TableAnswer answer;
    TransferPtr transfer;
  };

  struct Node : StoreReader, TableRelayOutput, TableListener, DirectoryWatcher {
    Node(TableNet* net_in, std::size_t index_in, GatewayHost host)
        : net(net_in),
          index(index_in),
          self(std::move(host)),
          name(self.node),
          domain(self.domain),
          cores(self.cores),
          random(index_in + 1) {
      Start();
    }

    // Starts the process with empty state.
    void Start() {
      ++incarnation;
      rows.clear();
      version = 0;
      known_at = -1;
      lost = false;
      peers = std::make_unique<GatewayPeers>(self, &log);
      directory = std::make_unique<ReplicaDirectory>(this);
      directory->SetMaxRetention(kRecoveryBound);
      split_row = std::make_unique<SplitRow>(
          [this](const auto& changes) { OnParts(changes); });
      config.clear();
      freshness = {};
      freshness.SetMaxUseAge(net->plan_.MaxUseAge());
      relay = std::make_unique<TableRelay>("t", this, split_row.get());
      source = std::make_unique<TableSource>(
          "t", &net->plan_, peers.get(), this, this, split_row.get(), &random,
          &metrics, &log, [this](TimeUs now, const TableAnswer& answer) {
            watch->OnAnswer(now, answer);
          });
      watch = std::make_unique<TableWatch>("t", &net->plan_, source.get(), this,
                                           &random, &log);
    }

    void SendRequest(const StoreRequest& request) override {
      net->OnCall({index, request, net->now_, false});
    }
    std::size_t ReceivedBytes(const std::string&,
                              std::uint64_t id) const override {
      for (const Arrival& it : net->arrivals_) {
        if (it.call.from == index && it.call.request.id == id) {
          return static_cast<std::size_t>(it.transfer->bytes -
                                          it.transfer->left);
        }
      }
      return 0;
    }
    void CancelRequest(const std::string&, std::uint64_t id) override {
      std::erase_if(net->open_calls_, [&](const Call& it) {
        return it.from == index && it.request.id == id;
      });
      std::erase_if(net->arrivals_, [&](const Arrival& it) {
        return it.call.from == index && it.call.request.id == id;
      });
    }
    void SendToPeer(const NodeId& peer, const Message& message) override {
      net->Send(index, peer, message);
    }
    void OnTable(const std::string&,
                 const std::vector<TableRow>& table_rows) override {
      rows.clear();
      std::vector<ReplicaEntry> replicas;
      std::vector<TableRow> others;
      for (const TableRow& it : table_rows) {
        net->SpendReadTime(this, it.value.size());
        if (it.key == kConfigKey) {
          split_row->Replace(it.version, SplitConfig(it.value));
          continue;
        }
        others.push_back(it);
        rows[it.key] = it.value;
        if (IsReplica(it)) {
          replicas.push_back(EntryOf(it));
        }
      }
      directory->Replace(net->now_, replicas, {});
      relay->OnTable(others, watch->version());
      if (!config.empty()) {
        JoinConfig();
      }
    }
    void OnRow(const std::string&, const TableRow& row) override {
      if (row.key == kConfigKey) {
        net->SpendReadTime(this, row.value.size());
        if (!row.removed) {
          split_row->Replace(row.version, SplitConfig(row.value));
        }
        return;
      }
      if (row.removed) {
        rows.erase(row.key);
        directory->Remove(net->now_, row.key);
      } else {
        net->SpendReadTime(this, row.value.size());
        rows[row.key] = row.value;
        if (IsReplica(row)) {
          directory->Put(EntryOf(row));
        }
      }
      relay->OnRow(row);
    }
    void OnTableCurrent(const std::string&, TimeUs at) override {
      freshness.OnConfirmed(at);
      known_at = std::max(known_at, at);
      lost = false;
      directory->OnStoreRecovered(net->now_);
      relay->OnCurrent(at, watch->version());
    }
    void OnTableLost(const std::string&) override {
      lost = true;
      directory->OnStoreLost(source->store_failed_at());
      relay->OnLost();
    }
    void OnReplica(const ReplicaEntry&, DirectoryChange) override {}

    // The configuration's first line holds its version and each other one a
    // part, which begins with its name.
    static std::vector<RowPart> SplitConfig(const std::string& value) {
      std::vector<RowPart> parts;
      std::istringstream lines(value);
      for (std::string line; std::getline(lines, line);) {
        const std::string name =
            parts.empty() ? kFirstPart : line.substr(0, line.find(' '));
        parts.push_back({name, line, false});
      }
      return parts;
    }
    void OnParts(const std::vector<RowPart>& changes) {
      for (const RowPart& it : changes) {
        net->SpendReadTime(this, it.text.size());
        if (it.removed) {
          config.erase(it.name);
        } else {
          config[it.name] = it.text;
        }
      }
      JoinConfig();
    }
    void JoinConfig() {
      std::string& value = rows[kConfigKey];
      value.clear();
      for (const auto& [name, text] : config) {
        value += value.empty() ? text : '\n' + text;
      }
    }

    static bool IsReplica(const TableRow& row) {
      return row.key.starts_with("replica");
    }
    static ReplicaEntry EntryOf(const TableRow& row) {
      ReplicaEntry entry;
      entry.id = row.key;
      entry.service = "s";
      return entry;
    }

    TableNet* const net;
    const std::size_t index;
    const GatewayHost self;
    const NodeId name;
    const std::string domain;
    const double cores;
    QuietLog log;
    Random random;
    Metrics metrics;
    std::unique_ptr<GatewayPeers> peers;
    std::unique_ptr<ReplicaDirectory> directory;
    std::unique_ptr<SplitRow> split_row;
    std::map<std::string, std::string> config;  // Its parts by name.
    ConfigFreshness freshness;                  // Of the configuration.
    std::unique_ptr<TableRelay> relay;
    std::unique_ptr<TableSource> source;
    std::unique_ptr<TableWatch> watch;
    Incarnation incarnation = 0;
    StoreBehavior store_behavior = StoreBehavior::kServes;
    bool alive = true;
    bool frozen = false;
    // The gateway runs in one of this many ticks; more than one on a slow host.
    int runs_every = 1;
    TimeUs busy_until = 0;  // Reads rows until then.
    std::map<std::string, std::string> rows;
    std::uint64_t version = 0;
    TimeUs known_at = -1;
    bool lost = false;
  };

  using PartitionFn = std::function<bool(std::size_t from, std::size_t to)>;

  // `n` gateways in `domains` failure domains; one in six is a large host.
  TableNet(std::size_t n,
           std::size_t domains,
           const FreshnessPlan& plan = PlanFreshness(kMaxStaleness,
                                                     kRecoveryBound))
      : plan_(plan) {
    Write("config", "0");
    for (std::size_t i = 0; i < n; ++i) {
      nodes_.push_back(std::make_unique<Node>(
          this, i,
          GatewayHost{"g" + std::to_string(i),
                      "d" + std::to_string(i % domains),
                      (i / domains) % 6 == 0 ? 0.5 : 0.09}));
    }
  }

  Node& node(std::size_t n) { return *nodes_[n]; }
  std::size_t size() const { return nodes_.size(); }
  TimeUs now() const { return now_; }
  std::size_t calls() const { return calls_; }
  std::size_t complete_reads() const { return complete_reads_; }
  // Replies with complete tables between gateways.
  std::size_t complete_replies() const { return complete_replies_; }
  const std::vector<std::string>& violations() const { return violations_; }
  void SetPartition(PartitionFn partition) {
    partition_ = std::move(partition);
  }
  // How long the store takes to answer.
  void SetLatency(DurationUs latency) { latency_ = latency; }
  void SetLinkRates(LinkRates rates) { link_rates_ = rates; }
  // Processor time, on a whole core, that a gateway takes to read a kilobyte of
  // rows.
  void SetReadTimePerKilobyte(DurationUs time) { read_time_per_kb_ = time; }
  void DropHistory() { history_from_ = version_; }
  void SetStoreBehavior(StoreBehavior store_behavior) {
    for (auto& it : nodes_) {
      it->store_behavior = store_behavior;
    }
  }

  // The gateway loses the store without an error: its open requests are not
  // answered either.
  void StopStoreAnswers(std::size_t n) {
    nodes_[n]->store_behavior = StoreBehavior::kNoAnswer;
    for (Call& it : open_calls_) {
      it.unanswered = it.unanswered || it.from == n;
    }
  }

  void Write(const std::string& key, const std::string& value) {
    rows_[key] = {key, value, ++version_, false};
    history_[key].emplace_back(now_, value);
  }
  void Remove(const std::string& key) {
    rows_[key] = {key, "", ++version_, true};
    history_[key].emplace_back(now_, "");
  }

  DurationUs Age(std::size_t n) const {
    return nodes_[n]->known_at < 0 ? now_ : now_ - nodes_[n]->known_at;
  }
  // Largest age of the table among the running gateways.
  DurationUs OldestAge() const {
    DurationUs oldest = 0;
    for (const auto& it : nodes_) {
      if (it->alive && !it->frozen) {
        oldest = std::max(oldest, Age(it->index));
      }
    }
    return oldest;
  }
  std::vector<std::size_t> Relays() const {
    std::vector<std::size_t> relays;
    for (const auto& it : nodes_) {
      if (it->alive && it->peers->relay_plan().is_relay) {
        relays.push_back(it->index);
      }
    }
    return relays;
  }
  // Whether all running gateways have this value.
  bool AllHold(const std::string& key, const std::string& value) const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& it) {
      const auto row = it->rows.find(key);
      return !it->alive || it->frozen ||
             (row != it->rows.end() && row->second == value);
    });
  }

  // Whether the gateway would serve requests, at this moment, by a
  // configuration that was replaced more than `bound` before.
  bool ServesByOldConfig(std::size_t n, DurationUs bound) const {
    const Node& it = *nodes_[n];
    const auto held = it.rows.find(kConfigKey);
    return Runs(n) && held != it.rows.end() && it.freshness.MayServe(now_) &&
           NumberOf(held->second) < NumberOf(ValueAt(kConfigKey, now_ - bound));
  }

  void Kill(std::size_t n) {
    nodes_[n]->alive = false;
    for (auto& it : nodes_) {
      it->relay->OnPeerLost(nodes_[n]->name);
      it->source->OnPeerLost(now_, nodes_[n]->name);
    }
    std::erase_if(open_calls_, [&](const Call& it) { return it.from == n; });
    std::erase_if(arrivals_,
                  [&](const Arrival& it) { return it.call.from == n; });
  }
  void Restart(std::size_t n) {
    nodes_[n]->alive = true;
    nodes_[n]->Start();
  }

  void Run(DurationUs time) {
    for (const TimeUs end = now_ + time; now_ < end; now_ += kTick) {
      Step();
    }
  }
  // Runs until `done` returns true, for `time` at most; returns the elapsed
  // time.
  DurationUs RunUntil(const std::function<bool()>& done, DurationUs time) {
    const TimeUs begin = now_;
    while (now_ - begin < time && !done()) {
      Step();
      now_ += kTick;
    }
    return now_ - begin;
  }

 private:
  const FreshnessPlan plan_;

  struct InFlightMessage {
    std::size_t from = 0;
    std::size_t to = 0;
    Message message;
    TransferPtr transfer;
  };

  bool Runs(std::size_t n) const {
    const Node& it = *nodes_[n];
    return it.alive && !it.frozen && now_ / kTick % it.runs_every == 0 &&
           now_ >= it.busy_until;
  }

  // Size of the rows and of the fields around them.
  static std::size_t BytesOf(const TableAnswer& answer) {
    constexpr std::size_t kFieldBytes = 60;
    std::size_t bytes = kFieldBytes;
    for (const TableRow& it : answer.rows) {
      bytes += it.key.size() + it.value.size() + kFieldBytes;
    }
    if (answer.split_row) {
      for (const RowPart& it : answer.split_row->parts) {
        bytes += it.name.size() + it.text.size() + kFieldBytes;
      }
    }
    return bytes;
  }
  static std::size_t BytesOf(const Message& message) {
    const auto* reply = std::get_if<TableReply>(&message);
    return reply != nullptr ? BytesOf(reply->answer) : 100;
  }
  TransferPtr BeginTransfer(std::size_t to,
                            std::uint64_t connection,
                            std::size_t bytes) {
    const auto size = static_cast<double>(bytes);
    const bool limited = link_rates_.small > 0 && link_rates_.large > 0;
    transfers_.push_back(std::make_shared<Transfer>(
        Transfer{to, connection, size, limited ? size : 0}));
    return transfers_.back();
  }
  // Moves the bytes of one tick over all links.
  void MoveBytes() {
    constexpr double kLargeHostCores = 0.5;
    std::erase_if(transfers_, [](const auto& it) { return it->left <= 0; });
    std::map<std::size_t, std::map<std::uint64_t, Transfer*>> active;
    for (const TransferPtr& it : transfers_) {
      active[it->to].emplace(it->connection, it.get());
    }
    for (const auto& [to, connections] : active) {
      const double rate = nodes_[to]->cores >= kLargeHostCores
                              ? link_rates_.large
                              : link_rates_.small;
      const double share = rate * static_cast<double>(kTick) / kSecond /
                           static_cast<double>(connections.size());
      for (const auto& [connection, transfer] : connections) {
        transfer->left -= std::min(transfer->left, share);
      }
    }
  }
  void SpendReadTime(Node* node, std::size_t bytes) {
    constexpr double kKilobyte = 1000;
    const double time = static_cast<double>(read_time_per_kb_) *
                        static_cast<double>(bytes) / kKilobyte;
    node->busy_until = std::max(node->busy_until, now_) +
                       static_cast<DurationUs>(time / node->cores);
  }

  void OnCall(Call call) {
    ++calls_;
    complete_reads_ += call.request.query.complete_table ? 1 : 0;
    call.unanswered =
        nodes_[call.from]->store_behavior == StoreBehavior::kNoAnswer;
    open_calls_.push_back(call);
  }
  void Send(std::size_t from, const NodeId& to, const Message& message) {
    const std::size_t receiver = std::stoul(to.substr(1));
    in_flight_.push_back({from, receiver, message,
                          BeginTransfer(receiver, from, BytesOf(message))});
  }

  bool IsExpired(const Call& call) const {
    return now_ >= call.sent_at + call.request.answer_timeout;
  }

  TableAnswer AnswerOf(const Call& call) const {
    TableAnswer answer;
    const StoreBehavior store_behavior = nodes_[call.from]->store_behavior;
    if (call.unanswered || IsExpired(call) ||
        store_behavior != StoreBehavior::kServes) {
      answer.why = "the store does not answer";
      return answer;
    }
    const TableQuery& query = call.request.query;
    if (!query.complete_table && query.after < history_from_) {
      answer.kind = TableAnswer::Kind::kHistoryTruncated;
      return answer;
    }
    answer.kind = TableAnswer::Kind::kRows;
    answer.version = version_;
    answer.store_time = now_ - kStoreClockLag;
    for (const auto& [key, row] : rows_) {
      if (query.complete_table ? !row.removed : row.version > query.after) {
        answer.rows.push_back(row);
      }
    }
    return answer;
  }

  bool IsDue(const Call& call) const {
    const TableQuery& query = call.request.query;
    if (call.unanswered || IsExpired(call)) {
      return IsExpired(call);
    }
    const bool has_answer =
        query.complete_table || version_ > query.after ||
        nodes_[call.from]->store_behavior != StoreBehavior::kServes;
    return now_ >= call.sent_at + latency_ &&
           (has_answer || now_ >= call.sent_at + query.wait);
  }

  void AnswerCalls() {
    std::vector<Call> due;
    std::copy_if(open_calls_.begin(), open_calls_.end(),
                 std::back_inserter(due),
                 [&](const Call& it) { return Runs(it.from) && IsDue(it); });
    std::erase_if(open_calls_,
                  [&](const Call& it) { return Runs(it.from) && IsDue(it); });
    for (const Call& it : due) {
      // Each of the store's answers comes on a connection of its own, and in an
      // encoding that adds a third.
      const TableAnswer answer = AnswerOf(it);
      const std::uint64_t connection = nodes_.size() + ++answers_;
      arrivals_.push_back(
          {it, answer,
           BeginTransfer(it.from, connection, BytesOf(answer) * 4 / 3)});
    }
  }

  // Delivers the answers whose transfer is complete, and fails those that take
  // longer than their time limit.
  void DeliverArrivals() {
    const auto is_due = [&](const Arrival& it) {
      const bool begun = it.transfer->left < it.transfer->bytes;
      return Runs(it.call.from) &&
             (it.transfer->left <= 0 || (!begun && IsExpired(it.call)));
    };
    std::vector<Arrival> due;
    std::copy_if(arrivals_.begin(), arrivals_.end(), std::back_inserter(due),
                 is_due);
    std::erase_if(arrivals_, is_due);
    for (const Arrival& it : due) {
      TableAnswer failed;
      failed.why = "the answer was not complete in time";
      nodes_[it.call.from]->source->OnStoreAnswer(
          now_, it.call.request.id,
          it.transfer->left <= 0 ? it.answer : failed);
    }
  }

  void Deliver() {
    for (const InFlightMessage& it : std::exchange(in_flight_, {})) {
      if (nodes_[it.to]->alive && (!Runs(it.to) || it.transfer->left > 0)) {
        in_flight_.push_back(it);
      } else if (nodes_[it.to]->alive &&
                 !(partition_ && partition_(it.from, it.to))) {
        Handle(it);
      } else if (!nodes_[it.to]->alive) {
        nodes_[it.from]->source->OnPeerLost(now_, nodes_[it.to]->name);
      }
    }
  }
  void Handle(const InFlightMessage& it) {
    Node& to = *nodes_[it.to];
    if (const auto* request = std::get_if<TableRequest>(&it.message)) {
      to.relay->OnTableRequest(now_, nodes_[it.from]->name, *request);
    } else if (const auto* reply = std::get_if<TableReply>(&it.message)) {
      complete_replies_ +=
          reply->answer.rows.size() + 1 == rows_.size() ? 1 : 0;
      to.source->OnReply(now_, nodes_[it.from]->name, *reply);
    }
  }

  void ExchangeHeartbeats() {
    for (const auto& to : nodes_) {
      if (!Runs(to->index)) {
        continue;
      }
      to->peers->TakeLost(now_);
      for (const auto& from : nodes_) {
        if (from == to || !Runs(from->index) ||
            (partition_ && partition_(from->index, to->index))) {
          continue;
        }
        GatewayHeartbeat heartbeat;
        heartbeat.cores = from->cores;
        heartbeat.domain = from->domain;
        heartbeat.config_version = from->split_row->version();
        to->peers->OnGatewayHeartbeat(now_, from->name, from->incarnation,
                                      heartbeat);
      }
    }
  }

  void Step() {
    if (now_ % kHeartbeatPeriod == 0) {
      ExchangeHeartbeats();
    }
    MoveBytes();
    Deliver();
    AnswerCalls();
    DeliverArrivals();
    for (const auto& it : nodes_) {
      if (Runs(it->index)) {
        it->freshness.OnTick(now_, it->source->ReceivesChanges() ||
                                       it->peers->NewestConfigVersion() >
                                           it->split_row->version());
        it->source->OnTick(now_);
        it->relay->OnTick(now_);
        it->watch->OnTick(now_);
        it->directory->OnTick(now_);
        Check(it.get());
      }
    }
  }

  // The number that a value begins with.
  static unsigned long NumberOf(const std::string& value) {
    constexpr std::size_t kMaxDigits = 10;
    return value.empty() ? 0 : std::stoul(value.substr(0, kMaxDigits));
  }
  const std::string& ValueAt(const std::string& key, TimeUs at) const {
    static const std::string kNone;
    const std::string* value = &kNone;
    for (const auto& [time, written] : history_.at(key)) {
      if (time <= at) {
        value = &written;
      }
    }
    return *value;
  }

  // Checks that the version of `node` never decreases and that it has every row
  // as of `known_at` or later. Values only increase, so a node may have a
  // greater value than required.
  void Check(Node* node) {
    if (node->watch->version() < node->version) {
      violations_.push_back(node->name + " has a lower version than before");
    }
    node->version = node->watch->version();
    if (node->known_at < 0) {
      return;
    }
    for (const auto& [key, unused] : history_) {
      const std::string& due = ValueAt(key, node->known_at - 1);
      const auto it = node->rows.find(key);
      const bool holds = it != node->rows.end() && !it->second.empty();
      const bool later_removal = !holds && rows_.at(key).removed;
      if (!due.empty() && !later_removal &&
          (!holds || NumberOf(it->second) < NumberOf(due))) {
        violations_.push_back(node->name + " claims to be current but lacks " +
                              key);
      }
    }
  }

  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, TableRow> rows_;
  std::map<std::string, std::vector<std::pair<TimeUs, std::string>>> history_;
  std::uint64_t version_ = 0;
  std::uint64_t history_from_ = 0;
  std::vector<Call> open_calls_;
  std::vector<Arrival> arrivals_;
  std::vector<TransferPtr> transfers_;
  std::uint64_t answers_ = 0;
  DurationUs latency_ = kTick;
  LinkRates link_rates_;
  DurationUs read_time_per_kb_ = 0;
  std::vector<InFlightMessage> in_flight_;
  PartitionFn partition_;
  TimeUs now_ = 1000 * kSecond;
  std::size_t calls_ = 0;
  std::size_t complete_reads_ = 0;
  std::size_t complete_replies_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_GATEWAY_TABLE_NET_H_
