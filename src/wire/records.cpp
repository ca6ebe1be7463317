#include "wire/records.h"

#include <algorithm>
#include <charconv>

#include "wire/json.h"

namespace scheduler::wire {
namespace {

void put_string_map(Writer& writer, const char* name,
                    const std::map<std::string, std::string>& texts) {
  writer.Key(name);
  writer.StartObject();
  for (const auto& [key, text] : texts) put(writer, key.c_str(), text);
  writer.EndObject();
}

std::string name_of(const Json::Member& field) {
  return {field.name.GetString(), field.name.GetStringLength()};
}

// Reads the required member `field`, an object whose values are strings.
Decoded<std::map<std::string, std::string>> read_string_map(const Json& object, const char* field) {
  const Json* texts = member(object, field);
  if (!texts || !texts->IsObject()) return decode_error(field, "an object of texts");
  std::map<std::string, std::string> read;
  for (const auto& text : texts->GetObject()) {
    if (!text.value.IsString())
      return decode_error(std::string(field) + "." + name_of(text), "a text");
    read.emplace(name_of(text), std::string(text.value.GetString(), text.value.GetStringLength()));
  }
  return read;
}

// Parses a record. Returns an error if the text is not a JSON object.
std::optional<DecodeError> parse_record(std::string_view text, rapidjson::Document& document) {
  if (parse_object(text, document)) return std::nullopt;
  return DecodeError{"", "a JSON object"};
}

// Encodes a bitmap with four bits per hexadecimal digit; the first of them is the lowest bit.
std::string hex_of(const std::vector<bool>& bits) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string out((bits.size() + 3) / 4, '0');
  for (std::size_t i = 0; i < out.size(); ++i) {
    unsigned digit = 0;
    for (std::size_t b = 0; b < 4 && i * 4 + b < bits.size(); ++b)
      digit |= static_cast<unsigned>(bits[i * 4 + b]) << b;
    out[i] = digits[digit];
  }
  return out;
}

// Decodes the result of hex_of for `count` bits. Returns nullopt if the length is wrong or a
// character is not a hexadecimal digit.
std::optional<std::vector<bool>> bits_of(std::string_view hex, std::size_t count) {
  if (hex.size() != (count + 3) / 4) return std::nullopt;
  std::vector<bool> bits(count, false);
  for (std::size_t i = 0; i < hex.size(); ++i) {
    unsigned digit = 0;
    auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 1, digit, 16);
    if (error != std::errc{} || end != hex.data() + i + 1) return std::nullopt;
    for (std::size_t b = 0; b < 4 && i * 4 + b < count; ++b) bits[i * 4 + b] = (digit >> b) & 1U;
  }
  return bits;
}

}  // namespace

std::string encode(const ViewRecord& record) {
  return object([&](Writer& writer) {
    put(writer, "epoch", record.epoch);
    put_string_map(writer, "live", record.live);
    put_string_map(writer, "departed", record.departing);
    writer.Key("deaf");
    writer.StartArray();
    for (const auto& name : record.unreachable) put_text(writer, name);
    writer.EndArray();
  });
}

template <>
Decoded<ViewRecord> decode<ViewRecord>(std::string_view text) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  ViewRecord record;
  FieldReader fields(document);
  if (fields.required("epoch", record.epoch).failed()) return tl::unexpected(fields.error());
  auto live = read_string_map(document, "live");
  if (!live) return tl::unexpected(live.error());
  record.live = std::move(*live);
  auto departing = read_string_map(document, "departed");
  if (!departing) return tl::unexpected(departing.error());
  record.departing = std::move(*departing);
  const Json* deaf = member(document, "deaf");
  if (!deaf) return record;
  if (!deaf->IsArray()) return decode_error("deaf", "a list of names");
  for (const Json& name : deaf->GetArray()) {
    if (!name.IsString()) return decode_error("deaf", "a list of names");
    record.unreachable.emplace(name.GetString(), name.GetStringLength());
  }
  return record;
}

std::string encode(const LiveRecord& record) {
  return object([&](Writer& writer) {
    put(writer, "incarnation", record.incarnation);
    put(writer, "epoch", record.epoch);
    if (record.format != kFirstFormat) put(writer, "formats", std::uint64_t{record.format});
  });
}

template <>
Decoded<LiveRecord> decode<LiveRecord>(std::string_view text) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  LiveRecord record;
  FieldReader fields(document);
  fields.required("incarnation", record.incarnation).required("epoch", record.epoch);
  if (fields.failed()) return tl::unexpected(fields.error());
  read(document, "formats", record.format);
  return record;
}

