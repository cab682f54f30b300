import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { expect, test } from 'vitest';

const sources = readdirSync('src', { recursive: true, encoding: 'utf8' })
  .filter((file) => file.endsWith('.ts') && !file.startsWith('gen'))
  .map((file) => ({ file, text: readFileSync(path.join('src', file), 'utf8') }));

/** Names of the users' platform that could only come from its pages. */
const NAMES = [
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

test('the product does not import the folder of the platform', () => {
  const importing = sources.filter(({ text }) => /from '[^']*platform\//.test(text));
  expect(importing.map(({ file }) => file)).toEqual([]);
});

test('the product knows no name of the platform', () => {
  const knowing = sources.flatMap(({ file, text }) =>
    NAMES.filter((name) => text.includes(name)).map((name) => `${file}: ${name}`),
  );
  expect(knowing).toEqual([]);
});
