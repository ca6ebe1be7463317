#include "wire/records.h"

#include <algorithm>
#include <charconv>

#include "wire/json.h"

namespace scheduler::wire {
namespace {

void put_map(Writer& w, const char* name, const std::map<std::string, std::string>& m) {
  w.Key(name);
  w.StartObject();
  for (const auto& [k, v] : m) put(w, k.c_str(), v);
  w.EndObject();
}

bool read_map(const Json& o, const char* name, std::map<std::string, std::string>& m) {
  m.clear();
  const Json* v = member(o, name);
  if (!v || !v->IsObject()) return false;
  for (const auto& f : v->GetObject()) {
    if (!f.value.IsString()) return false;
    m.emplace(std::string(f.name.GetString(), f.name.GetStringLength()),
              std::string(f.value.GetString(), f.value.GetStringLength()));
  }
  return true;
}

std::string hex_of(const std::vector<bool>& bits) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string out((bits.size() + 3) / 4, '0');
  for (std::size_t i = 0; i < out.size(); ++i) {
    unsigned v = 0;
    for (std::size_t b = 0; b < 4 && i * 4 + b < bits.size(); ++b)
      v |= static_cast<unsigned>(bits[i * 4 + b]) << b;
    out[i] = digits[v];
  }
  return out;
}

bool bits_of(std::string_view hex, std::size_t count, std::vector<bool>& bits) {
  if (hex.size() != (count + 3) / 4) return false;
  bits.assign(count, false);
  for (std::size_t i = 0; i < hex.size(); ++i) {
    unsigned v = 0;
    auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 1, v, 16);
    if (error != std::errc{} || end != hex.data() + i + 1) return false;
    for (std::size_t b = 0; b < 4 && i * 4 + b < count; ++b) bits[i * 4 + b] = (v >> b) & 1U;
  }
  return true;
}

}  // namespace

std::string encode(const ViewRecord& r) {
  return object([&](Writer& w) {
    put(w, "epoch", r.epoch);
    put_map(w, "live", r.live);
    put_map(w, "departed", r.departing);
    w.Key("deaf");
    w.StartArray();
    for (const auto& name : r.unreachable) put_text(w, name);
    w.EndArray();
  });
}

bool decode(std::string_view text, ViewRecord& r) {
  rapidjson::Document doc;
  if (!parse_object(text, doc) || !read(doc, "epoch", r.epoch) || !read_map(doc, "live", r.live) ||
      !read_map(doc, "departed", r.departing))
    return false;
  r.unreachable.clear();
  const Json* deaf = member(doc, "deaf");
  if (!deaf) return true;
  if (!deaf->IsArray()) return false;
  for (const Json& name : deaf->GetArray()) {
    if (!name.IsString()) return false;
    r.unreachable.emplace(name.GetString(), name.GetStringLength());
  }
  return true;
}

std::string encode(const LiveRecord& r) {
  return object([&](Writer& w) {
    put(w, "incarnation", r.incarnation);
    put(w, "epoch", r.epoch);
    if (r.format != kFirstFormat) put(w, "formats", std::uint64_t{r.format});
  });
}

bool decode(std::string_view text, LiveRecord& r) {
  rapidjson::Document doc;
  if (!parse_object(text, doc) || !read(doc, "incarnation", r.incarnation) ||
      !read(doc, "epoch", r.epoch))
    return false;
  r.format = kFirstFormat;
  read(doc, "formats", r.format);
  return true;
}

std::string encode(const FormatRecord& r) {
  return object([&](Writer& w) { put(w, "formats", std::uint64_t{r.format}); });
}

bool decode(std::string_view text, FormatRecord& r) {
  rapidjson::Document doc;
  return parse_object(text, doc) && read(doc, "formats", r.format);
}

std::string encode(const JobRecord& r) {
  return object([&](Writer& w) {
    write_job_fields(w, r.spec);
    w.Key("submittedMs");
    w.Int64(r.submitted_ms);
    put_bool(w, "cancelled", r.cancelled);
    w.Key("shares");
    w.StartArray();
    for (const auto& share : r.shares) {
      w.StartArray();
      w.Uint(share.number);
      w.Uint(share.begin);
      w.Uint(share.end);
      put_text(w, share.owner);
      w.EndArray();
    }
    w.EndArray();
  });
}