std::string encode(const FormatRecord& record) {
  return object([&](Writer& writer) { put(writer, "formats", std::uint64_t{record.format}); });
}

template <>
Decoded<FormatRecord> decode<FormatRecord>(std::string_view text) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  FormatRecord record;
  FieldReader fields(document);
  if (fields.required("formats", record.format).failed()) return tl::unexpected(fields.error());
  return record;
}

std::string encode(const JobRecord& record) {
  return object([&](Writer& writer) {
    write_job_fields(writer, record.spec);
    writer.Key("submittedMs");
    writer.Int64(record.submitted_ms);
    put_bool(writer, "cancelled", record.cancelled);
    writer.Key("shares");
    writer.StartArray();
    for (const auto& range : record.initial_ranges) {
      writer.StartArray();
      writer.Uint(range.number);
      writer.Uint(range.begin);
      writer.Uint(range.end);
      put_text(writer, range.owner);
      writer.EndArray();
    }
    writer.EndArray();
  });
}

namespace {

// Reads [number, begin, end, owner] for a job that has `tasks` tasks. Returns nullopt if it is
// invalid.
std::optional<JobRecord::InitialRange> initial_range_of(const Json& value, std::uint32_t tasks) {
  if (!value.IsArray() || value.Size() != 4 || !value[0].IsUint() || !value[1].IsUint() ||
      !value[2].IsUint() || !value[3].IsString())
    return std::nullopt;
  JobRecord::InitialRange range{value[0].GetUint(), value[1].GetUint(), value[2].GetUint(),
                                value[3].GetString()};
  if (range.begin >= range.end || range.end > tasks) return std::nullopt;
  return range;
}

}  // namespace

template <>
Decoded<JobRecord> decode<JobRecord>(std::string_view text) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  auto spec = parse_job(static_cast<const Json&>(document));
  if (!spec) return decode_error(spec.error().field, "a valid field of a job specification");
  JobRecord record;
  record.spec = std::move(*spec);
  const Json* submitted = member(document, "submittedMs");
  if (!submitted || !submitted->IsInt64()) return decode_error("submittedMs", "a whole number");
  record.submitted_ms = submitted->GetInt64();
  if (const Json* initial_ranges = member(document, "shares")) {
    if (!initial_ranges->IsArray()) return decode_error("shares", "a list of shares");
    for (const Json& value : initial_ranges->GetArray()) {
      auto range = initial_range_of(value, record.spec.tasks);
      if (!range)
        return decode_error(element_path("shares", record.initial_ranges.size()),
                            "[number, begin, end, owner] of tasks of the job");
      record.initial_ranges.push_back(std::move(*range));
    }
  }
  FieldReader fields(document);
  if (fields.required("cancelled", record.cancelled).failed())
    return tl::unexpected(fields.error());
  return record;
}

std::uint32_t RangeRecord::done_count() const {
  return static_cast<std::uint32_t>(std::count(done.begin(), done.end(), true));
}

std::string encode(const RangeRecord& record) {
  return object([&](Writer& writer) {
    put(writer, "o", record.owner);
    put(writer, "b", std::uint64_t{record.begin});
    put(writer, "e", std::uint64_t{record.end});
    put(writer, "d", hex_of(record.done));
    put(writer, "n", record.next_attempt);
    if (record.stopping) put_bool(writer, "s", true);
    // Placements are grouped by machine, incarnation and quota holder (empty: the range's owner),
    // so that one value has room for hundreds of them.
    std::map<std::tuple<std::string, std::uint64_t, std::string>,
             std::vector<std::pair<std::uint32_t, std::uint64_t>>>
        groups;
    for (const auto& [task, placement] : record.placed)
      groups[{placement.machine, placement.incarnation,
              placement.quota_holder == record.owner ? "" : placement.quota_holder}]
          .emplace_back(task, placement.attempt);
    writer.Key("p");
    writer.StartArray();
    for (const auto& [group, tasks] : groups) {
      writer.StartArray();
      put_text(writer, std::get<0>(group));
      writer.Uint64(std::get<1>(group));
      put_text(writer, std::get<2>(group));
      for (const auto& [task, attempt] : tasks) {
        writer.Uint(task);
        writer.Uint64(attempt);
      }
      writer.EndArray();
    }
    writer.EndArray();
  });
}

