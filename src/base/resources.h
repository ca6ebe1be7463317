// Amounts of CPUs, GPUs and memory.
#pragma once

#include <algorithm>
#include <cmath>

#include "wire/messages.h"

namespace scheduler {

// Amounts are decimal numbers; sums of tenths must not miss a fit by rounding. CPUs, GPUs, GB.
constexpr double kAmountSlack = 1e-6;

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }

  // With this much free, whether so much can be taken.
  [[nodiscard]] bool fits(const Resources& demand) const {
    return cpus + kAmountSlack >= demand.cpus && gpus + kAmountSlack >= demand.gpus &&
           memory_gb + kAmountSlack >= demand.memory_gb;
  }
  // At least as much of each.
  [[nodiscard]] bool covers(const Resources& other) const {
    return cpus >= other.cpus && gpus >= other.gpus && memory_gb >= other.memory_gb;
  }
  // Nothing but rounding.
  [[nodiscard]] bool negligible() const {
    return cpus <= kAmountSlack && gpus <= kAmountSlack && memory_gb <= kAmountSlack;
  }
  // The same, with nothing below zero.
  [[nodiscard]] Resources not_negative() const {
    return {std::max(0.0, cpus), std::max(0.0, gpus), std::max(0.0, memory_gb)};
  }
};

// What one task of the job takes.
inline Resources resources_of(const wire::JobSpec& job) {
  return {job.cpus, job.gpus, job.memory_gb};
}

// What a machine of the type has.
inline Resources resources_of(const wire::MachineType& type) {
  return {type.cpus, type.gpus, type.memory_gb};
}

// Tasks of that demand that can be taken at once with this much free; many if they need nothing.
inline double fit_count(const Resources& demand, const Resources& free) {
  constexpr double kMany = 1e6;
  double tasks = kMany;
  if (demand.cpus > 0)
    tasks = std::min(tasks, std::floor((free.cpus + kAmountSlack) / demand.cpus));
  if (demand.gpus > 0)
    tasks = std::min(tasks, std::floor((free.gpus + kAmountSlack) / demand.gpus));
  if (demand.memory_gb > 0)
    tasks = std::min(tasks, std::floor((free.memory_gb + kAmountSlack) / demand.memory_gb));
  return std::max(0.0, tasks);
}

}  // namespace scheduler
