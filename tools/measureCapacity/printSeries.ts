import type Series from './Series';
import type Spread from './Spread';

const DIGITS = 3;

/** A series as lines for people: the slope over the rounds, then the values at each size. */
export default function printSeries(series: Series): string {
  const slope = series.slope();
  const points = series.points();
  const { name, unit, per } = series;
  if (!slope) return `${name}: ${text(points[0]![1])} ${unit}`;
  const values = points.map(([size, spread]) => `    at ${short(size)}: ${text(spread)} ${unit}`);
  const shown = values.length <= MOST_POINTS ? values : [];
  return [`${name}: ${text(slope)} ${unit} for each ${per}`, ...shown].join('\n');
}

/** Series with more points have sizes that differ in each round, and are told by their slope alone. */
const MOST_POINTS = 5;

function text({ median, min, max }: Spread): string {
  return `${short(median)} (${short(min)} to ${short(max)})`;
}

function short(value: number): string {
  return String(Number(value.toPrecision(DIGITS)));
}
