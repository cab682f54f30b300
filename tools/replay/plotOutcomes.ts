import type Outcome from './Outcome';

/** A policy's outcomes, for a plot. */
interface Plotted {
  readonly name: string;
  readonly outcomes: readonly Outcome[];
}

const WIDTH = 200;
const HEIGHT = 260;
const MARGIN = 40;
const BAR = 18;

/** An SVG with the worth earned of each queue and of all, a group of bars for each policy. */
export default function plotOutcomes(policies: readonly Plotted[]): string {
  const groups = policies.map(({ name, outcomes }, at) => {
    const bars = outcomes.map((outcome, number) => barOf(outcome, number)).join('');
    const label = `<text x="${MARGIN}" y="${HEIGHT - 8}">${name}</text>`;
    return `<g transform="translate(${at * WIDTH} 0)">${bars}${label}</g>`;
  });
  const size = `width="${WIDTH * policies.length + MARGIN}" height="${HEIGHT}"`;
  const style = 'font-family="sans-serif" font-size="11"';
  return `<svg xmlns="http://www.w3.org/2000/svg" ${size} ${style}><rect width="100%" height="100%" fill="white"/>${groups.join('')}</svg>\n`;
}

function barOf({ queue, worth }: Outcome, number: number): string {
  const room = HEIGHT - 2 * MARGIN;
  const height = worth * room;
  const x = MARGIN + number * (BAR + 16);
  const y = MARGIN + room - height;
  const fill = queue === 'all' ? '#555555' : '#1b6ca8';
  const box = `<rect x="${x}" y="${y.toFixed(1)}" width="${BAR}" height="${height.toFixed(1)}" fill="${fill}"/>`;
  const value = `<text x="${x - 4}" y="${(y - 4).toFixed(1)}">${worth.toFixed(2)}</text>`;
  return `${box}${value}<text x="${x - 4}" y="${MARGIN + room + 14}">${queue}</text>`;
}
