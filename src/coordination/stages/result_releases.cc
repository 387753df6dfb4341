#include "coordination/stages/result_releases.h"

#include <string_view>
#include <utility>

#include "address_text.h"

namespace acaciachute {

void ResultReleases::Add(const std::vector<std::string>& handles) {
  for (const auto& handle : handles) {
    const auto producer =
        ParseAddress(std::string_view(handle).substr(0, handle.find('/')));
    if (producer) {  // Otherwise no result was produced.
      pending_[*producer].push_back(handle);
    }
  }
}

void ResultReleases::Send(const ActionFn& action_of, const SendFn& send) {
  for (auto& [address, handles] : std::exchange(pending_, {})) {
    switch (action_of(handles.front())) {
      case Action::kSend:
        send(address, handles);
        break;
      case Action::kWait:
        pending_[address] = std::move(handles);
        break;
      case Action::kDrop:
        break;
    }
  }
}

}  // namespace acaciachute
