// Amounts of CPUs, GPUs and memory.
#pragma once

#include <algorithm>
#include <cmath>

#include "wire/messages.h"

namespace scheduler {

// Tolerance of comparisons, in CPUs, GPUs or GB. Sums of decimal fractions have rounding errors,
// which must not make a task appear too large.
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

  // Whether `demand` fits if this is the amount of free resources.
  [[nodiscard]] bool fits(const Resources& demand) const {
    return cpus + kAmountSlack >= demand.cpus && gpus + kAmountSlack >= demand.gpus &&
           memory_gb + kAmountSlack >= demand.memory_gb;
  }
  // Whether this has at least as much of each resource as `other`, without tolerance.
  [[nodiscard]] bool covers(const Resources& other) const {
    return cpus >= other.cpus && gpus >= other.gpus && memory_gb >= other.memory_gb;
  }
  // Whether each amount is zero up to rounding errors.
  [[nodiscard]] bool negligible() const {
    return cpus <= kAmountSlack && gpus <= kAmountSlack && memory_gb <= kAmountSlack;
  }
  // Returns a copy in which negative amounts are replaced by zero.
  [[nodiscard]] Resources not_negative() const {
    return {std::max(0.0, cpus), std::max(0.0, gpus), std::max(0.0, memory_gb)};
  }
};

// Resources that one task of the job requires.
inline Resources resources_of(const wire::JobSpec& job) {
  return {job.cpus, job.gpus, job.memory_gb};
}

// Resources of a machine of this type.
inline Resources resources_of(const wire::MachineType& type) {
  return {type.cpus, type.gpus, type.memory_gb};
}

// Number of tasks with this demand that fit into the free resources at the same time. Returns a
// large number if the demand is zero.
inline double fit_count(const Resources& demand, const Resources& free) {
  constexpr double kUnlimitedTasks = 1e6;
  double tasks = kUnlimitedTasks;
  if (demand.cpus > 0)
    tasks = std::min(tasks, std::floor((free.cpus + kAmountSlack) / demand.cpus));
  if (demand.gpus > 0)
    tasks = std::min(tasks, std::floor((free.gpus + kAmountSlack) / demand.gpus));
  if (demand.memory_gb > 0)
    tasks = std::min(tasks, std::floor((free.memory_gb + kAmountSlack) / demand.memory_gb));
  return std::max(0.0, tasks);
}

}  // namespace scheduler
