import { execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { afterAll, beforeAll, expect, test, vi } from 'vitest';
import freePort from '../support/freePort';

// Building and starting takes seconds on a busy machine.
vi.setConfig({ testTimeout: 60_000, hookTimeout: 60_000 });

let folder: string;

beforeAll(() => {
  folder = mkdtempSync(path.join(tmpdir(), 'bundles-'));
  execFileSync(process.execPath, ['scripts/buildPlatform.mjs', folder]);
});

afterAll(() => rmSync(folder, { recursive: true }));

async function sidecarSettings() {
  const [backend, metrics, store] = await Promise.all([freePort(), freePort(), freePort()]);
  return {
    ...{ cluster: 'c', instance: 's1', zone: 'z', seeds: [], peerPort: 7_100 },
    listen: { backend: `127.0.0.1:${backend}`, metrics: `127.0.0.1:${metrics}` },
    store: { address: `127.0.0.1:${store}` },
  };
}

/** Starts a role, stops it once it has written a line with one of the texts, and returns that line. */
function firstLineWith(role: string, settings: string, texts: readonly string[]): Promise<string> {
  const file = path.join(folder, `settings-${settings.length}.yaml`);
  writeFileSync(file, settings);
  const env = { ...process.env, MAGNOLIAKEEL_NODE_FILE: file };
  const child = spawn(process.execPath, [path.join(folder, `${role}.cjs`)], { env });
  return new Promise((resolve, reject) => {
    let written = '';
    child.stdout.on('data', (chunk: Buffer) => {
      written += chunk.toString();
      const line = written.split('\n').find((each) => texts.some((text) => each.includes(text)));
      if (line === undefined) return;
      child.kill();
      resolve(line);
    });
    child.on('exit', () => reject(new Error(`it ended after: ${written}`)));
  });
}

const START_MESSAGES = ['has started', 'not usable'];

test('a bundle starts with settings that are JSON', async () => {
  const settings = JSON.stringify(await sidecarSettings());
  expect(await firstLineWith('sidecar', settings, START_MESSAGES)).toContain(
    'the sidecar has started',
  );
});

test('a bundle starts with settings in YAML that is not JSON', async () => {
  const { listen, store } = await sidecarSettings();
  const settings = [
    ...['cluster: c', 'instance: s1', 'zone: z', 'seeds: []', 'peerPort: 7100'],
    ...['listen:', `  backend: ${listen.backend}`, `  metrics: ${listen.metrics}`],
    ...['store:', `  address: ${store.address}`],
  ].join('\n');
  expect(await firstLineWith('sidecar', settings, START_MESSAGES)).toContain(
    'the sidecar has started',
  );
});

test('a bundle reports the locations of errors in its settings', async () => {
  expect(await firstLineWith('entry', 'cluster: 5', START_MESSAGES)).toContain(
    ':1:10 cluster: found 5',
  );
});

test('a sidecar serves its metrics', async () => {
  const settings = await sidecarSettings();
  const file = path.join(folder, 'metrics.yaml');
  writeFileSync(file, JSON.stringify(settings));
  const env = { ...process.env, MAGNOLIAKEEL_NODE_FILE: file };
  const child = spawn(process.execPath, [path.join(folder, 'sidecar.cjs')], { env });
  await new Promise((resolve) => {
    child.stdout.once('data', resolve);
  });
  const res = await fetch(`http://${settings.listen.metrics}/metrics`);
  const text = await res.text();
  child.kill();
  expect(text).toContain('magnoliakeel_linked_entries 0');
});

// Number formatting for histogram files, and TLS for pushing metrics, took a twelfth of an entry's start time.
test('an entry does not load parts of packages that it does not use', () => {
  const text = readFileSync(path.join(folder, 'entry.cjs'), 'utf8');
  expect(['StartTimestamp', 'processCpuTotal'].filter((word) => text.includes(word))).toEqual([]);
});
