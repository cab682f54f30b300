/** Fits a line to the points by least squares; the slope is 0 if all points have the same x. */
export default function fitLine(points: readonly (readonly [x: number, y: number])[]): {
  readonly slope: number;
  readonly base: number;
} {
  const meanX = meanOf(points.map(([x]) => x));
  const meanY = meanOf(points.map(([, y]) => y));
  const variance = sumOf(points.map(([x]) => (x - meanX) ** 2));
  const covariance = sumOf(points.map(([x, y]) => (x - meanX) * (y - meanY)));
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, base: meanY - slope * meanX };
}

function meanOf(values: readonly number[]): number {
  return sumOf(values) / values.length;
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
