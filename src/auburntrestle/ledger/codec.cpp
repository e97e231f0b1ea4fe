#include "auburntrestle/ledger/codec.hpp"

#include "auburntrestle/ledger/internal/state_codec.hpp"

#include <msgpack.hpp>

#include <array>
#include <concepts>
#include <limits>
#include <tuple>
#include <type_traits>

namespace auburntrestle::ledger {

namespace internal {

namespace {

/** The only format version that this program writes and reads. */
constexpr std::uint32_t kFormatVersion = 1;

/** Larger stamps and durations could overflow when added. */
constexpr std::int64_t kMaxMicroseconds = std::int64_t{ 1 } << 61;

using Packer = msgpack::packer<msgpack::sbuffer>;

/** Internal to this file; the public functions return errors instead. */
class DecodeFailure : public std::exception
{};

// The fields of each encoded type, in the order of the encoding.
// clang-format off
auto Fields(auto& aValue, std::type_identity<InstanceIdentity>) { return std::tie(aValue.m_instance, aValue.m_incarnation); }
auto Fields(auto& aValue, std::type_identity<ClaimKey>) { return std::tie(aValue.m_caller, aValue.m_key); }
auto Fields(auto& aValue, std::type_identity<ClaimOwner>) { return std::tie(aValue.m_identity, aValue.m_request); }
auto Fields(auto& aValue, std::type_identity<SampleRef>) { return std::tie(aValue.m_step, aValue.m_group, aValue.m_index); }
auto Fields(auto&, std::type_identity<AdvanceTime>) { return std::tuple<>(); }
auto Fields(auto& aValue, std::type_identity<ApplyConfiguration>) { return std::tie(aValue.m_site, aValue.m_number, aValue.m_digest, aValue.m_text, aValue.m_edit); }
auto Fields(auto& aValue, std::type_identity<ReportRevision>) { return std::tie(aValue.m_identity, aValue.m_dataCentre, aValue.m_revision); }
auto Fields(auto& aValue, std::type_identity<InstanceDied>) { return std::tie(aValue.m_identity); }
auto Fields(auto& aValue, std::type_identity<AcquireLease>) { return std::tie(aValue.m_lease, aValue.m_holder, aValue.m_duration); }
auto Fields(auto& aValue, std::type_identity<RenewLease>) { return std::tie(aValue.m_lease, aValue.m_holder, aValue.m_fencing, aValue.m_duration); }
auto Fields(auto& aValue, std::type_identity<ReleaseLease>) { return std::tie(aValue.m_lease, aValue.m_holder, aValue.m_fencing); }
auto Fields(auto& aValue, std::type_identity<BeginClaim>) { return std::tie(aValue.m_key, aValue.m_owner, aValue.m_request, aValue.m_retention); }
auto Fields(auto& aValue, std::type_identity<FinishClaim>) { return std::tie(aValue.m_key, aValue.m_owner, aValue.m_response); }
auto Fields(auto& aValue, std::type_identity<MarkClaimUnknown>) { return std::tie(aValue.m_key, aValue.m_owner); }
auto Fields(auto& aValue, std::type_identity<AbandonClaim>) { return std::tie(aValue.m_key, aValue.m_owner); }
auto Fields(auto& aValue, std::type_identity<OpenStep>) { return std::tie(aValue.m_trainer, aValue.m_step, aValue.m_digest, aValue.m_groupSizes, aValue.m_payload); }
auto Fields(auto& aValue, std::type_identity<AbandonStep>) { return std::tie(aValue.m_trainer, aValue.m_step); }
auto Fields(auto& aValue, std::type_identity<PublishVersion>) { return std::tie(aValue.m_trainer, aValue.m_model, aValue.m_version); }
auto Fields(auto& aValue, std::type_identity<FixBatch>) { return std::tie(aValue.m_trainer, aValue.m_cursor, aValue.m_samples, aValue.m_payload, aValue.m_term); }
auto Fields(auto& aValue, std::type_identity<AcknowledgeBatch>) { return std::tie(aValue.m_trainer, aValue.m_cursor); }
auto Fields(auto& aValue, std::type_identity<DiscardBatch>) { return std::tie(aValue.m_trainer, aValue.m_cursor); }
auto Fields(auto& aValue, std::type_identity<AcceptedEdit>) { return std::tie(aValue.m_number, aValue.m_digest, aValue.m_edit, aValue.m_revision, aValue.m_acceptedAt); }
auto Fields(auto& aValue, std::type_identity<FileState>) { return std::tie(aValue.m_edits, aValue.m_text); }
auto Fields(auto& aValue, std::type_identity<ConfigurationState>) { return std::tie(aValue.m_revision, aValue.m_files); }
auto Fields(auto& aValue, std::type_identity<InstanceState>) { return std::tie(aValue.m_incarnation, aValue.m_firstAlive, aValue.m_dataCentre, aValue.m_revision, aValue.m_lastSeenAt); }
auto Fields(auto& aValue, std::type_identity<LeaseState>) { return std::tie(aValue.m_holder, aValue.m_fencing, aValue.m_duration, aValue.m_previousDuration, aValue.m_endsAt, aValue.m_released); }
auto Fields(auto& aValue, std::type_identity<LeaseTableState>) { return std::tie(aValue.m_lastFencing, aValue.m_leases); }
auto Fields(auto& aValue, std::type_identity<Claim>) { return std::tie(aValue.m_owner, aValue.m_request, aValue.m_state, aValue.m_response, aValue.m_retention, aValue.m_expiresAt); }
auto Fields(auto& aValue, std::type_identity<OpenStepState>) { return std::tie(aValue.m_digest, aValue.m_openedAt, aValue.m_groupSizes, aValue.m_samples, aValue.m_payload); }
auto Fields(auto& aValue, std::type_identity<ClosedStep>) { return std::tie(aValue.m_digest, aValue.m_openedAt); }
auto Fields(auto& aValue, std::type_identity<OutstandingBatch>) { return std::tie(aValue.m_samples, aValue.m_payload, aValue.m_fixedAt); }
auto Fields(auto& aValue, std::type_identity<TrainerState>) { return std::tie(aValue.m_open, aValue.m_closed, aValue.m_firstKnownStep, aValue.m_lastCursor, aValue.m_outstanding, aValue.m_closedCursors); }
auto Fields(auto& aValue, std::type_identity<ModelState>) { return std::tie(aValue.m_trainer, aValue.m_newest); }
auto Fields(auto& aValue, std::type_identity<State>) { return std::tie(aValue.m_lastApplied, aValue.m_now, aValue.m_configuration, aValue.m_instances, aValue.m_leases, aValue.m_claims, aValue.m_trainers, aValue.m_models); }
auto Fields(auto& aValue, std::type_identity<AcceptedFile>) { return std::tie(aValue.m_number, aValue.m_digest, aValue.m_text); }
auto Fields(auto& aValue, std::type_identity<AcceptedConfiguration>) { return std::tie(aValue.m_revision, aValue.m_site, aValue.m_base, aValue.m_overlay); }
// clang-format on

template<typename Value>
concept Structured = requires(Value& aValue)
{
  Fields(aValue, std::type_identity<Value>());
};

template<typename Value>
concept Strong = requires(const Value& aValue)
{
  typename Value::value_type;
  aValue.Get();
};

void Pack(Packer& aPacker, bool aValue)
{
  aPacker.pack(aValue);
}

template<std::unsigned_integral Value>
void Pack(Packer& aPacker, Value aValue)
{
  aPacker.pack_uint64(aValue);
}

void Pack(Packer& aPacker, Duration aValue)
{
  aPacker.pack_int64(aValue.count());
}

void Pack(Packer& aPacker, ClaimState aValue)
{
  Pack(aPacker, static_cast<std::uint32_t>(aValue));
}

void Pack(Packer& aPacker, const std::string& aValue)
{
  aPacker.pack_bin(static_cast<std::uint32_t>(aValue.size()));
  aPacker.pack_bin_body(aValue.data(),
                        static_cast<std::uint32_t>(aValue.size()));
}

template<Strong Value>
void Pack(Packer& aPacker, const Value& aValue);
template<Structured Value>
void Pack(Packer& aPacker, const Value& aValue);
template<typename Item>
void Pack(Packer& aPacker, const std::optional<Item>& aValue);
template<typename Key, typename Item>
void Pack(Packer& aPacker, const std::map<Key, Item>& aValue);
template<typename Item>
void Pack(Packer& aPacker, const std::vector<Item>& aValue);
template<typename Item>
void Pack(Packer& aPacker, const std::deque<Item>& aValue);

template<Strong Value>
void Pack(Packer& aPacker, const Value& aValue)
{
  Pack(aPacker, aValue.Get());
}

template<Structured Value>
void Pack(Packer& aPacker, const Value& aValue)
{
  const auto fields = Fields(aValue, std::type_identity<Value>());
  aPacker.pack_array(std::tuple_size_v<decltype(fields)>);
  std::apply([&](const auto&... aField) { (Pack(aPacker, aField), ...); },
             fields);
}

template<typename Item>
void Pack(Packer& aPacker, const std::optional<Item>& aValue)
{
  if (aValue) {
    Pack(aPacker, *aValue);
  } else {
    aPacker.pack_nil();
  }
}

template<typename Container>
void PackSequence(Packer& aPacker, const Container& aValue)
{
  aPacker.pack_array(static_cast<std::uint32_t>(aValue.size()));
  for (const auto& item : aValue) {
    Pack(aPacker, item);
  }
}

template<typename Key, typename Item>
void Pack(Packer& aPacker, const std::map<Key, Item>& aValue)
{
  aPacker.pack_array(static_cast<std::uint32_t>(aValue.size() * 2));
  for (const auto& [key, item] : aValue) {
    Pack(aPacker, key);
    Pack(aPacker, item);
  }
}

template<typename Item>
void Pack(Packer& aPacker, const std::vector<Item>& aValue)
{
  PackSequence(aPacker, aValue);
}

template<typename Item>
void Pack(Packer& aPacker, const std::deque<Item>& aValue)
{
  PackSequence(aPacker, aValue);
}

const msgpack::object_array& ArrayOf(const msgpack::object& aObject)
{
  if (aObject.type != msgpack::type::ARRAY) {
    throw DecodeFailure();
  }
  return aObject.via.array;
}

void Unpack(const msgpack::object& aObject, bool& aValue)
{
  if (aObject.type != msgpack::type::BOOLEAN) {
    throw DecodeFailure();
  }
  aValue = aObject.via.boolean;
}

template<std::unsigned_integral Value>
void Unpack(const msgpack::object& aObject, Value& aValue)
{
  if (aObject.type != msgpack::type::POSITIVE_INTEGER ||
      aObject.via.u64 > std::numeric_limits<Value>::max()) {
    throw DecodeFailure();
  }
  aValue = static_cast<Value>(aObject.via.u64);
}

void Unpack(const msgpack::object& aObject, Duration& aValue)
{
  std::uint64_t microseconds = 0;
  Unpack(aObject, microseconds);
  if (microseconds > static_cast<std::uint64_t>(kMaxMicroseconds)) {
    throw DecodeFailure();
  }
  aValue = Duration(static_cast<std::int64_t>(microseconds));
}

void Unpack(const msgpack::object& aObject, ClaimState& aValue)
{
  std::uint32_t number = 0;
  Unpack(aObject, number);
  if (number > static_cast<std::uint32_t>(ClaimState::OutcomeUnknown)) {
    throw DecodeFailure();
  }
  aValue = static_cast<ClaimState>(number);
}

void Unpack(const msgpack::object& aObject, std::string& aValue)
{
  if (aObject.type != msgpack::type::BIN) {
    throw DecodeFailure();
  }
  aValue.assign(aObject.via.bin.ptr, aObject.via.bin.size);
}

template<Strong Value>
void Unpack(const msgpack::object& aObject, Value& aValue);
template<Structured Value>
void Unpack(const msgpack::object& aObject, Value& aValue);
template<typename Item>
void Unpack(const msgpack::object& aObject, std::optional<Item>& aValue);
template<typename Key, typename Item>
void Unpack(const msgpack::object& aObject, std::map<Key, Item>& aValue);
template<typename Item>
void Unpack(const msgpack::object& aObject, std::vector<Item>& aValue);
template<typename Item>
void Unpack(const msgpack::object& aObject, std::deque<Item>& aValue);

template<Strong Value>
void Unpack(const msgpack::object& aObject, Value& aValue)
{
  typename Value::value_type value{};
  Unpack(aObject, value);
  aValue = Value(std::move(value));
}

template<Structured Value>
void Unpack(const msgpack::object& aObject, Value& aValue)
{
  const msgpack::object_array& array = ArrayOf(aObject);
  auto fields = Fields(aValue, std::type_identity<Value>());
  if (array.size != std::tuple_size_v<decltype(fields)>) {
    throw DecodeFailure();
  }
  std::apply(
    [&](auto&... aField) {
      [[maybe_unused]] const msgpack::object* next = array.ptr;
      (Unpack(*next++, aField), ...);
    },
    fields);
}

template<typename Item>
void Unpack(const msgpack::object& aObject, std::optional<Item>& aValue)
{
  aValue.reset();
  if (aObject.type != msgpack::type::NIL) {
    Unpack(aObject, aValue.emplace());
  }
}

template<typename Container>
void UnpackSequence(const msgpack::object& aObject, Container& aValue)
{
  const msgpack::object_array& array = ArrayOf(aObject);
  aValue.clear();
  for (std::uint32_t i = 0; i < array.size; ++i) {
    Unpack(array.ptr[i], aValue.emplace_back());
  }
}

template<typename Key, typename Item>
void Unpack(const msgpack::object& aObject, std::map<Key, Item>& aValue)
{
  const msgpack::object_array& array = ArrayOf(aObject);
  if (array.size % 2 != 0) {
    throw DecodeFailure();
  }
  aValue.clear();
  for (std::uint32_t i = 0; i < array.size; i += 2) {
    Key key{};
    Unpack(array.ptr[i], key);
    const auto [position, added] = aValue.try_emplace(std::move(key));
    if (!added) {
      throw DecodeFailure();
    }
    Unpack(array.ptr[i + 1], position->second);
  }
}

template<typename Item>
void Unpack(const msgpack::object& aObject, std::vector<Item>& aValue)
{
  UnpackSequence(aObject, aValue);
}

template<typename Item>
void Unpack(const msgpack::object& aObject, std::deque<Item>& aValue)
{
  UnpackSequence(aObject, aValue);
}

template<std::size_t Index = 0>
void UnpackCommand(std::uint32_t aKind,
                   const msgpack::object& aObject,
                   Command& aCommand)
{
  if constexpr (Index < std::variant_size_v<Command>) {
    if (aKind == Index) {
      Unpack(aObject, aCommand.emplace<Index>());
    } else {
      UnpackCommand<Index + 1>(aKind, aObject, aCommand);
    }
  } else {
    throw DecodeFailure();
  }
}

template<typename Function>
std::string Write(Function&& aFunction)
{
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  aFunction(packer);
  return std::string(buffer.data(), buffer.size());
}

/**
 * Decodes an array that starts with the format version; a function decodes the
 * other elements. The limits prevent a short input from allocating large
 * arrays.
 */
template<typename Value, typename Function>
tl::expected<Value, CodecError> Read(std::string_view aBytes,
                                     std::uint32_t aFieldCount,
                                     std::uint32_t aArrayLimit,
                                     Function&& aFunction)
{
  constexpr std::size_t kDepthLimit = 16;
  try {
    const msgpack::unpack_limit limit(
      aArrayLimit, 0, aBytes.size(), aBytes.size(), 0, kDepthLimit);
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
      aBytes.data(), aBytes.size(), offset, nullptr, nullptr, limit);
    const msgpack::object_array& array = ArrayOf(handle.get());
    if (offset != aBytes.size() || array.size == 0) {
      return tl::unexpected(CodecError::Malformed);
    }
    std::uint32_t version = 0;
    Unpack(array.ptr[0], version);
    if (version != kFormatVersion) {
      return tl::unexpected(CodecError::UnknownVersion);
    }
    if (array.size != aFieldCount) {
      return tl::unexpected(CodecError::Malformed);
    }
    Value value{};
    aFunction(array, value);
    return value;
  } catch (const std::exception&) {
    return tl::unexpected(CodecError::Malformed);
  }
}

template<typename Value>
std::string WriteVersioned(const Value& aValue)
{
  return Write([&](Packer& aPacker) {
    aPacker.pack_array(2);
    Pack(aPacker, kFormatVersion);
    Pack(aPacker, aValue);
  });
}

template<typename Value>
tl::expected<Value, CodecError> ReadVersioned(std::string_view aBytes)
{
  constexpr std::uint32_t kArrayLimit = 1U << 20U;
  return Read<Value>(
    aBytes, 2, kArrayLimit, [](const auto& aArray, Value& aValue) {
      Unpack(aArray.ptr[1], aValue);
    });
}

} // namespace

std::string EncodeState(const State& aState)
{
  return WriteVersioned(aState);
}

tl::expected<State, CodecError> DecodeState(std::string_view aBytes)
{
  return ReadVersioned<State>(aBytes);
}

std::string EncodeAccepted(const AcceptedConfiguration& aConfiguration)
{
  return WriteVersioned(aConfiguration);
}

tl::expected<AcceptedConfiguration, CodecError> DecodeAccepted(
  std::string_view aBytes)
{
  return ReadVersioned<AcceptedConfiguration>(aBytes);
}

} // namespace internal

std::string Encode(const Proposal& aProposal)
{
  return internal::Write([&](internal::Packer& aPacker) {
    aPacker.pack_array(4);
    internal::Pack(aPacker, internal::kFormatVersion);
    internal::Pack(aPacker, aProposal.m_stamp);
    internal::Pack(aPacker,
                   static_cast<std::uint32_t>(aProposal.m_command.index()));
    std::visit([&](const auto& aCommand) { internal::Pack(aPacker, aCommand); },
               aProposal.m_command);
  });
}

tl::expected<Proposal, CodecError> Decode(std::string_view aBytes)
{
  constexpr std::uint32_t kFieldCount = 4;
  constexpr std::uint32_t kArrayLimit = 1U << 16U;
  return internal::Read<Proposal>(
    aBytes,
    kFieldCount,
    kArrayLimit,
    [](const auto& aArray, Proposal& aProposal) {
      internal::Unpack(aArray.ptr[1], aProposal.m_stamp);
      std::uint32_t kind = 0;
      internal::Unpack(aArray.ptr[2], kind);
      internal::UnpackCommand(kind, aArray.ptr[3], aProposal.m_command);
    });
}

} // namespace auburntrestle::ledger
