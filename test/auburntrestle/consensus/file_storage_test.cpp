#include "auburntrestle/consensus/file_storage.hpp"
#include "auburntrestle/consensus/memory_files.hpp"
#include "auburntrestle/consensus/memory_storage.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <string>
#include <vector>

namespace auburntrestle::consensus::test {
namespace {

Entry MakeEntry(std::uint64_t aIndex, std::uint64_t aTerm)
{
  if (aIndex % 5 == 0) {
    return { LogIndex(aIndex), Term(aTerm), NoOp{} };
  }
  return { LogIndex(aIndex),
           Term(aTerm),
           Command{ std::string(aIndex % 7, 'x') + std::to_string(aTerm) } };
}

Snapshot MakeSnapshot(std::uint64_t aIndex, std::uint64_t aTerm)
{
  Configuration configuration;
  configuration.m_members = {
    { { InstanceId("a"), Incarnation(1) }, MemberRole::Voter },
    { { InstanceId("b"), Incarnation(7) }, MemberRole::Learner }
  };
  return { { Term(aTerm), LogIndex(aIndex) },
           configuration,
           "state at " + std::to_string(aIndex) };
}

RecoveredState Reopen(std::unique_ptr<FileStorage>& aStorage,
                      const std::string& aFolder,
                      FileOperations& aFiles)
{
  aStorage.reset();
  auto opened = FileStorage::Open(aFolder, aFiles, FileStorageOptions{ 200 });
  EXPECT_TRUE(opened) << Describe(opened.error());
  aStorage = std::move(*opened);
  auto loaded = aStorage->Load();
  EXPECT_TRUE(loaded) << Describe(loaded.error());
  return loaded ? std::move(*loaded) : RecoveredState{};
}

/** A temporary folder that is removed at the end of the test. */
class PosixFolder
{
public:
  PosixFolder()
  {
    std::string pattern = testing::TempDir() + "consensusXXXXXX";
    m_path = ::mkdtemp(pattern.data());
  }
  PosixFolder(const PosixFolder&) = delete;
  PosixFolder& operator=(const PosixFolder&) = delete;
  ~PosixFolder() { std::filesystem::remove_all(m_path); }
  [[nodiscard]] const std::string& Path() const { return m_path; }

private:
  std::string m_path;
};

// Guards against contents that differ after a restart from those that were
// stored, after any sequence of appends, replacements, snapshots and resets.
TEST(FileStorage, HoldsWhatTheModelHoldsOverPosixFiles)
{
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomSource random(seed);
    const PosixFolder folder;
    PosixFileOperations files;
    std::unique_ptr<FileStorage> storage;
    MemoryStorage model;
    (void)Reopen(storage, folder.Path(), files);
    std::uint64_t base = 0;
    std::uint64_t last = 0;
    std::uint64_t term = 1;
    for (int operation = 0; operation < 150; ++operation) {
      const auto onBoth = [&](const auto& aChange) {
        ASSERT_TRUE(aChange(*storage));
        ASSERT_TRUE(aChange(model));
      };
      switch (random.Below(8)) {
        case 0: {
          const HardState state{ Term(++term),
                                 MemberIdentity{ InstanceId("b"),
                                                 Incarnation(term) },
                                 Incarnation(3),
                                 BootCount(4) };
          onBoth(
            [&](Storage& aStorage) { return aStorage.SaveHardState(state); });
          break;
        }
        case 1: {
          base += random.Below(last - base + 1);
          const bool keep = random.Chance(0.5);
          last = keep ? last : base;
          const Snapshot snapshot = MakeSnapshot(base, term);
          onBoth([&](Storage& aStorage) {
            return aStorage.SaveSnapshot(
              snapshot, keep ? LogSuffix::Keep : LogSuffix::Discard);
          });
          break;
        }
        case 2: {
          if (random.Chance(0.1)) {
            base = last = 0;
            const HardState state{ {}, {}, Incarnation(operation), {} };
            onBoth([&](Storage& aStorage) { return aStorage.Reset(state); });
          }
          break;
        }
        default: {
          std::vector<Entry> entries;
          last = base + random.Below(last - base + 1);
          for (std::uint64_t count = random.Below(6) + 1; count > 0; --count) {
            entries.push_back(MakeEntry(++last, term));
          }
          onBoth([&](Storage& aStorage) { return aStorage.Append(entries); });
          onBoth([&](Storage& aStorage) { return aStorage.Sync(); });
          break;
        }
      }
      if (random.Chance(0.2)) {
        const RecoveredState recovered = Reopen(storage, folder.Path(), files);
        EXPECT_EQ(recovered.m_hardState, model.SyncedContents().m_hardState);
        EXPECT_EQ(recovered.m_snapshot, model.SyncedContents().m_snapshot);
        EXPECT_EQ(recovered.m_entries, model.SyncedContents().m_entries);
        EXPECT_FALSE(recovered.m_tornRecord);
      }
    }
  }
}

// Guards against two processes writing to one folder.
TEST(FileStorage, RefusesAFolderThatIsOpen)
{
  const PosixFolder folder;
  PosixFileOperations files;
  const auto first = FileStorage::Open(folder.Path(), files);
  ASSERT_TRUE(first);
  const auto second = FileStorage::Open(folder.Path(), files);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().m_kind, StorageErrorKind::Locked);
}

