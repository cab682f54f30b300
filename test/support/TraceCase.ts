import { create } from '@bufbuild/protobuf';
import { resourceFromAttributes } from '@opentelemetry/resources';
import digestOf from '../../src/callers/digestOf';
import jobKey from '../../src/core/jobKey';
import ownerOf from '../../src/core/ownerOf';
import Random from '../../src/core/Random';
import readSpans from '../../src/ctl/readSpans';
import renderTrace from '../../src/ctl/renderTrace';
import traceRoots from '../../src/ctl/traceRoots';
import Entry from '../../src/entry/Entry';
import { Action, type Answer, SubmissionSchema } from '../../src/gen/magnoliakeel/v1/peer_pb';
import storeKeys from '../../src/membership/storeKeys';
import serializeSpans from '../../src/observe/serializeSpans';
import Tracer from '../../src/observe/Tracer';
import loadSettings from '../../src/settings/loadSettings';
import Sidecar from '../../src/sidecar/Sidecar';
import SidecarCounters from '../../src/sidecar/SidecarCounters';
import SimulatedStoreEngine from '../../tools/platform/SimulatedStoreEngine';
import FakeBackend from './FakeBackend';
import ManualTimer from './ManualTimer';
import MemoryNetwork from './MemoryNetwork';
import valueOf from './valueOf';

/** Two entries and a sidecar whose exported spans are collected as text. */
export default class TraceCase {
  readonly timer = ManualTimer.create();

  readonly backend = FakeBackend.create(this.timer);

  /** The `traceparent` of each call that the backend server has seen. */
  readonly receivedTraceparents: string[] = [];

  private readonly network = MemoryNetwork.create(this.timer);

  private readonly engine = SimulatedStoreEngine.create(this.timer);

  private readonly entries = new Map<string, Entry>();

  private readonly stop = new AbortController();

  private readonly stopped: Promise<unknown>[] = [];

  private exported = '';

  private constructor(private readonly sample: number) {}

  /** Starts the processes and lets them link. */
  static async start(sample = 0): Promise<TraceCase> {
    const traceCase = new TraceCase(sample);
    const manifest = { services: [SERVICE], teams: [], system: SYSTEM };
    await traceCase.engine.put(storeKeys.manifest, JSON.stringify({ version: 1, manifest }));
    await traceCase.startEntry('e1', 1);
    await traceCase.startEntry('e2', 2);
    await traceCase.timer.advance(3000);
    await traceCase.startSidecar();
    return traceCase;
  }

  /** Submits a job, each task of which runs for 100 ms, to an entry that does not own it. */
  async submit(tasks: number, traceparent: string): Promise<Answer> {
    const id = this.idOwnedBy('e2');
    const input = Buffer.from('{"ms":100}');
    const inputs = Array.from({ length: tasks }, () => input);
    const submission = create(SubmissionSchema, {
      ...{ action: Action.SUBMIT, service: 'booking', kind: 'job', id, team: 'a', inputs },
      ...{ digest: digestOf(inputs), waitMs: WAIT_MS, traceparent },
      createdMs: BigInt(this.timer.wall()),
    });
    const answer = this.entries
      .get('e1')!
      .submit({ submission, keyed: true }, new AbortController().signal);
    await this.timer.advance(WAIT_MS + 1);
    return answer;
  }

  /** The exported spans as `magnoliakeelctl trace` prints them, which omits span ids. */
  tree(): string {
    const spans = readSpans(this.exported);
    return spans.length === 0 ? 'no spans' : renderTrace(traceRoots(spans));
  }

  /** Ids of the spans with the given name. */
  ids(name: string): string[] {
    const spans = readSpans(this.exported).filter((span) => span.name === name);
    return spans.map(({ spanId }) => spanId);
  }

  async close(): Promise<void> {
    this.stop.abort();
    await this.timer.advance(40_000);
    await Promise.all(this.stopped);
  }

  private async startEntry(instance: string, seed: number): Promise<void> {
    const peers = `10.0.0.${seed}:1`;
    const entry = Entry.create({
      ...{ timer: this.timer, random: Random.fromSeed(seed), incarnation: instance },
      settings: valueOf(loadSettings(entryYaml(instance, peers), 'test')) as never,
      network: this.network.endpoint(instance),
      store: this.engine.client(instance),
      tracer: this.tracerOf(instance, seed),
      log: { info: () => undefined, warn: () => undefined } as never,
    });
    valueOf(await entry.listen());
    this.entries.set(instance, entry);
    this.stopped.push(entry.run(this.stop.signal));
  }

  private async startSidecar(): Promise<void> {
    const sidecar = Sidecar.create({
      ...{ timer: this.timer, random: Random.fromSeed(9), network: this.network.endpoint('s1') },
      ...{ counters: SidecarCounters.create(), cluster: 'test', instance: 's1', zone: 'z1' },
      ...{ incarnation: 's1', entries: ['10.0.0.1:1'], links: 3, ledgerBytes: 1_000_000 },
      ...{ skewMs: 1000, renewMs: 60_000, drainMs: 2000 },
      client: {
        run: (backend, call, signal) => {
          this.receivedTraceparents.push(call.traceparent);
          return this.backend.run(backend, call, signal);
        },
        closeIdle: () => undefined,
      },
      heartbeat: { intervalMs: 1000, suspectMs: 3000, closeMs: 5000 },
      tracer: this.tracerOf('s1', 9),
    });
    this.stopped.push(sidecar.run(this.stop.signal));
    const backend = { service: 'booking', address: '127.0.0.1:1', slots: 2, connections: 8 };
    sidecar.announce(backend);
    await this.timer.advance(3000);
  }

  private tracerOf(instance: string, seed: number): Tracer {
    const resource = resourceFromAttributes({ 'service.instance.id': instance });
    return Tracer.create({
      ...{ timer: this.timer, random: Random.fromSeed(seed), incarnation: instance },
      sample: this.sample,
      onEnd: (span) => {
        this.exported += `${Buffer.from(serializeSpans([span], resource)).toString()}\n`;
      },
    });
  }

  private idOwnedBy(owner: string): string {
    for (let number = 0; ; number += 1) {
      const id = `job-${number}`;
      if (ownerOf(jobKey('booking', 'job', id), ['e1', 'e2']) === owner) return id;
    }
  }
}

const SERVICE = {
  ...{ name: 'booking', maxTasks: 320, timeoutMs: 1000, jobTimeoutMs: 10_000 },
  ...{ retentionMs: 60_000, retryBudget: 0.1, queue: { maxTasks: 1000 } },
};

const WAIT_MS = 2000;

const SYSTEM = { defaultTeam: 'a' };

function entryYaml(instance: string, peers: string): string {
  return JSON.stringify({
    ...{ role: 'entry', cluster: 'test', instance, zone: 'z1' },
    listen: { callers: '127.0.0.1:0', peers, operators: '127.0.0.1:0' },
    store: { address: '127.0.0.1:1' },
  });
}
