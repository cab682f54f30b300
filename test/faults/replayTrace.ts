import SimulatedSystem from '../support/SimulatedSystem';
import checkOutcomes from './checkOutcomes';
import type Trace from './Trace';

type FaultEvent = Extract<Trace['events'][number], { fault: string }>;

interface FaultActions {
  strike(system: SimulatedSystem, event: FaultEvent): void;
  end(system: SimulatedSystem, event: FaultEvent): void | Promise<void>;
}

const STORE_FAULTS = {
  down: { down: true },
  slow: { slowMs: 1500 },
  answerLost: { answerLost: true },
};

const join: FaultActions['end'] = ({ network }, { on }) => network.heal(on[0]!, on[1]!);

const actions: Record<FaultEvent['fault'], FaultActions> = {
  kill: {
    strike: (system, { on }) => system.kill(on[0]!),
    end: (system, { on }) => system.restart(on[0]!),
  },
  pause: {
    strike: (system, { on }) => system.isRunning(on[0]!) && system.pause(on[0]!),
    end: (system, { on }) => system.resume(on[0]!),
  },
  leave: { strike: (system, { on }) => system.shutDown(on[0]!), end: () => undefined },
  backend: {
    strike: (system, { on }) => system.backends.get(on[0]!)!.kill(),
    end: (system, { on }) => system.backends.get(on[0]!)!.restart(),
  },
  cut: { strike: ({ network }, { on }) => network.partition(on[0]!, on[1]!), end: join },
  halfOpen: {
    strike: ({ network }, { on }) => network.blackhole(on[0]!, on[1]!),
    // What vanished would be missed in the middle of a connection, so the connection ends.
    end: (system, event) => {
      system.network.partition(event.on[0]!, event.on[1]!);
      join(system, event);
    },
  },
  late: { strike: ({ network }, { on }) => network.delay(on[0]!, on[1]!, 700), end: join },
  store: {
    strike: ({ engine }, { store = 'down' }) => engine.setFaults(STORE_FAULTS[store]),
    end: ({ engine }) => engine.setFaults({}),
  },
};

const QUIET_MS = 8000;
const SETTLED_MS = 60_000;
const ANSWER_MS = 12_000;

/** Replays a trace. Gives what came of each id, and the promises that were broken. */
export default async function replayTrace({ events }: Trace) {
  const system = await SimulatedSystem.start();
  const begun = system.timer.now();
  const steps = events.flatMap((event) => stepsOf(system, event));
  steps.sort((one, other) => one.at - other.at);
  for (const { at, run } of steps) {
    await system.timer.advance(Math.max(0, begun + at - system.timer.now()));
    await run();
  }
  await system.timer.advance(QUIET_MS);
  for (const name of [...system.entries.keys(), ...system.sidecars.keys()]) {
    system.resume(name);
    await system.restart(name);
  }
  const settled = await system.advanceUntil(() => system.openCalls === 0, SETTLED_MS, 50);
  system.stop();
  const broken = checkOutcomes(system.events, ANSWER_MS);
  const outcomes = Object.fromEntries(
    [...new Set(system.events.map(({ id }) => id))].map((id) => [id, outcomeOf(system, id)]),
  );
  return { outcomes, broken: settled ? broken : [...broken, 'some callers are still asking'] };
}

function stepsOf(system: SimulatedSystem, event: Trace['events'][number]) {
  if ('ask' in event) {
    const run = () => {
      system.call(event.ask);
    };
    return [{ at: event.at, run }];
  }
  const { strike, end } = actions[event.fault];
  return [
    { at: event.at, run: () => strike(system, event) },
    { at: event.at + event.forMs, run: () => end(system, event) },
  ];
}

function outcomeOf({ events: happenings }: SimulatedSystem, id: string): string {
  const own = happenings.filter((happening) => happening.id === id);
  const starts = own.filter(({ kind }) => kind === 'started').length;
  const last = own.findLast(({ kind }) => kind === 'answered');
  return `${last?.kind === 'answered' ? last.outcome : 'none'}, ${starts} starts`;
}