bool decode(std::string_view text, JobRecord& r) {
  rapidjson::Document doc;
  if (!parse_object(text, doc) || !parse_job(static_cast<const Json&>(doc), r.spec).empty())
    return false;
  const Json* t = member(doc, "submittedMs");
  if (!t || !t->IsInt64()) return false;
  r.submitted_ms = t->GetInt64();
  r.shares.clear();
  if (const Json* shares = member(doc, "shares")) {
    if (!shares->IsArray()) return false;
    for (const Json& v : shares->GetArray()) {
      if (!v.IsArray() || v.Size() != 4 || !v[0].IsUint() || !v[1].IsUint() || !v[2].IsUint() ||
          !v[3].IsString() || v[1].GetUint() >= v[2].GetUint() || v[2].GetUint() > r.spec.tasks)
        return false;
      r.shares.push_back({v[0].GetUint(), v[1].GetUint(), v[2].GetUint(), v[3].GetString()});
    }
  }
  return read(doc, "cancelled", r.cancelled);
}

std::uint32_t RangeRecord::done_count() const {
  return static_cast<std::uint32_t>(std::count(done.begin(), done.end(), true));
}

std::string encode(const RangeRecord& r) {
  return object([&](Writer& w) {
    put(w, "o", r.owner);
    put(w, "b", std::uint64_t{r.begin});
    put(w, "e", std::uint64_t{r.end});
    put(w, "d", hex_of(r.done));
    put(w, "n", r.next_attempt);
    if (r.stopping) put_bool(w, "s", true);
    // Placements by machine, session and grant (none: the owner's), so that a value holds hundreds.
    std::map<std::tuple<std::string, std::uint64_t, std::string>,
             std::vector<std::pair<std::uint32_t, std::uint64_t>>>
        groups;
    for (const auto& [task, p] : r.placed)
      groups[{p.machine, p.incarnation, p.quota_holder == r.owner ? "" : p.quota_holder}]
          .emplace_back(task, p.attempt);
    w.Key("p");
    w.StartArray();
    for (const auto& [where, tasks] : groups) {
      w.StartArray();
      put_text(w, std::get<0>(where));
      w.Uint64(std::get<1>(where));
      put_text(w, std::get<2>(where));
      for (const auto& [task, attempt] : tasks) {
        w.Uint(task);
        w.Uint64(attempt);
      }
      w.EndArray();
    }
    w.EndArray();
  });
}

bool decode(std::string_view text, RangeRecord& r) {
  rapidjson::Document doc;
  std::string bits;
  if (!parse_object(text, doc) || !read(doc, "o", r.owner) || !read(doc, "b", r.begin) ||
      !read(doc, "e", r.end) || r.end <= r.begin || !read(doc, "d", bits) ||
      !bits_of(bits, r.end - r.begin, r.done) || !read(doc, "n", r.next_attempt))
    return false;
  r.stopping = false;
  read(doc, "s", r.stopping);
  r.placed.clear();
  const Json* groups = member(doc, "p");
  if (!groups || !groups->IsArray()) return false;
  for (const Json& g : groups->GetArray()) {
    if (!g.IsArray() || g.Size() < 3 || g.Size() % 2 == 0 || !g[0].IsString() || !g[1].IsUint64() ||
        !g[2].IsString())
      return false;
    Placement p;
    p.machine = g[0].GetString();
    p.incarnation = g[1].GetUint64();
    p.quota_holder = g[2].GetString();
    if (p.quota_holder.empty()) p.quota_holder = r.owner;
    for (rapidjson::SizeType i = 3; i < g.Size(); i += 2) {
      if (!g[i].IsUint() || !g[i + 1].IsUint64()) return false;
      const std::uint32_t task = g[i].GetUint();
      if (task < r.begin || task >= r.end) return false;
      p.attempt = g[i + 1].GetUint64();
      r.placed[task] = p;
    }
  }
  return true;
}

namespace {
// {"m":{ID:[...],...}}: a machine takes some 60 bytes.
template <typename Record, typename Fill>
std::string machines_body(const Record& r, Fill&& fill) {
  return object([&](Writer& w) {
    w.Key("m");
    w.StartObject();
    for (const auto& [id, m] : r.machines) {
      w.Key(id.c_str());
      w.StartArray();
      fill(w, m);
      w.EndArray();
    }
    w.EndObject();
  });
}

template <typename Record, typename Take>
bool parse_machines(std::string_view text, Record& r, Take&& take) {
  rapidjson::Document doc;
  r.machines.clear();
  if (!parse_object(text, doc)) return false;
  const Json* all = member(doc, "m");
  if (!all || !all->IsObject()) return false;
  for (const auto& f : all->GetObject()) {
    if (!f.value.IsArray()) return false;
    auto& m = r.machines[std::string(f.name.GetString(), f.name.GetStringLength())];
    if (!take(f.value, m)) return false;
  }
  return true;
}

bool machine_state_from(const Json& v, MachineState& out) {
  if (!v.IsUint() || v.GetUint() > static_cast<unsigned>(MachineState::terminated)) return false;
  out = static_cast<MachineState>(v.GetUint());
  return true;
}
}  // namespace

