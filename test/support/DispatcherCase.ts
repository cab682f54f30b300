import { create } from '@bufbuild/protobuf';
import Random from '../../src/core/Random';
import Dispatcher from '../../src/dispatch/Dispatcher';
import type DispatcherOptions from '../../src/dispatch/DispatcherOptions';
import type QueuedTask from '../../src/dispatch/QueuedTask';
import SidecarPeer from '../../src/dispatch/SidecarPeer';
import {
  DoneSchema,
  GrantSchema,
  HelloSchema,
  RefuseSchema,
  TaskStatus,
} from '../../src/gen/magnoliakeel/v1/peer_pb';
import type Link from '../../src/link/Link';
import type PeerMessage from '../../src/link/PeerMessage';
import ManualTimer from './ManualTimer';

interface TaskInit extends Partial<QueuedTask> {
  readonly count?: number;
}

/** A dispatcher with simulated sidecars and other entries. */
export default class DispatcherCase {
  readonly timer = ManualTimer.create();

  readonly dispatcher: Dispatcher;

  private readonly peers = new Map<string, SidecarPeer>();

  private log: string[] = [];

  private lastGeneration = 0;

  private constructor(options: Partial<DispatcherOptions>) {
    this.dispatcher = Dispatcher.create({
      ...{ timer: this.timer, random: Random.fromSeed(1), policy: 'credits', owner: 'a' },
      ...{ viewNumber: () => 1n, weightOf: () => 1, maxRunningOf: () => undefined },
      takeRetry: () => true,
      sendToEntry: (entry, message) => this.record(entry, message),
      ...options,
    });
  }

  static create(options: Partial<DispatcherOptions> = {}): DispatcherCase {
    return new DispatcherCase(options);
  }

  /** Opens the links of sidecars, each named by one letter. */
  openLinks(names: string): void {
    [...names].forEach((name) => {
      const hello = { instance: name, incarnation: name, zone: 'z1', services: ['booking'] };
      const send = (message: PeerMessage) => this.record(name, message);
      const link = { peer: create(HelloSchema, hello), send } as unknown as Link;
      const peer = SidecarPeer.fromLink(link);
      peer.link = link;
      this.peers.set(name, peer);
      this.dispatcher.linkOpened(peer);
    });
  }

  peer(name: string): SidecarPeer {
    return this.peers.get(name)!;
  }

  /** Has a sidecar grant credits for its first `count` slots. */
  grant(name: string, count: number): void {
    this.lastGeneration += 1;
    const generation = this.lastGeneration;
    const credits = Array.from({ length: count }, (_, slot) => ({ slot, generation }));
    const grant = create(GrantSchema, { service: 'booking', credits });
    this.dispatcher.handleGrant(this.peer(name), grant);
  }

  /** Queues the tasks of a job and returns them. */
  enqueue(job: string, { count = 1, ...init }: TaskInit = {}): QueuedTask[] {
    const tasks = Array.from({ length: count }, (_, index) => ({
      ...{ job, index, service: 'booking', team: 'web', input: new Uint8Array(), digest: '' },
      ...{ jobSize: count, createdMs: 0n, timeoutMs: 1000, traceparent: '', retryable: false },
      ...{ queuedAt: this.timer.now(), attempt: 0, isWanted: () => true },
      ...{ onStarting: () => undefined, onNotStarted: () => undefined },
      onSettled: ({ status }: { status: TaskStatus }) =>
        this.log.push(`${job}/${index} ${TaskStatus[status]}`),
      ...init,
    }));
    tasks.forEach((task) => this.dispatcher.enqueue(task));
    return tasks;
  }

  /** Has a sidecar report a task as done, with the credit of its first slot. */
  reportDone(name: string, job: string, index = 0, status = TaskStatus.COMPLETED, runMs = 1): void {
    this.lastGeneration += 1;
    const credit = { slot: 0, generation: this.lastGeneration };
    const done = create(DoneSchema, { task: { job, index }, status, credit, runMs });
    this.dispatcher.handleDone(this.peer(name), done);
  }

  refuse(name: string, job: string, index = 0): void {
    this.dispatcher.handleRefuse(this.peer(name), create(RefuseSchema, { task: { job, index } }));
  }

  /** Returns what was sent and settled since the last call, a line each. */
  takeLog(): string {
    const text = this.log.join('\n');
    this.log = [];
    return text;
  }

  private record(to: string, message: PeerMessage): boolean {
    this.log.push(`${to}: ${describe(message)}`);
    return true;
  }
}

function describe(message: PeerMessage): string {
  if (message.case === 'start') {
    const { task, credit } = message.value;
    return `start ${task?.job}/${task?.index}${credit ? '' : ' without a credit'}`;
  }
  if (message.case === 'borrow') return `borrow ${message.value.wanted}`;
  if (message.case === 'lend') return `lend ${message.value.credits.length}`;
  return message.case;
}
