#include "transport/socket_poller.h"

#include <glib-unix.h>
#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <vector>

#include "glog/logging.h"

namespace acaciachute {

struct SocketPoller::Impl {
  // The watch on one descriptor. The kernel reuses descriptor numbers;
  // `generation` distinguishes an event of a closed socket from one of its
  // successor.
  struct Entry {
    SocketWatcher* watcher = nullptr;
    std::uint32_t generation = 0;
    std::uint32_t events = 0;
  };

  static gboolean OnReady(gint, GIOCondition, gpointer data) {
    static_cast<Impl*>(data)->Dispatch();
    return G_SOURCE_CONTINUE;
  }
  static std::uint64_t TagOf(int fd, std::uint32_t generation) {
    constexpr unsigned kBits = 32;
    return (std::uint64_t{generation} << kBits) |
           static_cast<std::uint32_t>(fd);
  }

  void Dispatch();
  // Returns null if the event's socket was closed or has got another watcher
  // since the event was read.
  Entry* Find(std::uint64_t tag);
  void Apply(int fd, Entry* entry, std::uint32_t events);

  int epoll = -1;
  guint source = 0;
  std::vector<Entry> entries;  // Indexed by descriptor.
};

SocketPoller::Impl::Entry* SocketPoller::Impl::Find(std::uint64_t tag) {
  const auto fd = static_cast<std::uint32_t>(tag);
  Entry& entry = entries[fd];
  const bool same = TagOf(static_cast<int>(fd), entry.generation) == tag;
  return same && entry.watcher != nullptr ? &entry : nullptr;
}

void SocketPoller::Impl::Dispatch() {
  std::array<epoll_event, kMaxEventsPerTurn> ready;
  const int n = epoll_wait(epoll, ready.data(), kMaxEventsPerTurn, 0);
  for (int k = 0; k < n; ++k) {
    const std::uint64_t tag = ready[k].data.u64;
    const bool ended = (ready[k].events & (EPOLLERR | EPOLLHUP)) != 0;
    const Entry* entry = Find(tag);
    if (entry != nullptr && (entry->events & EPOLLOUT) != 0 &&
        (ended || (ready[k].events & EPOLLOUT) != 0)) {
      entry->watcher->OnWritable();
      entry = Find(tag);  // `OnWritable` may have closed the socket.
    }
    if (entry != nullptr && (entry->events & EPOLLIN) != 0 &&
        (ended || (ready[k].events & EPOLLIN) != 0)) {
      entry->watcher->OnReadable();
    }
  }
}

void SocketPoller::Impl::Apply(int fd, Entry* entry, std::uint32_t events) {
  epoll_event event = {};
  event.events = events;
  event.data.u64 = TagOf(fd, entry->generation);
  const int operation = events == 0          ? EPOLL_CTL_DEL
                        : entry->events == 0 ? EPOLL_CTL_ADD
                                             : EPOLL_CTL_MOD;
  if (epoll_ctl(epoll, operation, fd, &event) != 0) {
    LOG(ERROR) << "epoll_ctl failed for a socket: " << std::strerror(errno);
  }
  entry->events = events;
}

SocketPoller::SocketPoller() : impl_(std::make_unique<Impl>()) {
  impl_->epoll = epoll_create1(EPOLL_CLOEXEC);
  PCHECK(impl_->epoll >= 0) << "epoll_create1 failed";
  impl_->source =
      g_unix_fd_add(impl_->epoll, G_IO_IN, Impl::OnReady, impl_.get());
}

SocketPoller::~SocketPoller() {
  g_source_remove(impl_->source);
  close(impl_->epoll);
}

void SocketPoller::Watch(int fd,
                         SocketWatcher* watcher,
                         bool readable,
                         bool writable) {
  const auto index = static_cast<std::size_t>(fd);
  if (index >= impl_->entries.size()) {
    impl_->entries.resize(index + 1);
  }
  Impl::Entry& entry = impl_->entries[index];
  const std::uint32_t events =
      (readable ? EPOLLIN : 0U) | (writable ? EPOLLOUT : 0U);
  if (entry.watcher != watcher) {
    ++entry.generation;
  }
  if (events != entry.events) {
    impl_->Apply(fd, &entry, events);
  }
  entry.watcher = events == 0 ? nullptr : watcher;
}

}  // namespace acaciachute
