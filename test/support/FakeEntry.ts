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
  /** Run time of the task, milliseconds. */
  readonly ms?: number;
  readonly timeoutMs?: number;
  /** Age of the oldest task queued at the entry, milliseconds. */
  readonly nextWaitMs?: number;
  /** Creation of the job, milliseconds since the epoch. */
  readonly createdMs?: number;
  readonly output?: unknown;
}

const DEFAULT_TASK_MS = 100;
const DEFAULT_TIMEOUT_MS = 1000;

/** The entry's end of a link to a sidecar; the test decides which messages it sends. */
export default class FakeEntry {
  /** Credits granted to it and not used yet. */
  credits: Credit[] = [];

  /** The latest link of the sidecar. */
  link: Link | undefined;

  private received: string[] = [];

  private constructor(
    readonly name: string,
    readonly address: string,
    private view: View | undefined,
  ) {}

  /** Listens on the network and sends the view, if given, on each link that opens. */
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

  /** Descriptions of the messages received since the last call, without heartbeats. */
  takeReceived(): string[] {
    const messages = this.received;
    this.received = [];
    return messages;
  }

  /** Sends a message to the sidecar, if it is linked. */
  send(message: PeerMessage): void {
    this.link?.send(message);
  }

  /** Sends a view, also on later links. */
  sendView(view: View): void {
    this.view = view;
    this.send({ case: 'view', value: create(ViewSchema, view) });
  }

  /** Sends a start request for "job/index" with the given credit, or else the next one held. */
  sendStart(name: string, options: StartOptions = {}): void {
    const input = Buffer.from(
      JSON.stringify({ ms: options.ms ?? DEFAULT_TASK_MS, output: options.output }),
    );
    const value = create(StartSchema, {
      ...{ task: FakeEntry.taskId(name), service: 'booking', input, digest: 'd', jobSize: 1 },
      owner: options.owner ?? this.name,
      credit: options.credit ?? this.credits.shift(),
      timeoutMs: options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
      nextWaitMs: options.nextWaitMs ?? 0,
      createdMs: BigInt(options.createdMs ?? Date.UTC(2025, 0, 1)),
    });
    this.send({ case: 'start', value });
  }

  /** Id of the task "job/index", attempt 0. */
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
