import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import outcomeTable from '../../src/callers/outcomeTable';

test('the documented outcomes match the outcome table', () => {
  const text = readFileSync('docs/API.md', 'utf8');
  const rows = [...text.matchAll(/^\| `([a-z-]+)` +\| (\d{3}) +\|/gm)];
  const documented = new Set(rows.map(([, name, status]) => `${name} ${status}`));
  const known = new Set(Object.values(outcomeTable).map(({ name, status }) => `${name} ${status}`));
  expect([...documented].sort()).toEqual([...known].sort());
});

test('the documented examples have the Content-Length that they state', () => {
  const text = readFileSync('docs/API.md', 'utf8');
  const examples = [...text.matchAll(/```http\n([^]*?)\n```/g)].map(([, example]) => example!);
  const stated = examples.map((example) => Number(/Content-Length: (\d+)/.exec(example)![1]));
  const real = examples.map((example) => Buffer.byteLength(example.split('\n\n')[1]!));
  expect(real).toEqual(stated);
});
