import type Random from '../core/Random';
import type PolicyName from './PolicyName';

/** A sidecar that could take a task. */
interface Candidate {
  readonly incarnation: string;
  /** Number of tasks that this entry has sent there and that have not ended. */
  readonly outstanding: number;
}

type PlacementPolicy = (
  candidates: readonly Candidate[],
  turn: number,
  random: Random,
) => Candidate;

/**
 * Policies that start a task at once, without a credit, and leave the queueing
 * to the sidecar. They serve as a baseline for credits.
 */
const placementPolicies: Record<Exclude<PolicyName, 'credits'>, PlacementPolicy> = {
  random: (candidates, _turn, random) => candidates[random.below(candidates.length)]!,
  roundRobin: (candidates, turn) => candidates[turn % candidates.length]!,
  powerOfTwo: (candidates, _turn, random) => {
    const one = candidates[random.below(candidates.length)]!;
    const other = candidates[random.below(candidates.length)]!;
    return one.outstanding <= other.outstanding ? one : other;
  },
  leastOutstanding: (candidates, _turn, random) => {
    const least = Math.min(...candidates.map(({ outstanding }) => outstanding));
    const best = candidates.filter(({ outstanding }) => outstanding === least);
    return best[random.below(best.length)]!;
  },
};

export default placementPolicies;
