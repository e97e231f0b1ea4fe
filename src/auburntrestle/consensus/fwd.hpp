#ifndef AUBURNTRESTLE_CONSENSUS_FWD_HPP
#define AUBURNTRESTLE_CONSENSUS_FWD_HPP

namespace auburntrestle::consensus {

class FileOperations;
class FileStorage;
class MemoryStorage;
class Node;
class Storage;
struct Configuration;
struct Entry;
struct HardState;
struct Member;
struct MemberIdentity;
struct Message;
struct Options;
struct Safeguards;
struct Snapshot;
struct StorageError;

} // namespace auburntrestle::consensus

#endif
