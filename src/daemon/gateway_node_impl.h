// The implementation class of `GatewayNode`, shared by its source files.
#ifndef ACACIACHUTE_SRC_DAEMON_GATEWAY_NODE_IMPL_H_
#define ACACIACHUTE_SRC_DAEMON_GATEWAY_NODE_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/crashes/crash_exchange.h"
#include "coordination/gateway/evacuations.h"
#include "coordination/gateway/gateway.h"
#include "coordination/membership/gateway_join.h"
#include "coordination/membership/gateway_peers.h"
#include "coordination/stages/local_piece_dispatcher.h"
#include "coordination/stages/shared_piece_dispatcher.h"
#include "coordination/tables/table_relay.h"
#include "coordination/tables/table_source.h"
#include "coordination/tables/table_watch.h"
#include "daemon/gateway_node.h"
#include "platform/config.h"
#include "platform/pieces.h"
#include "platform/replica_starts.h"
#include "platform/requests.h"
#include "platform/rows.h"
#include "platform/store_client.h"
#include "state/metrics.h"
#include "text.h"
#include "transport/connect_probes.h"
#include "transport/http_channels.h"
#include "transport/http_listener.h"
#include "transport/log_writer.h"
#include "transport/peer_mesh.h"

namespace acaciachute {

// The store's table in which gateways publish their addresses.
inline constexpr char kGatewayTable[] = "acaciachute-gateways";
// The store's table of causes that are refused because replicas ended under
// them.
inline constexpr char kCrashTable[] = "acaciachute-crashes";
// The store's table of versions at which streams can have begun.
inline constexpr char kVersionTable[] = "acaciachute-stream-versions";
// The store's table of streams that clients may take up.
inline constexpr char kStreamTable[] = "acaciachute-streams";

// A table of the store that this gateway follows and relays to other gateways.
struct FollowedTable {
  // `split_row` holds the table's split row; null if it has none.
  FollowedTable(const std::string& table,
                const FreshnessPlan& plan_in,
                const GatewayPeers* peers,
                StoreReader* store,
                TableRelayOutput* output,
                SplitRow* split_row,
                TableListener* listener,
                Random* random,
                Metrics* metrics,
                EventLog* log);

