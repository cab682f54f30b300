import type { Histogram } from 'hdr-histogram-js';
import type RunResult from './RunResult';

const WIDTH = 720;
const HEIGHT = 360;
const MARGIN = 60;
const COLOURS = ['#1b6ca8', '#c0392b', '#27865a', '#8e44ad', '#b9770e'];
const PERCENTILES = [0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9];
const TICKS = [50, 90, 99, 99.9];
/** Histograms hold stretch in thousandths. */
const SCALE = 1000;

/** Draws an SVG with one chart per scenario: request stretch by percentile, one line per policy and one for the ideal. */
export default function plotStretches(results: readonly RunResult[]): string {
  const names = [...new Set(results.map(({ scenario }) => scenario))];
  const charts = names.map((name, index) => {
    const runs = results.filter(({ scenario }) => scenario === name);
    return `<g transform="translate(0 ${index * HEIGHT})">${chart(name, runs)}</g>`;
  });
  const size = `width="${WIDTH}" height="${HEIGHT * names.length}"`;
  const style = 'font-family="sans-serif" font-size="12"';
  return `<svg xmlns="http://www.w3.org/2000/svg" ${size} ${style}><rect width="100%" height="100%" fill="white"/>${charts.join('')}</svg>\n`;
}

function chart(name: string, runs: readonly RunResult[]): string {
  const lines = [
    { label: 'ideal', colour: '#555555', histogram: runs[0]!.ideal.request },
    ...runs.map(({ policy, stretches }, at) => ({
      label: policy,
      colour: COLOURS[at % COLOURS.length]!,
      histogram: stretches.request,
    })),
  ];
  const maximum = Math.max(
    2,
    ...lines.map(({ histogram }) => histogram.getValueAtPercentile(99.9) / SCALE),
  );
  const parts = lines.map(({ label, colour, histogram }, at) => {
    const text = `<text x="${MARGIN + 10}" y="${50 + at * 16}" fill="${colour}">${label}</text>`;
    return `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${points(histogram, maximum)}"/>${text}`;
  });
  return `<text x="${MARGIN}" y="24">${name}: request stretch by percentile</text>${axes(maximum)}${parts.join('')}`;
}

function points(histogram: Histogram, maximum: number): string {
  return PERCENTILES.map((percentile) => {
    const value = histogram.getValueAtPercentile(percentile) / SCALE;
    return `${x(percentile).toFixed(1)},${y(value, maximum).toFixed(1)}`;
  }).join(' ');
}

function axes(maximum: number): string {
  const down = TICKS.map(
    (tick) =>
      `<text x="${x(tick)}" y="${HEIGHT - MARGIN + 18}" text-anchor="middle">${tick}%</text>`,
  );
  const across = [1, Math.sqrt(maximum), maximum].map(
    (tick) =>
      `<text x="${MARGIN - 6}" y="${y(tick, maximum)}" text-anchor="end">${tick.toFixed(1)}</text>`,
  );
  const frame = `<path d="M${MARGIN} 32V${HEIGHT - MARGIN}H${WIDTH - 20}" fill="none" stroke="black"/>`;
  return frame + down.join('') + across.join('');
}

/** Horizontal position of a percentile, on a logarithmic scale of the share above it so that the tail is visible. */
function x(percentile: number): number {
  const tail = -Math.log10(Math.max(1 - percentile / 100, 0.001)) / 3;
  return MARGIN + tail * (WIDTH - MARGIN - 20);
}

function y(value: number, maximum: number): number {
  const height = Math.log(Math.max(value, 1)) / Math.log(maximum);
  return HEIGHT - MARGIN - height * (HEIGHT - MARGIN - 32);
}
