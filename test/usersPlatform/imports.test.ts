import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { expect, test } from 'vitest';

const sources = readdirSync('src', { recursive: true, encoding: 'utf8' })
  .filter((file) => file.endsWith('.ts') && !file.startsWith('gen'))
  .map((file) => ({ file, text: readFileSync(path.join('src', file), 'utf8') }));

/** Names that are defined only by the interfaces of the platform. */
const PLATFORM_NAMES = [
  ...[
    'run-start',
    'run-stop',
    'kv-',
    'op/config',
    'magnoliakeel/readyz',
    'x-deadline',
    'x-expected-instance',
  ],
  ...['fencing_token', 'last_seen', 'best_effort', 'anti_affinity', 'mem_mb', 'estimate_ms'],
  ...['clock_ms', 'wait_ms', 'max_attempts', 'stretch_factor', 'MAGNOLIAKEEL_NODE_FILE'],
];

test('src/ does not import from platform/', () => {
  const importing = sources.filter(({ text }) => /from '[^']*platform\//.test(text));
  expect(importing.map(({ file }) => file)).toEqual([]);
});

test('src/ does not use names of the platform', () => {
  const uses = sources.flatMap(({ file, text }) =>
    PLATFORM_NAMES.filter((name) => text.includes(name)).map((name) => `${file}: ${name}`),
  );
  expect(uses).toEqual([]);
});
