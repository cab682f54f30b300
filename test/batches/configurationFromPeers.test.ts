import { create } from '@bufbuild/protobuf';
import { expect, test } from 'vitest';
import readConfiguration from '../../platform/readConfiguration';
import { ConfigurationSchema, Role } from '../../src/gen/magnoliakeel/v1/peer_pb';
import BatchCase from '../support/BatchCase';

const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1 };

/** The version in force in an entry after another entry has told it each of these texts. */
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

// A configuration is passed on from entry to entry, so all of them meet the same text. One without limits
// was put in force, and from then on every request at every entry broke off ("Cannot read properties of
// undefined (reading 'idleMs')"); it also shut out each older whole version. A negative idle time ended the
// process with the first answer ("The value of msecs is out of range").
test('a configuration that is not whole is not taken from another entry', async () => {
  const whole = JSON.stringify({ version: 4, queues: [], limits });
  const broken = [
    { version: 9, queues: [] },
    { version: 9, queues: [{ name: 'q', host: 'h' }], limits },
    { version: 9.5, queues: [], limits },
    { version: 9, queues: [], limits: { ...limits, idleMs: -2_000 } },
  ];
  const texts = broken.map((table) => JSON.stringify(table));
  expect(await versionAfter(...texts, 'no JSON', whole)).toBe(4);
});

// Every entry tells every change, so each text comes some times over.
test('a configuration that is not newer than the one in force is not read again', async () => {
  const texts = [
    JSON.stringify({ version: 9, queues: [], limits }),
    JSON.stringify({ version: 12, queues: [], limits }),
  ];
  expect(await versionAfter(...texts)).toBe(9);
});

// Links between entries carry a version as a whole number of 64 bits: a greater one ended each link that
// it was told over, as often as it was dialled again.
test('a version that links cannot carry is refused', () => {
  const read = readConfiguration(JSON.stringify({ version: 1e300, routes: [] }));
  expect(read.isErr() && read.error).toBe('version: must be <= 9007199254740991');
});
