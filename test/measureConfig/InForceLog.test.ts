import { expect, test } from 'vitest';
import InForceLog from '../../tools/measureConfig/InForceLog';
import summarizePhase from '../../tools/measureConfig/summarizePhase';

/** A log with lines such as `a 2 100`: process, version and the millisecond it was in force. */
function logOf(...lines: string[]): InForceLog {
  const log = InForceLog.create();
  lines.forEach((line) => {
    const [name = '', version, at] = line.split(' ');
    const time = new Date(Number(at)).toISOString();
    const message = `configuration ${version} is in force`;
    log.printed(name, JSON.stringify({ time, level: 'info', message }));
  });
  return log;
}

test('a step back shows, also over a restart', () => {
  const log = logOf('a 1 10', 'a 3 20', 'b 3 20', 'a 2 30', 'b 3 40');
  expect(log.reversions).toEqual(['a went from 3 to 2']);
});

test('a newer version counts for one that was passed over, and a version never met is missing', () => {
  const log = logOf('a 1 10', 'b 1 10', 'a 3 160');
  const applied = [{ version: 2, phase: 'p', startedAt: 100 }];
  expect(summarizePhase('p', applied, log)).toEqual({
    ...{ phase: 'p', changes: 1, p50: 60, p99: 60, max: 60, missing: 1 },
  });
});
