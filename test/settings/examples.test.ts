import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import loadManifest from '../../src/settings/loadManifest';
import loadSettings from '../../src/settings/loadSettings';

test.each([
  ['entry.yaml', loadSettings],
  ['sidecar.yaml', loadSettings],
  ['manifest.yaml', loadManifest],
])('the example %s has no findings', (name, load) => {
  const file = `examples/${name}`;
  expect(load(readFileSync(file, 'utf8'), file).isOk()).toBe(true);
});
