#include "coordination/stages/piece_messages.h"

#include <utility>

namespace acaciachute {
namespace {

// Numbers of an item and the lengths of its texts in a frame, rounded up.
constexpr std::size_t kFixedBytes = 200;

std::size_t TextBytes(const PieceKey& key) {
  return kFixedBytes + key.request.size();
}

// Size of one item behind `previous` in the same message; null: the first one.
std::size_t SizeBehind(const PieceTask* previous, const PieceTask& task) {
  const bool shared =
      previous != nullptr && previous->inputs.IsSame(task.inputs);
  const std::size_t inputs =
      task.inputs.bytes() + task.inputs.size() * sizeof(std::uint64_t);
  return TextBytes(task.key) + task.service.size() + task.source.size() +
         task.near_domain.size() + (shared ? 0 : inputs);
}
std::size_t SizeBehind(const std::string*, const std::string& handle) {
  return sizeof(std::uint64_t) + handle.size();
}
std::size_t SizeBehind(const PieceResult*, const PieceResult& result) {
  return TextBytes(result.key) + result.handle.size();
}

template <class Message, class Item>
std::vector<Message> Split(std::vector<Item> items,
                           std::vector<Item> Message::*field) {
  std::vector<Message> messages;
  std::size_t bytes = 0;
  const Item* previous = nullptr;
  for (Item& it : items) {
    bytes += SizeBehind(previous, it);
    if (previous == nullptr || bytes > kMaxPieceMessageBytes) {
      messages.emplace_back();
      bytes = SizeBehind(nullptr, it);
    }
    std::vector<Item>& part = messages.back().*field;
    part.push_back(std::move(it));
    previous = &part.back();
  }
  return messages;
}

}  // namespace

std::vector<PieceTasks> SplitTasks(std::vector<PieceTask> tasks) {
  return Split(std::move(tasks), &PieceTasks::tasks);
}

std::vector<PieceRelease> SplitRelease(std::vector<std::string> handles) {
  return Split(std::move(handles), &PieceRelease::handles);
}

std::vector<PieceResults> SplitResults(std::vector<PieceResult> results) {
  return Split(std::move(results), &PieceResults::results);
}

std::size_t MemoryOf(const std::vector<PieceTask>& tasks) {
  std::size_t bytes = 0;
  const PieceTask* previous = nullptr;
  for (const PieceTask& it : tasks) {
    bytes += kPieceMemoryBytes;
    if (previous == nullptr || !previous->inputs.IsSame(it.inputs)) {
      bytes += it.inputs.memory_bytes();
    }
    previous = &it;
  }
  return bytes;
}

}  // namespace acaciachute
