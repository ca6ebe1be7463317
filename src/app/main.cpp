#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <random>

#include "app/service.h"

namespace {

std::uint64_t fresh_seed() {
  // Two runs must never have equal seeds: combines random bits with the time of day, in case the
  // random device yields few different values.
  std::random_device device;
  std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32U) ^ device();
  seed ^= static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()) *
          0x9e3779b97f4a7c15ULL;
  return seed;
}

void configure_logging(const std::string& level_option) {
  auto logger = spdlog::stderr_logger_st("cluster-scheduler");
  spdlog::set_default_logger(logger);
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* level_variable = std::getenv("LOG_LEVEL");
  const std::string level = !level_option.empty() ? level_option
                            : level_variable      ? level_variable
                                                  : "info";
  spdlog::set_level(level == "error"   ? spdlog::level::err
                    : level == "debug" ? spdlog::level::debug
                                       : spdlog::level::info);
}

// Reads the command line, the settings and the options, and runs the controller until the process
// is ended.
int run(int argc, char** argv) {
  CLI::App app{"cluster-scheduler: one controller of a cluster"};
  std::string config;
  std::string options_path;
  bool check = false;
  app.add_option("--config", config, "Settings file (TOML) from the platform")->required();
  app.add_option("--options", options_path, "Options file of the operator (TOML)")
      ->envname("PUFFINHAVEN_OPTIONS");
  app.add_flag("--check", check, "Check the settings and exit");
  app.set_version_flag("--version", std::string("cluster-scheduler ") + SCHEDULER_VERSION);
  CLI11_PARSE(app, argc, argv);
  auto settings = scheduler::app::load_settings(config);
  const auto options =
      options_path.empty() ? scheduler::app::Options{} : scheduler::app::load_options(options_path);
  settings.core.expected_machines = options.machines;
  settings.core.relays = options.relay;
  if (check) {
    const auto problems = scheduler::capacity_problems(settings.core);
    for (const auto& problem : problems) std::cerr << "cluster-scheduler: " << problem << "\n";
    if (!problems.empty()) return 1;
    std::cout << "settings are valid\n";
    return 0;
  }
  configure_logging(options.log_level);
  settings.core.log_debug = spdlog::should_log(spdlog::level::debug);
  asio::io_context io(1);
  scheduler::app::Service service(io, settings, options, fresh_seed());
  service.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cluster-scheduler: %s\n", error.what());
  } catch (...) {
    std::fputs("cluster-scheduler: unknown error\n", stderr);
  }
  return 1;
}
