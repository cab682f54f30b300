import policies from './policies';
import Simulation from './Simulation';

const SEEDS = [1, 2];
const HEAD =
  'policy        seed deaths pauses  false removals  unavailable s  longest s  store calls\n';

process.stdout.write(HEAD);
for (const policy of policies) {
  for (const seed of SEEDS) {
    const figures = await Simulation.of(policy, seed).run();
    const columns = [
      policy.name.padEnd(13),
      String(seed).padStart(4),
      String(figures.deaths).padStart(6),
      String(figures.pauses).padStart(6),
      String(figures.falseRemovals).padStart(15),
      (figures.unavailableMs / 1000).toFixed(1).padStart(14),
      (figures.longestMs / 1000).toFixed(1).padStart(10),
      String(figures.storeCalls).padStart(12),
    ];
    process.stdout.write(`${columns.join(' ')}\n`);
  }
}
process.exit(0);
