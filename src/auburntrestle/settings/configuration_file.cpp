#include "auburntrestle/settings/configuration_file.hpp"

#include "auburntrestle/settings/internal/configuration_builder.hpp"

#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>

namespace auburntrestle::settings {

tl::expected<ConfigurationFile, ValidationErrors> ReadConfigurationFile(
  const std::filesystem::path& aPath)
{
  const auto makeError = [&aPath](int aErrno) {
    return tl::unexpected(ValidationErrors{
      ValidationError{ ErrorKind::FileUnreadable,
                       aPath.string(),
                       0,
                       "",
                       std::generic_category().message(aErrno),
                       "a readable file" } });
  };
  std::error_code failure;
  if (std::filesystem::is_directory(aPath, failure)) {
    return makeError(EISDIR);
  }
  errno = 0;
  std::ifstream stream(aPath, std::ios::binary);
  if (!stream) {
    return makeError(errno == 0 ? EIO : errno);
  }
  ConfigurationFile file{ aPath.string(), "" };
  file.m_text.assign(std::istreambuf_iterator<char>(stream), {});
  if (stream.bad()) {
    return makeError(EIO);
  }
  return file;
}

tl::expected<ParsedConfigurationFile, ValidationErrors>
ParsedConfigurationFile::Parse(const ConfigurationFile& aFile, FileRole aRole)
{
  ConfigurationBuilder::FileAndErrors parsed =
    ConfigurationBuilder::ParseCollectingErrors(aFile, aRole);
  if (!parsed.m_errors.empty()) {
    return tl::unexpected(std::move(parsed.m_errors));
  }
  return std::move(parsed.m_file);
}

} // namespace auburntrestle::settings
