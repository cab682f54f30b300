/**
 * The speed that is told to entries, from what was told before and what is known now: tenths of an octave, and a new
 * value only once the known one is off by more than what a choice between two backend servers could turn on. So small
 * changes make no message, and none is sent where work goes as estimated. Undefined while nothing is told.
 */
export default function quantizedRatio(
  told: number | undefined,
  times: number | undefined,
): number | undefined {
  if (times === undefined) return told;
  const octaves = Math.log2(times);
  const isNews =
    told === undefined
      ? Math.abs(octaves) >= MIN_FIRST_OCTAVES
      : Math.abs(octaves - Math.log2(told)) >= MIN_CHANGE_OCTAVES;
  return isNews ? 2 ** (Math.round(octaves * STEPS_PER_OCTAVE) / STEPS_PER_OCTAVE) : told;
}

/** Steps an octave. */
const STEPS_PER_OCTAVE = 10;

/** How far from the estimates work goes before anything is told, octaves: 15%, up to which machines count as alike. */
const MIN_FIRST_OCTAVES = 0.2;

/** Change by which a new value is told, octaves: 11%, less than the differences that decide. */
const MIN_CHANGE_OCTAVES = 0.15;
