import removalPolicies from './removalPolicies';
import Simulation from './Simulation';

const SEEDS = [1, 2];
const HEADER =
  'policy        seed deaths pauses  false removals  unavailable s  longest s  store calls\n';

process.stdout.write(HEADER);
for (const policy of removalPolicies) {
  for (const seed of SEEDS) {
    const costs = await Simulation.of(policy, seed).run();
    const columns = [
      policy.name.padEnd(13),
      String(seed).padStart(4),
      String(costs.deaths).padStart(6),
      String(costs.pauses).padStart(6),
      String(costs.falseRemovals).padStart(15),
      (costs.unavailableMs / 1000).toFixed(1).padStart(14),
      (costs.longestMs / 1000).toFixed(1).padStart(10),
      String(costs.storeCalls).padStart(12),
    ];
    process.stdout.write(`${columns.join(' ')}\n`);
  }
}
process.exit(0);
