/** How a task would do at one place. */
interface PlacementOutlook {
  /** When its batch would be done if it ran there, by the timer service. */
  readonly endsAt: number;
  /** By when its batch should be done. */
  readonly targetAt: number;
  /** From when on the answer is of no use. */
  readonly expiresAt: number;
  /** Times that the task takes there, against the middle. */
  readonly durationRatio: number;
  /** Whether places where work goes fast are to be left to what needs them. */
  readonly conservesFastBackends: boolean;
}

/**
 * What speaks for a place by the time that work takes there, as a share of a backend server's room.
 *
 * It answers a fleet in which some machines take two or three times as long. First comes that the batch makes its
 * aim, and then that it is of use at all: work whose caller waits for long anyway bears a slow machine no better than
 * short work does, whose objective has some time to spare. Among places where it comes out alike, the fast go first
 * while there is room enough on them. When that gets short, what makes its aim on a slow machine goes there, so that
 * the fast ones are left for what does not, and none is idle.
 */
export default function placementScore(outlook: PlacementOutlook): number {
  const octaves = Math.log2(outlook.durationRatio);
  const preference = outlook.conservesFastBackends ? octaves : -octaves;
  return preference * OCTAVE_WEIGHT - tierOf(outlook) * TIER_WEIGHT;
}

/** In time, late, or useless. */
function tierOf({ endsAt, targetAt, expiresAt }: PlacementOutlook): number {
  if (endsAt <= targetAt) return 0;
  return endsAt <= expiresAt ? 1 : 2;
}

/** Worth of a machine that is twice as fast: a whole machine's room. */
const OCTAVE_WEIGHT = 1;

/** Worth of being in time: more than any machine's speed and room, less than not to fail again. */
const TIER_WEIGHT = 16;
