#include "auburntrestle/http/field_name.hpp"

#include <algorithm>

namespace auburntrestle::http {

namespace {

constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";

bool IsInRange(char aByte, char aFirst, char aLast) noexcept
{
  return aByte >= aFirst && aByte <= aLast;
}

} // namespace

bool IsFieldNameByte(char aByte) noexcept
{
  return IsInRange(aByte, 'a', 'z') || IsInRange(aByte, 'A', 'Z') ||
         IsInRange(aByte, '0', '9') ||
         kPunctuation.find(aByte) != std::string_view::npos;
}

bool IsFieldName(std::string_view aText) noexcept
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsFieldNameByte);
}

} // namespace auburntrestle::http
