import type Load from './Load';

/** A load and its weight, 0 to 1. */
interface WeightedLoad {
  readonly load: Load;
  readonly weight: number;
}

/** The weighted sum of the loads of several entries. */
export default function combineLoads(loads: readonly WeightedLoad[]): Load {
  const levels = new Map<number, Load['levels'][number]>();
  loads.forEach(({ load, weight }) =>
    load.levels.forEach(({ level, waitingMilli, startingMilli }) => {
      const sum = levels.get(level) ?? { level, waitingMilli: 0, startingMilli: 0 };
      levels.set(level, {
        level,
        waitingMilli: sum.waitingMilli + weight * waitingMilli,
        startingMilli: sum.startingMilli + weight * startingMilli,
      });
    }),
  );
  return { levels: [...levels.values()] };
}
