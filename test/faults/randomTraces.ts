import fc from 'fast-check';
import type Trace from './Trace';

const entry = fc.constantFrom('e1', 'e2', 'e3');
const sidecar = fc.constantFrom('s1', 's2', 's3');
const at = fc.integer({ min: 0, max: 9000 });

const call = fc.record({
  at,
  ask: fc.record({
    id: fc.integer({ min: 0, max: 7 }).map((n) => `id${n}`),
    via: entry,
    once: fc.boolean(),
  }),
});

const fault = fc.oneof(
  oneProcess('kill', fc.oneof(entry, sidecar), 12_000),
  oneProcess('pause', fc.oneof(entry, sidecar), 16_000),
  oneProcess('leave', fc.oneof(entry, sidecar), 1),
  oneProcess('backend', sidecar, 3000),
  ...(['cut', 'halfOpen', 'late'] as const).map((name) => oneLink(name)),
  fc.record({
    ...{ at, fault: fc.constant('store' as const), on: fc.constant([]) },
    forMs: fc.integer({ min: 1, max: 12_000 }),
    store: fc.constantFrom('down' as const, 'slow' as const, 'answerLost' as const),
  }),
);

/** Random traces: ids submitted several times, and up to four faults that may overlap. */
const randomTraces: fc.Arbitrary<Trace> = fc
  .tuple(
    fc.array(call, { minLength: 1, maxLength: 12 }),
    fc.array(fault, { minLength: 1, maxLength: 4 }),
  )
  .map(([calls, faults]) => ({
    events: [
      ...calls.map((event) => ({ ...event, ask: { ...event.ask, ...bodyOf(event.ask.id) } })),
      ...faults,
    ],
  }));

export default randomTraces;

/** The body and kind of an id, the same in all its submissions. */
function bodyOf(id: string) {
  const number = Number(id.slice(2));
  if (number % 3 === 0) return { kind: 'request' as const, tasks: [300], idempotent: number > 3 };
  return { kind: 'job' as const, tasks: new Array(number).fill(200 + number * 100) };
}

function oneProcess<F extends string>(name: F, target: fc.Arbitrary<string>, max: number) {
  const on = target.map((process) => [process]);
  return fc.record({ at, fault: fc.constant(name), on, forMs: fc.integer({ min: 1, max }) });
}

function oneLink<F extends string>(name: F) {
  const pairs = fc.oneof(
    fc.tuple(entry, sidecar),
    fc.constantFrom(['e1', 'e2'], ['e2', 'e3'], ['e3', 'e1']),
  );
  const forMs = fc.integer({ min: 1, max: 12_000 });
  return fc.record({ at, fault: fc.constant(name), on: pairs, forMs });
}
