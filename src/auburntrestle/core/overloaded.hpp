#ifndef AUBURNTRESTLE_CORE_OVERLOADED_HPP
#define AUBURNTRESTLE_CORE_OVERLOADED_HPP

namespace auburntrestle {

/** Combines lambdas into one visitor for std::visit. */
template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace auburntrestle

#endif
