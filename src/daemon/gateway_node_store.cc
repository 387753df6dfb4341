// What a gateway process learns from the platform's store: the configuration
// and the replicas.
#include <utility>

#include "address_text.h"
#include "daemon/gateway_node_impl.h"

namespace acaciachute {

void GatewayNode::Impl::OnTable(const std::string& table,
                                const std::vector<TableRow>& rows) {
  if (table == platform::kOperatorTable) {
    for (const TableRow& it : rows) {
      TakeConfig(it);
    }
    return;
  }
  std::vector<ReplicaEntry> entries;
  for (const TableRow& it : rows) {
    auto entry = platform::ParseReplica(it.key, it.value);
    if (entry.ok()) {
      entries.push_back(*std::move(entry));
    } else {
      log.Write(
          "replica_row_refused",
          {{"key", it.key}, {"why", std::string(entry.status().message())}});
    }
  }
  directory.Replace(Now(), entries);
}

void GatewayNode::Impl::OnRow(const std::string& table, const TableRow& row) {
  if (table == platform::kOperatorTable) {
    TakeConfig(row);
    return;
  }
  if (row.removed) {
    directory.Remove(Now(), row.key);
    return;
  }
  const auto entry = platform::ParseReplica(row.key, row.value);
  if (!entry.ok()) {
    log.Write(
        "replica_row_refused",
        {{"key", row.key}, {"why", std::string(entry.status().message())}});
    return;
  }
  directory.Put(*entry);
}

void GatewayNode::Impl::TakeConfig(const TableRow& row) {
  if (row.key != platform::kConfigKey || row.removed) {
    return;
  }
  auto config = platform::ParseConfig(row.value);
  if (!config.ok()) {
    log.Write("config_refused",
              {{"row_version", row.version},
               {"why", std::string(config.status().message())}});
    return;
  }
  clients.SetLimits(ClientLimitsOf((*config)->limits));
  batchers.SetServices(**config);
  gateway->OnConfig(*std::move(config));
}

void GatewayNode::Impl::OnTableCurrent(const std::string& table,
                                       TimeUs asked_at) {
  if (table == platform::kOperatorTable) {
    gateway->OnConfirmed(asked_at);
  } else {
    directory.OnStoreBack(Now());
  }
}

void GatewayNode::Impl::OnTableLost(const std::string& table) {
  if (table == platform::kReplicaTable) {
    directory.OnStoreLost();
  }
}

void GatewayNode::Impl::OnReplica(const ReplicaEntry& replica,
                                  DirectoryChange change) {
  log.Write("replica", {{"replica", replica.id},
                        {"service", replica.service},
                        {"change", Name(change)},
                        {"address", AddressText(replica.address)}});
  gateway->OnReplica(replica, change);
  if (change == DirectoryChange::kGone) {
    channels.DropIdle(replica.address);
    batchers.OnReplicaGone(Now(), replica);
  }
}

}  // namespace acaciachute
