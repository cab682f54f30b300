import { describe, expect, it } from 'vitest';
import faults from './faults';
import runCell from './runCell';
import steps from './steps';

const rows: string[] = [];

describe.each(Object.keys(faults))('%s', (fault) => {
  it.each(Object.keys(steps))('at %s', async (step) => {
    const line = await runCell(fault, step);
    rows.push(`${fault} @ ${step} | ${line}`);
    expect(line).not.toContain('BROKEN');
  });
});

it('matches the outcomes recorded in matrix.txt', async () => {
  await expect(`${rows.join('\n')}\n`).toMatchFileSnapshot('matrix.txt');
});