  FreshnessPlan plan;
  TableRelay relay;
  TableSource source;
  TableWatch watch;
};

struct GatewayNode::Impl : public ListenerHandler,
                           public GatewayOutput,
                           public CallSink,
                           public TableListener,
                           public DirectoryWatcher,
                           public PieceBatcherOutput,
                           public SharedPieceDispatcherOutput,
                           public PeerHandler,
                           public TableRelayOutput,
                           public GatewayJoinOutput,
                           public CrashExchangeOutput {
  Impl(HostSettings settings_in, Loop* loop_in);

  absl::Status Start();
  void Drain();
  void Reload();
  // Applies the settings' bounds on the age of tables and on the time between
  // the choice of a replica and the arrival of the request there.
  void ApplyBounds();
  void Tick();
  void CheckDrained();

  // Serves the balancer's readiness checks and the operators' pages.
  class ReadinessHandler : public ListenerHandler {
   public:
    explicit ReadinessHandler(Impl* owner) : owner_(owner) {}
    void OnRequest(ExchangeId id,
                   HttpRequestHead head,
                   std::string body) override {
      owner_->OnOperatorRequest(id, head, body);
    }
    void OnClientDisconnected(ExchangeId) override {}
    void OnWritten(ExchangeId) override {}
    void OnListenerEvent(const ListenerEvent&) override {}

   private:
    Impl* const owner_;
  };

  void OnOperatorRequest(ExchangeId id,
                         const HttpRequestHead& head,
                         const std::string& body);
  bool Ready() const;
  ListenerLimits ClientLimitsOf(const ClientLimits& limits) const;

  // ListenerHandler
  void OnRequest(ExchangeId id,
                 HttpRequestHead head,
                 std::string body) override;
  void OnClientDisconnected(ExchangeId id) override {
    gateway->OnClientDisconnected(id);
  }
  void OnWritten(ExchangeId id) override { gateway->OnWritten(id); }
  void OnListenerEvent(const ListenerEvent& event) override;
  ListenerRefusal WriteRefusal(int status, const std::string& reason) override;
  GaveWay OnMemoryShort(ExchangeId id) override {
    return gateway->OnMemoryShort(id);
  }
  void OnRelief(const ClientMemory::Relief& relief);

  // GatewayPorts:
  TimeUs Now() override { return Loop::BootNow(); }
  void Refuse(ExchangeId id, const LocalReply& answer) override;
  AnswerEnd Answer(ExchangeId id,
                   const ReplicaHead& head,
                   const SharedBytes& body,
                   AnswerEnd end) override {
    return clients.Reply(id, head.status, head.fields, body, end);
  }
  AnswerEnd BeginStream(ExchangeId id, const ReplicaHead& head) override {
    return clients.BeginStream(id, head.status, head.fields, head.expected_end);
  }
  void StreamData(ExchangeId id, std::string_view bytes) override {
    clients.StreamData(id, bytes);
  }
  AnswerEnd EndStream(ExchangeId id, AnswerEnd end) override {
    return clients.EndStream(id, end);
  }
  std::size_t Unsent(ExchangeId id) override { return clients.Unsent(id); }
  void SetCollected(ExchangeId id, std::size_t bytes) override {
    clients.SetCollected(id, bytes);
  }
  CallId Send(const AttemptRequest& attempt) override;
  void Cancel(CallId id) override { channels.Cancel(id); }
  bool CancelIfUnsent(CallId id) override {
    return channels.CancelIfUnsent(id);
  }
  void SetReading(CallId id, bool reading) override {
    channels.SetReading(id, reading);
  }

  void ProbeReplica(const ReplicaId& replica, const Address& address) override;
  void AskReplicaStart(const ReplicaId& replica,
                       const Address& address) override;
  void SendDatagram(const NodeId& peer, const Message& message) override;

  // CallSink: requests at replicas.
  void OnConnected(CallId id) override { gateway->OnReplicaConnected(id); }
  void OnAnswerHead(CallId id, const HttpAnswerHead& head) override {
    gateway->OnReplicaHead(id, platform::ReadReplicaHead(head));
  }
  void OnAnswerBody(CallId id, std::string_view bytes) override {
    gateway->OnReplicaBody(id, bytes);
  }
  void OnAnswerEnd(CallId id, AnswerEnd end) override {
    gateway->OnReplicaEnd(id, end);
  }
  void OnCallFailed(CallId id, const CallFailure& failure) override {
    gateway->OnReplicaFailed(id, failure.sent,
                             StrCat(Name(failure.kind), ": ", failure.reason));
  }

  // TableListener
  void OnTable(const std::string& table,
               const std::vector<TableRow>& rows) override;
  void OnRow(const std::string& table, const TableRow& row) override;
  void OnTableCurrent(const std::string& table, TimeUs known_at) override;
  void OnTableLost(const std::string& table) override;
  // Applies the rows that the operator writes. Evacuations are applied before
  // the configuration, so that no request is served under the configuration
  // without them.
  void ApplyOperatorTable(const std::vector<TableRow>& rows,
                          std::uint64_t version);
  void ApplyOperatorRow(const TableRow& row);
  // Returns nullopt if the row is no evacuation or names no failure domain.
  std::optional<EvacuationRow> ReadEvacuation(const TableRow& row);
  // The whole configuration, as the store sends it.
  void SplitConfigRow(const TableRow& row);
  // Puts the changed parts into force.
  void ApplyConfigParts(const std::vector<RowPart>& changes);
  // Logs a refused row once per key and reason, however often it is written.
  void LogRefusedRow(std::string_view event,
                     const TableRow& row,
                     const std::string& why);
  // Returns null and logs the name when this gateway does not follow the table.
  FollowedTable* FindFollowedTable(const std::string& table);
  void OnStoreAnswer(const std::string& table,
                     std::uint64_t id,
                     const TableAnswer& answer);
  // Returns nullopt and logs the reason if the row cannot be parsed.
  std::optional<ReplicaEntry> ReadReplica(const TableRow& row);

  // DirectoryWatcher
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change) override;

  // What a replica states in an answer to a call with pieces or to a release.
  void OnPieceStatement(const ReplicaId& replica,
                        const ReplicaStatement& statement);
  void OnPieceCallEnd(const std::string& service,
                      BatchId id,
                      const PieceCallEnd& end);
  // PieceBatcherOutput
  void StartCall(const PieceCall& call) override;
  bool MayCall(TimeUs now, const ReplicaEntry& replica) override {
    return gateway->rate_limiter()->MaySendBatch(now, replica);
  }
  TimeUs NextCall(TimeUs now, const ReplicaEntry& replica) override {
    return gateway->rate_limiter()->NextBatch(now, replica);
  }
  bool MayRelease(TimeUs now, const std::string& handle) override {
    const ReplicaEntry* producer = directory.ProducerOf(handle);
    return producer == nullptr ||
           !gateway->rate_limiter()->rests().IsResting(now, producer->id);
  }
  void OnPiece(const PieceResult& result) override {
    dispatcher.OnLocalPiece(result);
  }
  void ReleaseAt(const Address& replica,
                 const std::vector<std::string>& handles) override;
  void OnInputsRead(const std::vector<std::string>& handles) override {
    dispatcher.ReleaseResults(handles);
  }
  bool ShortOfMemory(const std::vector<std::string>& handles) override {
    return dispatcher.ShortOfMemory(handles);
  }

