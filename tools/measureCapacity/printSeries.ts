import type Series from './Series';
import type Spread from './Spread';

const DIGITS = 3;

/** Formats a series as text for people: the slope over the rounds, then the values at each size. */
export default function printSeries(series: Series): string {
  const slope = series.slope();
  const points = series.points();
  const { name, unit, per } = series;
  if (!slope) return `${name}: ${text(points[0]![1])} ${unit}`;
  const values = points.map(([size, spread]) => `    at ${short(size)}: ${text(spread)} ${unit}`);
  const shown = values.length <= MAX_POINTS ? values : [];
  return [`${name}: ${text(slope)} ${unit} for each ${per}`, ...shown].join('\n');
}

/** A series with more points has different sizes in each round; only its slope is printed. */
const MAX_POINTS = 5;

function text({ median, min, max }: Spread): string {
  return `${short(median)} (${short(min)} to ${short(max)})`;
}

function short(value: number): string {
  return String(Number(value.toPrecision(DIGITS)));
}
