import { PassThrough } from 'node:stream';
import { expect, test } from 'vitest';
import createLogger from '../../src/observe/createLogger';

type Logger = ReturnType<typeof createLogger>;

function linesOf(write: (logger: Logger) => void): readonly unknown[] {
  const stream = new PassThrough({ encoding: 'utf8' });
  write(createLogger('info', stream));
  const lines = String(stream.read() ?? '').split('\n');
  return lines.filter(Boolean).map((line) => ({ ...JSON.parse(line), time: 'now' }));
}

test('a line that is not written to a terminal is a JSON object with its fields', () => {
  const lines = linesOf((logger) => {
    logger.info('link opened', { peer: 'e2', session: 3n });
    logger.warn('store unavailable', { cause: new Error('refused') });
  });
  expect(lines).toMatchInlineSnapshot(`
    [
      {
        "level": "info",
        "message": "link opened",
        "peer": "e2",
        "session": "3",
        "time": "now",
      },
      {
        "cause": "refused",
        "level": "warn",
        "message": "store unavailable",
        "time": "now",
      },
    ]
  `);
});

test('lines below the level are omitted and repeated lines are all written', () => {
  const lines = linesOf((logger) => {
    logger.debug('hidden');
    for (let i = 0; i < 12; i += 1) logger.error('again');
  });
  expect(lines).toHaveLength(12);
});

test('an unexpected error, in the field "error", is logged with its stack and causes', () => {
  const [line] = linesOf((logger) =>
    logger.warn('a message could not be handled', {
      error: new TypeError('no number', { cause: new Error('what was behind it') }),
    }),
  ) as { error: { stack: string; cause: { message: string } } }[];
  expect([line!.error.stack, line!.error.cause.message]).toEqual([
    expect.stringContaining('createLogger.test.ts'),
    'what was behind it',
  ]);
});
