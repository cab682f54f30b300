import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import wireSchema from '../../platform/gen/wireSchema';
import serveHeartbeats from '../../platform/serveHeartbeats';
import RunCase from '../support/RunCase';

const BORN = 1_780_000_000_000;

const heartbeat = {
  ...{ service: 'booking', addr: '127.0.0.1:1', state: 'ready', seq: 40, clock_ms: 60_000 },
  ...{ born: BORN, labels: ['a'], capacity: { cpu: 64_000, mem_mb: 1_024, gpu: 0 } },
};

/** Opens a heartbeat server with the sidecar of a backend server whose first incarnation is known. */
async function open() {
  const { runCase } = await RunCase.open(undefined, BORN);
  const { host } = runCase;
  const server = serveHeartbeats(
    {
      handleHeartbeat: (report) => host.handleHeartbeat(report),
      handleBackendLeaving: (id, born) => host.handleLeaving(id, born),
      ignoredHeartbeats: host.ignoredHeartbeats,
    },
    { info: () => undefined, warn: () => undefined },
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const send = async (body: Uint8Array | string, method = 'PUT') => {
    const res = await fetch(`http://127.0.0.1:${port}/magnoliakeel/instances/b1`, { method, body });
    return { status: res.status, body: (await res.json()) as { error?: string } };
  };
  return { runCase, host, send, close: () => server.close() };
}

type Schema = Readonly<Record<string, unknown>>;

/** Values that the schema does not allow: of another type, out of range, or not in the list of values. */
function invalidValue(schema: Schema): fc.Arbitrary<unknown> {
  const others = [fc.boolean(), fc.constant(null), fc.string(), fc.double(), fc.object()];
  const isOfType = (value: unknown): boolean => typeOf(value) === schema.type;
  const ofOtherType = fc.oneof(...others).filter((value) => !isOfType(value));
  return fc.oneof(ofOtherType, ...(invalidByType[String(schema.type)]?.(schema) ?? []));
}

function typeOf(value: unknown): string {
  if (typeof value === 'number') return Number.isInteger(value) ? 'integer' : 'number';
  return Array.isArray(value) ? 'array' : typeof value;
}

const invalidNumbers = [
  fc.double({ max: -0.5, noNaN: true }),
  fc.constant(1e300),
  fc.constant('1'),
];

const invalidByType: Readonly<Record<string, (schema: Schema) => fc.Arbitrary<unknown>[]>> = {
  integer: () => [...invalidNumbers, fc.constant(0.5)],
  number: () => invalidNumbers,
  array: () => [fc.array(fc.integer(), { minLength: 1 })],
  string: ({ enum: allowed }) => [fc.constant(''), ...(allowed ? [fc.constant('open')] : [])],
};

const { properties, required } = wireSchema.heartbeat;

/** The heartbeat with one field missing or invalid. */
const invalidHeartbeat = fc.constantFrom(...Object.keys(properties)).chain((name) => {
  const schema = properties[name as keyof typeof properties] as Schema;
  const isRequired = (required as readonly string[]).includes(name);
  const missing = isRequired ? [fc.constant(undefined)] : [];
  return fc
    .oneof(invalidValue(schema), ...missing)
    .filter((value) => schema.type !== 'number' || typeof value !== 'number' || !(value >= 0))
    .map((value) => ({ ...heartbeat, [name]: value }));
});

test('a heartbeat with a missing or invalid field is refused with a reason and changes nothing', async () => {
  const { host, send, close } = await open();
  const before = host.current?.heartbeat;
  const property = fc.asyncProperty(invalidHeartbeat, async (body) => {
    const { status, body: answer } = await send(JSON.stringify(body));
    expect([status, typeof answer.error, host.current?.heartbeat]).toEqual([400, 'string', before]);
  });
  await fc.assert(property, { numRuns: 400, seed: 11 });
  close();
  expect([host.isAccepting, host.ignoredHeartbeats.byCause.get('unreadable')]).toEqual([true, 400]);
});

test('a heartbeat that is not valid UTF-8 is refused', async () => {
  const { host, send, close } = await open();
  const before = host.current?.heartbeat;
  const text = Buffer.from(JSON.stringify({ ...heartbeat, service: 'booking~' }), 'latin1');
  const broken = text.map((byte) => (byte === 0x7e ? 0xff : byte));
  const property = fc.asyncProperty(fc.uint8Array({ maxLength: 40 }), async (bytes) => {
    expect((await send(bytes)).status).toBe(400);
  });
  await fc.assert(property, { numRuns: 100, seed: 11 });
  const { status } = await send(broken);
  close();
  expect([status, host.current?.heartbeat]).toEqual([400, before]);
});

test('a heartbeat states the start of its incarnation, and a leave notice may', async () => {
  const { runCase, host, send, close } = await open();
  const response = await send(JSON.stringify({ ...heartbeat, seq: 41 }));
  await send(JSON.stringify({ born: BORN - 1 }), 'DELETE');
  const isAcceptingBefore = host.isAccepting;
  await send('', 'DELETE');
  close();
  await runCase.timer.advance(10);
  expect([
    response.status,
    host.current?.heartbeat.born,
    isAcceptingBefore,
    host.isAccepting,
  ]).toEqual([...[200, BORN], ...[true, false]]);
});
