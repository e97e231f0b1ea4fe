#include "auburntrestle/settings/key_reference.hpp"

#include "auburntrestle/settings/internal/configuration_keys.hpp"
#include "auburntrestle/settings/internal/document.hpp"
#include "auburntrestle/settings/internal/instance_keys.hpp"

namespace auburntrestle::settings {

namespace internal {

namespace {

/** Visitor that collects the descriptions of the keys of sections. */
class KeyDescriber
{
public:
  template<typename Section>
  void Describe(std::string aName)
  {
    m_section = std::move(aName);
    Section section;
    VisitKeys(*this, section);
  }

  template<typename Field>
  void Integer(const KeyMetadata& aKey,
               const Field& aField,
               IntegerRange aRange)
  {
    AddInteger(aKey, IntegerOf(aField), aRange);
  }
  void Milliseconds(const KeyMetadata& aKey,
                    Duration aField,
                    IntegerRange aRange)
  {
    AddInteger(
      aKey,
      std::chrono::duration_cast<std::chrono::milliseconds>(aField).count(),
      aRange);
  }
  void Real(const KeyMetadata& aKey, double aField, RealRange aRange)
  {
    Add(aKey,
        "number",
        RenderFloat(aRange.m_minimum) + " to " + RenderFloat(aRange.m_maximum),
        RenderFloat(aField));
  }
  void Boolean(const KeyMetadata& aKey, bool aField)
  {
    Add(aKey, "boolean", "true, false", aField ? "true" : "false");
  }
  template<typename Enum, std::size_t Count>
  void Enumeration(const KeyMetadata& aKey,
                   Enum aField,
                   const std::array<Enum, Count>& aValues)
  {
    std::string allowed;
    for (const Enum value : aValues) {
      allowed += allowed.empty() ? "" : ", ";
      allowed += RenderString(ToString(value));
    }
    Add(aKey, "string", allowed, RenderString(ToString(aField)));
  }
  template<typename Field>
  void Name(const KeyMetadata& aKey, const Field& aField, NameRule aRule)
  {
    const bool mayBeEmpty = aRule == NameRule::EmptyAllowed;
    // A required name whose field is empty by default has no default value.
    const bool hasDefault = mayBeEmpty || !aField.Get().empty();
    Add(aKey,
        "string",
        mayBeEmpty ? "name or empty" : "name",
        hasDefault ? RenderString(aField.Get()) : "");
  }
  void Address(const KeyMetadata& aKey, const SocketAddress& aField)
  {
    Add(aKey, "string", "ip:port", RenderString(aField.ToString()));
  }
  void AddressWithHostName(const KeyMetadata& aKey,
                           const std::optional<SocketAddress>& aField)
  {
    Add(aKey,
        "string",
        "host:port or empty",
        RenderString(aField ? aField->ToString() : ""));
  }

  std::vector<KeyDescription> m_keys;

private:
  void AddInteger(const KeyMetadata& aKey,
                  std::int64_t aValue,
                  IntegerRange aRange)
  {
    Add(aKey,
        "integer",
        std::to_string(aRange.m_minimum) + " to " +
          std::to_string(aRange.m_maximum),
        std::to_string(aValue));
  }
  void Add(const KeyMetadata& aKey,
           std::string aType,
           std::string aAllowed,
           std::string aDefault)
  {
    m_keys.push_back(KeyDescription{ m_section,
                                     std::string(aKey.m_name),
                                     std::move(aType),
                                     std::move(aAllowed),
                                     std::move(aDefault),
                                     std::string(aKey.m_unit),
                                     std::string(aKey.m_description) });
  }

  std::string m_section;
};

} // namespace

} // namespace internal

std::vector<KeyDescription> DescribeInstanceKeys()
{
  internal::KeyDescriber describer;
  describer.Describe<InstanceSection>("instance");
  describer.Describe<ListenSection>("listen");
  describer.Describe<HttpSection>("http");
  describer.Describe<LogSection>("log");
  describer.Describe<DrainSection>("drain");
  return std::move(describer.m_keys);
}

std::vector<KeyDescription> DescribeConfigurationKeys()
{
  internal::KeyDescriber describer;
  describer.Describe<PolicySection>("policy");
  describer.Describe<AdmissionSection>("admission");
  describer.Describe<HedgingSection>("hedging");
  describer.Describe<RetrySection>("retry");
  describer.Describe<BackendsSection>("backends");
  describer.Describe<CallerSection>("callers.NAME");
  describer.Describe<TrainerSection>("trainers.NAME");
  describer.Describe<WeightsSection>("weights");
  describer.Describe<ClaimsSection>("claims");
  return std::move(describer.m_keys);
}

std::string RenderReferenceRow(const KeyDescription& aKey)
{
  std::string row = "| `";
  row += aKey.m_key;
  row += "` | ";
  row += aKey.m_type;
  row += " | ";
  row += aKey.m_allowed;
  row += " | ";
  row += aKey.m_default.empty() ? "none" : "`" + aKey.m_default + "`";
  row += " | ";
  row += aKey.m_unit.empty() ? "-" : aKey.m_unit;
  row += " | ";
  row += aKey.m_description;
  row += " |";
  return row;
}

} // namespace auburntrestle::settings
