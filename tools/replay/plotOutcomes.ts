import type Outcome from './Outcome';

/** The outcomes of one policy. */
interface PolicyOutcomes {
  readonly name: string;
  readonly outcomes: readonly Outcome[];
}

const WIDTH = 200;
const HEIGHT = 260;
const MARGIN = 40;
const BAR_WIDTH = 18;

/** Draws an SVG bar chart of the worth earned: a group for each policy, with a bar for each queue and one for all. */
export default function plotOutcomes(policies: readonly PolicyOutcomes[]): string {
  const groups = policies.map(({ name, outcomes }, at) => {
    const bars = outcomes.map((outcome, index) => barOf(outcome, index)).join('');
    const label = `<text x="${MARGIN}" y="${HEIGHT - 8}">${name}</text>`;
    return `<g transform="translate(${at * WIDTH} 0)">${bars}${label}</g>`;
  });
  const size = `width="${WIDTH * policies.length + MARGIN}" height="${HEIGHT}"`;
  const style = 'font-family="sans-serif" font-size="11"';
  return `<svg xmlns="http://www.w3.org/2000/svg" ${size} ${style}><rect width="100%" height="100%" fill="white"/>${groups.join('')}</svg>\n`;
}

function barOf({ queue, worth }: Outcome, index: number): string {
  const plotHeight = HEIGHT - 2 * MARGIN;
  const height = worth * plotHeight;
  const x = MARGIN + index * (BAR_WIDTH + 16);
  const y = MARGIN + plotHeight - height;
  const fill = queue === 'all' ? '#555555' : '#1b6ca8';
  const box = `<rect x="${x}" y="${y.toFixed(1)}" width="${BAR_WIDTH}" height="${height.toFixed(1)}" fill="${fill}"/>`;
  const value = `<text x="${x - 4}" y="${(y - 4).toFixed(1)}">${worth.toFixed(2)}</text>`;
  return `${box}${value}<text x="${x - 4}" y="${MARGIN + plotHeight + 14}">${queue}</text>`;
}
