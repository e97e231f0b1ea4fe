#ifndef AUBURNTRESTLE_CORE_RELEASE_MEMORY_HPP
#define AUBURNTRESTLE_CORE_RELEASE_MEMORY_HPP

namespace auburntrestle {

/** Empties a container and frees its memory. A string to which an empty one is
 * assigned keeps its memory. */
template<typename Container>
void ReleaseMemory(Container& aContainer)
{
  Container().swap(aContainer);
}

} // namespace auburntrestle

#endif
