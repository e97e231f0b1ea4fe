#include "auburntrestle/fleet/client_account.hpp"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

std::string KeyOf(std::int64_t aNumber)
{
  return "api-key-" + std::to_string(aNumber);
}

AccountTable MakeTable(std::int64_t aKeys)
{
  constexpr std::int64_t kKeysPerAccount = 2;
  std::vector<ClientAccount> accounts(
    static_cast<std::size_t>(aKeys / kKeysPerAccount));
  std::int64_t number = 0;
  for (auto& account : accounts) {
    account.m_name = AccountName("account-" + std::to_string(number));
    for (std::int64_t key = 0; key < kKeysPerAccount; ++key) {
      account.m_keys.push_back(DigestOf(KeyOf(number++)));
    }
  }
  return AccountTable::Create(accounts).value();
}

/** The time to find the account of a known key. */
void FindByKey(benchmark::State& aState)
{
  const auto table = MakeTable(aState.range(0));
  std::int64_t number = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.FindByKey(KeyOf(number)));
    number = (number + 1) % aState.range(0);
  }
}
BENCHMARK(FindByKey)->Arg(10)->Arg(1000)->Arg(100000);

/** The time to index all keys of a configuration. */
void CreateTable(benchmark::State& aState)
{
  for (auto _ : aState) {
    benchmark::DoNotOptimize(MakeTable(aState.range(0)));
  }
}
BENCHMARK(CreateTable)->Arg(10)->Arg(1000)->Arg(100000);

} // namespace
} // namespace auburntrestle::fleet
