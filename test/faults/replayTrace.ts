import SimulatedSystem from '../support/SimulatedSystem';
import checkOutcomes from './checkOutcomes';
import type Trace from './Trace';

type FaultEvent = Extract<Trace['events'][number], { fault: string }>;

interface FaultActions {
  inject(system: SimulatedSystem, event: FaultEvent): void;
  clear(system: SimulatedSystem, event: FaultEvent): void | Promise<void>;
}

const STORE_FAULTS = {
  down: { down: true },
  slow: { slowMs: 1500 },
  answerLost: { answerLost: true },
};

const heal: FaultActions['clear'] = ({ network }, { on }) => network.heal(on[0]!, on[1]!);

const actions: Record<FaultEvent['fault'], FaultActions> = {
  kill: {
    inject: (system, { on }) => system.kill(on[0]!),
    clear: (system, { on }) => system.restart(on[0]!),
  },
  pause: {
    inject: (system, { on }) => system.isRunning(on[0]!) && system.pause(on[0]!),
    clear: (system, { on }) => system.resume(on[0]!),
  },
  leave: { inject: (system, { on }) => system.shutDown(on[0]!), clear: () => undefined },
  backend: {
    inject: (system, { on }) => system.backends.get(on[0]!)!.kill(),
    clear: (system, { on }) => system.backends.get(on[0]!)!.restart(),
  },
  cut: { inject: ({ network }, { on }) => network.partition(on[0]!, on[1]!), clear: heal },
  halfOpen: {
    inject: ({ network }, { on }) => network.blackhole(on[0]!, on[1]!),
    // Messages lost in the middle of a connection would leave a gap in it, so the connection ends.
    clear: (system, event) => {
      system.network.partition(event.on[0]!, event.on[1]!);
      heal(system, event);
    },
  },
  late: { inject: ({ network }, { on }) => network.delay(on[0]!, on[1]!, 700), clear: heal },
  store: {
    inject: ({ engine }, { store = 'down' }) => engine.setFaults(STORE_FAULTS[store]),
    clear: ({ engine }) => engine.setFaults({}),
  },
};

const QUIET_MS = 8000;
const SETTLE_TIMEOUT_MS = 60_000;
const ANSWER_TIMEOUT_MS = 12_000;

/** Replays a trace. Returns the outcome of each id and the guarantees that were violated. */
export default async function replayTrace({ events }: Trace) {
  const system = await SimulatedSystem.start();
  const startedAt = system.timer.now();
  const timedActions = events.flatMap((event) => timedActionsOf(system, event));
  timedActions.sort((one, other) => one.at - other.at);
  for (const { at, run } of timedActions) {
    await system.timer.advance(Math.max(0, startedAt + at - system.timer.now()));
    await run();
  }
  await system.timer.advance(QUIET_MS);
  for (const name of [...system.entries.keys(), ...system.sidecars.keys()]) {
    system.resume(name);
    await system.restart(name);
  }
  const settled = await system.advanceUntil(() => system.openCalls === 0, SETTLE_TIMEOUT_MS, 50);
  system.stop();
  const broken = checkOutcomes(system.events, ANSWER_TIMEOUT_MS);
  const outcomes = Object.fromEntries(
    [...new Set(system.events.map(({ id }) => id))].map((id) => [id, outcomeOf(system, id)]),
  );
  return { outcomes, broken: settled ? broken : [...broken, 'some calls are still open'] };
}

function timedActionsOf(system: SimulatedSystem, event: Trace['events'][number]) {
  if ('ask' in event) {
    const run = () => {
      system.call(event.ask);
    };
    return [{ at: event.at, run }];
  }
  const { inject, clear } = actions[event.fault];
  return [
    { at: event.at, run: () => inject(system, event) },
    { at: event.at + event.forMs, run: () => clear(system, event) },
  ];
}

function outcomeOf({ events }: SimulatedSystem, id: string): string {
  const own = events.filter((event) => event.id === id);
  const starts = own.filter(({ kind }) => kind === 'started').length;
  const last = own.findLast(({ kind }) => kind === 'answered');
  return `${last?.kind === 'answered' ? last.outcome : 'none'}, ${starts} starts`;
}
