#include "auburntrestle/consensus/memory_files.hpp"

#include <cerrno>

namespace auburntrestle::consensus::test {

MemoryFiles::Image MemoryFiles::DurableImage() const
{
  Image image;
  for (const auto& [name, file] : m_durableNames) {
    image[name] = file->m_synced;
  }
  return image;
}

void MemoryFiles::Restore(const Image& aImage)
{
  m_names.clear();
  m_open.clear();
  for (const auto& [name, contents] : aImage) {
    m_names[name] = std::make_shared<File>(File{ contents, contents });
  }
  m_durableNames = m_names;
}

void MemoryFiles::Crash(RandomSource* aTear)
{
  m_names = m_durableNames;
  m_open.clear();
  for (auto& [name, file] : m_names) {
    std::string kept = file->m_synced;
    if (aTear != nullptr && file->m_contents.size() > kept.size()) {
      const std::size_t unsynced = file->m_contents.size() - kept.size();
      kept += file->m_contents.substr(kept.size(), aTear->Below(unsynced + 1));
    }
    file->m_contents = kept;
    file->m_synced = kept;
  }
}

void MemoryFiles::FailAfter(Target aTarget, std::size_t aSuccesses, int aError)
{
  m_failure = Failure{ aTarget, aSuccesses, aError };
}

std::optional<int> MemoryFiles::InjectedError(Target aTarget)
{
  if (!m_failure || m_failure->m_target != aTarget) {
    return std::nullopt;
  }
  if (m_failure->m_successes > 0) {
    --m_failure->m_successes;
    return std::nullopt;
  }
  return m_failure->m_error;
}

tl::expected<void, int> MemoryFiles::CreateFolder(const std::string& /*aPath*/)
{
  return {};
}

tl::expected<std::vector<std::string>, int> MemoryFiles::List(
  const std::string& aFolder)
{
  std::vector<std::string> names;
  for (const auto& [path, file] : m_names) {
    if (path.starts_with(aFolder + "/")) {
      names.push_back(path.substr(aFolder.size() + 1));
    }
  }
  return names;
}

tl::expected<std::string, int> MemoryFiles::ReadAt(const std::string& aPath,
                                                   std::uint64_t aOffset,
                                                   std::size_t aBytes)
{
  auto contents = ReadAll(aPath);
  if (contents) {
    *contents = contents->substr(
      std::min<std::size_t>(aOffset, contents->size()), aBytes);
  }
  return contents;
}

tl::expected<std::string, int> MemoryFiles::ReadAll(const std::string& aPath)
{
  const auto found = m_names.find(aPath);
  if (found == m_names.end()) {
    return tl::unexpected(ENOENT);
  }
  return found->second->m_contents;
}

tl::expected<int, int> MemoryFiles::OpenToAppend(const std::string& aPath,
                                                 bool aCreate)
{
  if (aCreate) {
    m_names[aPath] = std::make_shared<File>();
  } else if (!m_names.contains(aPath)) {
    return tl::unexpected(ENOENT);
  }
  m_open[m_nextDescriptor] = m_names[aPath];
  return m_nextDescriptor++;
}

tl::expected<void, int> MemoryFiles::Write(int aDescriptor,
                                           std::span<const char> aBytes)
{
  File& file = *m_open.at(aDescriptor);
  if (const auto error = InjectedError(Target::Write)) {
    file.m_contents.append(aBytes.data(), aBytes.size() / 2);
    return tl::unexpected(*error);
  }
  file.m_contents.append(aBytes.data(), aBytes.size());
  return {};
}

tl::expected<void, int> MemoryFiles::Sync(int aDescriptor)
{
  if (const auto error = InjectedError(Target::Sync)) {
    return tl::unexpected(*error);
  }
  File& file = *m_open.at(aDescriptor);
  file.m_synced = file.m_contents;
  return {};
}

void MemoryFiles::Close(int aDescriptor) noexcept
{
  m_open.erase(aDescriptor);
}

tl::expected<void, int> MemoryFiles::SyncFolder(const std::string& /*aFolder*/)
{
  if (const auto error = InjectedError(Target::Sync)) {
    return tl::unexpected(*error);
  }
  m_durableNames = m_names;
  return {};
}

tl::expected<void, int> MemoryFiles::Rename(const std::string& aFrom,
                                            const std::string& aTo)
{
  if (const auto error = InjectedError(Target::Rename)) {
    return tl::unexpected(*error);
  }
  m_names[aTo] = m_names.at(aFrom);
  m_names.erase(aFrom);
  return {};
}

tl::expected<void, int> MemoryFiles::Remove(const std::string& aPath)
{
  if (m_names.erase(aPath) == 0) {
    return tl::unexpected(ENOENT);
  }
  return {};
}

tl::expected<void, int> MemoryFiles::Truncate(const std::string& aPath,
                                              std::uint64_t aBytes)
{
  File& file = *m_names.at(aPath);
  file.m_contents.resize(aBytes);
  file.m_synced = file.m_contents;
  return {};
}

tl::expected<int, int> MemoryFiles::Lock(const std::string& /*aPath*/)
{
  return 0;
}

} // namespace auburntrestle::consensus::test
