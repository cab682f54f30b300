import { expect, test } from 'vitest';
import ConfigurationLog from '../../tools/measureConfig/ConfigurationLog';
import summarizePhase from '../../tools/measureConfig/summarizePhase';

/** A log made from lines such as `a 2 100`: process, version and the time at which it took effect, in milliseconds. */
function logOf(...lines: string[]): ConfigurationLog {
  const log = ConfigurationLog.create();
  lines.forEach((line) => {
    const [name = '', version, at] = line.split(' ');
    const time = new Date(Number(at)).toISOString();
    const message = `configuration ${version} is in force`;
    log.printed(name, JSON.stringify({ time, level: 'info', message }));
  });
  return log;
}

test('reports a change to an older version, also across a restart', () => {
  const log = logOf('a 1 10', 'a 3 20', 'b 3 20', 'a 2 30', 'b 3 40');
  expect(log.reversions).toEqual(['a went from 3 to 2']);
});

test('a newer version counts for a skipped one, and a version that never takes effect is missing', () => {
  const log = logOf('a 1 10', 'b 1 10', 'a 3 160');
  const applied = [{ version: 2, phase: 'p', startedAt: 100 }];
  expect(summarizePhase('p', applied, log)).toEqual({
    ...{ phase: 'p', changes: 1, p50: 60, p99: 60, max: 60, missing: 1 },
  });
});
