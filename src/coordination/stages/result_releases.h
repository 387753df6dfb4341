// Results that are to be released, by the address of their replica, until the
// next message to it.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_RESULT_RELEASES_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_RESULT_RELEASES_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

class ResultReleases {
 public:
  enum class Action {
    kSend,
    kWait,
    kDrop,  // The replica must not be contacted; its results expire.
  };
  // `handle`: of one of the replica's results.
  using ActionFn = std::function<Action(const std::string& handle)>;
  using SendFn = std::function<void(const Address& replica,
                                    const std::vector<std::string>& handles)>;

  // Includes results that were produced for another gateway's batcher.
  void Add(const std::vector<std::string>& handles);
  // Sends each replica one message with all of its results.
  void Send(const ActionFn& action_of, const SendFn& send);

 private:
  std::map<Address, std::vector<std::string>> pending_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_RESULT_RELEASES_H_