/** A device with a hard state, a snapshot and three records in one segment. */
class DamagedFiles : public testing::Test
{
protected:
  DamagedFiles()
  {
    (void)Reopen(m_storage, "f", m_files);
    EXPECT_TRUE(m_storage->SaveHardState(HardState{ Term(1), {}, {}, {} }));
    EXPECT_TRUE(
      m_storage->SaveSnapshot(MakeSnapshot(2, 1), LogSuffix::Discard));
    for (std::uint64_t index = 3; index <= 5; ++index) {
      const Entry entry = MakeEntry(index, 1);
      m_offsets.push_back(m_files.DurableImage().at(m_kSegment).size());
      EXPECT_TRUE(m_storage->Append(std::span(&entry, 1)));
      EXPECT_TRUE(m_storage->Sync());
    }
    m_image = m_files.DurableImage();
  }

  [[nodiscard]] tl::expected<RecoveredState, StorageError> LoadFrom(
    const MemoryFiles::Image& aImage)
  {
    m_storage.reset();
    m_files.Restore(aImage);
    m_storage = std::move(*FileStorage::Open("f", m_files));
    return m_storage->Load();
  }

  const std::string m_kSegment = "f/log-00000000000000000002";
  MemoryFiles m_files;
  std::unique_ptr<FileStorage> m_storage;
  std::vector<std::uint64_t> m_offsets;
  MemoryFiles::Image m_image;
};

// Guards against a crash during a write that prevents the member from starting
// or loses an earlier record.
TEST_F(DamagedFiles, TornLastRecordIsCutAtEveryLength)
{
  const std::uint64_t size = m_image.at(m_kSegment).size();
  for (std::uint64_t kept = m_offsets[2] + 1; kept < size; ++kept) {
    MemoryFiles::Image image = m_image;
    image[m_kSegment].resize(kept);
    const auto recovered = LoadFrom(image);
    ASSERT_TRUE(recovered) << Describe(recovered.error());
    EXPECT_EQ(recovered->m_entries.size(), 2U);
    EXPECT_EQ(recovered->m_tornRecord,
              (TornRecord{ m_kSegment, m_offsets[2], kept - m_offsets[2] }));
    const Entry entry = MakeEntry(5, 2);
    ASSERT_TRUE(m_storage->Append(std::span(&entry, 1)));
    ASSERT_TRUE(m_storage->Sync());
    const RecoveredState again = Reopen(m_storage, "f", m_files);
    EXPECT_EQ(again.m_entries.back(), entry);
    EXPECT_FALSE(again.m_tornRecord);
  }
}

// Guards against truncating or misreading acknowledged records when a byte
// before the last record is damaged.
TEST_F(DamagedFiles, DamageBeforeTheLastRecordIsNamed)
{
  for (std::uint64_t at = 0; at < m_offsets[2]; ++at) {
    for (const char flipped : { '\x01', '\x80' }) {
      SCOPED_TRACE(at);
      MemoryFiles::Image image = m_image;
      image[m_kSegment][at] =
        static_cast<char>(image[m_kSegment][at] ^ flipped);
      const auto recovered = LoadFrom(image);
      ASSERT_FALSE(recovered);
      const std::uint64_t record = at < m_offsets[0]   ? 0
                                   : at < m_offsets[1] ? m_offsets[0]
                                                       : m_offsets[1];
      EXPECT_EQ(
        recovered.error(),
        (StorageError{ StorageErrorKind::Corrupt, m_kSegment, record, 0 }));
    }
  }
}

// Guards against using a damaged hard state or snapshot, or treating it as
// absent.
TEST_F(DamagedFiles, DamagedHardStateOrSnapshotIsNamed)
{
  for (const std::string file : { "f/hard_state", "f/snapshot" }) {
    for (std::size_t at = 0; at < m_image.at(file).size(); ++at) {
      MemoryFiles::Image image = m_image;
      image[file][at] = static_cast<char>(image[file][at] ^ 0x10);
      const auto recovered = LoadFrom(image);
      ASSERT_FALSE(recovered);
      EXPECT_EQ(recovered.error().m_kind, StorageErrorKind::Corrupt);
      EXPECT_EQ(recovered.error().m_file, file);
    }
  }
}

// Guards against an undetected gap in the log after a snapshot was deleted.
TEST_F(DamagedFiles, GapInTheLogIsNamed)
{
  MemoryFiles::Image image = m_image;
  image.erase("f/snapshot");
  const auto recovered = LoadFrom(image);
  ASSERT_FALSE(recovered);
  EXPECT_EQ(recovered.error().m_kind, StorageErrorKind::Corrupt);
}

