/**
 * The duration ratio to report to entries, from the one reported before and the one measured now. It is rounded
 * to tenths of an octave, and changes only once the measured one differs by more than could affect the choice
 * between two backend servers. So small changes cause no message, and none is sent where work takes as long as
 * estimated. Undefined while nothing was reported.
 */
export default function quantizedRatio(
  reported: number | undefined,
  measured: number | undefined,
): number | undefined {
  if (measured === undefined) return reported;
  const octaves = Math.log2(measured);
  const needsReport =
    reported === undefined
      ? Math.abs(octaves) >= MIN_FIRST_OCTAVES
      : Math.abs(octaves - Math.log2(reported)) >= MIN_CHANGE_OCTAVES;
  return needsReport ? 2 ** (Math.round(octaves * STEPS_PER_OCTAVE) / STEPS_PER_OCTAVE) : reported;
}

/** Steps per octave. */
const STEPS_PER_OCTAVE = 10;

/** Distance from the estimates before anything is reported, octaves: 15%, up to which machines count as alike. */
const MIN_FIRST_OCTAVES = 0.2;

/** Change that causes a new report, octaves: 11%, less than the differences that affect decisions. */
const MIN_CHANGE_OCTAVES = 0.15;
