#include "auburntrestle/http/message.hpp"

#include <benchmark/benchmark.h>

#include <string>

namespace auburntrestle::http {
namespace {

/** The time to filter a head of 16 KiB, half of which lists names in a
 * Connection field. */
void FilterFullHead(benchmark::State& aState)
{
  constexpr std::size_t kNames = 4000;
  constexpr std::size_t kFields = 2000;
  std::string names;
  for (std::size_t name = 0; name < kNames; ++name) {
    names += "a,";
  }
  Headers headers;
  headers.Add("Connection", names);
  for (std::size_t field = 0; field < kFields; ++field) {
    headers.Add("b", "");
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EndToEndHeaders(headers));
  }
}

/** The time to filter the head of an ordinary request. */
void FilterOrdinaryHead(benchmark::State& aState)
{
  Headers headers;
  for (const char* name :
       { "Host", "X-Request-Id", "Accept", "Content-Type", "Connection" }) {
    headers.Add(name, "value");
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(EndToEndHeaders(headers));
  }
}

BENCHMARK(FilterFullHead);
BENCHMARK(FilterOrdinaryHead);

} // namespace
} // namespace auburntrestle::http
