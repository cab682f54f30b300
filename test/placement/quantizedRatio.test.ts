import { expect, test } from 'vitest';
import quantizedRatio from '../../src/placement/quantizedRatio';

test('the reported ratio changes only when the measured one differs by more than a tenth', () => {
  const measured = [undefined, 1.05, 0.9, 1.17, 1.1, 1.7, 1.6, 1.02, undefined];
  let reported: number | undefined;
  const reports = measured.map((ratio) => {
    reported = quantizedRatio(reported, ratio);
    return reported?.toFixed(2) ?? '-';
  });
  expect(reports.join(' ')).toMatchInlineSnapshot(`"- - - 1.15 1.15 1.74 1.74 1.00 1.00"`);
});
