#include "../third/foreign_ping.hpp"

/** A ping of another writer that names a service of no manifest. */
namespace review {
namespace {

Json MakePing(Json aProper)
{
  aProper["service"] = "of-no-manifest";
  return aProper;
}

Verdict Run(Deployment& aDeployment, Record& aRecord)
{
  return foreign_ping::Run(aDeployment, aRecord, MakePing);
}

} // namespace
} // namespace review

int main(int aCount, char** aArguments)
{
  return review::RunScenario(aCount, aArguments, review::Run);
}
