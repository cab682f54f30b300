import { create } from '@bufbuild/protobuf';
import type TimerService from '../../src/core/TimerService';
import {
  CreditSchema,
  DoneSchema,
  FencedSchema,
  GrantSchema,
  HeartbeatSchema,
  type Hello,
  HelloSchema,
  InForceSchema,
  Role,
  type Start,
  TaskStatus,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import ConnectNetwork from '../../src/link/ConnectNetwork';
import handleMessage from '../../src/link/handleMessage';
import KeepAlive from '../../src/link/KeepAlive';
import type Link from '../../src/link/Link';
import type MessageHandlers from '../../src/link/MessageHandlers';
import type PeerMessage from '../../src/link/PeerMessage';
import PROTOCOL_VERSION from '../../src/link/PROTOCOL_VERSION';
import type StandInCounters from './StandInCounters';

interface StandInSidecarOptions {
  readonly timer: TimerService;
  readonly counters: StandInCounters;
  /** Peer address of the entry. */
  readonly entry: string;
  readonly name: string;
  readonly service: string;
  readonly slots: number;
  /** Run time of each task, in milliseconds. */
  readonly taskMs: number;
}

const HEARTBEAT = { intervalMs: 1000, suspectMs: 3000, closeMs: 10_000 };
const OUTPUT = Buffer.from(JSON.stringify({ output: 'x'.repeat(100) }));

/**
 * Stands in for one sidecar on a link to an entry: uses its own connection and
 * sends the messages of a real sidecar, but has no ledger and no backend server.
 */
export default class StandInSidecar {
  /** Newest view and configuration received, each with the wall-clock time of receipt in milliseconds. */
  view = { number: 0, at: 0 };

  configuration = { number: 0, at: 0 };

  private link: Link | undefined;

  private constructor(private readonly opts: StandInSidecarOptions) {}

  /** Dials the entry and serves the link until it closes. */
  static async open(opts: StandInSidecarOptions): Promise<StandInSidecar> {
    const sidecar = new StandInSidecar(opts);
    const dialled = await ConnectNetwork.create(opts.timer).dial(opts.entry, sidecar.hello());
    if (dialled.isErr()) throw new Error(`${opts.entry}: ${dialled.error.reason}`);
    sidecar.serve(dialled.value);
    return sidecar;
  }

  private async serve(link: Link): Promise<void> {
    const { timer, counters, service, slots } = this.opts;
    this.link = link;
    counters.links += 1;
    KeepAlive.start(link, timer, HEARTBEAT, {
      heartbeat: () => this.heartbeat(),
      onSuspicionChange: () => undefined,
    });
    const credits = Array.from({ length: slots }, (_, slot) =>
      create(CreditSchema, { slot, generation: 1 }),
    );
    this.send({ case: 'grant', value: create(GrantSchema, { service, credits }) });
    for await (const message of link.messages()) {
      counters.messagesReceived += 1;
      handleMessage(handlers, this, message);
    }
    counters.links -= 1;
  }

  private send(message: PeerMessage): void {
    this.opts.counters.messagesSent += 1;
    this.link?.send(message);
  }

  /** Records a view and confirms it. */
  handleView(viewNumber: bigint): void {
    this.view = { number: Number(viewNumber), at: this.opts.timer.wall() };
    this.send({ case: 'fenced', value: create(FencedSchema, { viewNumber }) });
  }

  /** Records a configuration and reports that it is in effect. */
  handleConfiguration(version: bigint): void {
    this.configuration = { number: Number(version), at: this.opts.timer.wall() };
    this.send({ case: 'inForce', value: create(InForceSchema, { version }) });
  }

  /** Accepts a task, and answers it after its run time with the slot's next credit. */
  handleStart({ task, credit }: Start): void {
    const { timer, taskMs, counters } = this.opts;
    timer.after(taskMs, () => {
      counters.tasks += 1;
      const next = create(CreditSchema, {
        slot: credit!.slot,
        generation: credit!.generation + 1,
      });
      const done = { task, status: TaskStatus.COMPLETED, output: OUTPUT, runMs: taskMs };
      this.send({ case: 'done', value: create(DoneSchema, { ...done, credit: next }) });
    });
  }

  private heartbeat(): PeerMessage {
    this.opts.counters.messagesSent += 1;
    const value = create(HeartbeatSchema, {
      configurationVersion: BigInt(this.configuration.number),
      viewNumber: BigInt(this.view.number),
    });
    return { case: 'heartbeat', value };
  }

  private hello(): Hello {
    const { name, service } = this.opts;
    return create(HelloSchema, {
      protocol: PROTOCOL_VERSION,
      cluster: 'local',
      role: Role.SIDECAR,
      instance: name,
      incarnation: `${name}.1`,
      zone: 'zone-1',
      session: 1n,
      services: [service],
    });
  }
}

const handlers: MessageHandlers<StandInSidecar> = {
  view: (sidecar, { number }) => sidecar.handleView(number),
  configuration: (sidecar, { version }) => sidecar.handleConfiguration(version),
  start: (sidecar, start) => sidecar.handleStart(start),
};