struct InjectedFailure
{
  MemoryFiles::Target m_target;
  int m_error;
  StorageErrorKind m_expected;
};

class FailingFiles : public testing::TestWithParam<InjectedFailure>
{};

// Guards against a failed write or sync that is reported as success, and
// against a storage that accepts operations after it.
TEST_P(FailingFiles, AreReportedAndFinal)
{
  MemoryFiles files;
  std::unique_ptr<FileStorage> storage;
  (void)Reopen(storage, "f", files);
  files.FailAfter(GetParam().m_target, 0, GetParam().m_error);
  const Entry entry = MakeEntry(1, 1);
  tl::expected<void, StorageError> result = storage->Append({ &entry, 1 });
  if (result) {
    result = GetParam().m_target == MemoryFiles::Target::Rename
               ? storage->SaveHardState(HardState{})
               : storage->Sync();
  }
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().m_kind, GetParam().m_expected);
  EXPECT_EQ(result.error().m_systemError, GetParam().m_error);
  files.StopFailing();
  EXPECT_EQ(storage->Sync().error().m_kind, StorageErrorKind::Failed);
  EXPECT_EQ(storage->SaveHardState(HardState{}).error().m_kind,
            StorageErrorKind::Failed);
  EXPECT_EQ(storage->SaveSnapshot(Snapshot{}, LogSuffix::Keep).error().m_kind,
            StorageErrorKind::Failed);
  storage.reset();
  files.Crash(nullptr);
  EXPECT_TRUE(Reopen(storage, "f", files).m_entries.empty());
}

INSTANTIATE_TEST_SUITE_P(
  All,
  FailingFiles,
  testing::Values(InjectedFailure{ MemoryFiles::Target::Write,
                                   ENOSPC,
                                   StorageErrorKind::DiskFull },
                  InjectedFailure{ MemoryFiles::Target::Write,
                                   EIO,
                                   StorageErrorKind::WriteFailed },
                  InjectedFailure{ MemoryFiles::Target::Sync,
                                   EIO,
                                   StorageErrorKind::SyncFailed },
                  InjectedFailure{ MemoryFiles::Target::Rename,
                                   EIO,
                                   StorageErrorKind::WriteFailed }));

// Guards against a crash during a snapshot or reset that leaves a mix of old
// and new contents.
TEST(FileStorage, ChangesOfSeveralFilesAreAtomic)
{
  const std::array<tl::expected<void, StorageError> (*)(Storage&), 3> changes{
    [](Storage& aStorage) {
      return aStorage.SaveSnapshot(MakeSnapshot(20, 1), LogSuffix::Keep);
    },
    [](Storage& aStorage) {
      return aStorage.SaveSnapshot(MakeSnapshot(50, 3), LogSuffix::Discard);
    },
    [](Storage& aStorage) {
      return aStorage.Reset(HardState{ {}, {}, Incarnation(9), {} });
    },
  };
  for (const auto change : changes) {
    std::vector<Entry> entries;
    for (std::uint64_t index = 1; index <= 30; ++index) {
      entries.push_back(MakeEntry(index, 1));
    }
    std::size_t interrupted = 0;
    for (const auto target : { MemoryFiles::Target::Write,
                               MemoryFiles::Target::Sync,
                               MemoryFiles::Target::Rename }) {
      for (std::size_t successes = 0; successes < 8; ++successes) {
        MemoryFiles files;
        std::unique_ptr<FileStorage> storage;
        (void)Reopen(storage, "f", files);
        MemoryStorage before;
        MemoryStorage after;
        for (Storage* each :
             std::array<Storage*, 3>{ storage.get(), &before, &after }) {
          ASSERT_TRUE(each->SaveHardState(HardState{ Term(1), {}, {}, {} }));
          ASSERT_TRUE(
            each->SaveSnapshot(MakeSnapshot(0, 0), LogSuffix::Discard));
          for (const Entry& entry : entries) {
            ASSERT_TRUE(each->Append({ &entry, 1 }));
            ASSERT_TRUE(each->Sync());
          }
        }
        ASSERT_TRUE(change(after));
        files.FailAfter(target, successes, EIO);
        interrupted += change(*storage) ? 0 : 1;
        files.StopFailing();
        files.Crash(nullptr);
        const RecoveredState now = Reopen(storage, "f", files);
        const auto isLike = [&](const MemoryStorage& aModel) {
          return now.m_hardState == aModel.SyncedContents().m_hardState &&
                 now.m_snapshot == aModel.SyncedContents().m_snapshot &&
                 now.m_entries == aModel.SyncedContents().m_entries;
        };
        EXPECT_TRUE(isLike(before) || isLike(after));
      }
    }
    EXPECT_GT(interrupted, 3U);
  }
}

} // namespace
} // namespace auburntrestle::consensus::test
