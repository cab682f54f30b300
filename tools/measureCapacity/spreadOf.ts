import type Spread from './Spread';

/** The median and the range of the values, of which there has to be at least one. */
export default function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const half = Math.floor(sorted.length / 2);
  const upper = sorted[half]!;
  const median = sorted.length % 2 === 1 ? upper : (sorted[half - 1]! + upper) / 2;
  return { median, min: sorted[0]!, max: sorted.at(-1)! };
}
