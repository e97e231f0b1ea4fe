#include "auburntrestle/membership/types.hpp"

#include <algorithm>

namespace auburntrestle::membership {

namespace internal {

// Maximum encoded sizes in MessagePack: string header, integer, 32-bit integer
// and array header.
constexpr std::size_t kMaxStringHeaderBytes = 3;
constexpr std::size_t kMaxIntegerBytes = 9;
constexpr std::size_t kMaxSmallIntegerBytes = 5;
constexpr std::size_t kMaxArrayHeaderBytes = 3;

std::size_t TextBytes(const std::string& aText)
{
  return kMaxStringHeaderBytes + aText.size();
}

std::size_t CapacityBytes(const std::vector<ModelCapacity>& aCapacity)
{
  std::size_t bytes = kMaxArrayHeaderBytes;
  for (const ModelCapacity& entry : aCapacity) {
    bytes += kMaxArrayHeaderBytes + TextBytes(entry.m_model.Get()) +
             kMaxSmallIntegerBytes;
  }
  return bytes;
}

std::size_t AdvertisementBytes(const Advertisement& aAdvertisement)
{
  return kMaxArrayHeaderBytes + TextBytes(aAdvertisement.m_httpAddress) +
         TextBytes(aAdvertisement.m_peerAddress) + 2 * kMaxIntegerBytes + 1 +
         CapacityBytes(aAdvertisement.m_capacity);
}

} // namespace internal

std::size_t MaxEncodedBytes(const MemberUpdate& aUpdate)
{
  std::size_t bytes = internal::kMaxArrayHeaderBytes +
                      internal::TextBytes(aUpdate.m_id.Get()) +
                      internal::kMaxIntegerBytes + 2;
  if (aUpdate.m_advertisement.has_value()) {
    bytes += internal::AdvertisementBytes(*aUpdate.m_advertisement);
  }
  return bytes;
}

std::size_t MaxEncodedBytes(const Summary& aSummary)
{
  std::size_t bytes = internal::kMaxArrayHeaderBytes +
                      internal::TextBytes(aSummary.m_dataCentre.Get()) +
                      3 * internal::kMaxIntegerBytes +
                      3 * internal::kMaxSmallIntegerBytes +
                      internal::CapacityBytes(aSummary.m_capacity) +
                      internal::kMaxArrayHeaderBytes;
  for (const Representative& representative : aSummary.m_representatives) {
    bytes += internal::kMaxArrayHeaderBytes +
             internal::TextBytes(representative.m_id.Get()) +
             internal::TextBytes(representative.m_httpAddress) +
             internal::TextBytes(representative.m_peerAddress);
  }
  return bytes;
}

std::size_t MaxEncodedBytes(const SummaryVersion& aVersion)
{
  return internal::kMaxArrayHeaderBytes +
         internal::TextBytes(aVersion.m_dataCentre.Get()) +
         internal::kMaxIntegerBytes + internal::kMaxSmallIntegerBytes;
}

std::size_t MaxEncodedBytes(const MemberVersion& aVersion)
{
  return internal::kMaxArrayHeaderBytes +
         internal::TextBytes(aVersion.m_id.Get()) +
         2 * internal::kMaxIntegerBytes + 1;
}

std::vector<ModelCapacity> CompactCapacity(std::vector<ModelCapacity> aCapacity)
{
  std::sort(aCapacity.begin(),
            aCapacity.end(),
            [](const ModelCapacity& aLeft, const ModelCapacity& aRight) {
              return aLeft.m_freeSlots != aRight.m_freeSlots
                       ? aLeft.m_freeSlots > aRight.m_freeSlots
                       : aLeft.m_model < aRight.m_model;
            });
  if (aCapacity.size() > kMaxModels) {
    aCapacity.resize(kMaxModels);
  }
  return aCapacity;
}

} // namespace auburntrestle::membership