namespace {

// Reads a group of placements into the record: [machine, incarnation, quota holder (empty: the
// range's owner), task, attempt, task, attempt...]. Returns false if the group is invalid.
bool read_placements(const Json& group, RangeRecord& record) {
  if (!group.IsArray() || group.Size() < 3 || group.Size() % 2 == 0 || !group[0].IsString() ||
      !group[1].IsUint64() || !group[2].IsString())
    return false;
  Placement placement;
  placement.machine = group[0].GetString();
  placement.incarnation = group[1].GetUint64();
  placement.quota_holder = group[2].GetString();
  if (placement.quota_holder.empty()) placement.quota_holder = record.owner;
  for (rapidjson::SizeType i = 3; i < group.Size(); i += 2) {
    if (!group[i].IsUint() || !group[i + 1].IsUint64()) return false;
    const std::uint32_t task = group[i].GetUint();
    if (task < record.begin || task >= record.end) return false;
    placement.attempt = group[i + 1].GetUint64();
    record.placed[task] = placement;
  }
  return true;
}

}  // namespace

template <>
Decoded<RangeRecord> decode<RangeRecord>(std::string_view text) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  RangeRecord record;
  std::string bitmap;
  FieldReader fields(document);
  fields.required("o", record.owner)
      .required("b", record.begin)
      .required("e", record.end)
      .require(record.end > record.begin, "e", "a number above that of the first task")
      .required("d", bitmap);
  if (fields.failed()) return tl::unexpected(fields.error());
  auto done = bits_of(bitmap, record.end - record.begin);
  if (!done) return decode_error("d", "a hexadecimal digit for each four tasks");
  record.done = std::move(*done);
  if (fields.required("n", record.next_attempt).failed()) return tl::unexpected(fields.error());
  read(document, "s", record.stopping);
  const Json* groups = member(document, "p");
  if (!groups || !groups->IsArray()) return decode_error("p", "a list of placements");
  for (rapidjson::SizeType i = 0; i < groups->Size(); ++i) {
    if (!read_placements((*groups)[i], record))
      return decode_error(element_path("p", i),
                          "[machine, incarnation, quota holder, task, attempt...] of the range");
  }
  return record;
}

namespace {
// Returns {"m":{ID:[...],...}}. A machine takes about 60 bytes.
template <typename Record, typename Fill>
std::string machines_body(const Record& record, Fill&& fill) {
  return object([&](Writer& writer) {
    writer.Key("m");
    writer.StartObject();
    for (const auto& [id, machine] : record.machines) {
      writer.Key(id.c_str());
      writer.StartArray();
      fill(writer, machine);
      writer.EndArray();
    }
    writer.EndObject();
  });
}

// Decodes the result of machines_body. `machine_of(value)` converts the array of one machine, or
// returns nullopt if it is invalid.
template <typename Record, typename MachineOf>
Decoded<Record> decode_machines(std::string_view text, const char* expected,
                                MachineOf&& machine_of) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  const Json* machines = member(document, "m");
  if (!machines || !machines->IsObject()) return decode_error("m", "an object of machines");
  Record record;
  for (const auto& field : machines->GetObject()) {
    std::string id = name_of(field);
    auto machine = machine_of(field.value);
    if (!machine) return decode_error("m." + id, expected);
    record.machines.insert_or_assign(std::move(id), std::move(*machine));
  }
  return record;
}

std::optional<MachineState> machine_state_of(const Json& value) {
  if (!value.IsUint() || value.GetUint() > static_cast<unsigned>(MachineState::terminated))
    return std::nullopt;
  return static_cast<MachineState>(value.GetUint());
}

std::optional<MachineRecord> fleet_machine_of(const Json& value) {
  if (!value.IsArray() || value.Size() < 5 || !value[0].IsString() || !value[1].IsString() ||
      !value[2].IsString() || !value[3].IsUint())
    return std::nullopt;
  const auto state = machine_state_of(value[4]);
  if (!state) return std::nullopt;
  MachineRecord machine;
  machine.address = value[0].GetString();
  machine.type = value[1].GetString();
  machine.zone = value[2].GetString();
  machine.spot = value[3].GetUint() != 0;
  machine.state = *state;
  return machine;
}

std::optional<ShardRecord::Contact> contact_of(const Json& value) {
  if (!value.IsArray() || value.Size() < 4 || !value[0].IsString() || !value[1].IsUint64() ||
      !value[3].IsUint64())
    return std::nullopt;
  const auto state = machine_state_of(value[2]);
  if (!state) return std::nullopt;
  ShardRecord::Contact contact;
  contact.address = value[0].GetString();
  contact.incarnation = value[1].GetUint64();
  contact.state = *state;
  contact.epoch = value[3].GetUint64();
  return contact;
}
}  // namespace

