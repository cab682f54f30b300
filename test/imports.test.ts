import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { expect, test } from 'vitest';

const files = readdirSync('src', { recursive: true, encoding: 'utf8' }).filter((file) =>
  file.endsWith('.ts'),
);
const imports = new Map(files.map((file) => [file, importsOf(file)]));

function importsOf(file: string): string[] {
  const text = readFileSync(path.join('src', file), 'utf8');
  const relative = [...text.matchAll(/from '(\.[^']+)'/g)].map(([, to]) => `${to}.ts`);
  return relative.map((to) => path.join(path.dirname(file), to)).filter((to) => files.includes(to));
}

/** The levels of folders that CONTRIBUTING.md draws, from left to right. */
function documentedLevels(): string[][] {
  const drawing = /```text\n([^`]*←[^`]*)```/.exec(readFileSync('CONTRIBUTING.md', 'utf8'))![1]!;
  return drawing.split('←').map((level) => level.trim().split(/,\s*/));
}

/** The first way from a file back to itself, if any. */
function findCycle(file: string, way: readonly string[], done: Set<string>): string[] | undefined {
  if (way.includes(file)) return [...way.slice(way.indexOf(file)), file];
  if (done.has(file)) return undefined;
  for (const to of imports.get(file)!) {
    const cycle = findCycle(to, [...way, file], done);
    if (cycle) return cycle;
  }
  done.add(file);
  return undefined;
}

test('folders import only from folders to their left', () => {
  const levels = documentedLevels();
  const levelOf = (file: string) =>
    levels.findIndex((level) => level.includes(file.split('/')[0]!));
  const wrong = [...imports].flatMap(([file, targets]) =>
    targets
      .filter((to) => to.split('/')[0] !== file.split('/')[0] && levelOf(to) >= levelOf(file))
      .map((to) => `${file} imports ${to}`),
  );
  expect([wrong, files.filter((file) => levelOf(file) < 0)]).toEqual([[], []]);
});

test('no file imports itself by way of others', () => {
  const done = new Set<string>();
  expect(files.map((file) => findCycle(file, [], done)).filter(Boolean)).toEqual([]);
});
