import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import loadManifest from '../../src/settings/loadManifest';
import loadSettings from '../../src/settings/loadSettings';

test.each([
  ['entry.yaml', loadSettings],
  ['sidecar.yaml', loadSettings],
  ['manifest.yaml', loadManifest],
  ['local/entry-1.yaml', loadSettings],
  ['local/entry-2.yaml', loadSettings],
  ['local/entry-3.yaml', loadSettings],
  ['local/sidecar-1.yaml', loadSettings],
  ['local/sidecar-2.yaml', loadSettings],
  ['local/manifest.yaml', loadManifest],
  ['local/changed.yaml', loadManifest],
])('the example %s has no findings', (name, load) => {
  const file = `examples/${name}`;
  expect(load(readFileSync(file, 'utf8'), file).isOk()).toBe(true);
});