  // SharedPieceDeskOutput, TableRelayOutput
  void SendToPeer(const NodeId& peer, const Message& message) override;
  void OnOwnPiece(const PieceResult& result) override {
    gateway->OnPiece(result);
  }

  // PeerHandler
  void OnPeerMessage(const NodeId& from,
                     Incarnation peer_incarnation,
                     const Message& message) override;
  void OnPeerDatagram(const NodeId& from,
                      Incarnation peer_incarnation,
                      const Message& message) override;
  void OnPeerLost(const NodeId& peer) override;
  void OnUnsent(const NodeId& peer, const Message& message) override {
    peers.OnUnreachable(Now(), peer);
    OnPeerLost(peer);
  }
  void OnTooLong(const NodeId& peer,
                 std::size_t index,
                 std::size_t bytes) override {
    log.Write("message_too_long",
              {{"peer", peer}, {"message", index}, {"bytes", bytes}});
  }

  // GatewayJoinOutput
  void ReadGateways() override {
    store.SendRequest({kGatewayTable,
                       0,
                       {true, "", 0, 0},
                       GatewayJoin::kReadTimeout,
                       GatewayJoin::kReadTimeout});
  }
  void WriteGateway(const std::string& key,
                    const std::string& value,
                    bool only_new) override;
  void OnGateway(const NodeId& node, const Address& address) override;
  void OnFrameKey(const std::string& key) override;

  // VersionLedgerOutput
  void RecordVersion(const ServiceVersion& version) override;
  void ReadVersions() override;
  void OnVersionRows(const TableAnswer& answer);

  // StreamRecorderOutput
  void WriteStreamRows(const std::vector<StreamRow>& rows) override;
  void ReadStreamRows(const std::string& after) override;
  void OnStreamRows(const TableAnswer& answer);

  // CrashExchangeOutput
  std::vector<NodeId> LivePeers() override { return peers.LivePeers(); }
  void SendCrashReport(const NodeId& peer, const CrashReport& report) override;
  CrashReport CrashReportToSend(std::size_t first, std::size_t count) override {
    CrashRecords* records = gateway->crash_records();
    return records->Report(Now(), records->Some(Now(), first, count));
  }
  void WriteCrashRow(const std::string& key) override;
  void ReadCrashRows() override;
  void OnCrashRows(const TableAnswer& answer);
  void TickCrashes(TimeUs now);
  // Operators' pages: the causes under which replicas ended, and the lifting
  // of a block.
  void ListCrashes(ExchangeId id);
  void LiftCrashes(ExchangeId id, const std::string& body);

  void TickPeers(TimeUs now);
  void UpdateKnownGateways(TimeUs now);
  void SendHeartbeats(TimeUs now);
  GatewayHeartbeat CurrentHeartbeat(TimeUs now) const;

  HostSettings settings;
  Loop* const loop;
  Random random;
  Metrics metrics;
  LogWriter log;
  ClientMemory memory;
  HttpListener clients;
  ReadinessHandler readiness_handler;
  HttpListener readiness;
  HttpChannels channels;
  ConnectProbes probes;
  platform::PieceCalls pieces;
  platform::ReplicaStarts replica_starts;
  ReplicaDirectory directory;
  Evacuations evacuations;
  std::unique_ptr<Gateway> gateway;
  const Incarnation incarnation;
  GatewayPeers peers;
  LocalPieceDispatcher batchers;
  SharedPieceDispatcher dispatcher;
  std::unique_ptr<PeerMesh> mesh;  // Null until the frame key is known.
  GatewayJoin join;
  CrashExchange crash_exchange;
  TimeUs started_at = 0;
  TimeUs next_peer_check_at = 0;
  TimeUs next_known_gateways_at = 0;
  platform::StoreClient store;
  // The whole row with the configuration that is being read, if any.
  struct ConfigRowRead {
    std::size_t bytes = 0;
    DurationUs time = 0;
  };
  platform::ConfigReader config_reader;
  ConfigRowRead config_row_read;
  SplitRow config_row;
  // Highest version of the row with the configuration that was read here, in
  // force or refused.
  std::uint64_t seen_config = 0;
  FollowedTable configuration;
  FollowedTable replicas;
  // Limits the memory for refused rows; beyond it, `refused_rows` is cleared.
  static constexpr std::size_t kMaxRefusedRows = 1000;
  // Keys of rows that were refused, with the reason that was logged.
  std::map<std::string, std::string> refused_rows;
  bool draining = false;
  TimeUs drain_started_at = 0;
  // Streams could begin at all listed versions once; see `Ready`.
  bool versions_recorded = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_GATEWAY_NODE_IMPL_H_
