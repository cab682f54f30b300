/** What is expected of a task on one backend server. */
interface PlacementOutlook {
  /** When its batch is expected to end if the task runs there, by the timer service. */
  readonly endsAt: number;
  /** The latency target of its batch, as a time. */
  readonly targetAt: number;
  /** When the answer of its batch becomes useless. */
  readonly expiresAt: number;
  /** Duration ratio of the task there, relative to the fleet's mean. */
  readonly durationRatio: number;
  /** Whether fast backend servers are to be kept free for tasks that need them. */
  readonly conservesFastBackends: boolean;
}

/**
 * Scores a backend server by how long the task takes there, as a share of a backend server's capacity.
 *
 * It is for fleets in which some machines take two or three times as long. The batch should first of all meet its
 * latency target, and otherwise end before it expires: work whose caller waits for long anyway tolerates a slow
 * machine no better than short work does, whose target leaves some time to spare. Among backend servers that are alike
 * in that, fast ones are preferred while they have enough free capacity. When that gets scarce, tasks that meet their
 * target on a slow machine go there, so that the fast ones are left for those that do not, and none is idle.
 */
export default function placementScore(outlook: PlacementOutlook): number {
  const octaves = Math.log2(outlook.durationRatio);
  const preference = outlook.conservesFastBackends ? octaves : -octaves;
  return preference * OCTAVE_WEIGHT - tierOf(outlook) * TIER_WEIGHT;
}

/** 0 if the target is met, 1 if it is late, 2 if it is expired. */
function tierOf({ endsAt, targetAt, expiresAt }: PlacementOutlook): number {
  if (endsAt <= targetAt) return 0;
  return endsAt <= expiresAt ? 1 : 2;
}

/** Score of a machine that is twice as fast: as much as a whole machine's free capacity. */
const OCTAVE_WEIGHT = 1;

/** Score of meeting the target: more than any machine's speed and capacity, less than avoiding another failure. */
const TIER_WEIGHT = 16;
