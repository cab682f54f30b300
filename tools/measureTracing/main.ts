import TracingBenchmark from './TracingBenchmark';
import type TracingVariant from './TracingVariant';

// Prints the cost of metrics and traces: CPU time per task in a tight loop.

const ROUNDS = 9;
const TASKS = 15_000;

const variants: readonly TracingVariant[] = [
  { name: 'neither', metrics: false, sample: undefined },
  { name: 'metrics', metrics: true, sample: undefined },
  { name: 'metrics, traces of 0', metrics: true, sample: 0 },
  { name: 'metrics, traces of 0.01', metrics: true, sample: 0.01 },
  { name: 'metrics, traces of 1', metrics: true, sample: 1 },
];

const costs = new Map<TracingVariant, number[]>(variants.map((variant) => [variant, []]));
// The first round is a warm-up. Variants take turns, so that other load on the machine affects all of them alike.
for (let round = 0; round <= ROUNDS; round += 1) {
  for (const variant of variants) {
    const cost = await TracingBenchmark.run(variant, TASKS);
    if (round > 0) costs.get(variant)!.push(cost);
  }
}
const baseline = costs.get(variants[0]!)!;
costs.forEach((measured, { name }) => {
  const more = measured.map((cost, round) => cost - baseline[round]!);
  process.stdout.write(`${name}: ${describe(measured)} µs a task, ${describe(more)} more\n`);
});
process.exit(0);

/** The median, with the lowest and the highest value. */
function describe(values: readonly number[]): string {
  const sorted = [...values].sort((one, other) => one - other);
  const [low, median, high] = [0, Math.floor(sorted.length / 2), sorted.length - 1].map((at) =>
    sorted[at]!.toFixed(1),
  );
  return `${median} (${low} to ${high})`;
}
