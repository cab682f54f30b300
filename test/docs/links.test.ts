import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { expect, test } from 'vitest';

test('links between the documents lead somewhere', () => {
  const inDocs = readdirSync('docs', { recursive: true, encoding: 'utf8' });
  const files = ['README.md', 'CONTRIBUTING.md', ...inDocs.map((file) => path.join('docs', file))];
  const broken = files
    .filter((file) => file.endsWith('.md'))
    .flatMap((file) => {
      const links = [...readFileSync(file, 'utf8').matchAll(/\]\(([^)#:]+)\)/g)];
      return links
        .filter(([, to]) => !existsSync(path.join(path.dirname(file), to!)))
        .map(([, to]) => `${file}: ${to}`);
    });
  expect(broken).toEqual([]);
});

test('the architecture page names every folder of the sources', () => {
  const page = readFileSync('docs/ARCHITECTURE.md', 'utf8');
  const folders = readdirSync('src').filter((name) => !page.includes(`\`src/${name}\``));
  expect(folders).toEqual([]);
});