std::string encode(const FleetRecord& r) {
  return machines_body(r, [](Writer& w, const MachineRecord& m) {
    put_text(w, m.address);
    put_text(w, m.type);
    put_text(w, m.zone);
    w.Uint(m.spot ? 1 : 0);
    w.Uint(static_cast<unsigned>(m.state));
  });
}

bool decode(std::string_view text, FleetRecord& r) {
  return parse_machines(text, r, [](const Json& v, MachineRecord& m) {
    if (v.Size() < 5 || !v[0].IsString() || !v[1].IsString() || !v[2].IsString() || !v[3].IsUint())
      return false;
    m.address = v[0].GetString();
    m.type = v[1].GetString();
    m.zone = v[2].GetString();
    m.spot = v[3].GetUint() != 0;
    return machine_state_from(v[4], m.state);
  });
}

std::string encode(const ShardRecord& r) {
  return machines_body(r, [](Writer& w, const ShardRecord::Contact& m) {
    put_text(w, m.address);
    w.Uint64(m.incarnation);
    w.Uint(static_cast<unsigned>(m.state));
    w.Uint64(m.epoch);
  });
}

bool decode(std::string_view text, ShardRecord& r) {
  return parse_machines(text, r, [](const Json& v, ShardRecord::Contact& m) {
    if (v.Size() < 4 || !v[0].IsString() || !v[1].IsUint64() || !v[3].IsUint64()) return false;
    m.address = v[0].GetString();
    m.incarnation = v[1].GetUint64();
    m.epoch = v[3].GetUint64();
    return machine_state_from(v[2], m.state);
  });
}

std::string shard_guard_body(std::string_view by) {
  return object([&](Writer& w) { put(w, "by", by); });
}

std::string encode(const ScaleOutRequest& r) {
  return object([&](Writer& w) {
    put(w, "type", r.type);
    put(w, "zone", r.zone);
    put_bool(w, "spot", r.spot);
    put(w, "count", std::uint64_t{r.count});
  });
}

bool decode(std::string_view text, ScaleOutRequest& r) {
  rapidjson::Document doc;
  return parse_object(text, doc) && read(doc, "type", r.type) && read(doc, "zone", r.zone) &&
         read(doc, "spot", r.spot) && read(doc, "count", r.count);
}

namespace {
void put_amounts(Writer& w, const char* name,
                 const std::map<std::string, QuotaRecord::Amount>& amounts) {
  w.Key(name);
  w.StartObject();
  for (const auto& [who, a] : amounts) {
    w.Key(who.c_str());
    w.StartArray();
    w.Double(a.cpus);
    w.Double(a.gpus);
    w.EndArray();
  }
  w.EndObject();
}

bool read_amounts(const Json& o, const char* name,
                  std::map<std::string, QuotaRecord::Amount>& out) {
  out.clear();
  const Json* v = member(o, name);
  if (!v || !v->IsObject()) return false;
  for (const auto& f : v->GetObject()) {
    if (!f.value.IsArray() || f.value.Size() != 2 || !f.value[0].IsNumber() ||
        !f.value[1].IsNumber())
      return false;
    out[f.name.GetString()] = {f.value[0].GetDouble(), f.value[1].GetDouble()};
  }
  return true;
}
}  // namespace

std::string encode(const QuotaRecord& r) {
  return object([&](Writer& w) {
    put_amounts(w, "grants", r.leases);
    put_amounts(w, "wanted", r.demand);
    if (!r.service_demand.empty()) put_amounts(w, "services", r.service_demand);
  });
}

bool decode(std::string_view text, QuotaRecord& r) {
  rapidjson::Document doc;
  if (!parse_object(text, doc) || !read_amounts(doc, "grants", r.leases) ||
      !read_amounts(doc, "wanted", r.demand))
    return false;
  r.service_demand.clear();
  return !member(doc, "services") || read_amounts(doc, "services", r.service_demand);
}

std::string encode(const FinalStateRecord& r) {
  return object([&](Writer& w) {
    put_bool(w, "done", r.done);
    put(w, "tasks", r.tasks);
  });
}

bool decode(std::string_view text, FinalStateRecord& r) {
  rapidjson::Document doc;
  return parse_object(text, doc) && read(doc, "done", r.done) && read(doc, "tasks", r.tasks);
}

}  // namespace scheduler::wire
