// acaciachuted: runs one process of the system, in the role that its settings
// name, or a gateway with --gateway.
#include <glog/logging.h>

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "daemon/entry_node.h"
#include "daemon/gateway_node.h"
#include "daemon/sidecar_node.h"
#include "daemon/startup.h"
#include "platform/host_settings_file.h"
#include "protocol/node_settings.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

constexpr char kVersion[] = "acaciachuted 0.1.0";
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

template <typename Node>
int RunNode(const NodeSettings& settings) {
  Loop loop;
  Node node(settings, &loop);
  if (const auto status = node.Start(); !status.ok()) {
    std::cerr << "acaciachuted: " << status.message() << "\n";
    return kExitFailed;
  }
  loop.OnSignal(SIGTERM, [&node] { node.Drain(); });
  loop.OnSignal(SIGINT, [&node] { node.Drain(); });
  loop.OnSignal(SIGHUP, [] {});
  loop.Run();
  return 0;
}

int LoadAndRun(const std::string& path, bool check_only) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "acaciachuted: cannot read " << path << "\n";
    return kExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  const auto result = ParseNodeSettings(text.str());
  for (const auto& error : result.errors) {
    std::cerr << path << ": " << error << "\n";
  }
  if (!result.errors.empty()) {
    return kExitUsage;
  }
  if (check_only) {
    std::cout << path << ": ok\n";
    return 0;
  }
  return result.settings.role == Role::kEntry
             ? RunNode<EntryNode>(result.settings)
             : RunNode<SidecarNode>(result.settings);
}

// Runs a gateway. It reads the platform's settings file, whose path the
// platform passes to the process.
int RunGateway(bool check_only) {
  const auto settings = platform::LoadHostSettings();
  if (!settings.ok()) {
    std::cerr << "acaciachuted: " << settings.status().message() << "\n";
    return kExitUsage;
  }
  if (check_only) {
    std::cout << "settings: ok\n";
    return 0;
  }
  Loop loop;
  GatewayNode node(*settings, &loop);
  if (const auto status = node.Start(); !status.ok()) {
    std::cerr << "acaciachuted: " << status.message() << "\n";
    return kExitFailed;
  }
  loop.OnSignal(SIGTERM, [&node] { node.Drain(); });
  loop.OnSignal(SIGINT, [&node] { node.Drain(); });
  loop.OnSignal(SIGHUP, [&node] { node.Reload(); });
  loop.Run();
  return 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("acaciachuted",
                           "Serves multi-stage model pipelines.");
  options.add_options()("settings", "JSON settings file",
                        cxxopts::value<std::string>(), "FILE")(
      "gateway", "Serve clients on the platform, by the platform's settings")(
      "check-settings", "Only check the settings file")(
      "version", "Print the version")("help", "Print this help");
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (args.count("version") > 0) {
      std::cout << kVersion << "\n";
      return 0;
    }
    if (args.count("gateway") > 0) {
      return RunGateway(args.count("check-settings") > 0);
    }
    if (args.count("settings") == 0) {
      std::cerr << "acaciachuted: --settings FILE is required\n";
      return kExitUsage;
    }
    return LoadAndRun(args["settings"].as<std::string>(),
                      args.count("check-settings") > 0);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << "acaciachuted: " << e.what() << "\n";
    return kExitUsage;
  }
}

}  // namespace
}  // namespace acaciachute

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  acaciachute::ReturnFreedMemory();
  return acaciachute::Main(argc, argv);
}
