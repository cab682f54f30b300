import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import readConfiguration from '../../platform/readConfiguration';
import { ConfigurationSchema, Role } from '../../src/gen/magnoliakeel/v1/peer_pb';
import BatchCase from '../support/BatchCase';

const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 };

/** The active version of an entry after it has received each of these texts from another entry. */
async function versionAfter(...texts: readonly string[]): Promise<number> {
  const batchCase = await BatchCase.open({ entries: 1, sidecars: 0 });
  const { timer, entries } = batchCase;
  const link = await batchCase.dial('x', Role.ENTRY);
  texts.forEach((manifest) => {
    const value = create(ConfigurationSchema, { version: 9n, manifest });
    link.send({ case: 'configuration', value });
  });
  await timer.advance(100);
  return entries[0]!.table.version;
}

// Entries forward the configuration to each other, so all of them get the same text. One without
// limits was activated, and from then on every request at every entry failed ("Cannot read
// properties of undefined (reading 'idleMs')"); it also prevented older valid versions from being
// accepted. A negative idle time ended the process with the first answer ("The value of msecs is
// out of range").
test('an invalid configuration is not accepted from another entry', async () => {
  const valid = JSON.stringify({ version: 4, queues: [], limits });
  const invalid = [
    { version: 9, queues: [] },
    { version: 9, queues: [{ name: 'q', host: 'h' }], limits },
    { version: 9.5, queues: [], limits },
    { version: 9, queues: [], limits: { ...limits, idleMs: -2_000 } },
  ];
  const texts = invalid.map((table) => JSON.stringify(table));
  expect(await versionAfter(...texts, 'no JSON', valid)).toBe(4);
});

// Every entry forwards every change, so each text arrives several times.
test('a configuration that is not newer than the active one is not parsed', async () => {
  const texts = [
    JSON.stringify({ version: 9, queues: [], limits }),
    JSON.stringify({ version: 12, queues: [], limits }),
  ];
  expect(await versionAfter(...texts)).toBe(9);
});

// Messages between entries carry a version as an integer of 64 bits: a greater one ended each link
// over which it was sent, as often as it was dialled again.
test('a version that does not fit into a message is refused', () => {
  const read = readConfiguration(JSON.stringify({ version: 1e300, routes: [] }));
  expect(read.isErr() && read.error).toBe('version: must be <= 9007199254740991');
});