std::string encode(const FleetRecord& record) {
  return machines_body(record, [](Writer& writer, const MachineRecord& machine) {
    put_text(writer, machine.address);
    put_text(writer, machine.type);
    put_text(writer, machine.zone);
    writer.Uint(machine.spot ? 1 : 0);
    writer.Uint(static_cast<unsigned>(machine.state));
  });
}

template <>
Decoded<FleetRecord> decode<FleetRecord>(std::string_view text) {
  return decode_machines<FleetRecord>(text, "[address, type, zone, spot, state]", fleet_machine_of);
}

std::string encode(const ShardRecord& record) {
  return machines_body(record, [](Writer& writer, const ShardRecord::Contact& contact) {
    put_text(writer, contact.address);
    writer.Uint64(contact.incarnation);
    writer.Uint(static_cast<unsigned>(contact.state));
    writer.Uint64(contact.epoch);
  });
}

template <>
Decoded<ShardRecord> decode<ShardRecord>(std::string_view text) {
  return decode_machines<ShardRecord>(text, "[address, incarnation, state, epoch]", contact_of);
}

std::string shard_guard_body(std::string_view controller) {
  return object([&](Writer& writer) { put(writer, "by", controller); });
}

std::string encode(const ScaleOutRequest& request) {
  return object([&](Writer& writer) {
    put(writer, "type", request.type);
    put(writer, "zone", request.zone);
    put_bool(writer, "spot", request.spot);
    put(writer, "count", std::uint64_t{request.count});
  });
}

template <>
Decoded<ScaleOutRequest> decode<ScaleOutRequest>(std::string_view text) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  ScaleOutRequest request;
  FieldReader fields(document);
  fields.required("type", request.type)
      .required("zone", request.zone)
      .required("spot", request.spot)
      .required("count", request.count);
  if (fields.failed()) return tl::unexpected(fields.error());
  return request;
}

namespace {

using Amounts = std::map<std::string, QuotaRecord::Amount>;

void put_amounts(Writer& writer, const char* name, const Amounts& amounts) {
  writer.Key(name);
  writer.StartObject();
  for (const auto& [controller, amount] : amounts) {
    writer.Key(controller.c_str());
    writer.StartArray();
    writer.Double(amount.cpus);
    writer.Double(amount.gpus);
    writer.EndArray();
  }
  writer.EndObject();
}

Decoded<Amounts> read_amounts(const Json& object, const char* field) {
  const Json* by_controller = member(object, field);
  if (!by_controller || !by_controller->IsObject())
    return decode_error(field, "an object of amounts");
  Amounts amounts;
  for (const auto& [controller, amount] : by_controller->GetObject()) {
    if (!amount.IsArray() || amount.Size() != 2 || !amount[0].IsNumber() || !amount[1].IsNumber())
      return decode_error(std::string(field) + "." + controller.GetString(), "[cpus, gpus]");
    amounts[controller.GetString()] = {amount[0].GetDouble(), amount[1].GetDouble()};
  }
  return amounts;
}

}  // namespace

std::string encode(const QuotaRecord& record) {
  return object([&](Writer& writer) {
    put_amounts(writer, "grants", record.leases);
    put_amounts(writer, "wanted", record.demand);
    if (!record.service_demand.empty()) put_amounts(writer, "services", record.service_demand);
  });
}

template <>
Decoded<QuotaRecord> decode<QuotaRecord>(std::string_view text) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  QuotaRecord record;
  auto leases = read_amounts(document, "grants");
  if (!leases) return tl::unexpected(leases.error());
  record.leases = std::move(*leases);
  auto demand = read_amounts(document, "wanted");
  if (!demand) return tl::unexpected(demand.error());
  record.demand = std::move(*demand);
  if (!member(document, "services")) return record;
  auto service_demand = read_amounts(document, "services");
  if (!service_demand) return tl::unexpected(service_demand.error());
  record.service_demand = std::move(*service_demand);
  return record;
}

std::string encode(const FinalStateRecord& record) {
  return object([&](Writer& writer) {
    put_bool(writer, "done", record.done);
    put(writer, "tasks", record.tasks);
  });
}

template <>
Decoded<FinalStateRecord> decode<FinalStateRecord>(std::string_view text) {
  rapidjson::Document document;
  if (auto error = parse_record(text, document)) return tl::unexpected(std::move(*error));
  FinalStateRecord record;
  FieldReader fields(document);
  fields.required("done", record.done).required("tasks", record.tasks);
  if (fields.failed()) return tl::unexpected(fields.error());
  return record;
}

}  // namespace scheduler::wire
