// In-memory version of the platform's table, with faults for tests.
#ifndef ACACIACHUTE_TESTS_FAKE_TABLE_H_
#define ACACIACHUTE_TESTS_FAKE_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "state/store.h"

namespace acaciachute {

class FakeTable {
 public:
  bool down = false;  // Refuses all calls before any effect.
  // Number of writes whose answers are lost after their effect.
  int lose_answers = 0;

  StoreAnswer Transact(const std::vector<StoreOp>& ops) {
    if (down) {
      return {StoreStatus::kUnavailable, {}};
    }
    StoreAnswer answer{StoreStatus::kConflict, {}};
    for (const auto& op : ops) {
      if (!Holds(op)) {
        answer.rows.push_back(Row(op.key));
      }
    }
    if (!answer.rows.empty()) {
      return answer;
    }
    answer.status = StoreStatus::kOk;
    bool writes = false;
    for (const auto& op : ops) {
      writes = Apply(op, &answer.rows) || writes;
    }
    if (writes && lose_answers > 0) {
      --lose_answers;
      return {StoreStatus::kUnknown, {}};
    }
    return answer;
  }

  StoreRow Row(const std::string& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? StoreRow{key, "", 0} : it->second;
  }

 private:
  bool Holds(const StoreOp& op) const {
    const auto version = Row(op.key).version;
    return op.kind == StoreOpKind::kInsert   ? version == 0
           : op.kind == StoreOpKind::kUpdate ? version == op.version
                                             : true;
  }

  bool Apply(const StoreOp& op, std::vector<StoreRow>* out) {
    if (op.kind == StoreOpKind::kScan) {
      for (const auto& [key, row] : rows_) {
        if (key.starts_with(op.key)) {
          out->push_back(row);
        }
      }
      return false;
    }
    const bool writes = op.kind != StoreOpKind::kRead;
    if (writes) {
      rows_[op.key] = {op.key, op.value, Row(op.key).version + 1};
    }
    out->push_back(Row(op.key));
    return writes;
  }

  std::map<std::string, StoreRow> rows_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_FAKE_TABLE_H_
