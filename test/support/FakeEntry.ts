import { create } from '@bufbuild/protobuf';
import {
  HelloSchema,
  Role,
  StartSchema,
  TaskIdSchema,
  ViewSchema,
  type Credit,
  type View,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import type Network from '../../src/link/Network';
import type PeerMessage from '../../src/link/PeerMessage';
import describeMessage from './describeMessage';

interface StartOptions {
  readonly credit?: Credit;
  readonly owner?: string;
  readonly ms?: number;
  readonly timeoutMs?: number;
  readonly nextWaitMs?: number;
  readonly createdMs?: number;
  readonly output?: unknown;
}

const DEFAULT_TASK_MS = 100;
const DEFAULT_TIMEOUT_MS = 1000;

/** An entry of which only the link to a sidecar exists; a test says what it sends. */
export default class FakeEntry {
  /** Credits that it was granted and has not used. */
  credits: Credit[] = [];

  link: Link | undefined;

  private received: string[] = [];

  private constructor(
    readonly name: string,
    readonly address: string,
    private view: View | undefined,
  ) {}

  /** Listens on the network; says the view, if any, on each link that opens. */
  static async listen(network: Network, name: string, view?: View): Promise<FakeEntry> {
    const entry = new FakeEntry(name, `10.0.0.1:${name.charCodeAt(0)}`, view);
    const hello = () =>
      create(HelloSchema, {
        ...{ protocol: 1, cluster: 'test', role: Role.ENTRY, zone: 'z1' },
        ...{ instance: name, incarnation: name, address: entry.address },
      });
    await network.listen(entry.address, hello, {
      link: (link) => entry.serve(link),
    } as Parameters<Network['listen']>[2]);
    return entry;
  }

  /** What was heard since the last call, without heartbeats. */
  takeReceived(): string[] {
    const taken = this.received;
    this.received = [];
    return taken;
  }

  send(message: PeerMessage): void {
    this.link?.send(message);
  }

  sendView(view: View): void {
    this.view = view;
    this.send({ case: 'view', value: create(ViewSchema, view) });
  }

  /** Sends a start of "job/index" with the next credit held, or the one given. */
  sendStart(name: string, init: StartOptions = {}): void {
    const input = Buffer.from(
      JSON.stringify({ ms: init.ms ?? DEFAULT_TASK_MS, output: init.output }),
    );
    const value = create(StartSchema, {
      ...{ task: FakeEntry.taskId(name), service: 'booking', input, digest: 'd', jobSize: 1 },
      owner: init.owner ?? this.name,
      credit: init.credit ?? this.credits.shift(),
      timeoutMs: init.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      nextWaitMs: init.nextWaitMs ?? 0,
      createdMs: BigInt(init.createdMs ?? Date.UTC(2025, 0, 1)),
    });
    this.send({ case: 'start', value });
  }

  /** The id of "job/index", attempt 0. */
  static taskId(name: string) {
    const [job = '', index] = name.split('/');
    return create(TaskIdSchema, { job, index: Number(index) });
  }

  private async serve(link: Link): Promise<void> {
    this.link = link;
    if (this.view) this.sendView(this.view);
    for await (const message of link.messages()) this.receive(message);
  }

  private receive(message: PeerMessage): void {
    if (message.case === 'heartbeat') {
      this.send(message);
      return;
    }
    if (message.case === 'grant') this.credits.push(...message.value.credits);
    if (message.case === 'done' && message.value.credit) this.credits.push(message.value.credit);
    if (message.case === 'withdraw') this.credits = [];
    this.received.push(describeMessage(message));
  }
}
